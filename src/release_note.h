// Defines the functions that parse release notes written by operators in TOML into ReleaseNote. For
// example:
//
//   id = "manuais-2"
//   author = "..."
//   summary = "..."
//   [[add]]
//   type = "route"
//   name = "manuais"
//   path_prefix = "/manuais"
//   service = "manuais"
//   work = "download"
//   [[withdraw]]
//   type = "service"
//   name = "arquivo"
//
// Services have name, owner and objective; work kinds have name, deadline_ms, idempotent,
// importance, length ("short" or "long"), key ("required" or "per_request"), attempts and
// objective_ms; routes have name, path_prefix, service, work, host, public and shares (service and
// weight); workspaces have name, api_keys, importance, rate_per_s and burst. Once there has been a
// workspace, requests need an API key; a note with requires_api_keys = false ends that.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "config_table.h"

namespace guavatrail {

// The message states file, line and key of the error, the value found and what is allowed.
struct NoteError {
  std::string message;
};

// Parses and checks the text of a note; `file` is used in error messages only. The result passes
// ValidateNote; whether it can be applied depends on the table.
tl::expected<ReleaseNote, NoteError> ParseReleaseNote(std::string_view text, std::string_view file);
// Reads and parses the file at `path`.
tl::expected<ReleaseNote, NoteError> LoadReleaseNote(const std::string& path);

}  // namespace guavatrail
