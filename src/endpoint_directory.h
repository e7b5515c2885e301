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
#include "store_revision.h"

namespace guavatrail {

// The state of an entry at a revision of the platform's store.
struct EndpointEntry {
  Endpoint endpoint;       // Only the node name is set if is_gone.
  StoreRevision revision;  // Of the entry's last change.
  bool is_gone = false;
};

// Either all entries or those that have changed since the receiver's state.
struct EndpointUpdate {
  StoreRevision revision;  // Of the receiver's state after the update.
  bool is_whole = false;   // Contains all entries.
  std::vector<EndpointEntry> entries;
};

// If several entries have the same address, only the one with the highest incarnation is listed:
// the VMs of the others are lost, and nothing removes their entries from the store.
//
// A removed entry stays listed for a grace period, since it may have expired in the store during an
// outage of the platform while its server was alive. The period gives its node time to write the
// entry again.
//
// In a new era of the store, entries may be older than the known ones. They replace them, but a
// server that was known to drain still drains: it does not return to service in the same lifetime.
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
  void Put(Endpoint endpoint, StoreRevision revision);
  // Adds or updates the entry of this node before it has been stored.
  void PutLocal(Endpoint endpoint);
  // Marks the entry of `node` as removed; it stays listed for the grace period.
  void Remove(std::string_view node, int64_t now_us);
  // Begins a replacement of all entries. Entries not put until FinishFullSync are removed.
  void BeginFullSync();
  void FinishFullSync(int64_t now_us);
  // Declares that all changes up to this revision of the store have been put or removed.
  void CommitRevision(StoreRevision revision);
  // Applies an update of another node, unless it leads to no newer revision. Only a whole update
  // leads to a new era of the store.
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
  StoreRevision revision() const { return m_log.revision(); }
  // The update for a node with the state at revision `known`; nullopt if `known` is not older than
  // revision().
  std::optional<EndpointUpdate> UpdateSince(StoreRevision known) const;

 private:
  struct Entry {
    Endpoint endpoint;
    StoreRevision revision;
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
