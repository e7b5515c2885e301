// Guards against a node that ends, with all its calls, because the id in a report of a server is
// not text and cannot be stored.
#include "mesh_fixture.h"

namespace guavatrail {
namespace {

using ReportIdsAreText = MeshFixture;

TEST_F(ReportIdsAreText, ReportWithAnUnreadableIdIsRefused) {
  Vm& vm = AddVm("catalogo");
  PutConfig(7, "catalogo");
  ASSERT_EQ(SendHeartbeat(vm, "i-1"), 200);
  ASSERT_TRUE(CallUntil(vm, "/parts/1", 200));
  for (const std::string id : {"i-\xff\xfe", "i-\xc3", "i-\"x", "\xed\xa0\x80"}) {
    EXPECT_EQ(SendHeartbeat(vm, id, "ready", 5'000), 404);
    EXPECT_EQ(Deregister(vm, id), 404);
  }
  RunFor(m_loop, std::chrono::milliseconds(100));
  EXPECT_EQ(Call(vm, "/parts/1", "after")->status(), 200);
  EXPECT_EQ(SendHeartbeat(vm, "i-\xc3\xa9", "ready", 6'000), 200);
}

}  // namespace
}  // namespace guavatrail
