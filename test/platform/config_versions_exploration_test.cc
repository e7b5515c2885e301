// Guards against nodes that read a configuration differently from its operator: random series of
// versions are compared with a model that reads the configuration in the plainest way, at a node
// that reads each version whole and at one that learns it as changes and encoded tables.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <set>

#include "caller_identity.h"
#include "config_codec.h"
#include "config_decoder.h"
#include "config_spec.h"
#include "http_headers.h"
#include "random_source.h"

namespace guavatrail::platform {
namespace {

using nlohmann::json;

constexpr uint64_t kSeeds = 300;
constexpr uint64_t kVersions = 12;

const std::vector<std::string> kHosts = {"Loja.example", "oficina.example", "x.example",
                                         "y.example"};
const std::vector<std::string> kPrefixes = {"/", "/a/", "/a/b/", "/parts/", "/b?c/"};
const std::string kNonAsciiLabel = "Pe\u00e7as";
const std::vector<std::string> kLabels = {
    "", "rule-0", "rule-1", "rule-2", "rule-3", "Busca", std::string(300, 'n'), kNonAsciiLabel};
const std::vector<std::string> kServices = {"catalogo", "orders_v2", "St. Anna"};
const std::vector<json> kWeights = {0, 1, 10, 0.1, 0.9, 100.0, 5'000'000, 1e300};
const std::vector<std::string> kTenants = {"loja", "St. Anna", "a;importance=3;weight=9"};
const std::vector<std::string> kKeys = {"k-1", "k-2", "K-1", "key of three words", ""};
const std::vector<std::string> kPaths = {"/", "/a", "/a/", "/a/b", "/a/b/c", "/parts/1", "/b"};

// What happens to a request: 404, 401, or it runs for a tenant at one of some services.
struct Fate {
  int status = 200;
  std::string tenant;              // Empty: none.
  std::set<std::string> services;  // Empty: none has a weight.
  bool operator==(const Fate&) const = default;
};

std::ostream& operator<<(std::ostream& out, const Fate& fate) {
  return out << fate.status << " " << fate.tenant << " " << json(fate.services).dump();
}

struct Request {
  std::string host;
  std::string path;
  std::string key;  // Empty: none.
};

// The model: reads the JSON of the operator.
const json* RuleFor(const json& config, const Request& request) {
  const json* best = nullptr;
  size_t best_length = 0;
  for (const json& host : config["listeners"]) {
    if (LowerCase(host["authority"].get<std::string>()) != LowerCase(request.host)) continue;
    for (const json& rule : host["ruleset"]) {
      auto prefix = rule["match"]["path-prefix"].get<std::string>();
      if (request.path.starts_with(prefix) && prefix.size() > best_length) {
        best = &rule;
        best_length = prefix.size();
      }
    }
  }
  return best;
}

std::string TenantOf(const json& config, const std::string& key) {
  if (key.empty() || !config["tenants"].is_array()) return "";
  for (const json& tenant : config["tenants"]) {
    for (const json& held : tenant["api-keys"]) {
      if (held == key) return tenant["name"];
    }
  }
  return "";
}

Fate FateInModel(json config, const Request& request) {
  const json* rule = RuleFor(config, request);
  if (rule == nullptr) return {.status = 404};
  Fate fate;
  if (config.contains("tenants")) {
    fate.tenant = TenantOf(config, request.key);
    if (fate.tenant.empty() && !rule->value("public", false)) return {.status = 401};
  }
  const json& action = (*rule)["action"];
  if (action.contains("service")) {
    fate.services = {action["service"]};
  } else {
    for (const json& part : action["split"]) {
      if (part["weight"] > 0) fate.services.insert(part["service"]);
    }
  }
  return fate;
}

Fate FateAtNode(const ConfigTable& table, const Request& request) {
  const Route* route = table.MatchRoute(request.path, LowerCase(request.host));
  if (route == nullptr) return {.status = 404};
  HeaderList headers;
  if (!request.key.empty()) headers.emplace_back("X-Api-Key", request.key);
  auto workspace = IdentifyCaller(table, *route, headers, "X-Api-Key");
  if (!workspace) return {.status = 401};
  Fate fate;
  if (*workspace != nullptr) fate.tenant = (*workspace)->name;
  if (route->shares.empty()) fate.services = {route->service};
  for (const RouteShare& share : route->shares) {
    if (share.weight > 0) fate.services.insert(share.service);
  }
  return fate;
}

// Writes versions as an operator would, each from the one before.
class Operator {
 public:
  explicit Operator(uint64_t seed) : m_random(seed) {}

  json Next() {
    m_version += 1 + m_random.Below(5);
    for (uint64_t i = 0; i <= m_random.Below(4); ++i) ChangeRules();
    ChangeTenants();
    json config = MakeConfig(m_version, m_hosts);
    if (m_tenants) config["tenants"] = *m_tenants;
    return config;
  }

 private:
  template <typename T>
  const T& OneOf(const std::vector<T>& choices) {
    return choices[m_random.Below(choices.size())];
  }

  json RandomRule() {
    json target = ToService(OneOf(kServices));
    if (m_random.Below(3) == 0) {
      json split = json::array();
      for (uint64_t i = 0; i <= m_random.Below(3); ++i) {
        split.push_back({{"service", OneOf(kServices)}, {"weight", OneOf(kWeights)}});
      }
      target = {{"split", split}};
    }
    json rule = MakeRule(OneOf(kLabels), OneOf(kPrefixes), target);
    rule["public"] = m_random.Below(4) == 0;
    return rule;
  }

  void ChangeRules() {
    if (m_hosts.empty() || m_random.Below(4) == 0) m_hosts.push_back(MakeHost(OneOf(kHosts), {}));
    json& rules = m_hosts[m_random.Below(m_hosts.size())]["ruleset"];
    if (rules.is_null()) rules = json::array();
    size_t index = rules.empty() ? 0 : m_random.Below(rules.size());
    switch (m_random.Below(6)) {
      case 0:
      case 1:
        rules.insert(rules.begin() + static_cast<int64_t>(index), RandomRule());
        break;
      case 2:
        if (!rules.empty()) rules.erase(index);
        break;
      case 3:
        if (!rules.empty()) rules[index]["name"] = OneOf(kLabels);
        break;
      case 4:
        std::reverse(rules.begin(), rules.end());
        break;
      case 5:
        std::swap(m_hosts.front(), m_hosts.back());
        break;
    }
  }

  // A key is held by one tenant at a time.
  void ChangeTenants() {
    switch (m_random.Below(6)) {
      case 0:
        m_tenants.reset();
        break;
      case 1:
        m_tenants = m_random.Below(2) == 0 ? json() : json::array();
        break;
      case 2:
      case 3: {
        std::vector<std::vector<std::string>> keys(kTenants.size());
        for (const std::string& key : kKeys) {
          size_t owner = m_random.Below(kTenants.size() + 1);
          if (owner < keys.size()) keys[owner].push_back(key);
        }
        m_tenants = json::array();
        for (size_t i = 0; i < kTenants.size(); ++i) {
          if (m_random.Below(3) == 0) continue;
          m_tenants->push_back({{"name", kTenants[i]}, {"api-keys", keys[i]}});
        }
        break;
      }
      default:
        break;
    }
  }

  RandomSource m_random;
  uint64_t m_version = 6;
  std::vector<json> m_hosts;
  std::optional<json> m_tenants;
};

// A node that learns each version from the one before, as ConfigRelay does.
class FollowingNode {
 public:
  void Learn(const ConfigTable& source, RandomSource& random) {
    ReleaseNote change = source.ChangeSince(m_table);
    bool takes_change = ValidateChange(change) && random.Below(3) != 0;
    if (takes_change) {
      auto decoded = DecodeChange(EncodeNote(change));
      ASSERT_TRUE(decoded) << decoded.error().message;
      auto next = m_table.ApplyChange(*decoded);
      ASSERT_TRUE(next) << next.error().message;
      m_table = next->AtVersion(source.version());
    } else {
      auto next = DecodeTable(EncodeTable(source));
      ASSERT_TRUE(next) << next.error().message;
      m_table = *next;
    }
    EXPECT_EQ(DigestOf(EncodeTable(m_table)), DigestOf(EncodeTable(source)));
  }
  const ConfigTable& table() const { return m_table; }

 private:
  ConfigTable m_table;
};

std::vector<Request> AllRequests() {
  std::vector<Request> requests;
  for (const std::string& host : kHosts) {
    for (const std::string& path : kPaths) {
      for (const std::string& key : kKeys) requests.push_back({host, path, key});
    }
  }
  return requests;
}

void PlaySeries(uint64_t seed, const std::vector<Request>& requests) {
  Operator writer(seed);
  RandomSource random(seed + 1'000'000);
  FollowingNode follower;
  for (uint64_t i = 0; i < kVersions; ++i) {
    json config = writer.Next();
    auto table = DecodeConfig(config);
    ASSERT_TRUE(table) << table.error().message << "\n" << config.dump();
    ASSERT_NO_FATAL_FAILURE(follower.Learn(*table, random)) << config.dump();
    for (const Request& request : requests) {
      Fate expected = FateInModel(config, request);
      std::string text = request.host + request.path + " key \"" + request.key + "\"";
      ASSERT_EQ(FateAtNode(*table, request), expected) << text << "\n" << config.dump();
      ASSERT_EQ(FateAtNode(follower.table(), request), expected) << text << "\n" << config.dump();
    }
  }
}

TEST(ConfigVersionsExploration, EachRequestMeetsWhatTheOperatorWrote) {
  const std::vector<Request> requests = AllRequests();
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    ASSERT_NO_FATAL_FAILURE(PlaySeries(seed, requests));
  }
}

}  // namespace
}  // namespace guavatrail::platform
