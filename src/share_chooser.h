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
  // Whether a service of `route` takes requests: the route has no shares, or one with a weight.
  static bool HasService(const Route& route);
  // The service for the next request of `route`, which must have one.
  const std::string& Choose(const Route& route, RandomSource& random);

 private:
  struct State {
    std::vector<RouteShare> shares;  // The shares that the other fields belong to.
    std::vector<double> fractions;   // Of the requests; their sum is 1.
    std::vector<double> credits;
  };

  static State MakeState(const std::vector<RouteShare>& shares, RandomSource& random);

  std::map<std::string, State, std::less<>> m_routes;
};

}  // namespace guavatrail
