#include "share_chooser.h"

#include <algorithm>
#include <numeric>

namespace guavatrail {

namespace {

// Routes whose state is kept; one more clears the state of all.
constexpr size_t kMaxRoutes = 1024;

}  // namespace

const std::string& ShareChooser::Choose(const Route& route, RandomSource& random) {
  if (route.shares.empty()) return route.service;
  auto total = static_cast<double>(
      std::accumulate(route.shares.begin(), route.shares.end(), int64_t{0},
                      [](int64_t sum, const RouteShare& share) { return sum + share.weight; }));
  if (total <= 0) return route.shares.front().service;
  if (m_routes.size() >= kMaxRoutes && !m_routes.contains(route.name)) m_routes.clear();
  State& state = m_routes[route.name];
  if (state.shares != route.shares) {
    state.shares = route.shares;
    state.credits.clear();
    for (const RouteShare& share : state.shares) {
      state.credits.push_back(random.Unit() * static_cast<double>(share.weight));
    }
  }
  for (size_t i = 0; i < state.credits.size(); ++i) {
    state.credits[i] += static_cast<double>(route.shares[i].weight);
  }
  auto best = std::max_element(state.credits.begin(), state.credits.end());
  *best -= total;
  return route.shares[static_cast<size_t>(best - state.credits.begin())].service;
}

}  // namespace guavatrail
