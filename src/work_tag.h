// Defines WorkTag, the work attributes of a request that an entry node sends to a serving node.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace guavatrail {

// How often a request may run.
enum class RunMode {
  kRepeatable,  // Idempotent.
  kOnce,        // An order without a key; never sent twice.
  kKeyed,       // An order that is identified by its key.
};

struct WorkTag {
  std::string name;
  int importance = 1;  // 0 to 3.
  bool is_short = true;
  RunMode mode = RunMode::kRepeatable;
  bool operator==(const WorkTag&) const = default;
};

// The value of the X-Guavatrail-Work header, such as "lookup;importance=2;short;repeatable".
std::string FormatWorkTag(const WorkTag& tag);
// Empty if the text is not of that form.
std::optional<WorkTag> ParseWorkTag(std::string_view text);

}  // namespace guavatrail
