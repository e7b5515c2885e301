// Defines ConfigBuilder, which assembles a ConfigTable from rules whose names are labels: an
// operator may give the same one to several rules.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "config_table.h"

namespace guavatrail {

// A part of a configuration that has no effect, or another one than written.
struct ConfigNotice {
  std::string subject;  // Such as "rule loja.example/pecas/".
  std::string message;
};

// The name of the route for the requests of `host` whose path begins with `path_prefix`.
std::string RouteNameOf(std::string_view host, std::string_view path_prefix);

class ConfigBuilder {
 public:
  // Adds a service unless it is known. A health path that cannot be requested counts as none: the
  // routes of the configuration are still valid.
  void AddService(std::string_view name, std::string_view health_path = "");
  // Adds a rule and the services that it names. `route.name` and `route.work` are derived, and
  // `route.label` may be any text. A rule that no request can match is left out, as is the later
  // one of two rules for the same requests.
  void AddRule(Route route, WorkKind work);
  // Requests need an API key even if no workspace is added.
  void RequireApiKeys() { m_requires_api_keys = true; }
  // Adds a workspace. Keys that no request can carry, and repeated ones, are left out.
  void AddWorkspace(Workspace workspace);

  // Fails if a part is invalid or contradicts another; then no part applies.
  tl::expected<ConfigTable, ConfigError> Build(uint64_t version) const;
  // What has no effect, or another one than written, in the order of the additions.
  const std::vector<ConfigNotice>& notices() const { return m_notices; }

 private:
  std::string AddWorkKind(WorkKind work);
  WorkKind LimitWorkKind(WorkKind work, const std::string& subject);
  void AddNotice(std::string subject, std::string message);

  bool m_requires_api_keys = false;
  std::vector<Resource> m_resources;
  std::set<std::string, std::less<>> m_services;
  std::set<std::string, std::less<>> m_work_kinds;
  std::set<std::string, std::less<>> m_routes;
  std::vector<ConfigNotice> m_notices;
};

}  // namespace guavatrail
