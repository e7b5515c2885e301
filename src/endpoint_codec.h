// Defines the transmitted form of endpoint updates.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "config_codec.h"
#include "endpoint_directory.h"

namespace guavatrail {

std::string EncodeEndpoints(const EndpointUpdate& update);
// Fails on bytes that are no update, and on an entry that names no node or no usable port.
tl::expected<EndpointUpdate, CodecError> DecodeEndpoints(std::string_view bytes);

}  // namespace guavatrail
