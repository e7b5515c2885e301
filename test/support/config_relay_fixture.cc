#include "config_relay_fixture.h"

namespace guavatrail {

std::shared_ptr<const ConfigTable> MakeTable(uint64_t version) {
  return std::make_shared<const ConfigTable>(
      *ConfigTable::FromResources(version, {Service{.name = "catalogo"}}));
}

std::shared_ptr<const EndpointList> MakeSourceEndpoints(uint16_t source_port) {
  std::vector<Endpoint> endpoints(2);
  endpoints[0] = {.node = "node-1", .data_centre = "braga", .link_mbps = 7};
  endpoints[1] = {.node = "node-2", .data_centre = "braga", .ip = "127.0.0.1"};
  endpoints[1].link_mbps = 140;
  endpoints[1].peer_port = source_port;
  return std::make_shared<const EndpointList>(std::move(endpoints));
}

void SendStaleAnswer(FakeConnection& connection, const std::string& /*request*/) {
  connection.Send(
      "HTTP/1.1 304 Not Modified\r\nX-Guavatrail-Config-Version: 1\r\n"
      "X-Guavatrail-Config-Age-Ms: 60000\r\n\r\n");
}

}  // namespace guavatrail
