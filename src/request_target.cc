#include "request_target.h"

#include "http_headers.h"

namespace guavatrail {

namespace {

std::string_view AuthorityInTarget(std::string_view target) {
  size_t scheme = target.find("://");
  if (scheme == std::string_view::npos || target.front() == '/') return {};
  std::string_view rest = target.substr(scheme + 3);
  return rest.substr(0, rest.find_first_of("/?"));
}

}  // namespace

std::string OriginFormOf(std::string_view target) {
  if (target.empty() || target.front() == '/') return std::string(target);
  size_t scheme = target.find("://");
  if (scheme == std::string_view::npos) return std::string(target);
  std::string_view rest = target.substr(scheme + 3);
  size_t path = rest.find_first_of("/?");
  if (path == std::string_view::npos) return "/";
  std::string cut(rest.substr(path));
  return cut.front() == '/' ? cut : "/" + cut;
}

std::string AuthorityOf(const HttpHead& head) {
  std::string_view authority = AuthorityInTarget(head.target);
  if (authority.empty()) authority = HeaderValue(head.headers, "Host");
  return LowerCase(authority);
}

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

}  // namespace guavatrail
