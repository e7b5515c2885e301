// Defines ProxyError, why a port could not be opened.
#pragma once

#include <string>

namespace guavatrail {

struct ProxyError {
  std::string message;
};

}  // namespace guavatrail
