// Defines the encoding of notes and tables for storage and transmission, and their digests.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "config.pb.h"
#include "config_table.h"

namespace guavatrail {

// Describes why bytes cannot be decoded as a note or a table.
struct CodecError {
  std::string message;
};

// Encoding is canonical: equal values have equal bytes. Decoding accepts canonical bytes only, so
// that every node computes the same digest from a decoded value, and validates the values
// (ValidateNote, ConfigTable::Validate).
std::string EncodeNote(const ReleaseNote& note);
tl::expected<ReleaseNote, CodecError> DecodeNote(std::string_view bytes);
// Decodes the encoded result of ConfigTable::ChangeSince (ValidateChange).
tl::expected<ReleaseNote, CodecError> DecodeChange(std::string_view bytes);
std::string EncodeTable(const ConfigTable& table);
tl::expected<ConfigTable, CodecError> DecodeTable(std::string_view bytes);

pb::ResourceRef ToProto(const ResourceRef& ref);
// Fails on an unknown resource type.
tl::expected<ResourceRef, CodecError> FromProto(const pb::ResourceRef& message);

// Serializes a message deterministically.
std::string SerializeCanonical(const google::protobuf::MessageLite& message);

// Returns the BLAKE2b-256 hash (libsodium generic hash) of the bytes as 64 lower-case hexadecimal
// digits.
std::string DigestOf(std::string_view bytes);

}  // namespace guavatrail
