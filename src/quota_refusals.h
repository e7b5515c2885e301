// Defines QuotaRefusals, which logs and counts the requests that a node refuses because of the
// quotas of workspaces.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "label_values.h"
#include "metrics.h"

namespace guavatrail {

class QuotaRefusals {
 public:
  // Workspaces that are counted under their name; others are counted as "other".
  static constexpr size_t kMaxLabels = 100;

  explicit QuotaRefusals(Metrics& metrics) : m_metrics(metrics), m_labels(kMaxLabels) {}

  // Logs at most one line a second and workspace.
  void Record(std::string_view workspace, int64_t retry_after_ms, int64_t now_us);

 private:
  struct Entry {
    Counter* counter = nullptr;
    uint64_t unlogged = 0;
    int64_t logged_us = 0;
  };

  Entry& EntryOf(std::string_view workspace);

  Metrics& m_metrics;
  LabelValues m_labels;
  std::map<std::string, Entry, std::less<>> m_entries;
};

}  // namespace guavatrail
