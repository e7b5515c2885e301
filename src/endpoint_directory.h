// Defines EndpointDirectory, the endpoints that a node has learnt of through the platform, and
// EndpointUpdate, what has changed in them for a node that knows an earlier state. Pure: the clock
// is handed in.
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

// One entry at a revision of the platform's store.
struct EndpointEntry {
  Endpoint endpoint;      // Of an entry that is gone only the node's name.
  uint64_t revision = 0;  // Of the entry's last change.
  bool is_gone = false;
};

// All entries, or those that have changed since the state that the receiver knows.
struct EndpointUpdate {
  uint64_t revision = 0;  // Of the state that it leads to.
  bool is_whole = false;
  std::vector<EndpointEntry> entries;
};

// Of two entries with one address only that of the later server is listed: the VM of the other is
// gone, and nobody removes its entry.
// An entry that vanished without its node having said that it leaves may have lapsed while the
// platform was away, with the server alive. It stays in use for the time that its node needs to
// write it again.
class EndpointDirectory {
 public:
  struct Options {
    int64_t removal_grace_us = 3'000'000;
  };

  EndpointDirectory() : EndpointDirectory(Options{}) {}
  explicit EndpointDirectory(Options options) : m_options(options) {}

  // Commands.
  // An entry as stored at `revision`; one that is not newer than the known one changes nothing.
  void Put(Endpoint endpoint, uint64_t revision);
  // The entry of this node itself, before the platform has it.
  void PutLocal(Endpoint endpoint);
  // The entry of `node` is gone.
  void Remove(std::string_view node, int64_t now_us);
  // Starts a full reading: entries not put until FinishFullSync count as removed.
  void BeginFullSync();
  void FinishFullSync(int64_t now_us);
  // All changes up to this revision of the platform's store have been put or removed.
  void CommitRevision(uint64_t revision);
  // Takes over what another node knows. An update that leads to no newer state changes nothing.
  void Apply(const EndpointUpdate& update, int64_t now_us);
  // Drops entries whose grace has ended. Returns whether the list has changed.
  bool RemoveExpired(int64_t now_us);
  // The time at which RemoveExpired next has something to do; nothing when it has not.
  std::optional<int64_t> NextExpiryUs() const;

  // Queries.
  std::shared_ptr<const EndpointList> list() const;
  size_t size() const { return m_entries.size(); }
  // Of the platform's store when an entry last changed.
  uint64_t revision() const { return m_log.revision(); }
  // For a node that knows the state at `known`; empty when that is this state or a newer one.
  std::optional<EndpointUpdate> UpdateSince(uint64_t known) const;

 private:
  struct Entry {
    Endpoint endpoint;
    uint64_t revision = 0;
    int64_t gone_since_us = -1;  // -1: not gone.
    bool is_read = true;         // Seen in the reading under way.
  };

  static EndpointEntry StateOf(const std::string& node, const Entry* entry);

  Options m_options;
  std::map<std::string, Entry, std::less<>> m_entries;
  EndpointChangeLog m_log;
  mutable std::shared_ptr<const EndpointList> m_list;  // Null when it must be built anew.
};

}  // namespace guavatrail
