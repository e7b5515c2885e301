#include "delivery_agent.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>

#include "config_store.h"
#include "delivery.h"
#include "head_confirmer.h"
#include "head_watcher.h"
#include "promise_exchange.h"
#include "version_guard.h"

namespace guavatrail {

namespace {

// Without news of a check of the head for this long, a node reads the head itself.
constexpr int64_t kHeadAgeLimitMs = 5'000;
// Spreads the reads of nodes that have all stopped hearing of a check.
constexpr int64_t kPollJitterMs = 2'000;
// A head that was never known to be current counts as this old.
constexpr int64_t kUnknownHeadAgeMs = 60'000;
// Spreads the first reads of nodes that start together.
constexpr int64_t kStartJitterMs = 250;
// A node that has read a newer head waits this long for an announcer before it reads the notes from
// the platform, so that a group of nodes that starts does not read them all there.
constexpr int64_t kAnnouncerGraceMs = 500;
// Membership news come in bursts; the choices of watchers and keepers follow once per burst.
constexpr int64_t kMembershipDelayMs = 20;
constexpr int64_t kFirstFetchBackoffMs = 200;
constexpr int64_t kLongestFetchBackoffMs = 5'000;
constexpr int64_t kFirstBusyMs = 200;
constexpr uint64_t kBusyJitterMs = 300;

int64_t NowMs() { return EventLoop::NowUs() / 1000; }

}  // namespace

struct DeliveryAgent::Impl {
  Impl(EventLoop& loop, const Settings& settings, uint64_t incarnation, PlatformClient& platform,
       Metrics& metrics, RandomSource& random, DeliveryCallbacks ports);

  void Start();
  void OnMessage(std::string_view node, const pb::ControlMessage& message);
  void OnNeighbourState(std::string_view node, uint64_t version, int64_t head_age_ms);

  // Platform.
  void OnHead(const HeadObject& object);
  void OnHeadConfirmed(uint64_t version, int64_t sent_ms);
  void FetchFromPlatform();
  void OnUpdates(tl::expected<TableUpdates, StoreError> updates);
  void PollIfDue(int64_t now_ms);
  void FetchIfDue(int64_t now_ms);

  // Other nodes.
  void Announce();
  void PullIfDue(int64_t now_ms);
  void AskForNotes(const std::string& node);
  void OnNotesRequest(std::string_view node, const pb::NotesRequest& request);
  void OnNotesReply(std::string_view node, const pb::NotesReply& reply);
  void OnSnapshotPart(std::string_view node, const pb::NotesReply& reply);
  void UpdateMembership();

  // The table. Returns whether it moved up.
  bool Take(std::shared_ptr<const ConfigTable> base, const std::vector<EncodedNote>& notes,
            bool& digest_differed);
  void StepVersionGuard(int64_t now_ms);
  void Step();

  const Settings m_settings;
  PlatformClient& m_platform;
  Metrics& m_metrics;
  RandomSource& m_random;
  DeliveryCallbacks m_ports;
  const bool m_watch_all;
  const bool m_relay;

  std::shared_ptr<const ConfigTable> m_held = std::make_shared<const ConfigTable>();
  std::shared_ptr<const ConfigTable> m_in_force;
  std::string m_last_note;  // Id of the note at the held version; empty when not known.

  ConfigHead m_head;
  HeadObject m_last_read;  // With the bytes that a confirmation writes again.
  HeadConfirmer m_confirmer;
  int64_t m_head_current_ms;
  HeadWatcher m_watcher;
  int64_t m_poll_ms = INT64_MAX;   // When to read the head; INT64_MAX while it is not too old.
  int64_t m_fetch_ms = INT64_MAX;  // When to read notes from the platform.
  bool m_fetching = false;
  Backoff m_fetch_backoff{kFirstFetchBackoffMs, kLongestFetchBackoffMs};
  uint64_t m_counted_calls = 0;

  PullScheduler m_pulls;
  uint64_t m_request_id;
  SnapshotAssembler m_assembler;
  NoteWindow m_window;
  SnapshotServer m_snapshots;
  std::map<std::string, uint64_t, std::less<>> m_announced;
  int64_t m_membership_ms = 0;  // When to look at the membership; INT64_MAX while nothing changed.

  GuardState m_guard;
  PromiseExchange m_keepers;
  const uint64_t m_confirm_jitter;
  int64_t m_guard_next_ms = 0;

  Timer m_timer;
  Timer m_start;
  // Answers of the platform that arrive after destruction are dropped.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

DeliveryAgent::Impl::Impl(EventLoop& loop, const Settings& settings, uint64_t incarnation,
                          PlatformClient& platform, Metrics& metrics, RandomSource& random,
                          DeliveryCallbacks ports)
    : m_settings(settings),
      m_platform(platform),
      m_metrics(metrics),
      m_random(random),
      m_ports(std::move(ports)),
      m_watch_all(settings.delivery.mode == "watch_all"),
      m_relay(settings.delivery.mode == "relay"),
      m_confirmer(platform,
                  {[this](uint64_t version, int64_t sent_ms) { OnHeadConfirmed(version, sent_ms); },
                   [this] { m_watcher.ReadOnce(); }, [] {}}),
      m_head_current_ms(NowMs() - kUnknownHeadAgeMs),
      m_watcher(loop, platform, random, metrics, settings.platform.watch_ms,
                {[this](const HeadObject& head) { OnHead(head); },
                 [this] {
                   m_head_current_ms = NowMs();
                   Step();
                 },
                 [this] {
                   RecordPlatformFailure(m_guard);
                   Step();
                 }}),
      m_pulls(settings.delivery.pull_timeout_ms),
      m_request_id(random.Next()),
      m_keepers(m_guard, incarnation, random.Next(),
                [this](std::string_view node, const pb::ControlMessage& message) {
                  m_ports.send(node, message);
                }),
      m_confirm_jitter(random.Next()),
      m_timer(loop, [this] { Step(); }),
      m_start(loop, [this] { m_watcher.ReadOnce(); }) {
  m_guard.start_ms = NowMs();
  m_guard.timing.confirm_repeat_ms = ConfirmRepeatMs(m_random);
}

void DeliveryAgent::Impl::Start() {
  m_start.Start(std::chrono::milliseconds(m_random.Below(kStartJitterMs)));
  Step();
}

void DeliveryAgent::Impl::OnHead(const HeadObject& object) {
  m_head_current_ms = NowMs();
  m_last_read = object;
  RecordHead(m_guard, object.head.version);
  if (object.head.version >= m_head.version) m_head = object.head;
  bool behind = m_head.version > m_held->version();
  if (behind && m_fetch_ms == INT64_MAX) {
    // Watchers bring the notes to the data centre; other nodes hear of them.
    bool at_once = m_watcher.watching();
    int64_t jitter = static_cast<int64_t>(m_random.Below(kAnnouncerGraceMs));
    m_fetch_ms = at_once ? m_head_current_ms : m_head_current_ms + kAnnouncerGraceMs + jitter;
  }
  Step();
}

void DeliveryAgent::Impl::OnHeadConfirmed(uint64_t version, int64_t sent_ms) {
  m_keepers.RecordConfirmation(version, sent_ms);
  Step();
}

void DeliveryAgent::Impl::FetchIfDue(int64_t now_ms) {
  if (m_head.version <= m_held->version()) {
    m_fetch_ms = INT64_MAX;
    return;
  }
  if (m_fetching || now_ms < m_fetch_ms) return;
  FetchFromPlatform();
}

void DeliveryAgent::Impl::FetchFromPlatform() {
  m_fetching = true;
  ReadTableUpdates(m_platform, m_head, m_held,
                   [this, alive = std::weak_ptr<int>(m_alive)](auto updates) {
                     if (!alive.expired()) OnUpdates(std::move(updates));
                   });
}

void DeliveryAgent::Impl::OnUpdates(tl::expected<TableUpdates, StoreError> updates) {
  m_fetching = false;
  bool damaged = false;
  if (updates) {
    std::vector<EncodedNote> notes;
    notes.reserve(updates->notes.size());
    for (auto& [entry, bytes] : updates->notes) {
      notes.push_back({entry.version, entry.digest, std::move(bytes)});
    }
    Take(updates->base, notes, damaged);
  }
  if (updates && !damaged) {
    m_fetch_backoff.Reset();
    m_fetch_ms = m_head.version > m_held->version() ? NowMs() : INT64_MAX;
  } else {
    m_fetch_ms = NowMs() + m_fetch_backoff.NextMs(m_random.Unit());
    LOG_EVERY_N(WARNING, 10) << "event=fetch_failed version=" << m_head.version << " reason=\""
                             << (updates ? "digest differs" : updates.error().message) << '"';
  }
  Step();
}

void DeliveryAgent::Impl::PollIfDue(int64_t now_ms) {
  bool too_old = now_ms - m_head_current_ms > kHeadAgeLimitMs;
  if (m_watcher.watching() || !too_old) {
    m_poll_ms = INT64_MAX;
  } else if (m_poll_ms == INT64_MAX) {
    m_poll_ms = now_ms + static_cast<int64_t>(m_random.Below(kPollJitterMs));
  } else if (now_ms >= m_poll_ms) {
    m_poll_ms = INT64_MAX;
    m_metrics.GetCounter("delivery_polls_total").Add();
    m_watcher.ReadOnce();
  }
}

bool DeliveryAgent::Impl::Take(std::shared_ptr<const ConfigTable> base,
                               const std::vector<EncodedNote>& notes, bool& digest_differed) {
  uint64_t before = m_held->version();
  if (base->version() > before) {
    m_window.Clear();
    m_last_note.clear();
  } else {
    base = m_held;
  }
  ApplyBatchResult result = ApplyBatch(std::move(base), notes);
  digest_differed = result.digest_differed;
  if (result.table->version() <= before) return false;
  for (const RefusedNote& refused : result.refused) {
    m_metrics.GetCounter("delivery_notes_refused_total").Add();
    LOG(WARNING) << "event=note_refused version=" << refused.version << " note=" << refused.note_id
                 << " reason=\"" << refused.reason << '"';
  }
  for (EncodedNote& note : result.taken) m_window.Add(std::move(note));
  if (!result.note_ids.empty()) m_last_note = result.note_ids.back().second;
  m_held = std::move(result.table);
  LOG(INFO) << "event=version_held version=" << m_held->version() << " note=" << m_last_note;
  RecordTableVersion(m_guard, m_held->version());
  Announce();
  return true;
}

void DeliveryAgent::Impl::Announce() {
  if (!m_relay || m_held->version() == 0) return;
  pb::ControlMessage message;
  message.mutable_version_announce()->set_version(m_held->version());
  for (const std::string& node : m_ports.neighbours()) {
    uint64_t& announced = m_announced[node];
    if (std::max(announced, m_pulls.AnnouncedBy(node)) >= m_held->version()) continue;
    announced = m_held->version();
    m_ports.send(node, message);
  }
}

void DeliveryAgent::Impl::PullIfDue(int64_t now_ms) {
  // In the baseline every node reads from the platform only.
  if (m_watch_all) return;
  if (m_pulls.ExpirePull(now_ms)) {
    m_metrics.GetCounter("delivery_pull_timeouts_total").Add();
    m_assembler.Reset();
  }
  if (auto node = m_pulls.StartPull(m_held->version(), now_ms)) {
    m_assembler.Reset();
    AskForNotes(*node);
  }
}

void DeliveryAgent::Impl::AskForNotes(const std::string& node) {
  m_metrics.GetCounter("delivery_pulls_total").Add();
  pb::ControlMessage message;
  pb::NotesRequest* request = message.mutable_notes_request();
  request->set_request_id(++m_request_id);
  request->set_held_version(m_held->version());
  request->set_snapshot_version(m_assembler.version());
  request->set_snapshot_part(m_assembler.next_part());
  m_ports.send(node, message);
}

void DeliveryAgent::Impl::OnNotesRequest(std::string_view node, const pb::NotesRequest& request) {
  pb::ControlMessage message;
  pb::NotesReply* reply = message.mutable_notes_reply();
  reply->set_request_id(request.request_id());
  reply->set_version(m_held->version());
  if (request.held_version() < m_held->version()) {
    bool served =
        request.snapshot_version() == 0 && m_window.FillReply(request.held_version(), *reply);
    served = served || m_snapshots.FillReply(node, request, m_held, NowMs(), *reply);
    if (!served) {
      m_metrics.GetCounter("delivery_snapshots_deferred_total").Add();
      int64_t retry_ms = kFirstBusyMs + static_cast<int64_t>(m_random.Below(kBusyJitterMs));
      reply->set_retry_after_ms(static_cast<uint32_t>(retry_ms));
    }
  }
  m_ports.send(node, message);
}

void DeliveryAgent::Impl::OnNotesReply(std::string_view node, const pb::NotesReply& reply) {
  RecordPeerVersion(m_guard, reply.version());
  m_pulls.RecordAnnouncement(node, reply.version());
  if (!m_pulls.IsOpenWith(node) || reply.request_id() != m_request_id) {
    m_metrics.GetCounter("delivery_late_replies_total").Add();
    return;
  }
  if (reply.retry_after_ms() > 0) {
    m_pulls.RecordBusy(NowMs(), reply.retry_after_ms());
  } else if (reply.snapshot_parts() > 0) {
    OnSnapshotPart(node, reply);
  } else {
    bool damaged = false;
    bool moved = Take(m_held, NotesFromReply(reply), damaged);
    if (damaged) {
      m_metrics.GetCounter("delivery_bad_digests_total").Add();
      LOG(WARNING) << "event=bad_digest node=" << node << " version=" << reply.version();
      m_pulls.RecordBadReply();
    } else if (moved) {
      m_pulls.RecordReply();
    } else {
      // The node has lost what it had told of; do not ask it again at once.
      m_pulls.RecordBusy(NowMs(), m_settings.delivery.pull_timeout_ms);
    }
  }
}

void DeliveryAgent::Impl::OnSnapshotPart(std::string_view node, const pb::NotesReply& reply) {
  std::shared_ptr<const ConfigTable> table;
  uint32_t parts_before = m_assembler.next_part();
  auto result = m_assembler.Add(reply, table);
  if (result == SnapshotAssembler::Result::kComplete) {
    bool unused = false;
    if (Take(table, {}, unused)) return m_pulls.RecordReply();
    return m_pulls.RecordBusy(NowMs(), m_settings.delivery.pull_timeout_ms);
  }
  bool advanced = m_assembler.next_part() > parts_before;
  if (result == SnapshotAssembler::Result::kIncomplete && advanced) {
    m_pulls.ExtendDeadline(NowMs());
    return AskForNotes(std::string(node));
  }
  m_metrics.GetCounter("delivery_bad_digests_total").Add();
  LOG(WARNING) << "event=bad_snapshot node=" << node << " version=" << reply.snapshot_version();
  m_assembler.Reset();
  m_pulls.RecordBadReply();
}

void DeliveryAgent::Impl::OnMessage(std::string_view node, const pb::ControlMessage& message) {
  switch (message.body_case()) {
    case pb::ControlMessage::kVersionAnnounce:
      m_pulls.RecordAnnouncement(node, message.version_announce().version());
      RecordPeerVersion(m_guard, message.version_announce().version());
      break;
    case pb::ControlMessage::kNotesRequest:
      OnNotesRequest(node, message.notes_request());
      break;
    case pb::ControlMessage::kNotesReply:
      OnNotesReply(node, message.notes_reply());
      break;
    case pb::ControlMessage::kVersionPromise:
      m_keepers.OnVersionPromise(node, message.version_promise());
      break;
    case pb::ControlMessage::kPromiseAck:
      m_keepers.OnPromiseAck(node, message.promise_ack());
      break;
    case pb::ControlMessage::kFloorQuery:
      m_keepers.OnFloorQuery(node, message.floor_query(),
                             m_in_force == nullptr ? 0 : m_in_force->version(), NowMs());
      break;
    case pb::ControlMessage::kFloorReply:
      if (m_keepers.OnFloorReply(node, message.floor_reply(), NowMs())) {
        m_pulls.RecordAnnouncement(node, message.floor_reply().version());
      }
      break;
    default:
      LOG_EVERY_N(WARNING, 100) << "event=unexpected_message node=" << node;
      return;
  }
  Step();
}

void DeliveryAgent::Impl::OnNeighbourState(std::string_view node, uint64_t version,
                                           int64_t head_age_ms) {
  m_pulls.RecordAnnouncement(node, version);
  RecordPeerVersion(m_guard, version);
  m_head_current_ms = std::max(m_head_current_ms, NowMs() - std::max<int64_t>(head_age_ms, 0));
  Step();
}

void DeliveryAgent::Impl::UpdateMembership() {
  const NodeSettings& self = m_settings.node;
  std::vector<pb::MemberRecord> members = m_ports.members();
  for (const pb::MemberRecord& member : members) {
    if (!m_keepers.RecordLifetime(member.name(), member.started_ms())) continue;
    m_announced.erase(member.name());
    m_pulls.RemovePeer(member.name());
  }
  auto watchers = static_cast<size_t>(m_settings.delivery.watchers_per_data_centre);
  DeliveryRoles roles = ChooseDeliveryRoles(members, {self.name, self.data_centre}, watchers);
  m_pulls.RemoveAllExcept(roles.reachable);
  SetAcceptors(m_guard, std::move(roles.acceptors), std::move(roles.recovery_acceptors));
  m_watcher.SetWatching(m_watch_all || roles.is_watcher);
  m_guard.timing.confirm_after_ms =
      ConfirmAfterMs(roles.is_watcher, members.size(), m_confirm_jitter);
}

void DeliveryAgent::Impl::StepVersionGuard(int64_t now_ms) {
  GuardActions actions = UpdateGuard(m_guard, now_ms);
  m_guard_next_ms = actions.next_ms;
  m_keepers.Perform(actions, now_ms);
  if (actions.confirm_head) {
    m_guard.timing.confirm_repeat_ms = ConfirmRepeatMs(m_random);
    m_confirmer.Confirm(m_last_read);
  }
  if (!actions.in_force_changed) return;
  m_in_force = m_held;
  LOG(INFO) << "event=version_in_force version=" << m_in_force->version()
            << " note=" << m_last_note;
  m_metrics.GetGauge("config_version_in_force").Set(static_cast<double>(m_in_force->version()));
  if (m_ports.on_version_in_force) m_ports.on_version_in_force(m_in_force->version());
}

void DeliveryAgent::Impl::Step() {
  int64_t now_ms = NowMs();
  if (now_ms >= m_membership_ms) {
    m_membership_ms = INT64_MAX;
    UpdateMembership();
  }
  PullIfDue(now_ms);
  FetchIfDue(now_ms);
  PollIfDue(now_ms);
  StepVersionGuard(now_ms);
  m_metrics.GetCounter("platform_calls_total").Add(m_platform.calls() - m_counted_calls);
  m_counted_calls = m_platform.calls();
  int64_t head_limit_ms = m_head_current_ms + kHeadAgeLimitMs + 1;
  int64_t poll_ms = m_poll_ms != INT64_MAX ? m_poll_ms : std::max(head_limit_ms, now_ms + 1'000);
  int64_t fetch_ms = m_fetching ? INT64_MAX : m_fetch_ms;
  int64_t pull_ms = m_watch_all ? INT64_MAX : m_pulls.NextEventMs(m_held->version());
  int64_t next_ms = std::min({poll_ms, fetch_ms, pull_ms, m_guard_next_ms, m_membership_ms});
  // At least 1 ms, so that a due time that nothing acts on does not keep the loop busy.
  m_timer.Start(std::chrono::milliseconds(std::max<int64_t>(next_ms - now_ms, 1)));
}

DeliveryAgent::DeliveryAgent(EventLoop& loop, const Settings& settings, uint64_t incarnation,
                             PlatformClient& platform, Metrics& metrics, RandomSource& random,
                             DeliveryCallbacks ports)
    : m_impl(std::make_unique<Impl>(loop, settings, incarnation, platform, metrics, random,
                                    std::move(ports))) {}

DeliveryAgent::~DeliveryAgent() = default;

void DeliveryAgent::Start() { m_impl->Start(); }

void DeliveryAgent::OnMessage(std::string_view node, const pb::ControlMessage& message) {
  m_impl->OnMessage(node, message);
}

void DeliveryAgent::OnNeighbourState(std::string_view node, uint64_t version, int64_t head_age_ms) {
  m_impl->OnNeighbourState(node, version, head_age_ms);
}

void DeliveryAgent::OnMembershipChanged() {
  if (m_impl->m_membership_ms != INT64_MAX) return;
  m_impl->m_membership_ms = NowMs() + kMembershipDelayMs;
  m_impl->Step();
}

std::shared_ptr<const ConfigTable> DeliveryAgent::table() const { return m_impl->m_in_force; }

uint64_t DeliveryAgent::version() const {
  return m_impl->m_in_force == nullptr ? 0 : m_impl->m_in_force->version();
}

int64_t DeliveryAgent::HeadAgeMs() const { return NowMs() - m_impl->m_head_current_ms; }

}  // namespace guavatrail
