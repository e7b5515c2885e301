// Defines how an entry node identifies the workspace that a request belongs to, by its API key.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "config_table.h"
#include "http_headers.h"

namespace guavatrail {

// Why a request is not authenticated.
enum class IdentityError {
  kNoKey,
  kUnknownKey,
  kSeveralKeys,
};

// The value of reason= for a refused request: "no_api_key", "unknown_api_key" or
// "several_api_keys".
std::string_view ToString(IdentityError error);

// The workspace of a request for `route` with the given headers. Null if the request belongs to
// none: the configuration requires no API keys, or the route is public and the request has no valid
// key. Points into `table`.
tl::expected<const Workspace*, IdentityError> IdentifyCaller(const ConfigTable& table,
                                                             const Route& route,
                                                             const HeaderList& headers,
                                                             std::string_view api_key_header);

// A workspace as the entry node names it to the serving node.
struct WorkspaceTag {
  std::string name;  // Empty: the request belongs to no workspace.
  int importance = 0;
  // Weight of its share when room is short: its rate limit, or 1 without one.
  double weight = 1;
  bool operator==(const WorkspaceTag&) const = default;
};

// The tag of a workspace; one with an empty name for null.
WorkspaceTag TagOf(const Workspace* workspace);
// The value of the X-Guavatrail-Workspace header, such as "loja-4;importance=2;weight=50"; the name
// is percent-encoded.
std::string FormatWorkspaceTag(const WorkspaceTag& tag);
// A tag with an empty name if the text is not of that form.
WorkspaceTag ParseWorkspaceTag(std::string_view text);
// The tag of a request from an entry node; one with an empty name if the request belongs to no
// workspace. A tag that cannot be read is that of an unknown workspace of the lowest importance.
WorkspaceTag WorkspaceTagIn(const HeaderList& headers);

}  // namespace guavatrail
