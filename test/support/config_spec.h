// Defines functions that write configurations of the users' platform for tests.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace guavatrail {

// A rule with an idempotent route kind. An empty name is left out.
inline nlohmann::json MakeRule(const std::string& name, const std::string& prefix,
                               const nlohmann::json& target) {
  nlohmann::json action = target;
  action["timeout-s"] = 2;
  action["attempts"] = 2;
  nlohmann::json rule = {{"route-kind", "idempotent"},
                         {"goal-s", 0.5},
                         {"priority", 1},
                         {"match", {{"path-prefix", prefix}}},
                         {"action", action}};
  if (!name.empty()) rule["name"] = name;
  return rule;
}

inline nlohmann::json ToService(const std::string& service) { return {{"service", service}}; }

// One part for each weight, to the services svc-0, svc-1 and so on.
inline nlohmann::json SplitByWeights(const std::vector<nlohmann::json>& weights) {
  nlohmann::json split = nlohmann::json::array();
  for (size_t i = 0; i < weights.size(); ++i) {
    split.push_back({{"service", "svc-" + std::to_string(i)}, {"weight", weights[i]}});
  }
  return {{"split", split}};
}

inline nlohmann::json MakeHost(const std::string& authority,
                               const std::vector<nlohmann::json>& rules) {
  return {{"authority", authority}, {"ruleset", rules}};
}

inline nlohmann::json MakeConfig(uint64_t version, const std::vector<nlohmann::json>& hosts) {
  return {{"version", version},
          {"listeners", hosts},
          {"clusters", {{{"name", "catalogo"}, {"health-path", "/healthz"}}}}};
}

}  // namespace guavatrail
