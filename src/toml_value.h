// Defines how a value of a TOML file is shown in error messages.
#pragma once

#include <toml++/toml.h>

#include <string>

namespace guavatrail {

// The value as written, text in quotes; "a value of another type" for tables, arrays and dates.
std::string DescribeTomlValue(const toml::node& node);

}  // namespace guavatrail
