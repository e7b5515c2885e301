#include "metrics.h"

#include <algorithm>
#include <sstream>

namespace guavatrail {

namespace {

// The axis covers 10 us to 100 s. With 16 bins a decade, the error of a quantile is at most 15%.
constexpr double kLowestUs = 10.0;
constexpr double kHighestUs = 1e8;
constexpr unsigned kBins = 7 * 16;

std::string WithLabels(const std::string& name, const std::string& labels) {
  return labels.empty() ? name : name + "{" + labels + "}";
}

std::string BucketLabels(const std::string& labels, const std::string& upper) {
  return (labels.empty() ? "" : labels + ",") + "le=\"" + upper + "\"";
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram(Axis(kBins, kLowestUs, kHighestUs))) {}

void LatencyHistogram::Record(int64_t latency_us) {
  // Values below the axis are counted in the first bin.
  m_histogram(std::max<double>(kLowestUs, static_cast<double>(latency_us)));
  ++m_count;
  m_sum_us += latency_us;
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  m_histogram += other.m_histogram;
  m_count += other.m_count;
  m_sum_us += other.m_sum_us;
}

size_t LatencyHistogram::BinCount() const { return kBins + 1; }

uint64_t LatencyHistogram::Bin(size_t i) const {
  return static_cast<uint64_t>(m_histogram.at(static_cast<int>(i)));
}

int64_t LatencyHistogram::BinEndUs(size_t i) const {
  if (i >= kBins) return INT64_MAX;
  return static_cast<int64_t>(m_histogram.axis(0).bin(static_cast<int>(i)).upper());
}

void LatencyHistogram::AddToBin(size_t i, uint64_t n) {
  m_histogram.at(static_cast<int>(i)) += static_cast<double>(n);
  m_count += n;
}

int64_t LatencyHistogram::Quantile(double q) const {
  if (m_count == 0) return 0;
  auto rank = static_cast<uint64_t>(q * static_cast<double>(m_count));
  uint64_t seen = 0;
  for (size_t i = 0; i < BinCount(); ++i) {
    seen += Bin(i);
    if (seen > rank || seen == m_count) return BinEndUs(i);
  }
  return BinEndUs(BinCount() - 1);
}

std::string EscapeLabel(std::string_view text) {
  std::string escaped;
  for (char c : text) {
    if (c == '"' || c == '\\') escaped.push_back('\\');
    escaped.push_back(c);
  }
  return escaped;
}

Counter& Metrics::GetCounter(std::string_view name, std::string_view labels) {
  return m_counters[{std::string(name), std::string(labels)}];
}

Gauge& Metrics::GetGauge(std::string_view name, std::string_view labels) {
  return m_gauges[{std::string(name), std::string(labels)}];
}

LatencyHistogram& Metrics::GetHistogram(std::string_view name, std::string_view labels) {
  return m_histograms[{std::string(name), std::string(labels)}];
}

std::string Metrics::Text() const {
  std::ostringstream out;
  std::string last;
  auto announce = [&](const std::string& name, const char* type) {
    if (name != last) out << "# TYPE " << name << ' ' << type << '\n';
    last = name;
  };
  for (const auto& [key, counter] : m_counters) {
    announce(key.first, "counter");
    out << WithLabels(key.first, key.second) << ' ' << counter.value() << '\n';
  }
  for (const auto& [key, gauge] : m_gauges) {
    announce(key.first, "gauge");
    out << WithLabels(key.first, key.second) << ' ' << gauge.value() << '\n';
  }
  for (const auto& [key, histogram] : m_histograms) {
    announce(key.first, "histogram");
    uint64_t sum = 0;
    for (size_t i = 0; i + 1 < histogram.BinCount(); ++i) {
      sum += histogram.Bin(i);
      if (histogram.Bin(i) == 0) continue;
      out << key.first << "_bucket{"
          << BucketLabels(key.second, std::to_string(histogram.BinEndUs(i))) << "} " << sum << '\n';
    }
    out << key.first << "_bucket{" << BucketLabels(key.second, "+Inf") << "} " << histogram.count()
        << '\n';
    out << WithLabels(key.first + "_sum", key.second) << ' ' << histogram.sum_us() << '\n';
    out << WithLabels(key.first + "_count", key.second) << ' ' << histogram.count() << '\n';
  }
  return out.str();
}

}  // namespace guavatrail
