// Defines the HTTP headers and timing constants on which both sides of the ConfigRelay protocol
// must agree.
#pragma once

#include <chrono>

#include "store_revision.h"

namespace guavatrail {

inline constexpr char kVersionHeader[] = "X-Guavatrail-Config-Version";
// Longest time in ms that the source waits for a change before it answers.
inline constexpr char kWaitHeader[] = "X-Guavatrail-Config-Wait-Ms";
// Time in ms since the platform last confirmed the configuration of the answering node.
inline constexpr char kConfirmationAgeHeader[] = "X-Guavatrail-Config-Age-Ms";
// Revision of the platform's store up to which the sender knows the endpoints.
inline constexpr RevisionHeaders kEndpointsHeaders{"X-Guavatrail-Endpoints-Revision",
                                                   "X-Guavatrail-Endpoints-Era"};
// Present when the body is a change from the requester's version: digest of the resulting table.
inline constexpr char kChangeDigestHeader[] = "X-Guavatrail-Config-Digest";
// Name of the requesting node.
inline constexpr char kRequesterHeader[] = "X-Guavatrail-Config-Asker";
// In a 503 answer of a source that is busy sending whole tables: the name of another node that
// holds the table; empty when the source knows none.
inline constexpr char kHolderHeader[] = "X-Guavatrail-Config-Holder";
// Time that a request waits at the source for a change.
inline constexpr std::chrono::milliseconds kLongPollWait{500};

}  // namespace guavatrail
