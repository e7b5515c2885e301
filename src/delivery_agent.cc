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

// A node reads the head itself when it has not learnt for this long, by a read of its own or from a
// neighbour, that its head is current.
constexpr int64_t kHeadAgeLimitMs = 5'000;
// Spreads those reads when many nodes reach the limit at the same time.
constexpr int64_t kPollJitterMs = 2'000;
// Age of the head that is assumed at the start, before it was ever known to be current.
constexpr int64_t kUnknownHeadAgeMs = 60'000;
// Spreads the first reads of nodes that start together.
constexpr int64_t kStartJitterMs = 250;
// A node that has read a newer head waits this long for an announcement by another node before it
// reads the notes from the platform, so that nodes that start together do not all read them there.
constexpr int64_t kAnnouncerGraceMs = 500;
// Membership changes arrive in bursts; watchers and acceptors are chosen once per burst.
constexpr int64_t kMembershipDelayMs = 20;
constexpr int64_t kFirstFetchBackoffMs = 200;
constexpr int64_t kLongestFetchBackoffMs = 5'000;
constexpr int64_t kMinBusyRetryMs = 200;
constexpr uint64_t kBusyRetryJitterMs = 300;

int64_t NowMs() { return EventLoop::NowUs() / 1000; }

}  // namespace

struct DeliveryAgent::Impl {
  Impl(EventLoop& loop, const Settings& settings, uint64_t incarnation, PlatformClient& platform,
       Metrics& metrics, RandomSource& random, DeliveryCallbacks callbacks);

  void Start();
  void OnMessage(std::string_view node, const pb::ControlMessage& message);
  void OnNeighbourState(std::string_view node, uint64_t version, int64_t head_age_ms);

  // Reads from the platform.
  void OnHead(const HeadObject& object);
  void OnHeadConfirmed(uint64_t version, int64_t sent_ms);
  void FetchFromPlatform();
  void OnUpdates(tl::expected<TableUpdates, StoreError> updates);
  void PollIfDue(int64_t now_ms);
  void FetchIfDue(int64_t now_ms);

  // Exchange with other nodes.
  void Announce();
  void PullIfDue(int64_t now_ms);
  void RequestNotes(const std::string& node);
  void OnNotesRequest(std::string_view node, const pb::NotesRequest& request);
  void OnNotesReply(std::string_view node, const pb::NotesReply& reply);
  void OnSnapshotPart(std::string_view node, const pb::NotesReply& reply);
  void UpdateMembership();

  // Applies a base table and notes. Returns whether m_latest_table advanced.
  bool ApplyUpdates(std::shared_ptr<const ConfigTable> base, const std::vector<EncodedNote>& notes,
                    bool& digest_differed);
  void RunVersionGuard(int64_t now_ms);
  void RunDueWork();

  const Settings m_settings;
  PlatformClient& m_platform;
  Metrics& m_metrics;
  RandomSource& m_random;
  DeliveryCallbacks m_callbacks;
  const bool m_watch_all;
  const bool m_relay;

  std::shared_ptr<const ConfigTable> m_latest_table = std::make_shared<const ConfigTable>();
  std::shared_ptr<const ConfigTable> m_in_force;
  std::string m_last_note;  // Id of the note of m_latest_table; empty when not known.

  ConfigHead m_head;
  HeadObject m_last_read;  // The head as last read, which a confirmation writes back unchanged.
  HeadConfirmer m_confirmer;
  int64_t m_head_current_ms;
  HeadWatcher m_watcher;
  int64_t m_poll_ms = INT64_MAX;   // When to read the head; INT64_MAX while it is recent enough.
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
  int64_t m_membership_ms = 0;  // When to run UpdateMembership(); INT64_MAX: nothing changed.

  GuardState m_guard;
  PromiseExchange m_promise_exchange;
  const uint64_t m_confirm_jitter;
  int64_t m_guard_next_ms = 0;

  Timer m_timer;
  Timer m_start_timer;
  // Expires on destruction, so that later platform answers are dropped.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

DeliveryAgent::Impl::Impl(EventLoop& loop, const Settings& settings, uint64_t incarnation,
                          PlatformClient& platform, Metrics& metrics, RandomSource& random,
                          DeliveryCallbacks callbacks)
    : m_settings(settings),
      m_platform(platform),
      m_metrics(metrics),
      m_random(random),
      m_callbacks(std::move(callbacks)),
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
                   RunDueWork();
                 },
                 [this] {
                   RecordPlatformFailure(m_guard);
                   RunDueWork();
                 }}),
      m_pulls(settings.delivery.pull_timeout_ms),
      m_request_id(random.Next()),
      m_promise_exchange(m_guard, incarnation, random.Next(),
                         [this](std::string_view node, const pb::ControlMessage& message) {
                           m_callbacks.send(node, message);
                         }),
      m_confirm_jitter(random.Next()),
      m_timer(loop, [this] { RunDueWork(); }),
      m_start_timer(loop, [this] { m_watcher.ReadOnce(); }) {
  m_guard.start_ms = NowMs();
  m_guard.timing.confirm_repeat_ms = ConfirmationRetryDelayMs(m_random);
}

void DeliveryAgent::Impl::Start() {
  m_start_timer.Start(std::chrono::milliseconds(m_random.Below(kStartJitterMs)));
  RunDueWork();
}

void DeliveryAgent::Impl::OnHead(const HeadObject& object) {
  m_head_current_ms = NowMs();
  m_last_read = object;
  RecordHead(m_guard, object.head.version);
  if (object.head.version >= m_head.version) m_head = object.head;
  bool is_behind = m_head.version > m_latest_table->version();
  if (is_behind && m_fetch_ms == INT64_MAX) {
    // Watchers fetch the notes for their data centre; other nodes wait for an announcement.
    bool at_once = m_watcher.watching();
    int64_t jitter = static_cast<int64_t>(m_random.Below(kAnnouncerGraceMs));
    m_fetch_ms = at_once ? m_head_current_ms : m_head_current_ms + kAnnouncerGraceMs + jitter;
  }
  RunDueWork();
}

void DeliveryAgent::Impl::OnHeadConfirmed(uint64_t version, int64_t sent_ms) {
  m_promise_exchange.RecordConfirmation(version, sent_ms);
  RunDueWork();
}

void DeliveryAgent::Impl::FetchIfDue(int64_t now_ms) {
  if (m_head.version <= m_latest_table->version()) {
    m_fetch_ms = INT64_MAX;
    return;
  }
  if (m_fetching || now_ms < m_fetch_ms) return;
  FetchFromPlatform();
}

void DeliveryAgent::Impl::FetchFromPlatform() {
  m_fetching = true;
  ReadTableUpdates(m_platform, m_head, m_latest_table,
                   [this, alive = std::weak_ptr<int>(m_alive)](auto updates) {
                     if (!alive.expired()) OnUpdates(std::move(updates));
                   });
}

void DeliveryAgent::Impl::OnUpdates(tl::expected<TableUpdates, StoreError> updates) {
  m_fetching = false;
  bool is_corrupt = false;
  if (updates) {
    std::vector<EncodedNote> notes;
    notes.reserve(updates->notes.size());
    for (auto& [entry, bytes] : updates->notes) {
      notes.push_back({entry.version, entry.digest, std::move(bytes)});
    }
    ApplyUpdates(updates->base, notes, is_corrupt);
  }
  if (updates && !is_corrupt) {
    m_fetch_backoff.Reset();
    m_fetch_ms = m_head.version > m_latest_table->version() ? NowMs() : INT64_MAX;
  } else {
    m_fetch_ms = NowMs() + m_fetch_backoff.NextMs(m_random.Unit());
    LOG_EVERY_N(WARNING, 10) << "event=fetch_failed version=" << m_head.version << " reason=\""
                             << (updates ? "the digest of a note differs from the log entry"
                                         : updates.error().message)
                             << '"';
  }
  RunDueWork();
}

void DeliveryAgent::Impl::PollIfDue(int64_t now_ms) {
  bool is_head_outdated = now_ms - m_head_current_ms > kHeadAgeLimitMs;
  if (m_watcher.watching() || !is_head_outdated) {
    m_poll_ms = INT64_MAX;
  } else if (m_poll_ms == INT64_MAX) {
    m_poll_ms = now_ms + static_cast<int64_t>(m_random.Below(kPollJitterMs));
  } else if (now_ms >= m_poll_ms) {
    m_poll_ms = INT64_MAX;
    m_metrics.GetCounter("delivery_polls_total").Add();
    m_watcher.ReadOnce();
  }
}

bool DeliveryAgent::Impl::ApplyUpdates(std::shared_ptr<const ConfigTable> base,
                                       const std::vector<EncodedNote>& notes,
                                       bool& digest_differed) {
  uint64_t before = m_latest_table->version();
  if (base->version() > before) {
    m_window.Clear();
    m_last_note.clear();
  } else {
    base = m_latest_table;
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
  m_latest_table = std::move(result.table);
  LOG(INFO) << "event=version_held version=" << m_latest_table->version()
            << " note=" << m_last_note;
  RecordTableVersion(m_guard, m_latest_table->version());
  Announce();
  return true;
}

void DeliveryAgent::Impl::Announce() {
  if (!m_relay || m_latest_table->version() == 0) return;
  pb::ControlMessage message;
  message.mutable_version_announce()->set_version(m_latest_table->version());
  for (const std::string& node : m_callbacks.neighbours()) {
    uint64_t& announced = m_announced[node];
    if (std::max(announced, m_pulls.AnnouncedBy(node)) >= m_latest_table->version()) continue;
    announced = m_latest_table->version();
    m_callbacks.send(node, message);
  }
}

void DeliveryAgent::Impl::PullIfDue(int64_t now_ms) {
  // In watch_all mode, the baseline for comparisons, every node reads from the platform only.
  if (m_watch_all) return;
  if (m_pulls.ExpirePull(now_ms)) {
    m_metrics.GetCounter("delivery_pull_timeouts_total").Add();
    m_assembler.Reset();
  }
  if (auto node = m_pulls.StartPull(m_latest_table->version(), now_ms)) {
    m_assembler.Reset();
    RequestNotes(*node);
  }
}

void DeliveryAgent::Impl::RequestNotes(const std::string& node) {
  m_metrics.GetCounter("delivery_pulls_total").Add();
  pb::ControlMessage message;
  pb::NotesRequest* request = message.mutable_notes_request();
  request->set_request_id(++m_request_id);
  request->set_held_version(m_latest_table->version());
  request->set_snapshot_version(m_assembler.version());
  request->set_snapshot_part(m_assembler.next_part());
  m_callbacks.send(node, message);
}

void DeliveryAgent::Impl::OnNotesRequest(std::string_view node, const pb::NotesRequest& request) {
  pb::ControlMessage message;
  pb::NotesReply* reply = message.mutable_notes_reply();
  reply->set_request_id(request.request_id());
  reply->set_version(m_latest_table->version());
  if (request.held_version() < m_latest_table->version()) {
    bool served =
        request.snapshot_version() == 0 && m_window.FillReply(request.held_version(), *reply);
    served = served || m_snapshots.FillReply(node, request, m_latest_table, NowMs(), *reply);
    if (!served) {
      m_metrics.GetCounter("delivery_snapshots_deferred_total").Add();
      int64_t retry_ms = kMinBusyRetryMs + static_cast<int64_t>(m_random.Below(kBusyRetryJitterMs));
      reply->set_retry_after_ms(static_cast<uint32_t>(retry_ms));
    }
  }
  m_callbacks.send(node, message);
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
    bool is_corrupt = false;
    bool has_advanced = ApplyUpdates(m_latest_table, NotesFromReply(reply), is_corrupt);
    if (is_corrupt) {
      m_metrics.GetCounter("delivery_bad_digests_total").Add();
      LOG(WARNING) << "event=bad_digest node=" << node << " version=" << reply.version();
      m_pulls.RecordBadReply();
    } else if (has_advanced) {
      m_pulls.RecordReply();
    } else {
      // The peer no longer has the version that it announced, so it is not asked again at once.
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
    if (ApplyUpdates(table, {}, unused)) return m_pulls.RecordReply();
    return m_pulls.RecordBusy(NowMs(), m_settings.delivery.pull_timeout_ms);
  }
  bool advanced = m_assembler.next_part() > parts_before;
  if (result == SnapshotAssembler::Result::kIncomplete && advanced) {
    m_pulls.ExtendDeadline(NowMs());
    return RequestNotes(std::string(node));
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
      m_promise_exchange.OnVersionPromise(node, message.version_promise());
      break;
    case pb::ControlMessage::kPromiseAck:
      m_promise_exchange.OnPromiseAck(node, message.promise_ack());
      break;
    case pb::ControlMessage::kFloorQuery:
      m_promise_exchange.OnFloorQuery(node, message.floor_query(),
                                      m_in_force == nullptr ? 0 : m_in_force->version(), NowMs());
      break;
    case pb::ControlMessage::kFloorReply:
      if (m_promise_exchange.OnFloorReply(node, message.floor_reply(), NowMs())) {
        m_pulls.RecordAnnouncement(node, message.floor_reply().version());
      }
      break;
    default:
      LOG_EVERY_N(WARNING, 100) << "event=unexpected_message node=" << node;
      return;
  }
  RunDueWork();
}

void DeliveryAgent::Impl::OnNeighbourState(std::string_view node, uint64_t version,
                                           int64_t head_age_ms) {
  m_pulls.RecordAnnouncement(node, version);
  RecordPeerVersion(m_guard, version);
  m_head_current_ms = std::max(m_head_current_ms, NowMs() - std::max<int64_t>(head_age_ms, 0));
  RunDueWork();
}

void DeliveryAgent::Impl::UpdateMembership() {
  const NodeSettings& self = m_settings.node;
  std::vector<pb::MemberRecord> members = m_callbacks.members();
  for (const pb::MemberRecord& member : members) {
    if (!m_promise_exchange.RecordLifetime(member.name(), member.started_ms())) continue;
    m_announced.erase(member.name());
    m_pulls.RemovePeer(member.name());
  }
  auto watchers = static_cast<size_t>(m_settings.delivery.watchers_per_data_centre);
  DeliveryRoles roles = ChooseDeliveryRoles(members, {self.name, self.data_centre}, watchers);
  m_pulls.RemoveAllExcept(roles.reachable);
  SetAcceptors(m_guard, std::move(roles.acceptors), std::move(roles.recovery_acceptors));
  m_watcher.SetWatching(m_watch_all || roles.is_watcher);
  m_guard.timing.confirm_after_ms =
      ConfirmationDelayMs(roles.is_watcher, members.size(), m_confirm_jitter);
}

void DeliveryAgent::Impl::RunVersionGuard(int64_t now_ms) {
  GuardActions actions = UpdateGuard(m_guard, now_ms);
  m_guard_next_ms = actions.next_ms;
  m_promise_exchange.Perform(actions, now_ms);
  if (actions.confirm_head) {
    m_guard.timing.confirm_repeat_ms = ConfirmationRetryDelayMs(m_random);
    m_confirmer.Confirm(m_last_read);
  }
  if (!actions.in_force_changed) return;
  m_in_force = m_latest_table;
  LOG(INFO) << "event=version_in_force version=" << m_in_force->version()
            << " note=" << m_last_note;
  m_metrics.GetGauge("config_version_in_force").Set(static_cast<double>(m_in_force->version()));
  if (m_callbacks.on_version_in_force) m_callbacks.on_version_in_force(m_in_force->version());
}

void DeliveryAgent::Impl::RunDueWork() {
  int64_t now_ms = NowMs();
  if (now_ms >= m_membership_ms) {
    m_membership_ms = INT64_MAX;
    UpdateMembership();
  }
  PullIfDue(now_ms);
  FetchIfDue(now_ms);
  PollIfDue(now_ms);
  RunVersionGuard(now_ms);
  m_metrics.GetCounter("platform_calls_total").Add(m_platform.calls() - m_counted_calls);
  m_counted_calls = m_platform.calls();
  int64_t head_limit_ms = m_head_current_ms + kHeadAgeLimitMs + 1;
  int64_t poll_ms = m_poll_ms != INT64_MAX ? m_poll_ms : std::max(head_limit_ms, now_ms + 1'000);
  int64_t fetch_ms = m_fetching ? INT64_MAX : m_fetch_ms;
  int64_t pull_ms = m_watch_all ? INT64_MAX : m_pulls.NextEventMs(m_latest_table->version());
  int64_t next_ms = std::min({poll_ms, fetch_ms, pull_ms, m_guard_next_ms, m_membership_ms});
  // At least 1 ms, so that an overdue time on which no step acts cannot cause a busy loop.
  m_timer.Start(std::chrono::milliseconds(std::max<int64_t>(next_ms - now_ms, 1)));
}

DeliveryAgent::DeliveryAgent(EventLoop& loop, const Settings& settings, uint64_t incarnation,
                             PlatformClient& platform, Metrics& metrics, RandomSource& random,
                             DeliveryCallbacks callbacks)
    : m_impl(std::make_unique<Impl>(loop, settings, incarnation, platform, metrics, random,
                                    std::move(callbacks))) {}

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
  m_impl->RunDueWork();
}

std::shared_ptr<const ConfigTable> DeliveryAgent::table() const { return m_impl->m_in_force; }

uint64_t DeliveryAgent::version() const {
  return m_impl->m_in_force == nullptr ? 0 : m_impl->m_in_force->version();
}

int64_t DeliveryAgent::HeadAgeMs() const { return NowMs() - m_impl->m_head_current_ms; }

}  // namespace guavatrail
