// Defines ShareChooser, which deals the requests of a route out to its shares by weight. Pure:
// random numbers are handed in.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config_table.h"
#include "random_source.h"

namespace guavatrail {

// Smooth weighted round robin: the shares are kept to within one request. Each node starts at a
// random point, so that many nodes with few requests each keep the shares together as well.
class ShareChooser {
 public:
  // The service for the next request of `route`.
  const std::string& Choose(const Route& route, RandomSource& random);

 private:
  struct State {
    std::vector<RouteShare> shares;  // For which the credits hold.
    std::vector<double> credits;
  };

  std::map<std::string, State, std::less<>> m_routes;
};

}  // namespace guavatrail
