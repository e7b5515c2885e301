#include "quarantine_model.h"

#include <algorithm>

namespace guavatrail {

namespace {

constexpr size_t kNodes = 6;
constexpr int64_t kUsPerMs = 1'000;
constexpr int64_t kEndUs = 45'000'000;
constexpr int64_t kCrashUs = 5'000'000;
constexpr int64_t kArrivalIntervalUs = 40'000;
constexpr int64_t kWorkUs = 150'000;
constexpr int64_t kTimeToCrashUs = 30'000;
constexpr int64_t kMaxDownUs = 4'000'000;
constexpr int64_t kRelayPeriodUs = 1'000'000;
constexpr int64_t kMaxMessageUs = 200'000;
constexpr int64_t kMaxStoreUs = 20'000;
constexpr int64_t kStoreTimeoutUs = 1'000'000;
constexpr int64_t kClaimRetryUs = 200'000;
constexpr size_t kCutNode = 0;
constexpr int64_t kCutEndUs = 15'000'000;
const std::string kRequest = "request";

}  // namespace

QuarantineModel::QuarantineModel(uint64_t seed, const Options& options)
    : m_options(options), m_random(seed), m_nodes(kNodes) {
  for (size_t i = 0; i < kNodes; ++i) Restart(i);
  // All nodes were started long ago.
  for (Node& node : m_nodes) node.start_us = -kEndUs;
}

void QuarantineModel::At(int64_t time_us, std::function<void()> action) {
  m_events.emplace(time_us, std::move(action));
}

QuarantineModel::Result QuarantineModel::Run() {
  int64_t first_us = m_options.is_deadly ? kCrashUs : 0;
  for (int64_t time = first_us; time < kEndUs; time += kArrivalIntervalUs) {
    At(time, [this] { Arrive(); });
  }
  for (size_t i = 0; i < kNodes; ++i) {
    for (int64_t time = Delay(kRelayPeriodUs); time < kEndUs; time += kRelayPeriodUs) {
      At(time, [this, i] { ExchangeWithRandomNode(i); });
    }
  }
  if (m_options.is_deadly) {
    // Several copies reach servers at the same moment.
    for (size_t i = 0; i < kNodes; ++i) At(kCrashUs, [this] { Arrive(); });
  } else {
    At(kCrashUs, [this] { CrashServers(); });
  }
  for (int i = 0; i < m_options.restarts; ++i) {
    At(kCrashUs + Delay(10'000'000), [this] { Restart(RandomNode()); });
  }
  while (!m_events.empty() && m_events.begin()->first < kEndUs) {
    auto event = m_events.extract(m_events.begin());
    m_now_us = event.key();
    event.mapped()();
  }
  for (Node& node : m_nodes) {
    if (node.blame->QuarantineLeftMs(kRequest, m_now_us)) ++m_result.quarantined_nodes;
  }
  return m_result;
}

bool QuarantineModel::IsCutOff(size_t index) const {
  return m_options.has_cut && index == kCutNode && m_now_us >= kCrashUs && m_now_us < kCutEndUs;
}

bool QuarantineModel::IsInTouch(size_t index) const {
  bool was_cut_off = m_options.has_cut && index == kCutNode && m_now_us < kCutEndUs + kTouchUs;
  return m_now_us - m_nodes[index].start_us >= kTouchUs && !was_cut_off;
}

// A new process of the node has read what is stored, if the store answers.
void QuarantineModel::Restart(size_t index) {
  Node& node = m_nodes[index];
  node.blame = std::make_unique<CrashBlame>();
  node.trials = std::make_unique<QuarantineTrials>(*node.blame);
  node.start_us = m_now_us;
  ++node.process;
  node.running = 0;
  node.first_refusal_us.reset();
  node.known_revision = 0;
  node.known_trials = 0;
  if (m_object.revision == 0 || m_options.is_store_away) return;
  CrashSuspect stored = m_object.suspect;
  stored.quarantine_left_ms = std::max<int64_t>(0, (m_object.end_us - m_now_us) / kUsPerMs);
  node.blame->Merge(std::vector<CrashSuspect>{stored}, m_now_us);
  node.known_revision = m_object.revision;
  node.known_trials = stored.trials;
}

void QuarantineModel::Arrive() {
  size_t entry = RandomNode();
  Node& node = m_nodes[entry];
  if (!node.blame->RetryAfterMs(kRequest, m_now_us)) {
    node.first_refusal_us.reset();
    Send(entry, false);
    return;
  }
  m_result.was_quarantined = true;
  switch (node.trials->OnRequest(kRequest, m_now_us)) {
    case QuarantineTrials::Decision::kRun:
      Send(entry, true);
      return;
    case QuarantineTrials::Decision::kClaim:
      Claim(entry);
      break;
    case QuarantineTrials::Decision::kRefuse:
      break;
  }
  OnRefused(entry);
}

void QuarantineModel::OnRefused(size_t entry) {
  Node& node = m_nodes[entry];
  bool has_server = std::any_of(m_nodes.begin(), m_nodes.end(),
                                [](const Node& other) { return other.is_server_up; });
  if (!has_server || IsCutOff(entry)) return;
  if (!node.first_refusal_us) node.first_refusal_us = m_now_us;
  m_result.longest_refusal_us =
      std::max(m_result.longest_refusal_us, m_now_us - *node.first_refusal_us);
}

// Tries the servers one after the other until one runs the request.
void QuarantineModel::Send(size_t entry, bool is_trial) {
  size_t first = RandomNode();
  for (size_t i = 0; i < kNodes; ++i) {
    if (RunOn(entry, (first + i) % kNodes, is_trial)) return;
  }
  if (is_trial) m_nodes[entry].trials->OnNotRun(kRequest, m_now_us);
}

bool QuarantineModel::RunOn(size_t entry, size_t server, bool is_trial) {
  Node& node = m_nodes[server];
  if (!node.is_server_up || !CanReach(entry, server)) return false;
  if (!is_trial && node.blame->QuarantineLeftMs(kRequest, m_now_us)) return false;
  ++node.running;
  bool is_late = m_crashes >= 3 && m_now_us >= m_third_crash_us + kTouchUs;
  bool is_counted = is_late && IsInTouch(entry);
  if (is_counted) ++m_result.runs_in_quarantine;
  After(m_options.is_deadly ? kTimeToCrashUs : kWorkUs,
        [this, server, is_trial, lifetime = node.lifetime] { Finish(server, lifetime, is_trial); });
  return true;
}

void QuarantineModel::Finish(size_t server, int lifetime, bool is_trial) {
  Node& node = m_nodes[server];
  if (!node.is_server_up || node.lifetime != lifetime) return;
  if (m_options.is_deadly) {
    CrashServer(server);
    return;
  }
  if (node.running > 0) --node.running;
  if (is_trial) {
    node.blame->OnTrialAnswered(kRequest, m_now_us);
    Announce(server);
  } else if (node.blame->OnAnswered(kRequest, m_now_us)) {
    Announce(server);
  }
}

void QuarantineModel::CrashServer(size_t index) {
  Node& node = m_nodes[index];
  if (++m_crashes == 3) m_third_crash_us = m_now_us;
  std::string lifetime = std::to_string(node.lifetime) + "/server-" + std::to_string(index);
  if (node.running > 0) {
    node.blame->OnCrash(lifetime, std::vector<std::string>{kRequest}, m_now_us);
    Announce(index);
    StoreQuarantine(index);
  }
  node.running = 0;
  node.is_server_up = false;
  ++node.lifetime;
  After(Delay(kMaxDownUs), [this, index] { m_nodes[index].is_server_up = true; });
}

void QuarantineModel::CrashServers() {
  for (size_t i = 0; i < kNodes; ++i) CrashServer(i);
}

// What is lost is sent again after a second. A message contains what was known when it was first
// sent, and may arrive twice.
void QuarantineModel::Announce(size_t from) {
  auto suspect = m_nodes[from].blame->Find(kRequest, m_now_us);
  if (!suspect) return;
  for (size_t to = 0; to < kNodes; ++to) {
    if (to == from) continue;
    int64_t delay_us = Delay(kMaxMessageUs);
    while (IsLost()) delay_us += kRelayPeriodUs;
    After(delay_us, [this, from, to, suspect] { Deliver(from, to, *suspect); });
    if (IsLost()) {
      After(delay_us + Delay(5 * kRelayPeriodUs),
            [this, from, to, suspect] { Deliver(from, to, *suspect); });
    }
  }
}

void QuarantineModel::Deliver(size_t from, size_t to, const CrashSuspect& suspect) {
  if (!CanReach(from, to)) {
    After(kRelayPeriodUs, [this, from, to, suspect] { Deliver(from, to, suspect); });
    return;
  }
  m_nodes[to].blame->Merge(std::vector<CrashSuspect>{suspect}, m_now_us);
  StoreQuarantine(to);
}

void QuarantineModel::ExchangeWithRandomNode(size_t from) {
  size_t to = RandomNode();
  bool is_new = m_now_us - m_nodes[from].start_us < 2 * kRelayPeriodUs;
  bool has_quarantine = m_nodes[from].blame->QuarantinedCount(m_now_us) > 0;
  if (to == from || !CanReach(from, to) || IsLost() || (!is_new && !has_quarantine)) return;
  for (auto [a, b] : {std::pair(from, to), std::pair(to, from)}) {
    m_nodes[b].blame->Merge(m_nodes[a].blame->Suspects(m_now_us), m_now_us);
  }
}

void QuarantineModel::StoreQuarantine(size_t index) {
  Node& node = m_nodes[index];
  auto suspect = node.blame->Find(kRequest, m_now_us);
  bool is_wanted =
      !IsCutOff(index) && suspect && suspect->quarantine_left_ms > 0 && m_object.revision == 0;
  if (!is_wanted || m_options.is_store_away) return;
  m_object = {.revision = 1,
              .suspect = *suspect,
              .end_us = m_now_us + suspect->quarantine_left_ms * kUsPerMs};
}

// As QuarantineStore::ClaimTrial: a conditional write that is repeated if its answer is lost.
void QuarantineModel::Claim(size_t index) {
  Node& node = m_nodes[index];
  auto suspect = node.blame->Find(kRequest, m_now_us);
  if (m_options.is_store_away || !suspect) {
    After(1, [this, index, process = node.process] { OnClaimed(index, process, false); });
    return;
  }
  node.known_trials = std::max(node.known_trials, suspect->trials);
  SendClaim(index, {.process = node.process,
                    .trial = node.known_trials + 1,
                    .revision = node.known_revision,
                    .suspect = *suspect});
}

void QuarantineModel::SendClaim(size_t index, const PendingClaim& claim) {
  bool is_request_lost = IsLost() || IsCutOff(index);
  bool is_answer_lost = is_request_lost || IsLost();
  After(Delay(kMaxStoreUs), [this, index, claim, is_request_lost, is_answer_lost] {
    bool is_granted = !is_request_lost && ApplyClaim(index, claim);
    Node& node = m_nodes[index];
    if (node.process != claim.process) return;
    if (is_answer_lost) {
      After(kStoreTimeoutUs + kClaimRetryUs, [this, index, claim] {
        if (m_nodes[index].process == claim.process) SendClaim(index, claim);
      });
      return;
    }
    node.known_revision = m_object.revision;
    node.known_trials = std::max(node.known_trials, m_object.suspect.trials);
    if (m_object.suspect.trials < claim.trial) {
      PendingClaim next = claim;
      next.revision = m_object.revision;
      SendClaim(index, next);
      return;
    }
    OnClaimed(index, claim.process, is_granted);
  });
}

// Returns whether the object names the claim afterwards.
bool QuarantineModel::ApplyClaim(size_t index, const PendingClaim& claim) {
  std::string claimant = std::to_string(index) + "/" + std::to_string(claim.process);
  if (m_object.revision == claim.revision) {
    m_object = {.revision = claim.revision + 1,
                .suspect = claim.suspect,
                .end_us = m_now_us + claim.suspect.quarantine_left_ms * kUsPerMs,
                .claimant = claimant};
    m_object.suspect.trials = claim.trial;
  }
  return m_object.suspect.trials == claim.trial && m_object.claimant == claimant;
}

void QuarantineModel::OnClaimed(size_t index, int process, bool is_granted) {
  Node& node = m_nodes[index];
  if (node.process != process) return;
  node.trials->OnClaimed(kRequest, is_granted, m_now_us);
  if (node.blame->OnTrialClaimed(kRequest, node.known_trials, m_now_us)) Announce(index);
}

}  // namespace guavatrail
