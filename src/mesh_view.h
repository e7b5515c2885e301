// Defines MeshView, the read-only view that the call path has of the control plane.
#pragma once

#include <functional>
#include <memory>

#include "config_table.h"
#include "endpoint.h"

namespace guavatrail {

struct MeshView {
  // The table in force; null until the node is allowed to serve (see version_guard.h).
  std::function<std::shared_ptr<const ConfigTable>()> table;
  // The known endpoints; never null.
  std::function<std::shared_ptr<const EndpointList>()> endpoints;
};

}  // namespace guavatrail
