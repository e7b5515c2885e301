// Defines Metrics, the registry of the counters, gauges and latency histograms of a process, with
// export in the Prometheus text format.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace guavatrail {

class Counter {
 public:
  void Add(uint64_t n = 1) { m_value += n; }
  uint64_t value() const { return m_value; }

 private:
  uint64_t m_value = 0;
};

class Gauge {
 public:
  void Set(double value) { m_value = value; }
  double value() const { return m_value; }

 private:
  double m_value = 0;
};

// Latencies in microseconds on a fixed logarithmic axis, so that histograms of different nodes can
// be merged by adding their bins.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Record(int64_t latency_us);
  void Merge(const LatencyHistogram& other);
  uint64_t count() const { return m_count; }
  // Upper bound in microseconds of the bin with the quantile `q` in [0, 1]; 0 when empty.
  int64_t Quantile(double q) const;

  // Bins in ascending order, the last one for overflow. Bin i ends at BinEndUs(i).
  size_t BinCount() const;
  uint64_t Bin(size_t i) const;
  int64_t BinEndUs(size_t i) const;
  // Adds `n` to bin i; for merging from a serialized form.
  void AddToBin(size_t i, uint64_t n);
  // Adds to the sum of latencies, which AddToBin does not change.
  void AddToSum(int64_t sum_us) { m_sum_us += sum_us; }
  int64_t sum_us() const { return m_sum_us; }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> m_histogram;
  uint64_t m_count = 0;
  int64_t m_sum_us = 0;
};

// The text with the characters escaped that the syntax of label values needs escaped.
std::string EscapeLabel(std::string_view text);

// Returned references stay valid for the lifetime of the registry. `labels` is empty or in
// Prometheus syntax, for example `kind="lookup",service="catalogo"`.
class Metrics {
 public:
  Counter& GetCounter(std::string_view name, std::string_view labels = "");
  Gauge& GetGauge(std::string_view name, std::string_view labels = "");
  LatencyHistogram& GetHistogram(std::string_view name, std::string_view labels = "");

  // Prometheus text format, version 0.0.4.
  std::string Text() const;

 private:
  using Key = std::pair<std::string, std::string>;
  std::map<Key, Counter> m_counters;
  std::map<Key, Gauge> m_gauges;
  std::map<Key, LatencyHistogram> m_histograms;
};

}  // namespace guavatrail
