// Defines the headers by which ConfigRelays ask and answer each other, and what both sides of it
// must agree on.
#pragma once

#include <chrono>

namespace guavatrail {

inline constexpr char kVersionHeader[] = "X-Guavatrail-Config-Version";
// Longest time to wait for a change before the answer, in ms.
inline constexpr char kWaitHeader[] = "X-Guavatrail-Config-Wait-Ms";
// Time since the platform confirmed the configuration, in ms.
inline constexpr char kAgeHeader[] = "X-Guavatrail-Config-Age-Ms";
// Revision of the platform's store up to which the endpoints are known.
inline constexpr char kEndpointsHeader[] = "X-Guavatrail-Endpoints-Revision";
// The body is a change from the asker's version, and this is the digest of its result.
inline constexpr char kChangeHeader[] = "X-Guavatrail-Config-Digest";
// The node that asks.
inline constexpr char kAskerHeader[] = "X-Guavatrail-Config-Asker";
// On a refusal of a source that is sending other whole tables: a node that holds the table, or
// nothing when none is known.
inline constexpr char kHolderHeader[] = "X-Guavatrail-Config-Holder";
// A question waits at the source for a change for this time.
inline constexpr std::chrono::milliseconds kQuestionWait{500};

}  // namespace guavatrail
