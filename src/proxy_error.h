// Defines ProxyError, the reason why a proxy could not open its port.
#pragma once

#include <string>

namespace guavatrail {

struct ProxyError {
  std::string message;
};

}  // namespace guavatrail
