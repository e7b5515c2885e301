#include "quota_fleet.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

namespace guavatrail {

namespace {

constexpr int64_t kSilenceUs = 300'000;
constexpr int64_t kRepeatLimitUs = 2'000'000;
constexpr int64_t kMinDelayUs = 500;
constexpr uint64_t kDelayRangeUs = 20'000;
constexpr size_t kDataCentres = 4;
constexpr int64_t kWindowUs = 5'000'000;

uint64_t CountIn(const std::vector<int64_t>& times, double from_s, double to_s) {
  auto first = std::lower_bound(times.begin(), times.end(), static_cast<int64_t>(from_s * 1e6));
  auto last = std::lower_bound(times.begin(), times.end(), static_cast<int64_t>(to_s * 1e6));
  return static_cast<uint64_t>(last - first);
}

}  // namespace

QuotaFleet::QuotaFleet(size_t nodes, Quotas quotas, uint64_t seed)
    : m_quotas(std::move(quotas)), m_random(seed), m_nodes(nodes) {
  for (size_t i = 0; i < nodes; ++i) m_nodes[i].name = "node-" + std::to_string(i);
  for (size_t i = 0; i < nodes; ++i) Start(i);
}

void QuotaFleet::At(int64_t time_us, std::function<void()> run) {
  m_events.push({time_us, m_next_sequence++, std::move(run)});
}

void QuotaFleet::AtNode(size_t node, int64_t time_us, std::function<void()> run) {
  At(time_us, [this, node, process = m_nodes[node].process, run = std::move(run)]() mutable {
    Node& target = m_nodes[node];
    if (!target.is_up || target.process != process) return;
    if (target.is_paused) {
      target.held.push_back(std::move(run));
    } else {
      run();
    }
  });
}

void QuotaFleet::Deliver(size_t from, size_t to, std::function<void()> run) {
  ++m_messages;
  bool is_lost = (m_loss_one_in > 0 && m_random.Below(m_loss_one_in) == 0) ||
                 !m_reaches(from, to) || !m_nodes[to].is_up;
  if (is_lost) return;
  auto delay_us = kMinDelayUs + static_cast<int64_t>(m_random.Below(kDelayRangeUs));
  AtNode(to, m_now_us + delay_us, std::move(run));
}

size_t QuotaFleet::Index(std::string_view name) const {
  auto it = std::find_if(m_nodes.begin(), m_nodes.end(),
                         [name](const Node& node) { return node.name == name; });
  return static_cast<size_t>(it - m_nodes.begin());
}

size_t QuotaFleet::Listed() const {
  return static_cast<size_t>(std::count_if(m_nodes.begin(), m_nodes.end(),
                                           [](const Node& node) { return node.is_listed; }));
}

void QuotaFleet::ApplyEndpoints(Node& node) {
  std::vector<Endpoint> endpoints;
  std::set<std::string> names;
  for (size_t i = 0; i < m_nodes.size(); ++i) {
    if (!m_nodes[i].is_listed) continue;
    endpoints.push_back({.node = m_nodes[i].name,
                         .data_centre = "dc-" + std::to_string(i % kDataCentres),
                         .link_mbps = 1'000 - static_cast<double>(i)});
    names.insert(m_nodes[i].name);
  }
  names.insert(node.name);
  node.enforcer->SetNodeCount(names.size());
  node.ledger->SetNodes(std::move(names));
  node.selector->SetEndpoints(EndpointList(std::move(endpoints)));
}

void QuotaFleet::SetListed(size_t node, bool is_listed) {
  m_nodes[node].is_listed = is_listed;
  for (Node& other : m_nodes) {
    if (other.is_up) ApplyEndpoints(other);
  }
}

void QuotaFleet::SetQuotas(Quotas quotas) {
  m_quotas = std::move(quotas);
  for (Node& node : m_nodes) {
    if (!node.is_up) continue;
    node.enforcer->SetQuotas(m_quotas, ClockOf(node));
    node.ledger->SetQuotas(m_quotas);
  }
}

void QuotaFleet::Start(size_t index) {
  Node& node = m_nodes[index];
  node.is_up = true;
  node.is_paused = false;
  node.paused_us = 0;
  node.held.clear();
  node.process = m_next_process++;
  node.enforcer = std::make_unique<QuotaEnforcer>(node.name, node.process, m_random);
  node.ledger = std::make_unique<QuotaLedger>();
  node.selector = std::make_unique<CoordinatorSelector>();
  node.enforcer->SetQuotas(m_quotas, ClockOf(node));
  node.ledger->SetQuotas(m_quotas);
  ApplyEndpoints(node);
  // Starts are not simultaneous.
  AtNode(index, m_now_us + static_cast<int64_t>(m_random.Below(250'000)),
         [this, index] { OnTimer(index); });
}

void QuotaFleet::Stop(size_t index) { m_nodes[index].is_up = false; }

void QuotaFleet::Pause(size_t index) {
  m_nodes[index].is_paused = true;
  m_nodes[index].pause_start_us = m_now_us;
}

void QuotaFleet::Resume(size_t index) {
  Node& node = m_nodes[index];
  node.is_paused = false;
  node.paused_us += m_now_us - node.pause_start_us;
  std::vector<std::function<void()>> held = std::move(node.held);
  node.held.clear();
  for (auto& run : held) run();
}

size_t QuotaFleet::Coordinator() const {
  std::vector<size_t> votes(m_nodes.size());
  for (const Node& node : m_nodes) {
    if (node.is_up) ++votes.at(Index(node.selector->current()));
  }
  return static_cast<size_t>(std::max_element(votes.begin(), votes.end()) - votes.begin());
}

void QuotaFleet::OnTimer(size_t index) {
  Node& node = m_nodes[index];
  AtNode(index, m_now_us + QuotaPeriodUs(Listed()), [this, index] { OnTimer(index); });
  QuotaReport report = node.enforcer->MakeReport(ClockOf(node));
  for (const std::string& target : node.selector->Targets(ClockOf(node))) {
    Report(index, Index(target), report);
  }
}

void QuotaFleet::Report(size_t from, size_t to, const QuotaReport& report) {
  Node& node = m_nodes[from];
  auto has_reply = std::make_shared<bool>(false);
  auto on_reply = [this, from, to, has_reply, sent_us = report.time_us](const QuotaReply& reply) {
    Node& self = m_nodes[from];
    const std::string& name = m_nodes[to].name;
    *has_reply = true;
    self.selector->OnReply(name, ClockOf(self));
    if (self.enforcer->OnReply(name, sent_us, reply, ClockOf(self))) self.selector->Follow(name);
  };
  if (from == to) {
    on_reply(node.ledger->OnReport(report, ClockOf(node)));
    return;
  }
  Deliver(from, to, [this, from, to, report, on_reply] {
    QuotaReply reply = m_nodes[to].ledger->OnReport(report, ClockOf(m_nodes[to]));
    Deliver(to, from, [reply, on_reply] { on_reply(reply); });
  });
  AtNode(from, m_now_us + kSilenceUs, [this, from, to, has_reply, sent_us = report.time_us] {
    Node& self = m_nodes[from];
    if (*has_reply || !self.selector->OnSilence(m_nodes[to].name, sent_us)) return;
    Report(from, Index(self.selector->current()), self.enforcer->MakeReport(ClockOf(self)));
  });
}

void QuotaFleet::Offer(size_t index, size_t target, int64_t first_us) {
  const QuotaLoad& load = m_loads[index];
  Node& node = m_nodes[target];
  if (!node.is_up || node.is_paused) return;
  Result& result = m_results[load.workspace];
  if (node.enforcer->Admit(load.workspace, ClockOf(node))) {
    result.admitted_us.push_back(m_now_us);
    return;
  }
  result.refused_us.push_back(m_now_us);
  bool repeats = load.repeat_after_us > 0 && m_now_us - first_us < kRepeatLimitUs;
  if (!repeats) return;
  At(m_now_us + load.repeat_after_us,
     [this, index, target, first_us] { Offer(index, target, first_us); });
}

// Of each step, in which at most a few requests arrive.
void QuotaFleet::GenerateRequests() {
  for (size_t i = 0; i < m_loads.size(); ++i) {
    const QuotaLoad& load = m_loads[i];
    if (m_cumulated.size() <= i) {
      std::vector<double> weights = load.weights;
      weights.resize(m_nodes.size(), load.weights.empty() ? 1 : 0);
      std::partial_sum(weights.begin(), weights.end(), weights.begin());
      m_cumulated.push_back(std::move(weights));
    }
    double left = load.per_s(time_s()) * static_cast<double>(kStepUs) / 1e6;
    for (; left > 0; left -= 1) {
      if (m_random.Unit() >= left) continue;
      double point = m_random.Unit() * m_cumulated[i].back();
      auto it = std::upper_bound(m_cumulated[i].begin(), m_cumulated[i].end(), point);
      Offer(i, static_cast<size_t>(it - m_cumulated[i].begin()), m_now_us);
    }
  }
}

void QuotaFleet::RunUntil(double time_s) {
  auto end_us = static_cast<int64_t>(time_s * 1e6);
  while (m_now_us < end_us) {
    GenerateRequests();
    int64_t next_us = m_now_us + kStepUs;
    while (!m_events.empty() && m_events.top().time_us < next_us) {
      Event event = m_events.top();
      m_events.pop();
      m_now_us = std::max(m_now_us, event.time_us);
      event.run();
    }
    m_now_us = next_us;
  }
}

uint64_t QuotaFleet::Admitted(const std::string& workspace, double from_s, double to_s) const {
  auto it = m_results.find(workspace);
  return it == m_results.end() ? 0 : CountIn(it->second.admitted_us, from_s, to_s);
}

uint64_t QuotaFleet::Refused(const std::string& workspace, double from_s, double to_s) const {
  auto it = m_results.find(workspace);
  return it == m_results.end() ? 0 : CountIn(it->second.refused_us, from_s, to_s);
}

uint64_t QuotaFleet::MaxInWindow(const std::string& workspace, double from_s) const {
  auto it = m_results.find(workspace);
  if (it == m_results.end()) return 0;
  const std::vector<int64_t>& times = it->second.admitted_us;
  auto from_us = static_cast<int64_t>(from_s * 1e6);
  size_t most = 0;
  size_t first = 0;
  for (size_t last = 0; last < times.size(); ++last) {
    if (times[last] < from_us) continue;
    while (times[first] < from_us || times[last] - times[first] > kWindowUs) ++first;
    most = std::max(most, last - first + 1);
  }
  return most;
}

}  // namespace guavatrail
