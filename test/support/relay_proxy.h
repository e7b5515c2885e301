// Defines RelayProxy, a minimal proxy around StreamRelay that forwards the method and target of
// each request, without headers and body, to one server.
#pragma once

#include <memory>
#include <vector>

#include "connection_pool.h"
#include "downstream_request.h"
#include "http_listener.h"
#include "stream_relay.h"

namespace guavatrail {

class RelayProxy {
 public:
  RelayProxy(EventLoop& loop, uint16_t server_port)
      : m_pool(loop, {.ip = "127.0.0.1", .port = server_port}),
        m_listener(loop,
                   [this](std::unique_ptr<DownstreamRequest> r) { OnRequest(std::move(r)); }) {
    auto listening = m_listener.Listen("127.0.0.1", 0);
    if (!listening) abort();
  }
  ~RelayProxy() { calls.clear(); }

  struct Call {
    explicit Call(std::unique_ptr<DownstreamRequest> request)
        : downstream(std::move(request)), relay(*downstream) {}
    std::unique_ptr<DownstreamRequest> downstream;
    StreamRelay relay;
    std::unique_ptr<Exchange> exchange;
    int end_count = 0;  // How often the end handler was called.
  };

  uint16_t port() const { return m_listener.port(); }
  HttpListener& listener() { return m_listener; }
  ConnectionPool& pool() { return m_pool; }
  std::vector<std::unique_ptr<Call>> calls;

 private:
  void OnRequest(std::unique_ptr<DownstreamRequest> request) {
    calls.push_back(std::make_unique<Call>(std::move(request)));
    Call* call = calls.back().get();
    call->downstream->SetEndHandler([call](bool written) {
      ++call->end_count;
      if (!written) call->exchange.reset();
    });
    call->exchange =
        m_pool.Send({.method = call->downstream->method(), .uri = call->downstream->target()},
                    {.head =
                         [call](const AnswerHead& head) {
                           call->relay.Begin(*call->exchange, head, head.headers);
                         },
                     .data = [call](evbuffer* data) { call->relay.Data(data); },
                     .done =
                         [call](ExchangeResult end) {
                           if (call->relay.has_begun()) {
                             call->relay.End(end);
                           } else {
                             call->downstream->Reply(kHttpBadGateway, {}, "");
                           }
                         }});
  }

  ConnectionPool m_pool;
  HttpListener m_listener;
};

}  // namespace guavatrail
