// Defines CapturedLog, which records the lines that are logged during its lifetime.
#pragma once

#include <glog/logging.h>

#include <string>
#include <vector>

namespace guavatrail {

class CapturedLog : public google::LogSink {
 public:
  CapturedLog() { google::AddLogSink(this); }
  ~CapturedLog() override { google::RemoveLogSink(this); }
  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;

  void send(google::LogSeverity /*severity*/, const char* /*full_filename*/,
            const char* /*base_filename*/, int /*line*/, const google::LogMessageTime& /*time*/,
            const char* message, size_t length) override {
    m_lines.emplace_back(message, length);
  }
  const std::vector<std::string>& lines() const { return m_lines; }

 private:
  std::vector<std::string> m_lines;
};

}  // namespace guavatrail
