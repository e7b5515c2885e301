// Defines CrashBlame, which finds the requests that crash the backend servers that run them, and
// quarantines them. Performs no I/O; the caller passes in the time.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavatrail {

// What is known of a request that was running when a backend server crashed. Nodes exchange these.
struct CrashSuspect {
  std::string fingerprint;
  // The lifetimes of the servers that crashed, sorted.
  std::vector<std::string> crashes;
  // A server has answered the request, so it is not what crashed the servers.
  bool is_cleared = false;
  int64_t quarantine_left_ms = 0;  // 0: not in quarantine.
  int trials = 0;                  // Trials of the quarantine that nodes have claimed.
  // Of a family: a copy that began after a crash was known has crashed a server too.
  bool crashed_again = false;
  bool operator==(const CrashSuspect&) const = default;
};

// The copies of one family that were running when a backend server crashed.
struct RunningFamily {
  std::string fingerprint;
  int64_t start_us = 0;  // When the earliest of them began to run.
};

// A crash alone does not show which of the running requests caused it. The culprit is the one that
// runs at crash after crash and is never answered. Servers that crash together for another reason
// show the same picture, so a request in quarantine may run again in a few trials; one answer ends
// the quarantine.
//
// A family is all requests that differ in cookie and query only; see request_fingerprint.h. It is
// suspected like a request, so that a request that comes with another cookie each time is found
// too. Since sound requests may belong to it, it is quarantined only if a copy that began after a
// crash was known crashed a server too, and an answer to any of its requests clears it.
class CrashBlame {
 public:
  // The fingerprints of families, and only they, begin with this.
  static constexpr std::string_view kFamilyPrefix = "family-";
  // Number of crashes after which a request is quarantined.
  static constexpr size_t kCrashesToQuarantine = 3;
  // Trials of a quarantine, over all nodes.
  static constexpr int kMaxTrials = 2;
  // Limits the memory: the suspects of the fewest crashes are forgotten first.
  static constexpr size_t kMaxSuspects = 256;
  // Crashes that are remembered of a suspect.
  static constexpr size_t kMaxCrashes = 8;

  // Records that the server of a lifetime has crashed while it ran the requests with these
  // fingerprints. Returns the fingerprints that are blamed: those of the most earlier crashes.
  std::vector<std::string> OnCrash(std::string_view lifetime,
                                   std::span<const std::string> fingerprints, int64_t now_us);
  // The same for the families of these requests, after OnCrash. None is blamed if a single request,
  // one of `blamed_requests`, explains as many crashes.
  std::vector<std::string> OnFamilyCrash(std::string_view lifetime,
                                         std::span<const RunningFamily> families,
                                         std::span<const std::string> blamed_requests,
                                         int64_t now_us);
  // Records that a server has answered the request. Returns whether it was a suspect.
  bool OnAnswered(std::string_view fingerprint, int64_t now_us);
  // Records that a server has answered a trial of the request, of whose quarantine this node may
  // not have been told.
  void OnTrialAnswered(std::string_view fingerprint, int64_t now_us);
  // A node has claimed the trial with this number, from 1. Returns whether that is new.
  bool OnTrialClaimed(std::string_view fingerprint, int trial, int64_t now_us);
  // From now on allows no trials of these requests.
  void ForbidTrials(std::span<const std::string> fingerprints);
  // Adds what another node knows. Returns the suspects of which this node knows more than before.
  std::vector<std::string> Merge(std::span<const CrashSuspect> suspects, int64_t now_us);
  // Forgets suspects whose time has passed.
  void Expire(int64_t now_us);

  bool empty() const { return m_entries.empty(); }
  size_t size() const { return m_entries.size(); }
  size_t QuarantinedCount(int64_t now_us) const;
  // The time in ms after which the request may run again; nullopt if it may run now.
  std::optional<int64_t> QuarantineLeftMs(std::string_view fingerprint, int64_t now_us) const;
  // When this node has learned of the quarantine; nullopt if the request is in none.
  std::optional<int64_t> QuarantineStartUs(std::string_view fingerprint, int64_t now_us) const;
  // The time in ms until a trial may be claimed, 0 for now; nullopt if the request is not in
  // quarantine or has no trial left.
  std::optional<int64_t> TrialWaitMs(std::string_view fingerprint, int64_t now_us) const;
  // The time in ms after which a refused request should return: when a trial may have shown that it
  // crashes no server, or at the end of its quarantine; nullopt if it may run now.
  std::optional<int64_t> RetryAfterMs(std::string_view fingerprint, int64_t now_us) const;
  bool IsQuarantined(std::string_view fingerprint, int64_t now_us) const {
    return FindQuarantined(fingerprint, now_us) != nullptr;
  }
  // Whether all nodes refuse the request, or did so until an answer cleared it.
  bool ConcernsAllNodes(std::string_view fingerprint, int64_t now_us) const;
  // All suspects, and one of them.
  std::vector<CrashSuspect> Suspects(int64_t now_us) const;
  std::optional<CrashSuspect> Find(std::string_view fingerprint, int64_t now_us) const;

 private:
  struct Entry {
    bool is_family = false;
    std::vector<std::string> crashes;  // Sorted.
    int64_t known_us = 0;              // When this node learned of the first crash.
    bool crashed_again = false;
    int64_t quarantine_start_us = 0;
    int64_t quarantine_end_us = 0;
    int trials = 0;
    int64_t next_trial_us = 0;
    bool was_quarantined = false;  // When it was cleared.
    int64_t cleared_until_us = 0;
    int64_t forget_us = 0;
  };
  using Entries = std::map<std::string, Entry, std::less<>>;

  static bool AddCrash(Entry& entry, std::string_view lifetime, int64_t now_us);
  static void SetCrashedAgain(Entry& entry, int64_t now_us);
  static void QuarantineIfDue(Entry& entry, int64_t now_us);
  static bool AddTrials(Entry& entry, int trials, int64_t now_us);
  static void SetQuarantineEnd(Entry& entry, int64_t end_us, int64_t now_us);
  static void Clear(Entry& entry, int64_t now_us);
  static CrashSuspect SuspectOf(const Entries::value_type& item, int64_t now_us);
  size_t CrashesOf(std::string_view fingerprint) const;
  // Of the fingerprints, those of the most crashes that are not cleared.
  std::vector<std::string> MostSuspected(std::span<const std::string> fingerprints,
                                         int64_t now_us) const;
  void AddCrashes(std::span<const std::string> blamed, std::string_view lifetime, int64_t now_us);
  Entry& EntryOf(std::string_view fingerprint, int64_t now_us);
  // Null if the request is not in quarantine.
  const Entry* FindQuarantined(std::string_view fingerprint, int64_t now_us) const;
  bool MergeOne(const CrashSuspect& suspect, int64_t now_us);
  void ForgetLeastSuspected();

  Entries m_entries;  // By fingerprint.
};

}  // namespace guavatrail
