// Defines the encoding of crash suspects for transmission between nodes.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "config_codec.h"
#include "crash_blame.h"

namespace guavatrail {

std::string EncodeSuspects(std::span<const CrashSuspect> suspects);
// Fails if the bytes are no list of suspects, or if it is larger than a node can have produced.
tl::expected<std::vector<CrashSuspect>, CodecError> DecodeSuspects(std::string_view bytes);

}  // namespace guavatrail
