// Defines Node, one guavatraild process: the control plane, both proxies and the admin port on one
// event loop.
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

  // Opens all ports and starts to join the mesh.
  tl::expected<void, NodeError> Start();

  // Takes no new work, finishes what is running, leaves the mesh and stops the loop.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavatrail
