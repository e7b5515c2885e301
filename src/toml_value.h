// Defines how a value of a TOML file is shown in error messages.
#pragma once

#include <string>

// In builds with assertions toml++ 3.3 aborts on some malformed documents that it otherwise reports
// as errors; a bad note or settings file must not end the process in any build.
#define TOML_ASSERT(expr) static_cast<void>(0)
#include <toml++/toml.h>

namespace guavatrail {

// The value as written, text in quotes; "a value of another type" for tables, arrays and dates.
std::string DescribeTomlValue(const toml::node& node);

}  // namespace guavatrail
