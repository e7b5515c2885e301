// Defines FairShare, which tells which workspaces have recently used more than their fair share of
// a backend server. It serves the pattern of load where one workspace sends several times its usual
// demand while others need the same server. Performs no I/O; callers pass in the time.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "caller_identity.h"
#include "service_time.h"

namespace guavatrail {

// Shares are proportional to the weights of the workspaces of one importance that have recently
// used the server. All times are microseconds of one monotonic clock.
class FairShare {
 public:
  // A request of the workspace starts, which is expected to occupy a slot for `service_us`.
  void OnStarted(const WorkspaceTag& workspace, int64_t service_us, int64_t now_us);
  // Whether the workspace has used clearly more than its share. Always false without a name, and
  // while no other workspace of its importance uses the server.
  bool IsAboveShare(const WorkspaceTag& workspace, int64_t now_us) const;

  size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    int importance = 0;
    double weight = 1;
    double used_us = 0;  // Slot time, decayed to m_decayed_us.
  };
  // Of all workspaces of one importance.
  struct Total {
    double weight = 0;
    double used_us = 0;
  };

  double DecaySince(int64_t now_us) const;
  void DecayTo(int64_t now_us);
  void RemoveInactive();
  void Remove(std::map<std::string, Entry, std::less<>>::iterator entry);

  std::map<std::string, Entry, std::less<>> m_entries;
  std::array<Total, kMaxImportance + 1> m_totals;
  int64_t m_decayed_us = 0;
  ServiceTimeEstimate m_request_time;
};

}  // namespace guavatrail
