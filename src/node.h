// Defines Node, a node with the project's own control plane: control plane, entry and serving proxy
// and admin server on one event loop.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "event_loop.h"
#include "settings.h"

namespace guavatrail {

struct NodeError {
  std::string message;
};

class Node {
 public:
  Node(EventLoop& loop, const Settings& settings);
  ~Node();

  // Opens all ports and starts joining the mesh.
  tl::expected<void, NodeError> Start();

  // Refuses new work, finishes the requests in progress, leaves the mesh and stops the loop.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavatrail
