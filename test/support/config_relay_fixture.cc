#include "config_relay_fixture.h"

namespace guavatrail {

std::shared_ptr<const ConfigTable> MakeTable(uint64_t version) {
  return std::make_shared<const ConfigTable>(
      *ConfigTable::FromResources(version, {Service{.name = "catalogo"}}));
}

void SendStaleAnswer(FakeConnection& connection, const std::string& /*request*/) {
  connection.Send(
      "HTTP/1.1 304 Not Modified\r\nX-Guavatrail-Config-Version: 1\r\n"
      "X-Guavatrail-Config-Age-Ms: 60000\r\n\r\n");
}

}  // namespace guavatrail
