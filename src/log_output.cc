#include "log_output.h"

#include <fcntl.h>
#include <limits.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <ctime>

namespace guavatrail {

namespace {

// Lines are batched, since each write is a system call.
constexpr std::chrono::milliseconds kFlushPeriod{100};
constexpr double kUsPerSecond = 1e6;
// The end of a node's lines and the start of another's would run into each other if a write that is
// not atomic met a full pipe that both share.
constexpr size_t kAtomicWriteBytes = PIPE_BUF;

std::string_view LevelName(google::LogSeverity severity) {
  switch (severity) {
    case google::GLOG_INFO:
      return "info";
    case google::GLOG_WARNING:
      return "warning";
    default:
      return "error";
  }
}

}  // namespace

bool LogLimiter::TryAppend(std::string_view line, bool is_urgent, int64_t now_us) {
  double elapsed_s = static_cast<double>(std::max<int64_t>(0, now_us - m_last_us)) / kUsPerSecond;
  m_last_us = now_us;
  m_tokens = std::min(m_options.burst_lines, m_tokens + elapsed_s * m_options.lines_per_second);
  bool has_token = m_tokens >= 1 || is_urgent;
  if (!has_token || m_pending.size() + line.size() > m_options.buffer_bytes) {
    ++m_dropped;
    return false;
  }
  m_tokens = std::max(0.0, m_tokens - 1);
  if (m_reported < m_dropped) {
    m_pending +=
        "level=warning event=log_lines_dropped count=" + std::to_string(m_dropped - m_reported) +
        "\n";
    m_reported = m_dropped;
  }
  m_pending.append(line);
  return true;
}

std::string_view LogLimiter::NextLines(size_t max_bytes) const {
  std::string_view pending = m_pending;
  if (pending.size() <= max_bytes) return pending;
  size_t end = pending.rfind('\n', max_bytes - 1);
  return pending.substr(0, end == std::string_view::npos ? max_bytes : end + 1);
}

LogOutput::LogOutput(EventLoop& loop, int fd) : m_fd(fd), m_timer(loop, [this] { Flush(); }) {
  // A blocked reader must not block the event loop.
  fcntl(m_fd, F_SETFL, fcntl(m_fd, F_GETFL) | O_NONBLOCK);
  google::AddLogSink(this);
}

LogOutput::~LogOutput() {
  google::RemoveLogSink(this);
  Flush();
}

void LogOutput::send(google::LogSeverity severity, const char* /*full_filename*/,
                     const char* base_filename, int line, const google::LogMessageTime& time,
                     const char* message, size_t length) {
  std::array<char, 64> prefix{};
  std::snprintf(prefix.data(), prefix.size(),
                "time=%lld.%06d level=%s at=", static_cast<long long>(time.timestamp()),
                time.usec(), std::string(LevelName(severity)).c_str());
  std::string text = prefix.data();
  text.append(base_filename).append(":").append(std::to_string(line)).append(" ");
  text.append(message, length);
  text.append("\n");
  m_limiter.TryAppend(text, severity >= google::GLOG_WARNING, EventLoop::NowUs());
  if (!m_timer.IsPending()) m_timer.Start(kFlushPeriod);
}

void LogOutput::Flush() {
  while (!m_limiter.pending().empty()) {
    std::string_view lines = m_limiter.NextLines(kAtomicWriteBytes);
    ssize_t written = write(m_fd, lines.data(), lines.size());
    if (written <= 0) break;
    m_limiter.Consume(static_cast<size_t>(written));
  }
  // If the reader is blocked or gone, the rest stays in the buffer, whose size is bounded.
  if (!m_limiter.pending().empty()) m_timer.Start(kFlushPeriod);
}

}  // namespace guavatrail
