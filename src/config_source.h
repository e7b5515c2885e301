// Defines ConfigSourcePolicy, which decides where a node gets configuration and endpoints from: the
// platform, or a node that watches the platform. Performs no I/O; the caller passes in the time and
// random numbers.
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

// The nodes that may watch the platform: those with fast links. If fewer than two data centres have
// such nodes, nodes are compared with the fastest of their own data centre instead.
std::vector<Candidate> WatcherCandidates(const EndpointList& endpoints);

// Each watch has a cost for the platform, and each change ends all watches. Therefore only a few
// nodes in different data centres watch, and the others follow the watcher of their own data
// centre, or any other if theirs has none. A node whose watcher does not respond, or has not
// reached the platform for a while, switches to another watcher, and to the platform if no watcher
// helps. Nodes that choose watchers by different views of the mesh cost a few extra requests and do
// no harm.
//
// An outage of the platform makes all watchers stale at once. A node that has found several
// responding watchers stale therefore tries the platform only after a random delay, and after a
// failed attempt it polls its sources in turn for a while: the first watcher that reaches the
// platform again updates all nodes that poll it.
class ConfigSourcePolicy {
 public:
  struct Options {
    // Number of nodes per watcher; at least two data centres have a watcher, and none has two.
    size_t nodes_per_watcher = 64;
    // Maximum age of a source's last confirmation by the platform; a source with an older one is
    // stale. Together with the time to query another source it must stay below the time in which a
    // change must be in force.
    int64_t max_age_us = 1'000'000;
    // Back-off after a source failed.
    int64_t source_backoff_us = 4'000'000;
    // Maximum number of watchers that are tried before the platform.
    size_t max_sources = 4;
    // Back-off from the platform, with jitter: between half of this time and all of it after a
    // failed attempt, and up to this time once `min_stale_sources_in_outage` responding sources are
    // stale. It does not apply with fewer sources, since all of them may be cut off from a platform
    // that is available.
    int64_t platform_backoff_us = 4'000'000;
    size_t min_stale_sources_in_outage = 3;
  };

  ConfigSourcePolicy(Candidate self, Options options)
      : m_self(std::move(self)), m_options(options) {}

  // Commands.
  // Sets the nodes that may watch, which may include this node, and the number of all nodes.
  void SetCandidates(const std::vector<Candidate>& candidates, size_t fleet_size);
  // Records an answer of a source, in time or late, with the age of its last confirmation by the
  // platform; one with an age above max_age_us counts as a failure. `unit` is a random number in
  // [0, 1).
  void OnAnswer(std::string_view node, int64_t age_us, int64_t now_us, double unit);
  void OnFailure(std::string_view node, int64_t now_us);
  // Records that the platform has not confirmed the state to this node within max_age_us while the
  // node used the platform as its source.
  void OnPlatformFailure(int64_t now_us, double unit);

  // Queries.
  ConfigSource SourceAt(int64_t now_us) const;
  // Whether `node` failed recently and is used only if there is no better source.
  bool IsBackedOff(std::string_view node, int64_t now_us) const;
  // Whether enough responding sources are stale to assume an outage of the platform.
  bool IsOutageLikely() const { return m_stale.size() >= m_options.min_stale_sources_in_outage; }
  bool is_watcher() const { return m_is_watcher; }
  int64_t max_age_us() const { return m_options.max_age_us; }
  // Whether this node has a source or is a watcher itself.
  bool has_source() const { return m_is_watcher || !m_sources.empty(); }

 private:
  Candidate m_self;
  Options m_options;
  bool m_is_watcher = false;
  std::vector<std::string> m_sources;  // In order of preference.
  std::map<std::string, int64_t, std::less<>> m_backoff_until_us;
  // Sources that responded as stale since the last fresh answer of any source.
  std::set<std::string, std::less<>> m_stale;
  int64_t m_platform_backoff_until_us = 0;
};

}  // namespace guavatrail
