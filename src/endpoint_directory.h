// Defines EndpointDirectory, the endpoints that a node has learnt of through the platform. Pure:
// the clock is handed in.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "endpoint.h"

namespace guavatrail {

// Of two entries with one address only that of the later server is listed: the VM of the other is
// gone, and nobody removes its entry.
// An entry that vanished without its node having said that it leaves may have lapsed while the
// platform was away, with the server alive. It stays in use for the time that its node needs to
// write it again.
class EndpointDirectory {
 public:
  struct Options {
    int64_t lapse_grace_us = 3'000'000;
  };

  EndpointDirectory() : EndpointDirectory(Options{}) {}
  explicit EndpointDirectory(Options options) : m_options(options) {}

  // Commands.
  void Put(Endpoint endpoint);
  // The entry of `node` is gone.
  void Remove(std::string_view node, int64_t now_us);
  // Starts a full reading: entries not put until FinishReading count as removed.
  void StartReading();
  void FinishReading(int64_t now_us);
  // Drops entries whose grace has ended. Returns whether the list has changed.
  bool Expire(int64_t now_us);
  // The time at which Expire next has something to do; nothing when it has not.
  std::optional<int64_t> NextExpiryUs() const;

  // Queries.
  std::shared_ptr<const EndpointList> list() const;
  size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    Endpoint endpoint;
    int64_t gone_since_us = -1;  // -1: not gone.
    bool is_read = true;         // Seen in the reading under way.
  };

  Options m_options;
  std::map<std::string, Entry, std::less<>> m_entries;
  mutable std::shared_ptr<const EndpointList> m_list;  // Null when it must be built anew.
};

}  // namespace guavatrail
