// Defines ShareChooser, which distributes the requests of a route over its shares by weight.
// Performs no I/O; the caller passes in random numbers.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config_table.h"
#include "random_source.h"

namespace guavatrail {

// Smooth weighted round robin, which keeps each share to within one request of its weight. Each
// node starts at a random position, so that the weights also hold over many nodes with few requests
// each.
class ShareChooser {
 public:
  // The service for the next request of `route`.
  const std::string& Choose(const Route& route, RandomSource& random);

 private:
  struct State {
    std::vector<RouteShare> shares;  // The shares that `credits` belongs to.
    std::vector<double> credits;
  };

  std::map<std::string, State, std::less<>> m_routes;
};

}  // namespace guavatrail
