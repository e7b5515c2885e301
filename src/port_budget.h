// Defines PortBudget, the shares of the file descriptors and of the memory of the process that the
// connections of its ports may use.
#pragma once

#include <cstddef>
#include <cstdint>

#include "settings.h"

namespace guavatrail {

// Limits on the connections of one port.
struct PortLimits {
  size_t max_connections = SIZE_MAX;
  // Connections that the kernel keeps until they are accepted. When the queue is full it drops the
  // SYN, and the client repeats it only after a second.
  int accept_queue = 1024;
  // Size of the kernel's receive buffer of each connection in bytes; 0: chosen by the system.
  int receive_buffer_bytes = 0;
};

// Limits on the connections that the ports accept, and on those that the node opens.
struct PortBudget {
  PortLimits caller;   // The caller port.
  PortLimits peer;     // The peer port.
  PortLimits service;  // Each of the ports for readiness probes, reports and operators.
  // Size of the receive buffer of each connection to a node or the backend server; 0: chosen by the
  // system.
  int upstream_receive_bytes = 0;
};

// The budget for `max_descriptors` descriptors; with 0, for as many as the process may open.
// `memory_mb` is the memory of the VM in MB (10^6 bytes); with 0, memory does not limit the ports.
PortBudget MakePortBudget(int64_t max_descriptors, int64_t memory_mb);
PortBudget BudgetOf(const Settings& settings);

}  // namespace guavatrail
