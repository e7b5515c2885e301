// Defines ConfigSourcePolicy, which decides where a node gets configuration and endpoints from:
// from the platform, or from a node that watches the platform. Pure: clock and random numbers are
// handed in.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "delivery.h"
#include "endpoint.h"

namespace guavatrail {

struct FromPlatform {
  bool operator==(const FromPlatform&) const = default;
};
struct FromNode {
  std::string node;
  bool operator==(const FromNode&) const = default;
};
using ConfigSource = std::variant<FromPlatform, FromNode>;

// The nodes that may watch, those with fast links. Where too few data centres have any, those that
// are fast for their own.
std::vector<Candidate> WatcherCandidates(const EndpointList& endpoints);

// Each watch of the platform costs, and each change ends them all; so a few nodes in different data
// centres watch and the others follow the one of their own data centre, or any other if there is
// none. A node whose watcher has gone silent, or has itself not heard from the platform for a
// while, turns to another watcher, and when that does not help to the platform. Views that differ
// cost a few calls and do no harm.
// An outage of the platform makes all watchers stale at once. So a node that has found several
// living and stale tries the platform only after a random time, and after a trial without an answer
// asks its sources in turn for a while: the first watcher that the platform serves again helps all.
class ConfigSourcePolicy {
 public:
  struct Options {
    // A node watches for this many; at least two data centres have a watcher, and none has two.
    size_t nodes_per_watcher = 64;
    // Age of a confirmation by the platform over which a watcher is of no use. Together with the
    // time to ask elsewhere it must stay below the time in which a change must be in force.
    int64_t max_age_us = 1'000'000;
    // Time for which a source that failed is left alone.
    int64_t source_backoff_us = 4'000'000;
    // Watchers that are tried before the platform.
    size_t max_sources = 4;
    // With as many sources as witnesses or more, the platform is left alone for half of this time
    // up to all of it after a trial that failed, and for up to this time once so many living
    // sources are stale. Fewer sources may all be cut off from a platform that is well.
    int64_t platform_backoff_us = 4'000'000;
    size_t min_stale_sources_in_outage = 3;
  };

  ConfigSourcePolicy(Candidate self, Options options)
      : m_self(std::move(self)), m_options(options) {}

  // Commands.
  // All nodes that may watch, this one perhaps among them, and the number of all nodes.
  void SetCandidates(const std::vector<Candidate>& candidates, size_t fleet_size);
  // A source answered with a confirmation of this age, in time or late; too old a one is a failure.
  // `unit` is uniform in [0, 1).
  void OnAnswer(std::string_view node, int64_t age_us, int64_t now_us, double unit);
  void OnFailure(std::string_view node, int64_t now_us);
  // The platform has not answered this node in the time of a trial.
  void OnPlatformFailure(int64_t now_us, double unit);

  // Queries.
  ConfigSource SourceAt(int64_t now_us) const;
  // Whether `node` has failed of late, and is asked only for want of a better source.
  bool IsBackedOff(std::string_view node, int64_t now_us) const;
  // Whether so many living sources are stale that the platform is not well.
  bool IsOutageLikely() const { return m_stale.size() >= m_options.min_stale_sources_in_outage; }
  bool is_watcher() const { return m_is_watcher; }
  int64_t max_age_us() const { return m_options.max_age_us; }
  // Whether this node knows whom to ask, or that it is to watch itself.
  bool has_source() const { return m_is_watcher || !m_sources.empty(); }

 private:
  Candidate m_self;
  Options m_options;
  bool m_is_watcher = false;
  std::vector<std::string> m_sources;  // In the order of preference.
  std::map<std::string, int64_t, std::less<>> m_avoided_until_us;
  // Sources that have answered that they are stale, since one was fresh.
  std::set<std::string, std::less<>> m_stale;
  int64_t m_platform_avoided_until_us = 0;
};

}  // namespace guavatrail
