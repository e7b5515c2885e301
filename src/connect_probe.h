// Defines ConnectProbe, which finds out whether anything listens at an address.
#pragma once

#include <event2/util.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "event_loop.h"

namespace guavatrail {

// Opens a connection and closes it again without sending a byte.
class ConnectProbe {
 public:
  enum class Result {
    kConnected,
    kRefused,
    kUnknown,  // No result within the timeout, or no socket could be opened.
  };
  using Handler = std::function<void(Result)>;

  // The handler is called once, from the loop; it may destroy the probe.
  ConnectProbe(EventLoop& loop, const std::string& ip, uint16_t port,
               std::chrono::milliseconds timeout, Handler handler);
  ~ConnectProbe();
  ConnectProbe(const ConnectProbe&) = delete;
  ConnectProbe& operator=(const ConnectProbe&) = delete;

 private:
  struct EventDeleter {
    void operator()(event* e) const { event_free(e); }
  };

  static void OnWritable(evutil_socket_t fd, short what, void* arg);
  void OnConnect(int error);
  void Finish();

  Handler m_handler;
  evutil_socket_t m_fd;
  std::unique_ptr<event, EventDeleter> m_event;
  Result m_result = Result::kUnknown;
  Timer m_timer;  // Calls the handler.
};

}  // namespace guavatrail
