// Defines DescriptorBudget, the shares of the file descriptors of the process that the connections
// of its ports may use.
#pragma once

#include <cstddef>
#include <cstdint>

namespace guavatrail {

struct DescriptorBudget {
  size_t caller_connections = 0;  // Connections accepted on the caller port.
  size_t peer_connections = 0;    // Connections accepted on the peer port.
};

// The budget for `max_descriptors` descriptors; with 0, for as many as the process may open.
DescriptorBudget MakeDescriptorBudget(int64_t max_descriptors);

}  // namespace guavatrail
