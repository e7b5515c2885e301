// Defines how the path and the host of a request are derived from its head.
#pragma once

#include <string>
#include <string_view>

#include "http_reader.h"

namespace guavatrail {

// The target in origin form: an absolute URI, as sent to forward proxies, is reduced to its path
// and query.
std::string OriginFormOf(std::string_view target);
// The requested host in lower case, with the port if the request names one; may be empty.
std::string AuthorityOf(const HttpHead& head);
// The path of a target in origin form, without the query.
std::string_view PathOf(std::string_view target);

}  // namespace guavatrail
