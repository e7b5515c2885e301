// Defines the encoding of crash suspects for transmission between nodes.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "config_codec.h"
#include "crash_blame.h"

namespace guavatrail {

struct SuspectMessage {
  std::vector<CrashSuspect> suspects;
  // Time for which the sender has known all quarantines; 0: it may lack some.
  int64_t complete_for_ms = 0;
};

std::string EncodeSuspects(const SuspectMessage& message);
// Fails if the bytes are no such message, or if it is larger than a node can have produced.
tl::expected<SuspectMessage, CodecError> DecodeSuspects(std::string_view bytes);

}  // namespace guavatrail
