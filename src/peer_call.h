// Defines PeerCall, an attempt to run a call on a serving node, which detects connections that have
// gone silent.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "http_query.h"
#include "peer_client.h"

namespace guavatrail {

// If no byte of a request in flight is sent or received for 1 s, the connection is checked by a
// probe on a new connection to the same node. The call fails if the node does not respond, does not
// know the request, or has written answer bytes that did not arrive. Otherwise the node is still
// processing the request, and the call continues. Destroying the call cancels it. Handlers may
// destroy it.
class PeerCall {
 public:
  struct Handlers {
    std::function<void(const AnswerHead&)> head;
    std::function<void(evbuffer*)> data;
    std::function<void(ExchangeResult)> done;
  };

  // `request` must carry `request_id`. An answer without it fails the call.
  PeerCall(EventLoop& loop, ConnectionPool& pool, UpstreamRequest request, std::string request_id,
           Handlers handlers);
  PeerCall(const PeerCall&) = delete;
  PeerCall& operator=(const PeerCall&) = delete;

  Exchange& exchange() { return *m_exchange; }
  // Whether any byte of the request may have been sent.
  bool may_have_been_sent() const {
    return m_exchange != nullptr && m_exchange->may_have_been_sent();
  }
  // Whether reading of the answer is paused.
  bool is_paused() const { return m_exchange != nullptr && m_exchange->is_paused(); }
  // Whether the call failed because its connection had gone silent.
  bool was_silent() const { return m_was_silent; }

 private:
  void OnHead(const AnswerHead& head);
  void Finish(ExchangeResult result);
  void OnTimer();
  void Probe();
  void OnProbeReply(const std::optional<HttpReply>& reply);

  ConnectionPool& m_pool;
  std::string m_request_id;
  std::shared_ptr<Handlers> m_handlers;
  std::unique_ptr<Exchange> m_exchange;
  std::unique_ptr<HttpQuery> m_probe;
  // Time of the last activity when a probe found the connection silent; 0 if none has.
  int64_t m_suspect_activity_us = 0;
  bool m_was_silent = false;
  EventLoop& m_loop;
  Timer m_timer;
};

}  // namespace guavatrail
