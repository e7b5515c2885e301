#include "burn.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

namespace guavatrail {

namespace {

using Json = nlohmann::json;

constexpr int64_t kSliceUs = 30'000'000;
constexpr int64_t kFastSlices = 10;
constexpr int64_t kSlowSlices = 120;

constexpr std::array<std::string_view, kCallOutcomes> kOutcomeNames = {"good", "refused", "late",
                                                                       "unknown", "incomplete"};

void Count(BurnWindow& window, CallOutcome outcome, int64_t latency_us) {
  ++window.counts.by_outcome[static_cast<size_t>(outcome)];
  if (outcome == CallOutcome::kGood || outcome == CallOutcome::kLate) {
    window.latency.Record(latency_us);
  }
}

Json JsonOf(const BurnWindow& window) {
  Json json;
  for (size_t i = 0; i < kCallOutcomes; ++i) {
    json[std::string(kOutcomeNames[i])] = window.counts.by_outcome[i];
  }
  Json bins = Json::array();
  for (size_t i = 0; i < window.latency.BinCount(); ++i) {
    if (uint64_t n = window.latency.Bin(i); n > 0) bins.push_back({i, n});
  }
  json["latency"] = {{"bins", std::move(bins)},
                     {"bin_count", window.latency.BinCount()},
                     {"sum_us", window.latency.sum_us()}};
  return json;
}

BurnWindow WindowOf(const Json& json) {
  BurnWindow window;
  for (size_t i = 0; i < kCallOutcomes; ++i) {
    window.counts.by_outcome[i] = json.at(std::string(kOutcomeNames[i])).get<uint64_t>();
  }
  const Json& latency = json.at("latency");
  size_t bin_count = latency.at("bin_count").get<size_t>();
  if (bin_count != window.latency.BinCount()) {
    throw std::invalid_argument("expected " + std::to_string(window.latency.BinCount()) +
                                " latency bins, got " + std::to_string(bin_count));
  }
  for (const Json& bin : latency.at("bins")) {
    auto index = bin.at(0).get<size_t>();
    if (index >= bin_count) {
      throw std::invalid_argument("expected a latency bin below " + std::to_string(bin_count) +
                                  ", got " + std::to_string(index));
    }
    window.latency.AddToBin(index, bin.at(1).get<uint64_t>());
  }
  window.latency.AddToSum(latency.at("sum_us").get<int64_t>());
  return window;
}

NodeBurn NodeBurnOf(const Json& json) {
  NodeBurn burn;
  burn.node = json.at("node").get<std::string>();
  for (const Json& item : json.at("entries")) {
    BurnKey key(item.at("service").get<std::string>(), item.at("kind").get<std::string>());
    BurnEntry entry{WindowOf(item.at("total")), WindowOf(item.at("fast")),
                    WindowOf(item.at("slow"))};
    burn.entries[key].Merge(entry);
  }
  return burn;
}

double RateOf(const BurnCounts& counts, double objective) {
  if (counts.Total() == 0) return 0;
  double bad_share = static_cast<double>(counts.Bad()) / static_cast<double>(counts.Total());
  return bad_share / (1 - objective);
}

}  // namespace

std::string_view ToString(CallOutcome outcome) {
  return kOutcomeNames[static_cast<size_t>(outcome)];
}

uint64_t BurnCounts::Total() const {
  return std::accumulate(by_outcome.begin(), by_outcome.end(), uint64_t{0});
}

void BurnWindow::Merge(const BurnWindow& other) {
  for (size_t i = 0; i < kCallOutcomes; ++i) counts.by_outcome[i] += other.counts.by_outcome[i];
  latency.Merge(other.latency);
}

void BurnEntry::Merge(const BurnEntry& other) {
  total.Merge(other.total);
  fast.Merge(other.fast);
  slow.Merge(other.slow);
}

void BurnRecorder::Record(std::string_view service, std::string_view kind, CallOutcome outcome,
                          int64_t latency_us, int64_t now_us) {
  auto kinds = m_services.find(service);
  if (kinds == m_services.end()) kinds = m_services.emplace(std::string(service), Kinds{}).first;
  auto entry = kinds->second.find(kind);
  if (entry == kinds->second.end()) {
    entry = kinds->second.emplace(std::string(kind), Series{}).first;
  }
  Series& series = entry->second;
  int64_t index = now_us / kSliceUs;
  if (series.slices.empty() || series.slices.back().index != index) {
    series.slices.push_back({index, {}});
  }
  while (series.slices.front().index <= index - kSlowSlices) series.slices.pop_front();
  Count(series.slices.back().window, outcome, latency_us);
  Count(series.total, outcome, latency_us);
}

NodeBurn BurnRecorder::Snapshot(std::string_view node, int64_t now_us) const {
  NodeBurn burn;
  burn.node = std::string(node);
  int64_t index = now_us / kSliceUs;
  for (const auto& [service, kinds] : m_services) {
    for (const auto& [kind, series] : kinds) {
      BurnEntry& entry = burn.entries[{service, kind}];
      entry.total = series.total;
      for (const Slice& slice : series.slices) {
        if (slice.index > index - kSlowSlices) entry.slow.Merge(slice.window);
        if (slice.index > index - kFastSlices) entry.fast.Merge(slice.window);
      }
    }
  }
  return burn;
}

std::string ToJson(const NodeBurn& burn) {
  Json entries = Json::array();
  for (const auto& [key, entry] : burn.entries) {
    entries.push_back({{"service", key.first},
                       {"kind", key.second},
                       {"total", JsonOf(entry.total)},
                       {"fast", JsonOf(entry.fast)},
                       {"slow", JsonOf(entry.slow)}});
  }
  return Json{{"node", burn.node}, {"entries", std::move(entries)}}.dump();
}

tl::expected<NodeBurn, BurnError> ParseNodeBurn(std::string_view json) {
  try {
    return NodeBurnOf(Json::parse(json));
  } catch (const std::exception& error) {
    return tl::unexpected(BurnError{std::string("burn document: ") + error.what()});
  }
}

MeshBurn MergeBurn(std::span<const NodeReading> readings) {
  MeshBurn mesh;
  for (const NodeReading& reading : readings) {
    if (!reading.burn) {
      mesh.missing.push_back(reading.node);
      continue;
    }
    mesh.nodes.push_back(reading.node);
    for (const auto& [key, entry] : reading.burn->entries) mesh.entries[key].Merge(entry);
  }
  return mesh;
}

BurnBudget BudgetOf(const BurnEntry& entry, double objective) {
  BurnBudget budget;
  budget.objective = objective;
  budget.fast_rate = RateOf(entry.fast.counts, objective);
  budget.slow_rate = RateOf(entry.slow.counts, objective);
  budget.left = 1 - RateOf(entry.total.counts, objective);
  return budget;
}

}  // namespace guavatrail
