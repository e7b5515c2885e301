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
  bool operator==(const CrashSuspect&) const = default;
};

// A crash alone does not show which of the running requests caused it. The culprit is the one that
// runs at crash after crash and is never answered. Servers that crash together for another reason
// show the same picture, so a request in quarantine may run again in a few trials; one answer ends
// the quarantine.
class CrashBlame {
 public:
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
  // Whether all nodes refuse the request, or did so until an answer cleared it.
  bool ConcernsAllNodes(std::string_view fingerprint, int64_t now_us) const;
  // All suspects, and one of them.
  std::vector<CrashSuspect> Suspects(int64_t now_us) const;
  std::optional<CrashSuspect> Find(std::string_view fingerprint, int64_t now_us) const;

 private:
  struct Entry {
    std::vector<std::string> crashes;  // Sorted.
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
  static bool AddTrials(Entry& entry, int trials, int64_t now_us);
  static void SetQuarantineEnd(Entry& entry, int64_t end_us, int64_t now_us);
  static void Clear(Entry& entry, int64_t now_us);
  static CrashSuspect SuspectOf(const Entries::value_type& item, int64_t now_us);
  Entry& EntryOf(std::string_view fingerprint, int64_t now_us);
  // Null if the request is not in quarantine.
  const Entry* FindQuarantined(std::string_view fingerprint, int64_t now_us) const;
  bool MergeOne(const CrashSuspect& suspect, int64_t now_us);
  void ForgetLeastSuspected();

  Entries m_entries;  // By fingerprint.
};

}  // namespace guavatrail
