// Defines EndpointDirectory, the endpoints that a node knows from the platform's store, and
// EndpointUpdate, the changes since a revision for a node that has an earlier state. Performs no
// I/O; callers pass in the time.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "endpoint.h"
#include "endpoint_change_log.h"

namespace guavatrail {

// The state of an entry at a revision of the platform's store.
struct EndpointEntry {
  Endpoint endpoint;      // Only the node name is set if is_gone.
  uint64_t revision = 0;  // Revision of the entry's last change.
  bool is_gone = false;
};

// Either all entries or those that have changed since the receiver's state.
struct EndpointUpdate {
  uint64_t revision = 0;  // Revision of the receiver's state after the update.
  bool is_whole = false;  // Contains all entries.
  std::vector<EndpointEntry> entries;
};

// If several entries have the same address, only the one with the highest incarnation is listed:
// the VMs of the others are lost, and nothing removes their entries from the store.
//
// A removed entry stays listed for a grace period, since it may have expired in the store during an
// outage of the platform while its server was alive. The period gives its node time to write the
// entry again.
class EndpointDirectory {
 public:
  struct Options {
    int64_t removal_grace_us = 3'000'000;
  };

  EndpointDirectory() : EndpointDirectory(Options{}) {}
  explicit EndpointDirectory(Options options) : m_options(options) {}

  // Commands.
  // Adds or updates the entry stored at `revision`, unless the known entry is at least as new.
  // A removed entry is always restored.
  void Put(Endpoint endpoint, uint64_t revision);
  // Adds or updates the entry of this node before it has been stored.
  void PutLocal(Endpoint endpoint);
  // Marks the entry of `node` as removed; it stays listed for the grace period.
  void Remove(std::string_view node, int64_t now_us);
  // Begins a replacement of all entries. Entries not put until FinishFullSync are removed.
  void BeginFullSync();
  void FinishFullSync(int64_t now_us);
  // Declares that all changes up to this revision of the store have been put or removed.
  void CommitRevision(uint64_t revision);
  // Applies an update of another node, unless it leads to no newer revision.
  void Apply(const EndpointUpdate& update, int64_t now_us);
  // Drops entries whose grace period has ended. Returns whether the list has changed.
  bool RemoveExpired(int64_t now_us);
  // The time at which RemoveExpired next has an entry to drop; nullopt if no entry is in its grace
  // period.
  std::optional<int64_t> NextExpiryUs() const;

  // Queries.
  std::shared_ptr<const EndpointList> list() const;
  size_t size() const { return m_entries.size(); }
  // The revision of the store at which an entry last changed.
  uint64_t revision() const { return m_log.revision(); }
  // The update for a node with the state at revision `known`; nullopt if `known` is not older than
  // revision().
  std::optional<EndpointUpdate> UpdateSince(uint64_t known) const;

 private:
  struct Entry {
    Endpoint endpoint;
    uint64_t revision = 0;
    int64_t gone_since_us = -1;  // Time of the removal; -1: not removed.
    // False only between BeginFullSync and the entry's Put or FinishFullSync.
    bool is_in_sync = true;
  };

  static EndpointEntry StateOf(const std::string& node, const Entry* entry);

  Options m_options;
  std::map<std::string, Entry, std::less<>> m_entries;
  EndpointChangeLog m_log;
  mutable std::shared_ptr<const EndpointList> m_list;  // Cached; null if it must be rebuilt.
};

}  // namespace guavatrail
