// Defines LogOutput, which writes the log lines of the process to a file descriptor without
// blocking on its reader.
#pragma once

#include <glog/logging.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "event_loop.h"
#include "metrics.h"

namespace guavatrail {

// Limits the log volume with a token bucket for lines and a bounded buffer for slow readers. Lines
// beyond these limits are dropped and counted; the next accepted line is preceded by a line with
// the count.
class LogLimiter {
 public:
  struct Options {
    double lines_per_second = 400;
    double burst_lines = 2'000;
    size_t buffer_bytes = 262'144;
  };

  LogLimiter() : LogLimiter(Options{}) {}
  explicit LogLimiter(Options options) : m_options(options), m_tokens(options.burst_lines) {}

  // Appends `line` to the buffer or drops it; returns whether it was appended. Urgent lines
  // (warnings and errors) need no token.
  bool TryAppend(std::string_view line, bool is_urgent, int64_t now_us);
  const std::string& pending() const { return m_pending; }
  // The first pending lines, of `max_bytes` together at most; the start of a longer line.
  std::string_view NextLines(size_t max_bytes) const;
  void Consume(size_t bytes) { m_pending.erase(0, bytes); }
  uint64_t dropped() const { return m_dropped; }

 private:
  Options m_options;
  double m_tokens;
  int64_t m_last_us = 0;
  uint64_t m_dropped = 0;
  uint64_t m_reported = 0;
  std::string m_pending;
};

// A glog sink that is registered during its lifetime. The caller disables the other destinations.
class LogOutput : public google::LogSink {
 public:
  LogOutput(EventLoop& loop, int fd);
  ~LogOutput() override;
  LogOutput(const LogOutput&) = delete;
  LogOutput& operator=(const LogOutput&) = delete;

  void send(google::LogSeverity severity, const char* full_filename, const char* base_filename,
            int line, const google::LogMessageTime& time, const char* message,
            size_t length) override;
  uint64_t dropped() const { return m_limiter.dropped(); }

 private:
  void Flush();

  int m_fd;
  LogLimiter m_limiter;
  Timer m_timer;
};

}  // namespace guavatrail
