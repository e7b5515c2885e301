// Defines AdminClient, which asks many nodes' admin ports at once and waits for all answers.
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

// No usable answer within the time allowed.
struct AdminClientError {
  std::string message;
};

using AdminReply = tl::expected<nlohmann::json, AdminClientError>;

// Runs the loop until each address has answered or `timeout` has passed for it; at most 64 requests
// are open at once. Replies are in the order of `addresses`.
std::vector<AdminReply> GetFromAll(EventLoop& loop, const std::vector<AdminAddress>& addresses,
                                   const std::string& path, std::chrono::milliseconds timeout);

AdminReply GetFrom(EventLoop& loop, const AdminAddress& address, const std::string& path,
                   std::chrono::milliseconds timeout);
AdminReply PostTo(EventLoop& loop, const AdminAddress& address, const std::string& path,
                  std::chrono::milliseconds timeout);

}  // namespace guavatrail
