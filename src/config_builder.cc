#include "config_builder.h"

#include <algorithm>

#include "config_codec.h"

namespace guavatrail {

namespace {

// Short enough to be kept inside a std::string: a node holds several tables of many routes. The
// digits hold more than 70 bits, so that two rules do not get the same name by chance.
constexpr size_t kRouteNameLength = 15;
constexpr std::string_view kDigits = "0123456789abcdefghijklmnopqrstuvwxyz";
constexpr size_t kHexDigitsPerNumber = 16;
constexpr int kHexBase = 16;

// The digits of `hex`, in two numbers of 64 bits, to the base 36.
std::string ShortDigest(const std::string& hex) {
  std::string digits;
  for (size_t start = 0; digits.size() < kRouteNameLength; start += kHexDigitsPerNumber) {
    uint64_t number = std::stoull(hex.substr(start, kHexDigitsPerNumber), nullptr, kHexBase);
    for (; number > 0 && digits.size() < kRouteNameLength; number /= kDigits.size()) {
      digits.push_back(kDigits[number % kDigits.size()]);
    }
  }
  return digits;
}

// A label is written to logs, where a space would end the value.
std::string LabelOf(std::string_view text) {
  std::string label(text.substr(0, kMaxLabelLength));
  std::replace_if(
      label.begin(), label.end(), [](char c) { return c <= ' ' || c > '~' || c == '"'; }, '_');
  return label;
}

}  // namespace

// State hangs on the name of a route: the credits of its shares, the differences between two tables
// and the lines of logs. It therefore depends on which requests the rule is for and on nothing
// else, so that a rule keeps its state when others are added, reordered or renamed, and none gets
// that of another. A prefix has no zero byte, so that the two parts cannot be confused.
std::string RouteNameOf(std::string_view host, std::string_view path_prefix) {
  std::string identity(host);
  identity.push_back('\0');
  identity.append(path_prefix);
  return ShortDigest(DigestOf(identity));
}

void ConfigBuilder::AddService(std::string_view name, std::string_view health_path) {
  if (!m_services.emplace(name).second) return;
  bool is_usable = health_path.empty() || IsPathPrefix(health_path);
  if (!is_usable) {
    AddNotice("service " + std::string(name), "no health checks: the health path is not a path");
  }
  m_resources.emplace_back(
      Service{.name = std::string(name), .health_path = std::string(is_usable ? health_path : "")});
}

void ConfigBuilder::AddRule(Route route, WorkKind work) {
  std::string subject = "rule " + route.host + route.path_prefix;
  if (route.host.empty()) {
    AddNotice(std::move(subject), "left out: the host is empty, and no request names that");
    return;
  }
  bool is_path = route.path_prefix.starts_with('/');
  if (is_path && !CanBeginPath(route.path_prefix)) {
    AddNotice(std::move(subject), "left out: no path of a request can begin with the prefix");
    return;
  }
  route.name = RouteNameOf(route.host, route.path_prefix);
  if (!m_routes.insert(route.name).second) {
    AddNotice(std::move(subject), "left out: an earlier rule is for the same requests");
    return;
  }
  for (const RouteShare& share : route.shares) AddService(share.service);
  if (!route.shares.empty()) route.service = route.shares.front().service;
  AddService(route.service);
  route.label = LabelOf(route.label);
  route.work = AddWorkKind(LimitWorkKind(std::move(work), subject));
  m_resources.emplace_back(std::move(route));
}

WorkKind ConfigBuilder::LimitWorkKind(WorkKind work, const std::string& subject) {
  int64_t deadline_ms = std::clamp<int64_t>(work.deadline_ms, 1, kMaxDeadlineMs);
  if (deadline_ms != work.deadline_ms) {
    AddNotice(subject, "the timeout of " + std::to_string(work.deadline_ms) + " ms counts as " +
                           std::to_string(deadline_ms) + " ms");
  }
  int attempts = std::clamp(work.attempts, 1, kMaxAttempts);
  if (attempts != work.attempts) {
    AddNotice(subject,
              std::to_string(work.attempts) + " attempts count as " + std::to_string(attempts));
  }
  work.deadline_ms = deadline_ms;
  work.objective_ms = std::clamp<int64_t>(work.objective_ms, 0, deadline_ms);
  work.attempts = attempts;
  return work;
}

// Rules with the same limits share a work kind, which limits the number of metric labels.
std::string ConfigBuilder::AddWorkKind(WorkKind work) {
  work.name = std::string(work.idempotent ? "repeatable" : "once") + "-" +
              std::to_string(work.importance) + "-" + std::to_string(work.objective_ms) + "-" +
              std::to_string(work.deadline_ms) + "-" + std::to_string(work.attempts);
  if (m_work_kinds.insert(work.name).second) m_resources.emplace_back(work);
  return work.name;
}

void ConfigBuilder::AddWorkspace(Workspace workspace) {
  std::vector<std::string> keys;
  std::set<std::string_view> known;
  size_t unusable = 0;
  for (const std::string& key : workspace.api_keys) {
    if (!CanBePresented(key)) {
      ++unusable;
    } else if (known.insert(key).second) {
      keys.push_back(key);
    }
  }
  if (unusable > 0) {
    AddNotice("workspace " + workspace.name,
              std::to_string(unusable) + " API keys left out: no request can carry them");
  }
  workspace.api_keys = std::move(keys);
  m_resources.emplace_back(std::move(workspace));
}

void ConfigBuilder::AddNotice(std::string subject, std::string message) {
  m_notices.push_back({std::move(subject), std::move(message)});
}

tl::expected<ConfigTable, ConfigError> ConfigBuilder::Build(uint64_t version) const {
  auto table = ConfigTable::FromResources(version, m_resources);
  if (table && m_requires_api_keys) table->RequireApiKeys();
  return table;
}

}  // namespace guavatrail
