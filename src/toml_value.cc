#include "toml_value.h"

#include <sstream>

namespace guavatrail {

std::string DescribeTomlValue(const toml::node& node) {
  std::ostringstream out;
  if (auto text = node.value_exact<std::string>()) {
    out << '"' << *text << '"';
  } else if (auto integer = node.value_exact<int64_t>()) {
    out << *integer;
  } else if (auto real = node.value_exact<double>()) {
    out << *real;
  } else if (auto flag = node.value_exact<bool>()) {
    out << (*flag ? "true" : "false");
  } else {
    out << "a value of another type";
  }
  return out.str();
}

}  // namespace guavatrail
