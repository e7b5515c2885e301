#include "node.h"

#include <glog/logging.h>

#include <random>

#include "admin_server.h"
#include "burn.h"
#include "control_plane.h"
#include "entry_proxy.h"
#include "loop_monitor.h"
#include "metrics.h"
#include "platform_client.h"
#include "port_budget.h"
#include "random_source.h"
#include "serving_proxy.h"

namespace guavatrail {

namespace {

// After a drain starts, the node keeps its ports open for at least this time, in which its drain
// becomes known to other nodes. Entry nodes that do not know of it yet learn it from refusals.
constexpr std::chrono::milliseconds kMinDrainTime{1000};

PlatformClient::Options PlatformOptions(const Settings& settings) {
  return {settings.platform.ip, static_cast<uint16_t>(settings.platform.port),
          std::chrono::milliseconds(settings.platform.timeout_ms)};
}

std::string_view StateName(pb::MemberStateCode state) {
  switch (state) {
    case pb::MEMBER_ALIVE:
      return "alive";
    case pb::MEMBER_SUSPECT:
      return "suspect";
    case pb::MEMBER_DEAD:
      return "dead";
    case pb::MEMBER_LEFT:
      return "left";
    default:
      return "unknown";
  }
}

nlohmann::json ToJson(const pb::MemberRecord& record) {
  return {{"name", record.name()},
          {"incarnation", record.incarnation()},
          {"state", StateName(record.state())},
          {"draining", record.draining()},
          {"service", record.service()},
          {"region", record.region()},
          {"data_centre", record.data_centre()},
          {"ip", record.ip()},
          {"caller_port", record.caller_port()},
          {"peer_port", record.peer_port()},
          {"control_port", record.control_port()},
          {"admin_port", record.admin_port()},
          {"slots", record.slots()},
          {"config_version", record.config_version()}};
}

}  // namespace

struct Node::Impl {
  Impl(EventLoop& event_loop, const Settings& node_settings)
      : loop(event_loop),
        settings(node_settings),
        random(std::random_device{}()),
        loop_monitor(loop, metrics),
        platform(loop, PlatformOptions(settings)),
        control(loop, settings, platform, metrics, random),
        serving(loop, settings, control.incarnation(), metrics, random),
        entry(loop, settings, control.view(), metrics, random,
              [this](const CallRecord& record) { RecordCall(record); }),
        admin(loop, MakeAdminCallbacks()),
        leave_timer(loop, [this] { Leave(); }) {
    serving.SetMemory(memory);
    entry.SetMemory(memory);
    admin.SetPortLimits(BudgetOf(settings).service);
    admin.SetMemory(memory);
    admin.SetMetrics(metrics);
    serving.SetLocalBodies(local_bodies);
    entry.SetLocalBodies(local_bodies);
  }
  ~Impl() { memory->DetachMetrics(); }

  AdminCallbacks MakeAdminCallbacks();
  nlohmann::json Status() const;
  nlohmann::json Members() const;
  void RecordCall(const CallRecord& record);
  void StartDrain();
  void OnIdle();
  void StopEntry();
  void Leave();

  EventLoop& loop;
  Settings settings;
  RandomSource random;
  Metrics metrics;
  std::shared_ptr<RequestMemory> memory =
      std::make_shared<RequestMemory>(settings.listen.memory_mb, metrics);
  LocalBodies local_bodies;
  LoopMonitor loop_monitor;
  BurnRecorder burn;
  PlatformClient platform;
  ControlPlane control;
  ServingProxy serving;
  EntryProxy entry;
  AdminServer admin;
  Timer leave_timer;
  int64_t drain_start_us = 0;
  bool is_draining = false;
  bool is_idle = false;
  bool is_stopping = false;
};

AdminCallbacks Node::Impl::MakeAdminCallbacks() {
  AdminCallbacks callbacks = MetricsCallbacks(metrics, burn, settings.node.name);
  callbacks.status = [this] { return Status(); };
  callbacks.members = [this] { return Members(); };
  callbacks.start_drain = [this] { StartDrain(); };
  return callbacks;
}

nlohmann::json Node::Impl::Status() const {
  uint64_t version = control.delivery().version();
  std::string_view state = "serving";
  // Without the members, calls are refused: a stored version may be in force before the node joins.
  bool can_serve = version != 0 && control.KnowsMembers() && !control.IsInConflict();
  if (!can_serve) state = "starting";
  if (is_draining) state = is_idle ? "drained" : "draining";
  return {{"name", settings.node.name},
          {"incarnation", control.incarnation()},
          {"version", version},
          {"state", state}};
}

nlohmann::json Node::Impl::Members() const {
  nlohmann::json list = nlohmann::json::array();
  for (const pb::MemberRecord& record : control.Members()) list.push_back(ToJson(record));
  return list;
}

void Node::Impl::RecordCall(const CallRecord& record) {
  burn.Record(record.service, record.kind, record.outcome, record.latency_us, EventLoop::NowUs());
}

void Node::Impl::StartDrain() {
  if (is_draining) return;
  is_draining = true;
  drain_start_us = EventLoop::NowUs();
  LOG(INFO) << "event=drain_started node=" << settings.node.name;
  control.SetDraining(true);
  serving.StartDrain([this] { OnIdle(); });
}

void Node::Impl::OnIdle() {
  LOG(INFO) << "event=drain_finished node=" << settings.node.name
            << " duration_ms=" << (EventLoop::NowUs() - drain_start_us) / 1000;
  is_idle = true;
  if (is_stopping) StopEntry();
}

// The entry proxy stops last: requests that run on the backend server may need calls through it.
void Node::Impl::StopEntry() {
  entry.StartDrain([this] { Leave(); });
}

void Node::Impl::Leave() {
  auto drain_end_us = drain_start_us + std::chrono::microseconds(kMinDrainTime).count();
  int64_t wait_us = drain_end_us - EventLoop::NowUs();
  if (wait_us > 0) {
    leave_timer.Start(std::chrono::microseconds(wait_us));
    return;
  }
  control.Leave([this] { loop.Stop(); });
}

Node::Node(EventLoop& loop, const Settings& settings)
    : m_impl(std::make_unique<Impl>(loop, settings)) {}

Node::~Node() = default;

tl::expected<void, NodeError> Node::Start() {
  const Settings& settings = m_impl->settings;
  if (auto listening = m_impl->serving.Listen(); !listening) {
    return tl::make_unexpected(NodeError{listening.error().message});
  }
  if (auto listening = m_impl->entry.Listen(); !listening) {
    return tl::make_unexpected(NodeError{listening.error().message});
  }
  auto admin =
      m_impl->admin.Listen(settings.listen.ip, static_cast<uint16_t>(settings.listen.admin_port));
  if (!admin) return tl::make_unexpected(NodeError{admin.error().message});
  if (auto started = m_impl->control.Start(); !started) {
    return tl::make_unexpected(NodeError{started.error().message});
  }
  LOG(INFO) << "event=started node=" << settings.node.name
            << " incarnation=" << m_impl->control.incarnation()
            << " service=" << settings.node.service << " data_centre=" << settings.node.data_centre;
  return {};
}

void Node::Stop() {
  if (m_impl->is_stopping) return;
  m_impl->is_stopping = true;
  bool was_idle = m_impl->is_idle;
  m_impl->StartDrain();
  // If the node was drained before, OnIdle has already run and will not stop the entry proxy.
  if (was_idle) m_impl->StopEntry();
}

}  // namespace guavatrail
