// Defines DescribeTomlValue, which formats the values of TOML files for error messages.
#pragma once

#include <string>

// In builds with assertions, toml++ 3.3 aborts on some malformed documents that it reports as
// errors otherwise. A malformed note or settings file must not end the process in any build.
#define TOML_ASSERT(expr) static_cast<void>(0)
#include <toml++/toml.h>

namespace guavatrail {

// Returns the value with strings in quotes, or "a value of another type" for tables, arrays and
// dates.
std::string DescribeTomlValue(const toml::node& node);

}  // namespace guavatrail
