// Defines FingerprintOf, which recognizes a request that is sent again on any connection and to any
// node, FamilyFingerprintOf, which recognizes it with another cookie or query too, and the check of
// a request against the quarantine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace guavatrail {

class CrashBlame;
class DownstreamRequest;

// A digest of what a backend server gets to see of a request and what stays the same when the
// request is sent again: method, host, target, credentials and body. 32 hexadecimal digits.
std::string FingerprintOf(const DownstreamRequest& request);
// A digest of what stays the same when a client changes the cookie and the query: method, host,
// path, workspace, authorization and body. CrashBlame::kFamilyPrefix and 32 hexadecimal digits.
// `workspace` is empty if the request belongs to none.
std::string FamilyFingerprintOf(const DownstreamRequest& request, std::string_view workspace);
// The fingerprint under which the request is in quarantine: that of its family or its own; its own
// if it is in none.
std::string QuarantineFingerprintOf(const CrashBlame& blame, const DownstreamRequest& request,
                                    std::string_view workspace);
// The time in ms after which a request in quarantine should return; nullopt if it may run now.
// `blame` may be null.
std::optional<int64_t> QuarantineRetryAfterMs(const CrashBlame* blame,
                                              const DownstreamRequest& request,
                                              std::string_view workspace);

}  // namespace guavatrail
