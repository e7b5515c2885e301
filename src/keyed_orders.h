// Defines KeyedOrders, the orders bound to one lifetime of one serving node: it issues their keys,
// decides which arriving orders may run, and answers repeats and fences. Pure but for the random
// secret of its keys.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "http_headers.h"
#include "order_key.h"
#include "order_ledger.h"

namespace guavatrail {

// An answer that is given without running the order.
struct OrderAnswer {
  int status = 0;
  HeaderList headers;  // With the outcome.
  std::string body;
};

class KeyedOrders {
 public:
  KeyedOrders(std::string node, uint64_t incarnation, OrderLedger::Limits limits = {});

  // A new key in text form.
  std::string IssueKey();

  // An order arrived with `key`. Gives the serial to run, which is then marked as running, or the
  // answer to a repeat. With `is_draining` a key that has not run yet is fenced instead.
  tl::expected<uint64_t, OrderAnswer> OnArrival(std::string_view key, bool is_draining);

  // Makes an order unable to run and returns its outcome: not-run, running, answered or unknown.
  // `withdraw` takes a running order out of the queue and tells whether it could.
  std::string_view Fence(std::string_view key, const std::function<bool(uint64_t)>& withdraw);

  OrderLedger& ledger() { return m_ledger; }

 private:
  // The serial of a key of this lifetime, or the outcome of any other key.
  tl::expected<uint64_t, std::string_view> SerialOf(std::string_view key) const;
  OrderAnswer AnswerOfFinished(uint64_t serial) const;

  OrderKeyMaker m_keys;
  std::string m_node;
  OrderLedger m_ledger;
};

}  // namespace guavatrail
