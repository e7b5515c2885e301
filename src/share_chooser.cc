#include "share_chooser.h"

#include <algorithm>

namespace guavatrail {

namespace {

// Routes whose state is kept; one more clears the state of all.
constexpr size_t kMaxRoutes = 1024;

}  // namespace

bool ShareChooser::HasService(const Route& route) {
  return route.shares.empty() ||
         std::any_of(route.shares.begin(), route.shares.end(),
                     [](const RouteShare& share) { return share.weight > 0; });
}

// Weights are divided by the largest one first, since the sum of the weights may be out of range.
ShareChooser::State ShareChooser::MakeState(const std::vector<RouteShare>& shares,
                                            RandomSource& random) {
  State state{.shares = shares};
  double largest = 0;
  for (const RouteShare& share : shares) largest = std::max(largest, share.weight);
  double sum = 0;
  for (const RouteShare& share : shares) sum += share.weight / largest;
  for (const RouteShare& share : shares) {
    double fraction = share.weight / largest / sum;
    state.fractions.push_back(fraction);
    state.credits.push_back(random.Unit() * fraction);
  }
  return state;
}

const std::string& ShareChooser::Choose(const Route& route, RandomSource& random) {
  if (route.shares.empty()) return route.service;
  if (m_routes.size() >= kMaxRoutes && !m_routes.contains(route.name)) m_routes.clear();
  State& state = m_routes[route.name];
  if (state.shares != route.shares) state = MakeState(route.shares, random);
  for (size_t i = 0; i < state.credits.size(); ++i) state.credits[i] += state.fractions[i];
  auto best = std::max_element(state.credits.begin(), state.credits.end());
  *best -= 1;
  return route.shares[static_cast<size_t>(best - state.credits.begin())].service;
}

}  // namespace guavatrail
