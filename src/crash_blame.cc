#include "crash_blame.h"

#include <algorithm>

namespace guavatrail {

namespace {

constexpr int64_t kUsPerMs = 1000;
// A suspect is forgotten this long after the last crash, or after its quarantine.
constexpr int64_t kSuspicionUs = 600'000'000;
// A quarantine ends, since a new version of the server may bear the request. Each crash after that
// doubles it.
constexpr int64_t kQuarantineUs = 300'000'000;
constexpr int64_t kMaxQuarantineUs = 3'600'000'000;
// The crashed servers need some time to start, and the nodes to tell each other of the crashes.
constexpr int64_t kTrialDelayUs = 2'000'000;
// The result of a trial is known to all nodes by then.
constexpr int64_t kTrialPeriodUs = 4'000'000;
// Retry-After while another node may be running a trial.
constexpr int64_t kTrialRetryAfterMs = 500;
// A request that was answered is not blamed for this time, so that late news of earlier crashes
// does not count against it.
constexpr int64_t kClearedUs = 60'000'000;

}  // namespace

CrashBlame::Entry& CrashBlame::EntryOf(std::string_view fingerprint, int64_t now_us) {
  auto it = m_entries.find(fingerprint);
  if (it == m_entries.end()) {
    if (m_entries.size() >= kMaxSuspects) ForgetLeastSuspected();
    Entry entry{.is_family = fingerprint.starts_with(kFamilyPrefix),
                .forget_us = now_us + kSuspicionUs};
    it = m_entries.emplace(std::string(fingerprint), std::move(entry)).first;
  }
  return it->second;
}

void CrashBlame::ForgetLeastSuspected() {
  auto rank = [](const Entries::value_type& item) {
    return std::make_pair(item.second.crashes.size(), item.second.forget_us);
  };
  auto least = std::min_element(m_entries.begin(), m_entries.end(),
                                [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  if (least != m_entries.end()) m_entries.erase(least);
}

// Returns whether the crash is new. Only then the quarantine begins or grows, so that nodes that
// tell each other of the same crashes do not prolong it.
bool CrashBlame::AddCrash(Entry& entry, std::string_view lifetime, int64_t now_us) {
  std::vector<std::string>& crashes = entry.crashes;
  auto at = std::lower_bound(crashes.begin(), crashes.end(), lifetime);
  if (at != crashes.end() && *at == lifetime) return false;
  if (crashes.size() >= kMaxCrashes) return false;
  if (crashes.empty()) entry.known_us = now_us;
  crashes.insert(at, std::string(lifetime));
  entry.forget_us = now_us + kSuspicionUs;
  QuarantineIfDue(entry, now_us);
  return true;
}

void CrashBlame::QuarantineIfDue(Entry& entry, int64_t now_us) {
  if (entry.crashes.size() < kCrashesToQuarantine) return;
  if (entry.is_family && !entry.crashed_again) return;
  size_t doublings = entry.crashes.size() - kCrashesToQuarantine;
  SetQuarantineEnd(entry, now_us + std::min(kMaxQuarantineUs, kQuarantineUs << doublings), now_us);
}

// Servers that crash together for another reason do so while they run copies that began before any
// crash was known. Once they are back, a sound request is answered.
void CrashBlame::SetCrashedAgain(Entry& entry, int64_t now_us) {
  if (entry.crashed_again) return;
  entry.crashed_again = true;
  QuarantineIfDue(entry, now_us);
}

void CrashBlame::SetQuarantineEnd(Entry& entry, int64_t end_us, int64_t now_us) {
  if (entry.quarantine_end_us <= now_us) {
    entry.quarantine_start_us = now_us;
    entry.next_trial_us = now_us + kTrialDelayUs;
  }
  entry.quarantine_end_us = std::max(entry.quarantine_end_us, end_us);
  entry.forget_us = std::max(entry.forget_us, entry.quarantine_end_us + kSuspicionUs);
}

void CrashBlame::Clear(Entry& entry, int64_t now_us) {
  entry.was_quarantined = entry.quarantine_end_us > now_us;
  entry.trials = 0;
  entry.next_trial_us = 0;
  entry.crashes.clear();
  entry.crashed_again = false;
  entry.quarantine_end_us = 0;
  entry.cleared_until_us = now_us + kClearedUs;
  entry.forget_us = entry.cleared_until_us;
}

std::vector<std::string> CrashBlame::OnCrash(std::string_view lifetime,
                                             std::span<const std::string> fingerprints,
                                             int64_t now_us) {
  Expire(now_us);
  std::vector<std::string> blamed = MostSuspected(fingerprints, now_us);
  AddCrashes(blamed, lifetime, now_us);
  return blamed;
}

std::vector<std::string> CrashBlame::OnFamilyCrash(std::string_view lifetime,
                                                   std::span<const RunningFamily> families,
                                                   std::span<const std::string> blamed_requests,
                                                   int64_t now_us) {
  Expire(now_us);
  std::vector<std::string> fingerprints;
  fingerprints.reserve(families.size());
  for (const RunningFamily& family : families) fingerprints.push_back(family.fingerprint);
  std::vector<std::string> blamed = MostSuspected(fingerprints, now_us);
  size_t family_crashes = blamed.empty() ? 0 : CrashesOf(blamed.front());
  // Includes the present crash, unlike that of the families.
  size_t request_crashes = blamed_requests.empty() ? 0 : CrashesOf(blamed_requests.front());
  if (request_crashes > 1 && request_crashes > family_crashes) return {};
  for (const RunningFamily& family : families) {
    auto it = m_entries.find(family.fingerprint);
    bool is_blamed = std::find(blamed.begin(), blamed.end(), family.fingerprint) != blamed.end();
    if (!is_blamed || it == m_entries.end() || it->second.crashes.empty()) continue;
    if (family.start_us > it->second.known_us) SetCrashedAgain(it->second, now_us);
  }
  AddCrashes(blamed, lifetime, now_us);
  return blamed;
}

size_t CrashBlame::CrashesOf(std::string_view fingerprint) const {
  auto it = m_entries.find(fingerprint);
  return it == m_entries.end() ? 0 : it->second.crashes.size();
}

std::vector<std::string> CrashBlame::MostSuspected(std::span<const std::string> fingerprints,
                                                   int64_t now_us) const {
  size_t most = 0;
  for (const std::string& fingerprint : fingerprints) {
    most = std::max(most, CrashesOf(fingerprint));
  }
  std::vector<std::string> blamed;
  for (const std::string& fingerprint : fingerprints) {
    auto it = m_entries.find(fingerprint);
    bool is_cleared = it != m_entries.end() && it->second.cleared_until_us > now_us;
    if (is_cleared || CrashesOf(fingerprint) < most) continue;
    blamed.push_back(fingerprint);
  }
  return blamed;
}

void CrashBlame::AddCrashes(std::span<const std::string> blamed, std::string_view lifetime,
                            int64_t now_us) {
  for (const std::string& fingerprint : blamed) {
    Entry& entry = EntryOf(fingerprint, now_us);
    // Only a trial runs in quarantine. A server that crashes on it does so alone, which leaves no
    // doubt.
    bool is_trial = entry.quarantine_end_us > now_us && entry.trials > 0;
    AddCrash(entry, lifetime, now_us);
    if (is_trial) entry.trials = kMaxTrials;
  }
}

bool CrashBlame::OnAnswered(std::string_view fingerprint, int64_t now_us) {
  auto it = m_entries.find(fingerprint);
  if (it == m_entries.end() || it->second.cleared_until_us > now_us) return false;
  Clear(it->second, now_us);
  return true;
}

// Returns whether a trial is new.
bool CrashBlame::AddTrials(Entry& entry, int trials, int64_t now_us) {
  if (trials <= entry.trials) return false;
  entry.trials = std::min(trials, kMaxTrials);
  entry.next_trial_us = std::max(entry.next_trial_us, now_us + kTrialPeriodUs);
  return true;
}

void CrashBlame::OnTrialAnswered(std::string_view fingerprint, int64_t now_us) {
  Entry& entry = EntryOf(fingerprint, now_us);
  Clear(entry, now_us);
  entry.was_quarantined = true;
}

bool CrashBlame::OnTrialClaimed(std::string_view fingerprint, int trial, int64_t now_us) {
  auto it = m_entries.find(fingerprint);
  return it != m_entries.end() && AddTrials(it->second, trial, now_us);
}

void CrashBlame::ForbidTrials(std::span<const std::string> fingerprints) {
  for (const std::string& fingerprint : fingerprints) {
    auto it = m_entries.find(fingerprint);
    if (it != m_entries.end()) it->second.trials = kMaxTrials;
  }
}

bool CrashBlame::MergeOne(const CrashSuspect& suspect, int64_t now_us) {
  Entry& entry = EntryOf(suspect.fingerprint, now_us);
  if (entry.cleared_until_us > now_us) return false;
  if (suspect.is_cleared) {
    Clear(entry, now_us);
    return true;
  }
  bool was_quarantined = entry.quarantine_end_us > now_us;
  bool is_new = AddTrials(entry, suspect.trials, now_us);
  for (const std::string& lifetime : suspect.crashes) is_new |= AddCrash(entry, lifetime, now_us);
  int64_t left_us = std::min(suspect.quarantine_left_ms * kUsPerMs, kMaxQuarantineUs);
  // The store does not say so of a family in quarantine.
  bool has_crashed_again = entry.is_family && (suspect.crashed_again || left_us > 0);
  is_new |= has_crashed_again && !entry.crashed_again;
  if (has_crashed_again) SetCrashedAgain(entry, now_us);
  if (left_us > 0) SetQuarantineEnd(entry, now_us + left_us, now_us);
  return is_new || was_quarantined != (entry.quarantine_end_us > now_us);
}

std::vector<std::string> CrashBlame::Merge(std::span<const CrashSuspect> suspects, int64_t now_us) {
  Expire(now_us);
  std::vector<std::string> changed;
  for (const CrashSuspect& suspect : suspects) {
    if (MergeOne(suspect, now_us)) changed.push_back(suspect.fingerprint);
  }
  return changed;
}

void CrashBlame::Expire(int64_t now_us) {
  std::erase_if(m_entries, [&](const auto& item) { return item.second.forget_us <= now_us; });
}

const CrashBlame::Entry* CrashBlame::FindQuarantined(std::string_view fingerprint,
                                                     int64_t now_us) const {
  auto it = m_entries.find(fingerprint);
  bool is_quarantined = it != m_entries.end() && it->second.quarantine_end_us > now_us;
  return is_quarantined ? &it->second : nullptr;
}

std::optional<int64_t> CrashBlame::QuarantineLeftMs(std::string_view fingerprint,
                                                    int64_t now_us) const {
  const Entry* entry = FindQuarantined(fingerprint, now_us);
  if (entry == nullptr) return std::nullopt;
  return (entry->quarantine_end_us - now_us) / kUsPerMs + 1;
}

std::optional<int64_t> CrashBlame::QuarantineStartUs(std::string_view fingerprint,
                                                     int64_t now_us) const {
  const Entry* entry = FindQuarantined(fingerprint, now_us);
  if (entry == nullptr) return std::nullopt;
  return entry->quarantine_start_us;
}

std::optional<int64_t> CrashBlame::TrialWaitMs(std::string_view fingerprint, int64_t now_us) const {
  const Entry* entry = FindQuarantined(fingerprint, now_us);
  if (entry == nullptr || entry->trials >= kMaxTrials) return std::nullopt;
  return std::max<int64_t>(0, (entry->next_trial_us - now_us + kUsPerMs - 1) / kUsPerMs);
}

std::optional<int64_t> CrashBlame::RetryAfterMs(std::string_view fingerprint,
                                                int64_t now_us) const {
  std::optional<int64_t> left_ms = QuarantineLeftMs(fingerprint, now_us);
  if (!left_ms) return std::nullopt;
  std::optional<int64_t> wait_ms = TrialWaitMs(fingerprint, now_us);
  return wait_ms ? std::min(*left_ms, std::max(*wait_ms, kTrialRetryAfterMs)) : left_ms;
}

bool CrashBlame::ConcernsAllNodes(std::string_view fingerprint, int64_t now_us) const {
  if (FindQuarantined(fingerprint, now_us) != nullptr) return true;
  auto it = m_entries.find(fingerprint);
  return it != m_entries.end() && it->second.was_quarantined &&
         it->second.cleared_until_us > now_us;
}

size_t CrashBlame::QuarantinedCount(int64_t now_us) const {
  return static_cast<size_t>(
      std::count_if(m_entries.begin(), m_entries.end(),
                    [&](const auto& item) { return item.second.quarantine_end_us > now_us; }));
}

CrashSuspect CrashBlame::SuspectOf(const Entries::value_type& item, int64_t now_us) {
  const Entry& entry = item.second;
  return {.fingerprint = item.first,
          .crashes = entry.crashes,
          .is_cleared = entry.cleared_until_us > now_us,
          .quarantine_left_ms = std::max<int64_t>(0, (entry.quarantine_end_us - now_us) / kUsPerMs),
          .trials = entry.trials,
          .crashed_again = entry.crashed_again};
}

std::vector<CrashSuspect> CrashBlame::Suspects(int64_t now_us) const {
  std::vector<CrashSuspect> suspects;
  for (const auto& item : m_entries) suspects.push_back(SuspectOf(item, now_us));
  return suspects;
}

std::optional<CrashSuspect> CrashBlame::Find(std::string_view fingerprint, int64_t now_us) const {
  auto it = m_entries.find(fingerprint);
  if (it == m_entries.end()) return std::nullopt;
  return SuspectOf(*it, now_us);
}

}  // namespace guavatrail
