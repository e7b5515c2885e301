#include "endpoint_codec.h"

#include <cstdint>

namespace guavatrail {

namespace {

pb::EndpointEntry ToProto(const EndpointEntry& entry) {
  const Endpoint& endpoint = entry.endpoint;
  pb::EndpointEntry out;
  out.set_node(endpoint.node);
  out.set_is_gone(entry.is_gone);
  if (entry.is_gone) return out;
  out.set_revision(entry.revision.number);
  out.set_incarnation(endpoint.incarnation);
  out.set_service(endpoint.service);
  out.set_region(endpoint.region);
  out.set_data_centre(endpoint.data_centre);
  out.set_ip(endpoint.ip);
  out.set_peer_port(endpoint.peer_port);
  out.set_slots(endpoint.slots);
  out.set_link_mbps(endpoint.link_mbps);
  out.set_draining(endpoint.draining);
  out.set_version(endpoint.version);
  out.set_is_canary(endpoint.is_canary);
  return out;
}

EndpointEntry FromProto(const pb::EndpointEntry& message, uint64_t era) {
  EndpointEntry entry{.revision = {message.revision(), era}, .is_gone = message.is_gone()};
  Endpoint& endpoint = entry.endpoint;
  endpoint.node = message.node();
  endpoint.incarnation = message.incarnation();
  endpoint.service = message.service();
  endpoint.region = message.region();
  endpoint.data_centre = message.data_centre();
  endpoint.ip = message.ip();
  endpoint.peer_port = static_cast<uint16_t>(message.peer_port());
  endpoint.slots = message.slots();
  endpoint.link_mbps = message.link_mbps();
  endpoint.draining = message.draining();
  endpoint.version = message.version();
  endpoint.is_canary = message.is_canary();
  return entry;
}

}  // namespace

std::string EncodeEndpoints(const EndpointUpdate& update) {
  pb::EndpointUpdate out;
  out.set_revision(update.revision.number);
  out.set_era(update.revision.era);
  out.set_is_whole(update.is_whole);
  for (const EndpointEntry& entry : update.entries) *out.add_entries() = ToProto(entry);
  return SerializeCanonical(out);
}

tl::expected<EndpointUpdate, CodecError> DecodeEndpoints(std::string_view bytes) {
  auto fail = [](const char* message) { return tl::make_unexpected(CodecError{message}); };
  pb::EndpointUpdate message;
  bool is_parsed = bytes.size() <= INT32_MAX &&
                   message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  if (!is_parsed) return fail("bytes are not an encoded EndpointUpdate");
  EndpointUpdate update{.revision = {message.revision(), message.era()},
                        .is_whole = message.is_whole()};
  for (const pb::EndpointEntry& entry : message.entries()) {
    if (entry.node().empty()) return fail("endpoint entry: no node name");
    bool has_port = entry.peer_port() > 0 && entry.peer_port() <= UINT16_MAX;
    if (!entry.is_gone() && !has_port) return fail("endpoint entry: peer port not in 1..65535");
    update.entries.push_back(FromProto(entry, message.era()));
  }
  return update;
}

}  // namespace guavatrail
