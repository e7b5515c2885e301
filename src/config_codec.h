// Defines the stored and transmitted form of notes and tables, and their digests.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "config.pb.h"
#include "config_table.h"

namespace guavatrail {

// Why bytes are not a note or a table.
struct CodecError {
  std::string message;
};

// Encoding is canonical: equal values have equal bytes. Decoding accepts canonical bytes only, so
// that every node computes the same digest from what it has decoded, and checks the values
// (ValidateNote, ConfigTable::Validate).
std::string EncodeNote(const ReleaseNote& note);
tl::expected<ReleaseNote, CodecError> DecodeNote(std::string_view bytes);
std::string EncodeTable(const ConfigTable& table);
tl::expected<ConfigTable, CodecError> DecodeTable(std::string_view bytes);

pb::ResourceRef ToProto(const ResourceRef& ref);
// Fails on a resource type that this program does not know.
tl::expected<ResourceRef, CodecError> FromProto(const pb::ResourceRef& message);

// Serializes any message with deterministic field order.
std::string SerializeCanonical(const google::protobuf::MessageLite& message);

// BLAKE2b-256 (libsodium generic hash) of the bytes as 64 lower-case hexadecimal characters.
std::string DigestOf(std::string_view bytes);

}  // namespace guavatrail
