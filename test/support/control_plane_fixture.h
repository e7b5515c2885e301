// Defines ControlPlaneFleet, a test fixture that runs the control planes of several nodes on one
// event loop.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "control_fixture.h"
#include "control_plane.h"
#include "fake_platform.h"

namespace guavatrail::test {

struct FleetNode {
  FleetNode(EventLoop& loop, Settings s, uint64_t seed)
      : settings(std::move(s)),
        random(seed),
        platform(loop, {settings.platform.ip, static_cast<uint16_t>(settings.platform.port)}),
        plane(std::make_unique<ControlPlane>(loop, settings, platform, metrics, random)) {}

  std::string Address() const {
    return settings.listen.ip + ":" + std::to_string(settings.listen.control_port);
  }
  std::shared_ptr<const EndpointList> Endpoints() const { return plane->view().endpoints(); }
  bool HasMemberInState(const std::string& name, MemberState state) const {
    auto endpoints = Endpoints();
    const Endpoint* endpoint = endpoints->FindNode(name);
    return endpoint != nullptr && endpoint->state == state;
  }
  Settings settings;
  RandomSource random;
  Metrics metrics;
  PlatformClient platform;
  std::unique_ptr<ControlPlane> plane;
};

class ControlPlaneFleet : public testing::Test {
 protected:
  static constexpr int64_t kHeartbeatMs = 100;
  static constexpr int64_t kLimitMs = 20'000;

  Settings MakeSettings(const std::string& name, const std::string& data_centre = "braga") {
    Settings settings;
    settings.node = {name, "catalogo", "pt-norte", data_centre};
    settings.listen.ip = "127.0.0.1";
    settings.listen.control_port = FreePort();
    settings.platform.ip = "127.0.0.1";
    // Nothing listens on port 1.
    settings.platform.port = platform == nullptr ? 1 : platform->port();
    settings.membership.heartbeat_ms = kHeartbeatMs;
    settings.membership.suspicion_ms = 3 * kHeartbeatMs;
    settings.control = {keys.public_key, keys.secret_key};
    return settings;
  }
  FleetNode& Start(const Settings& settings) {
    nodes.push_back(std::make_unique<FleetNode>(loop, settings, nodes.size() + 1));
    auto started = nodes.back()->plane->Start();
    EXPECT_TRUE(started) << started.error().message;
    return *nodes.back();
  }
  // Starts nodes a0, a1, ... with a0 as the seed of the others.
  void StartSeeded(int count) {
    for (int i = 0; i < count; ++i) {
      Settings settings = MakeSettings("a" + std::to_string(i));
      if (i > 0) settings.membership.seeds = {nodes[0]->Address()};
      Start(settings);
    }
    ASSERT_TRUE(Await([this] { return MembershipConverged(); }));
  }
  bool MembershipConverged() const {
    for (const auto& node : nodes) {
      for (const auto& other : nodes) {
        if (!node->HasMemberInState(other->settings.node.name, MemberState::kAlive)) return false;
      }
    }
    return true;
  }
  bool Await(const std::function<bool()>& done, int64_t limit_ms = kLimitMs) {
    return RunUntil(loop, done, limit_ms);
  }
  void RunFor(int64_t ms) {
    RunUntil(
        loop, [] { return false; }, ms);
  }

  EventLoop loop;
  KeyPair keys = MakeKeyPair();
  std::unique_ptr<FakePlatform> platform;  // Null: no platform.
  std::vector<std::unique_ptr<FleetNode>> nodes;
};

}  // namespace guavatrail::test
