// Defines QuarantineTrials, which decides which copy of a request in quarantine a node runs as a
// trial. Performs no I/O; the caller passes in the time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "crash_blame.h"

namespace guavatrail {

// A trial belongs to the node that has claimed it. Where claims are made, no two nodes can be
// granted the same one, so that the trials of all nodes together stay within
// CrashBlame::kMaxTrials. A node that has been granted a trial uses it for the next copy of the
// request that arrives.
class QuarantineTrials {
 public:
  enum class Decision {
    kRefuse,
    kClaim,  // Refuse the request, and claim a trial for a later one.
    kRun,    // Run the request as a trial, on one server at most.
  };

  explicit QuarantineTrials(const CrashBlame& blame) : m_blame(blame) {}

  // A copy of a request in quarantine has arrived.
  Decision OnRequest(std::string_view fingerprint, int64_t now_us);
  // The claim that was decided on has been granted or not.
  void OnClaimed(std::string_view fingerprint, bool is_granted, int64_t now_us);
  // A trial has ended without reaching a server, and can be used again.
  void OnNotRun(std::string_view fingerprint, int64_t now_us);

  // Requests with a trial that is being claimed, is granted or was refused lately.
  size_t size() const { return m_trials.size(); }

 private:
  enum class State { kClaiming, kGranted, kNotGranted };
  struct Trial {
    State state = State::kClaiming;
    std::optional<int64_t> quarantine_start_us;
    int64_t next_claim_us = 0;  // Of a trial that was not granted.
  };
  void ForgetEnded(int64_t now_us);

  const CrashBlame& m_blame;
  std::map<std::string, Trial, std::less<>> m_trials;  // By fingerprint.
};

}  // namespace guavatrail
