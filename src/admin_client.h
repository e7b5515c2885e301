// Defines blocking requests to the admin ports of nodes, sent to many nodes concurrently.
#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "event_loop.h"

namespace guavatrail {

struct AdminAddress {
  std::string ip;
  uint16_t port = 0;
};

// Parses "IP:PORT".
tl::expected<AdminAddress, std::string> ParseAdminAddress(std::string_view text);

// No answer within the timeout, a status of 300 or higher, or an answer that is not JSON.
struct AdminClientError {
  std::string message;
};

using AdminReply = tl::expected<nlohmann::json, AdminClientError>;

// Runs the loop until each address has answered or timed out, with at most 64 requests in flight.
// Replies are in the order of `addresses`.
std::vector<AdminReply> GetFromAll(EventLoop& loop, const std::vector<AdminAddress>& addresses,
                                   const std::string& path, std::chrono::milliseconds timeout);

AdminReply GetFrom(EventLoop& loop, const AdminAddress& address, const std::string& path,
                   std::chrono::milliseconds timeout);
AdminReply PostTo(EventLoop& loop, const AdminAddress& address, const std::string& path,
                  std::chrono::milliseconds timeout);

}  // namespace guavatrail
