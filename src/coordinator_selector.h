// Defines CoordinatorSelector, by which a node chooses the coordinator of the quotas of workspaces.
// Performs no I/O; callers pass in the time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "endpoint.h"

namespace guavatrail {

// The candidates are the first nodes in a rendezvous order that begins with the fastest links,
// which belong to the larger VMs, each in another data centre if there are several. All nodes with
// the same endpoints have the same candidates. A node reports to the first one; when it is silent,
// to the next. A node that does not report to the first one tries it again, and returns to it when
// it replies.
class CoordinatorSelector {
 public:
  static constexpr size_t kCandidates = 3;

  // Commands.
  void SetEndpoints(const EndpointList& endpoints);
  // The candidates to which a periodic report is due now: the current one, and those before it that
  // reply again or that have not been tried for a while.
  std::vector<std::string> Targets(int64_t now_us);
  // A candidate has replied.
  void OnReply(std::string_view node, int64_t now_us);
  // Follows the candidate from now on: the node has applied its reply.
  void Follow(std::string_view node);
  // A candidate has not replied in time to the report sent at `sent_us`. Returns whether another
  // one is current now, to which a report is due at once.
  bool OnSilence(std::string_view node, int64_t sent_us);

  // Queries.
  // The node to report to; empty: no node is known.
  std::string_view current() const {
    return m_candidates.empty() ? std::string_view() : m_candidates[m_current].node;
  }

 private:
  struct Candidate {
    std::string node;
    int64_t tried_us = kNever;
    int64_t replied_us = kNever;
  };
  static constexpr int64_t kNever = -3'600'000'000;

  size_t IndexOf(std::string_view node) const;

  std::vector<Candidate> m_candidates;
  size_t m_current = 0;
};

}  // namespace guavatrail
