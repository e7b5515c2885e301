// Guards against a node with a wrong clock that takes a stored quarantine for ended and removes it,
// so that no node finds it after a loss of all processes.
#include "mesh_fixture.h"

namespace guavatrail {
namespace {

constexpr int64_t kMsPerMinute = 60'000;

class StoredQuarantineEnd : public MeshFixture {
 protected:
  void PutQuarantine(const std::string& name, int64_t end_ms) {
    m_store.Put("guavatrail-quarantines", name,
                {{"crashes", {"1/i-1", "1/i-2", "1/i-3"}}, {"end_ms", end_ms}});
  }
  bool IsStored(const std::string& name) const {
    return m_store.Find("guavatrail-quarantines", name) != nullptr;
  }
};

TEST_F(StoredQuarantineEnd, ObjectIsRemovedOnlyLongAfterItsEnd) {
  int64_t now_ms = EventLoop::WallMs();
  PutQuarantine("ended-by-a-wrong-clock", now_ms - 10 * kMsPerMinute);
  PutQuarantine("ended-long-ago", now_ms - 70 * kMsPerMinute);
  PutConfig(7, "catalogo");
  AddVm("catalogo");
  EXPECT_TRUE(RunUntil(m_loop, [&] { return !IsStored("ended-long-ago"); }));
  RunFor(m_loop, std::chrono::milliseconds(300));
  EXPECT_TRUE(IsStored("ended-by-a-wrong-clock"));
}

}  // namespace
}  // namespace guavatrail
