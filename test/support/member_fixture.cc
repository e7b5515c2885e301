#include "member_fixture.h"

namespace guavatrail::test {

pb::MemberRecord MakeMember(const std::string& name, uint64_t incarnation,
                            pb::MemberStateCode state) {
  constexpr uint32_t kControlPort = 8003;
  pb::MemberRecord record;
  record.set_name(name);
  record.set_incarnation(incarnation);
  record.set_started_ms(incarnation);
  record.set_state(state);
  record.set_service("catalogo");
  record.set_region("pt-norte");
  record.set_data_centre("braga");
  record.set_ip("127.0.0.1");
  record.set_control_port(kControlPort);
  return record;
}

}  // namespace guavatrail::test
