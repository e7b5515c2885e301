// Guards against a restarted node that says that it serves as soon as its stored version is in
// force, although it has not joined the mesh and refuses all calls, since it knows no endpoint.
#include <nlohmann/json.hpp>

#include "control_fixture.h"
#include "fake_server.h"
#include "node.h"
#include "publish_fixture.h"
#include "test_loop.h"

namespace guavatrail {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Shorter and longer than the time after which a node counts as the only one of its mesh, 3 s.
constexpr milliseconds kJoinLimit{2'000};
constexpr milliseconds kAloneLimit{6'000};

class NodeStatusBeforeJoin : public PublishFixture {
 protected:
  NodeStatusBeforeJoin() {
    EXPECT_TRUE(std::holds_alternative<Published>(Publish(AddService("first", "catalogo"))));
  }

  Settings MakeSettings(const std::string& name, const std::vector<std::string>& seeds) {
    Settings settings;
    settings.node = {name, "catalogo", "pt-norte", "braga"};
    settings.listen.ip = "127.0.0.1";
    for (int64_t* port : {&settings.listen.caller_port, &settings.listen.peer_port,
                          &settings.listen.control_port, &settings.listen.admin_port}) {
      *port = test::FreePort();
    }
    settings.server.ip = "127.0.0.1";
    settings.server.port = test::FreePort();
    settings.platform.ip = "127.0.0.1";
    settings.platform.port = m_platform.port();
    settings.membership.seeds = seeds;
    settings.control = {m_keys.public_key, m_keys.secret_key};
    return settings;
  }

  // Runs until the node answers the query, and returns the body.
  json Query(const Settings& settings, const std::string& path) {
    FakeClient client(m_loop, static_cast<uint16_t>(settings.listen.admin_port));
    client.Send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(RunUntil(m_loop, [&] { return client.HasCompleteAnswer(); }));
    return json::parse(client.body());
  }

  // Runs until the field of the status has this value, for at most `limit`.
  bool BecomesStatus(const Settings& settings, const std::string& field, const json& value,
                     milliseconds limit) {
    int64_t end_us = EventLoop::NowUs() + std::chrono::microseconds(limit).count();
    while (EventLoop::NowUs() < end_us) {
      if (Query(settings, "/v1/status")[field] == value) return true;
      RunFor(milliseconds(2));
    }
    return false;
  }

  test::KeyPair m_keys = test::MakeKeyPair();
};

TEST_F(NodeStatusBeforeJoin, VersionInForceIsNotEnough) {
  Settings settings = MakeSettings("a0", {"127.0.0.1:1"});
  Node node(m_loop, settings);
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(BecomesStatus(settings, "version", 1, kJoinLimit));
  EXPECT_EQ(Query(settings, "/v1/status")["state"], "starting");
  EXPECT_TRUE(BecomesStatus(settings, "state", "serving", kAloneLimit))
      << "it is the only node of its mesh";
}

TEST_F(NodeStatusBeforeJoin, EndsOnceTheMembersAreKnown) {
  Settings first_settings = MakeSettings("a0", {});
  Node first(m_loop, first_settings);
  ASSERT_TRUE(first.Start());
  ASSERT_TRUE(BecomesStatus(first_settings, "state", "serving", kAloneLimit));
  std::string seed = "127.0.0.1:" + std::to_string(first_settings.listen.control_port);
  Settings settings = MakeSettings("a1", {seed});
  Node node(m_loop, settings);
  ASSERT_TRUE(node.Start());
  ASSERT_TRUE(BecomesStatus(settings, "state", "serving", kJoinLimit));
  EXPECT_EQ(Query(settings, "/v1/members").size(), 2U);
}

}  // namespace
}  // namespace guavatrail
