// Defines KeyedOrders, which manages the order keys of one incarnation of a serving node: it issues
// keys, decides which arriving orders may run, and responds to repeated orders and fences. Performs
// no I/O; only the secret of its keys is random.
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
  HeaderList headers;  // Including the outcome.
  std::string body;
};

class KeyedOrders {
 public:
  KeyedOrders(std::string node, uint64_t incarnation, OrderLedger::Limits limits = {});

  // Returns a new key in text form.
  std::string IssueKey();

  // Decides about an order that arrived with `key`. Returns the serial to run, which is then marked
  // as running, or the answer if the order must not run. With `is_draining` a key that has not
  // run yet is fenced instead of run.
  tl::expected<uint64_t, OrderAnswer> OnArrival(std::string_view key, bool is_draining);

  // Prevents an order that has not started from running, and returns its outcome: not-run, running,
  // answered or unknown. `withdraw` removes an order from the queue and returns whether it could.
  std::string_view Fence(std::string_view key, const std::function<bool(uint64_t)>& withdraw);

  OrderLedger& ledger() { return m_ledger; }

 private:
  // The serial of a key of this incarnation, or the outcome of any other key.
  tl::expected<uint64_t, std::string_view> SerialOf(std::string_view key) const;
  OrderAnswer AnswerOfFinished(uint64_t serial) const;

  OrderKeyMaker m_keys;
  std::string m_node;
  OrderLedger m_ledger;
};

}  // namespace guavatrail
