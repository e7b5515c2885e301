// Defines AgentMesh, a test fixture that runs the delivery agents of several nodes in one process,
// connected by an in-memory network with fault injection and sharing one in-process platform.
#pragma once

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "delivery_agent.h"
#include "publish_fixture.h"

namespace guavatrail {

class AgentMesh : public PublishFixture {
 protected:
  struct Node {
    std::string name;
    std::string data_centre;
    uint64_t incarnation = 1;
    pb::MemberStateCode state = pb::MEMBER_ALIVE;
    bool is_hung = false;  // Neither receives nor sends messages.
    std::unique_ptr<PlatformClient> client;
    std::unique_ptr<Metrics> metrics;
    std::unique_ptr<DeliveryAgent> agent;
    // Versions in the order in which they came into force, across restarts.
    std::vector<uint64_t> in_force;
  };

  AgentMesh()
      : m_network(m_loop, [this] { DeliverAll(); }),
        m_heartbeat(m_loop, [this] { SendHeartbeats(); }) {
    m_heartbeat.Start(kHeartbeat);
  }
  // Agents hold references to the network and the platform client.
  void TearDown() override {
    for (auto& node : m_nodes) node->agent.reset();
  }

  // Adds `count` nodes in two data centres and starts them.
  void StartNodes(size_t count, const std::string& mode = "relay") {
    m_mode = mode;
    for (size_t i = 0; i < count; ++i) {
      auto node = std::make_unique<Node>();
      node->name = "node-" + std::to_string(i);
      node->data_centre = i % 2 == 0 ? "east" : "west";
      m_nodes.push_back(std::move(node));
    }
    for (size_t i = 0; i < count; ++i) StartNode(i);
  }

  void StartNode(size_t i) {
    Node& node = *m_nodes[i];
    node.agent.reset();
    node.client = std::make_unique<PlatformClient>(
        m_loop, PlatformClient::Options{"127.0.0.1", m_platform.port(), kPlatformTimeout});
    node.metrics = std::make_unique<Metrics>();
    Settings settings;
    settings.node = {node.name, "service", "region", node.data_centre};
    settings.delivery.mode = m_mode;
    settings.delivery.pull_timeout_ms = 100;
    DeliveryCallbacks callbacks;
    callbacks.send = [this, i](std::string_view to, const pb::ControlMessage& message) {
      m_queue.push_back({i, std::string(to), message});
      if (!m_network.IsPending()) m_network.Start(std::chrono::microseconds(100));
    };
    callbacks.neighbours = [this, i] { return NeighboursOf(i); };
    callbacks.members = [this, i] { return MembersFor(i); };
    callbacks.on_version_in_force = [this, i](uint64_t version) {
      m_nodes[i]->in_force.push_back(version);
    };
    node.agent = std::make_unique<DeliveryAgent>(m_loop, settings, node.incarnation, *node.client,
                                                 *node.metrics, m_random, std::move(callbacks));
    node.agent->Start();
  }

  void RestartNode(size_t i) {
    ++m_nodes[i]->incarnation;
    StartNode(i);
    for (auto& node : m_nodes) node->agent->OnMembershipChanged();
  }

  void SetState(size_t i, pb::MemberStateCode state) {
    m_nodes[i]->state = state;
    for (auto& node : m_nodes) node->agent->OnMembershipChanged();
  }

  // Runs until all nodes that are not hung have `version` in force, or until `limit` has passed.
  bool WaitForVersion(uint64_t version, std::chrono::milliseconds limit) {
    int64_t end_us = EventLoop::NowUs() + std::chrono::microseconds(limit).count();
    while (EventLoop::NowUs() < end_us) {
      if (AllHaveVersion(version)) return true;
      RunFor(std::chrono::milliseconds(5));
    }
    return AllHaveVersion(version);
  }

  bool AllHaveVersion(uint64_t version) const {
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& node) {
      return node->is_hung ||
             (node->agent->table() != nullptr && node->agent->version() == version);
    });
  }

  void ExpectVersionsMonotonic() const {
    for (const auto& node : m_nodes) {
      EXPECT_TRUE(std::is_sorted(node->in_force.begin(), node->in_force.end())) << node->name;
    }
  }

  static constexpr std::chrono::milliseconds kHeartbeat{50};
  struct Message {
    size_t from;
    std::string to;
    pb::ControlMessage message;
  };

  // The two predecessors and two successors on a ring of all nodes.
  std::vector<std::string> NeighboursOf(size_t i) const {
    std::set<std::string> names;
    for (size_t step : {size_t{1}, size_t{2}, m_nodes.size() - 1, m_nodes.size() - 2}) {
      size_t other = (i + step) % m_nodes.size();
      if (other != i) names.insert(m_nodes[other]->name);
    }
    return {names.begin(), names.end()};
  }

  std::vector<pb::MemberRecord> MembersFor(size_t i) const {
    std::vector<pb::MemberRecord> members;
    for (const auto& node : m_nodes) {
      if (node == m_nodes[i]) continue;
      pb::MemberRecord record;
      record.set_name(node->name);
      record.set_data_centre(node->data_centre);
      record.set_incarnation(node->incarnation);
      record.set_started_ms(node->incarnation);
      record.set_state(node->state);
      members.push_back(std::move(record));
    }
    return members;
  }

  Node* Find(std::string_view name) const {
    for (const auto& node : m_nodes) {
      if (node->name == name) return node.get();
    }
    return nullptr;
  }

  void DeliverAll() {
    std::deque<Message> queue;
    queue.swap(m_queue);
    for (const Message& message : queue) {
      Node* to = Find(message.to);
      const Node& from = *m_nodes[message.from];
      if (to->is_hung || from.is_hung) continue;
      to->agent->OnMessage(from.name, message.message);
    }
  }

  void SendHeartbeats() {
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      const Node& from = *m_nodes[i];
      for (const std::string& name : NeighboursOf(i)) {
        Node* to = Find(name);
        if (from.is_hung || to->is_hung || !m_heartbeats_on) continue;
        to->agent->OnNeighbourState(from.name, from.agent->version(), from.agent->HeadAgeMs());
      }
    }
    m_heartbeat.Start(kHeartbeat);
  }

  std::vector<std::unique_ptr<Node>> m_nodes;
  std::string m_mode;
  bool m_heartbeats_on = true;
  std::deque<Message> m_queue;
  Timer m_network;
  Timer m_heartbeat;
};

}  // namespace guavatrail
