// Defines the encoding of endpoint updates for transmission between nodes.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "config_codec.h"
#include "endpoint_directory.h"

namespace guavatrail {

std::string EncodeEndpoints(const EndpointUpdate& update);
// Fails if the bytes are not an update, or if an entry has no node name or no valid peer port.
tl::expected<EndpointUpdate, CodecError> DecodeEndpoints(std::string_view bytes);

}  // namespace guavatrail
