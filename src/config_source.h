// Defines ConfigSourcePolicy, which decides where a node gets the configuration from: from the
// platform, or from a node that watches the platform. Pure: the clock is handed in.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "delivery.h"

namespace guavatrail {

struct FromPlatform {
  bool operator==(const FromPlatform&) const = default;
};
struct FromNode {
  std::string node;
  bool operator==(const FromNode&) const = default;
};
using ConfigSource = std::variant<FromPlatform, FromNode>;

// Each watch of the platform costs, and each change ends them all; so a few nodes in different data
// centres watch and the others follow the one of their own data centre, or any other if there is
// none. A node whose watcher has gone silent, or has itself not heard from the platform for a
// while, turns to another watcher, and when that does not help to the platform. Views that differ
// cost a few calls and do no harm.
class ConfigSourcePolicy {
 public:
  struct Options {
    // A node watches for this many; at least two data centres have a watcher, and none has two.
    size_t nodes_per_watcher = 32;
    // Age of a confirmation by the platform over which a watcher is of no use. Together with the
    // time to ask elsewhere it stays below the two seconds in which a change must be in force.
    int64_t max_age_us = 1'000'000;
    // Time for which a source that failed is left alone.
    int64_t avoid_us = 4'000'000;
    // Watchers that are tried before the platform.
    size_t sources = 2;
  };

  ConfigSourcePolicy(Candidate self, Options options)
      : m_self(std::move(self)), m_options(options) {}

  // Commands.
  // All nodes that may watch, this one perhaps among them.
  void SetCandidates(const std::vector<Candidate>& candidates);
  // A source answered with a confirmation of this age, in time or late; too old a one is a failure.
  void Answered(std::string_view node, int64_t age_us, int64_t now_us);
  void Failed(std::string_view node, int64_t now_us);

  // Queries.
  ConfigSource SourceAt(int64_t now_us) const;
  bool is_watcher() const { return m_is_watcher; }

 private:
  Candidate m_self;
  Options m_options;
  bool m_is_watcher = false;
  std::vector<std::string> m_sources;  // In the order of preference.
  std::map<std::string, int64_t, std::less<>> m_avoided_until_us;
};

}  // namespace guavatrail
