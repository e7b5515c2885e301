#include "quarantine_trials.h"

namespace guavatrail {

namespace {

// Bounds the calls to a store that does not answer or refuses claims.
constexpr int64_t kClaimIntervalUs = 1'000'000;

}  // namespace

QuarantineTrials::Decision QuarantineTrials::OnRequest(std::string_view fingerprint,
                                                       int64_t now_us) {
  ForgetEnded(now_us);
  auto it = m_trials.find(fingerprint);
  if (it != m_trials.end() && it->second.state == State::kGranted) {
    m_trials.erase(it);
    return Decision::kRun;
  }
  if (it != m_trials.end() || m_blame.TrialWaitMs(fingerprint, now_us) != 0) {
    return Decision::kRefuse;
  }
  m_trials.emplace(fingerprint, Trial{});
  return Decision::kClaim;
}

void QuarantineTrials::OnClaimed(std::string_view fingerprint, bool is_granted, int64_t now_us) {
  Trial trial{.state = is_granted ? State::kGranted : State::kNotGranted,
              .quarantine_start_us = m_blame.QuarantineStartUs(fingerprint, now_us),
              .next_claim_us = now_us + kClaimIntervalUs};
  m_trials.insert_or_assign(std::string(fingerprint), trial);
}

void QuarantineTrials::OnNotRun(std::string_view fingerprint, int64_t now_us) {
  OnClaimed(fingerprint, true, now_us);
}

// A trial does not outlast its quarantine: a later quarantine of the request has trials of its own.
void QuarantineTrials::ForgetEnded(int64_t now_us) {
  std::erase_if(m_trials, [&](const auto& item) {
    const auto& [fingerprint, trial] = item;
    if (trial.state == State::kNotGranted) return trial.next_claim_us <= now_us;
    auto start_us = m_blame.QuarantineStartUs(fingerprint, now_us);
    return trial.state == State::kGranted && (!start_us || start_us != trial.quarantine_start_us);
  });
}

}  // namespace guavatrail
