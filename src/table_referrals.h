// Defines TableReferrals, which decides whether a node sends its whole configuration to a node that
// asks for it, or names another node that holds it. Pure.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace guavatrail {

// Pattern: all nodes start at once, and all of them ask the few that read the configuration from
// the platform. A node whose link carries a few tables at a time, and which names those that have
// theirs already, starts a tree whose width grows with each level; one that sent all tables itself
// would make each asker wait for all.
class TableReferrals {
 public:
  struct Options {
    // Tables under way take the link of the node for so long, ...
    std::chrono::milliseconds link_time{100};
    // ... or have so many bytes while its bandwidth is not known.
    size_t unknown_link_bytes = 524'288;
    // May be under way whatever their size.
    size_t min_tables = 2;
    // A node with less than this share of the link of this one is not named.
    double min_link_share = 0.5;
    // Holders that are remembered.
    size_t max_holders = 64;
  };

  struct SendTable {};
  struct Referral {
    std::string node;
  };
  struct RetryLater {};
  using Answer = std::variant<SendTable, Referral, RetryLater>;

  TableReferrals() : TableReferrals(Options{}) {}
  explicit TableReferrals(Options options) : m_options(options) {}

  // Commands.
  // The link of this node carries so many Mbit/s; 0 when that is not known.
  void SetLinkMbps(double mbps) { m_link_mbps = mbps; }
  // A table of so many bytes is being sent.
  void OnTransferStarted(size_t bytes);
  void OnTransferEnded(size_t bytes);
  // `node`, with a link of so many Mbit/s, holds the table in force.
  void AddHolder(std::string_view node, double link_mbps);
  // Somebody was told to ask `node`.
  void OnReferral(std::string_view node);
  // Another table is in force; nobody is known to hold it.
  void OnTableChanged() { m_holders.clear(); }

  // Query: what to answer to `asker`.
  Answer Decide(std::string_view asker, size_t bytes) const;

 private:
  struct Holder {
    std::string node;
    size_t referrals = 0;
  };

  // Bytes that may be under way.
  size_t MaxBytes() const;

  Options m_options;
  double m_link_mbps = 0;  // 0: not known.
  size_t m_tables = 0;     // Under way.
  size_t m_bytes = 0;      // Of these.
  std::vector<Holder> m_holders;
};

}  // namespace guavatrail
