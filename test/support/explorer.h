// Defines Explore, which checks a small model by an exhaustive breadth-first search of its states.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_set>

namespace guavatrail {

struct ExplorationResult {
  size_t states = 0;
  std::optional<std::string> violation;  // The first invariant found violated.
  bool complete = false;                 // Whether all reachable states were visited.
};

// Visits every state reachable from `initial`, up to about `max_states`. `encode` returns equal
// strings for equal states, `check` returns the invariant that a state violates, and `expand` calls
// its argument with each successor and may return the violation of a transition rule.
template <typename State>
ExplorationResult Explore(const State& initial,
                          const std::function<std::string(const State&)>& encode,
                          const std::function<std::optional<std::string>(const State&)>& check,
                          const std::function<std::optional<std::string>(
                              const State&, const std::function<void(State&&)>&)>& expand,
                          size_t max_states) {
  ExplorationResult result;
  std::unordered_set<std::string> seen = {encode(initial)};
  std::deque<State> open = {initial};
  while (!open.empty() && !result.violation && seen.size() <= max_states) {
    State state = std::move(open.front());
    open.pop_front();
    ++result.states;
    result.violation = check(state);
    if (result.violation) break;
    result.violation = expand(state, [&](State&& next) {
      if (seen.insert(encode(next)).second) open.push_back(std::move(next));
    });
  }
  result.complete = open.empty() && !result.violation;
  return result;
}

}  // namespace guavatrail
