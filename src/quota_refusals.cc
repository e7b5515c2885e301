#include "quota_refusals.h"

#include <glog/logging.h>

#include "percent_encoding.h"

namespace guavatrail {

namespace {

constexpr int64_t kLogIntervalUs = 1'000'000;

}  // namespace

QuotaRefusals::Entry& QuotaRefusals::EntryOf(std::string_view workspace) {
  std::string name(m_labels.Of(workspace));
  Entry& entry = m_entries[name];
  if (entry.counter != nullptr) return entry;
  std::string labels = "workspace=\"" + EscapeLabel(name) + "\"";
  entry.counter = &m_metrics.GetCounter("quota_refused_total", labels);
  return entry;
}

void QuotaRefusals::Record(std::string_view workspace, int64_t retry_after_ms, int64_t now_us) {
  Entry& entry = EntryOf(workspace);
  entry.counter->Add();
  ++entry.unlogged;
  bool is_due = entry.logged_us == 0 || now_us - entry.logged_us >= kLogIntervalUs;
  if (!is_due) return;
  LOG(INFO) << "event=quota_limited workspace=" << PercentEncode(workspace)
            << " refused=" << entry.unlogged << " retry_after_ms=" << retry_after_ms;
  entry.logged_us = now_us;
  entry.unlogged = 0;
}

}  // namespace guavatrail
