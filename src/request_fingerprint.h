// Defines FingerprintOf, which recognizes a request that is sent again on any connection and to any
// node, and the check of a request against the quarantine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace guavatrail {

class CrashBlame;
class DownstreamRequest;

// A digest of what a backend server gets to see of a request and what stays the same when the
// request is sent again: method, host, target, credentials and body. 32 hexadecimal digits.
std::string FingerprintOf(const DownstreamRequest& request);
// The time in ms after which a request in quarantine should return; nullopt if it may run now.
// `blame` may be null.
std::optional<int64_t> QuarantineRetryAfterMs(const CrashBlame* blame,
                                              const DownstreamRequest& request);

}  // namespace guavatrail
