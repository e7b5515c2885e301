// Defines TableReferrals, which decides whether a node sends its configuration table to a node that
// requests it, or refers that node to another one that has the table. Performs no I/O.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace guavatrail {

// When all nodes of a mesh start at once, all of them request the table from the few nodes that
// read the configuration from the platform. A node therefore sends only as many tables at a time as
// its link carries, and refers other requesters to nodes that already have the table, so that it
// spreads as a tree which becomes wider with each level. If a node sent all tables itself, they
// would share its link and each requester would wait for all of them.
class TableReferrals {
 public:
  struct Options {
    // Upper bound of the tables in flight, as time to send them on the node's link.
    std::chrono::milliseconds link_time{100};
    // Upper bound of the tables in flight in bytes, while the bandwidth of the link is unknown.
    size_t unknown_link_bytes = 524'288;
    // Tables that may be in flight whatever their size.
    size_t min_tables = 2;
    // Requesters are not referred to a node with less than this share of the bandwidth of this
    // node.
    double min_link_share = 0.5;
    // Maximum number of holders that are tracked.
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
  // Sets the bandwidth of the node's link in Mbit/s; 0: unknown.
  void SetLinkMbps(double mbps) { m_link_mbps = mbps; }
  // Record the start and the end of sending a table of `bytes`.
  void OnTransferStarted(size_t bytes);
  void OnTransferEnded(size_t bytes);
  // Records that `node`, with a link of `link_mbps`, has the table that is in force.
  void AddHolder(std::string_view node, double link_mbps);
  // Records that a requester was referred to `node`.
  void OnReferral(std::string_view node);
  // Records that another table is in force, which no node is known to have yet.
  void OnTableChanged() { m_holders.clear(); }

  // Query: the answer to a request of `requester` for a table of `bytes`.
  Answer Decide(std::string_view requester, size_t bytes) const;

 private:
  struct Holder {
    std::string node;
    size_t referrals = 0;
  };

  // Maximum number of bytes in flight.
  size_t MaxBytes() const;

  Options m_options;
  double m_link_mbps = 0;  // 0: unknown.
  size_t m_tables = 0;     // In flight.
  size_t m_bytes = 0;      // Total size of the tables in flight.
  std::vector<Holder> m_holders;
};

}  // namespace guavatrail
