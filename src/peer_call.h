// Defines PeerCall, one try of a call on one serving node, which finds connections that have gone
// silent.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "http_query.h"
#include "peer_client.h"

namespace guavatrail {

// A connection with a request in flight on which no byte came or left for 1 s is checked by a probe
// on a new connection to the same node. It is given up when the node does not answer, does not know
// the request, or has written bytes of the answer that did not come. Work that is alive goes on.
// Destroying the call gives it up. Handlers may destroy it.
class PeerCall {
 public:
  struct Handlers {
    std::function<void(const AnswerHead&)> head;
    std::function<void(evbuffer*)> data;
    std::function<void(ExchangeResult)> done;
  };

  // `request` must carry `request_id`, and answers must carry it too.
  PeerCall(EventLoop& loop, ConnectionPool& pool, UpstreamRequest request, std::string request_id,
           Handlers handlers);
  PeerCall(const PeerCall&) = delete;
  PeerCall& operator=(const PeerCall&) = delete;

  Exchange& exchange() { return *m_exchange; }
  // Whether bytes of the request may have left.
  bool may_have_been_sent() const {
    return m_exchange != nullptr && m_exchange->may_have_been_sent();
  }
  // Whether the connection was given up because it had gone silent.
  bool was_silent() const { return m_was_silent; }

 private:
  void OnHead(const AnswerHead& head);
  void Finish(ExchangeResult end);
  void OnTimer();
  void Probe();
  void OnProbeReply(const std::optional<HttpReply>& reply);

  ConnectionPool& m_pool;
  std::string m_request_id;
  std::shared_ptr<Handlers> m_handlers;
  std::unique_ptr<Exchange> m_exchange;
  std::unique_ptr<HttpQuery> m_probe;
  // Time of the last activity when the probe found the connection in doubt; 0 otherwise.
  int64_t m_doubted_activity_us = 0;
  bool m_was_silent = false;
  EventLoop& m_loop;
  Timer m_timer;
};

}  // namespace guavatrail
