#include "config_relay.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "config_codec.h"
#include "config_relay_protocol.h"

namespace guavatrail {

namespace {

// Maximum number of consecutive referrals that a follower follows before it asks its source again.
constexpr int kMaxReferrals = 8;
constexpr int64_t kUsPerMs = 1'000;
// A follower at most this many versions behind gets the difference instead of the whole table.
constexpr size_t kMaxPreviousTables = 8;
// A request is overdue, and another source is asked, when no answer has arrived this long after the
// requested wait.
constexpr std::chrono::milliseconds kAnswerMargin{400};
// An overdue request stays open for this long: on a congested link the answer arrives late but is
// still usable.
constexpr std::chrono::milliseconds kLateAnswerTime{2'000};
// Interval at which a node that follows the platform re-evaluates whether it should.
constexpr std::chrono::milliseconds kRoleCheckInterval{1'000};
// Length of a trial: a follower that has switched to the platform checks after this time whether
// the platform answers.
constexpr std::chrono::milliseconds kPlatformTrialTime{700};
// A starting node asks only other nodes for its first table for this time, and then the platform.
// When all nodes start at once, their source needs time to read its own table, and would need
// longer if all of them read from the platform in parallel.
constexpr std::chrono::milliseconds kFirstTableWait{2'000};
// A whole table takes longer to send than a change, and its source may send several in parallel.
constexpr std::chrono::milliseconds kFirstTableMargin{600};
// Pause between two requests.
constexpr std::chrono::milliseconds kRequestPause{5};
// Pause before the next request when a source did not answer or has no table yet.
constexpr std::chrono::milliseconds kNoAnswerPause{100};
// Pause before the next request when a source is busy sending whole tables and knows no other
// holder.
constexpr std::chrono::milliseconds kBusyPause{50};
// Number of nodes that a node asks for a newer table when it has read its first one from the
// platform.
constexpr int kStartComparisons = 3;
constexpr size_t kMaxTableBytes = 8'388'608;

std::string Describe(const ConfigSource& source) {
  if (const auto* node = std::get_if<FromNode>(&source)) return node->node;
  return "platform";
}

}  // namespace

ConfigRelay::ConfigRelay(EventLoop& loop, Candidate self, PeerClient& peers, Metrics& metrics,
                         RandomSource& random, Callbacks callbacks,
                         ConfigSourcePolicy::Options options)
    : m_loop(loop),
      m_random(random),
      m_callbacks(std::move(callbacks)),
      m_name(self.node),
      m_policy(std::move(self), options),
      m_peers(peers),
      m_endpoints(std::make_shared<const EndpointList>()),
      m_replies(loop),
      m_request_counter(metrics.GetCounter("config_questions_total")),
      m_failure_counter(metrics.GetCounter("config_question_failures_total")),
      m_timer(loop, [this] { PollSource(); }),
      m_overdue_timer(loop, [this] { OnRequestOverdue(); }),
      m_deferred(loop) {}

void ConfigRelay::Start() {
  if (m_is_running) return;
  m_is_running = true;
  m_started_us = EventLoop::NowUs();
  m_source = CurrentSource();
  FollowPlatform(std::holds_alternative<FromPlatform>(m_source));
  m_timer.Start(std::holds_alternative<FromPlatform>(m_source) ? kRoleCheckInterval
                                                               : kRequestPause);
}

void ConfigRelay::FollowPlatform(bool on) {
  if (on && version() == 0) m_comparisons_left = kStartComparisons;
  m_callbacks.watch_platform(on);
}

ConfigSource ConfigRelay::CurrentSource() const {
  int64_t now_us = EventLoop::NowUs();
  bool is_late = now_us - m_started_us > kFirstTableWait.count() * kUsPerMs;
  if (version() == 0 && is_late) return FromPlatform{};
  return m_policy.SourceAt(now_us);
}

void ConfigRelay::Stop() {
  m_is_running = false;
  m_timer.Cancel();
  m_overdue_timer.Cancel();
  m_pending_requests.clear();
  m_current_request = 0;
}

void ConfigRelay::SetEndpoints(std::shared_ptr<const EndpointList> endpoints) {
  if (endpoints == m_endpoints) return;
  m_endpoints = std::move(endpoints);
  const Endpoint* self = m_endpoints->FindNode(m_name);
  m_referrals.SetLinkMbps(self == nullptr ? 0 : self->link_mbps);
  m_policy.SetCandidates(WatcherCandidates(*m_endpoints), m_endpoints->all().size());
  AnswerLongPolls();
}

void ConfigRelay::SetTable(std::shared_ptr<const ConfigTable> table) {
  if (m_table != nullptr) {
    m_previous_tables.push_front({m_table, ""});
    if (m_previous_tables.size() > kMaxPreviousTables) m_previous_tables.pop_back();
    for (PreviousTable& previous : m_previous_tables) previous.change.clear();
  }
  m_table = std::move(table);
  m_referrals.OnTableChanged();
  m_encoded.clear();
  AnswerLongPolls();
}

void ConfigRelay::OnPlatformConfirmation() { m_platform_confirmed_us = EventLoop::NowUs(); }

// In an outage that affects the watchers too, one failed call per follower shows that it continues,
// so the trial is evaluated now instead of at its end.
void ConfigRelay::OnPlatformFailure() {
  bool is_from_platform = std::holds_alternative<FromPlatform>(m_source);
  if (m_is_running && is_from_platform && m_policy.IsOutageLikely()) m_timer.Start(kRequestPause);
}

// Whether the last confirmation is older than the maximum age of a source. A platform that answers
// confirms more often than that, because each watch ends within that age.
bool ConfigRelay::IsPlatformSilent() const {
  return EventLoop::NowUs() - m_platform_confirmed_us > m_policy.max_age_us();
}

void ConfigRelay::PollSource() {
  if (!m_is_running || m_current_request != 0) return;
  int64_t now_us = EventLoop::NowUs();
  bool is_from_platform = std::holds_alternative<FromPlatform>(m_source);
  if (is_from_platform && !m_policy.is_watcher() && IsPlatformSilent()) {
    m_policy.OnPlatformFailure(now_us, m_random.Unit());
  }
  ConfigSource source = CurrentSource();
  if (source != m_source) {
    LOG(INFO) << "event=config_source source=" << Describe(source)
              << " before=" << Describe(m_source) << " version=" << version()
              << " endpoint_revision=" << m_callbacks.endpoint_revision().number
              << " era=" << m_callbacks.endpoint_revision().era
              << " age_ms=" << (now_us - m_platform_confirmed_us) / kUsPerMs;
    m_source = source;
    FollowPlatform(std::holds_alternative<FromPlatform>(source));
  }
  if (const auto* node = std::get_if<FromNode>(&m_source)) {
    std::string referred = std::exchange(m_referred_node, "");
    if (referred.empty()) m_referrals_followed = 0;
    SendRequest(referred.empty() ? node->node : referred, !referred.empty());
  } else {
    m_referred_node.clear();
    m_timer.Start(m_policy.is_watcher() ? kRoleCheckInterval : kPlatformTrialTime);
    CompareTable();
  }
}

// After it has come back from an older copy, the platform may have an older configuration than the
// nodes until the operator writes again. A node that has read its first table from the platform
// therefore asks other nodes for a newer one.
void ConfigRelay::CompareTable() {
  if (m_comparisons_left == 0) return;
  --m_comparisons_left;
  std::vector<std::string_view> others;
  for (const Endpoint& endpoint : m_endpoints->all()) {
    if (endpoint.node != m_name && !endpoint.draining) others.push_back(endpoint.node);
  }
  if (!others.empty()) SendRequest(std::string(others[m_random.Below(others.size())]), true);
}

void ConfigRelay::SendRequest(const std::string& node, bool is_referred) {
  const Endpoint* endpoint = m_endpoints->FindNode(node);
  if (endpoint == nullptr) {
    if (!is_referred) m_policy.OnFailure(node, EventLoop::NowUs());
    m_timer.Start(is_referred ? kBusyPause : kRequestPause);
    return;
  }
  m_request_counter.Add();
  UpstreamRequest request{.method = EVHTTP_REQ_GET, .uri = kConfigPath};
  // After losing its source, a node asks for an immediate answer: it may have missed a change.
  bool needs_immediate_answer = m_has_lost_source || version() == 0 || is_referred;
  std::chrono::milliseconds wait =
      needs_immediate_answer ? std::chrono::milliseconds(0) : kLongPollWait;
  request.headers = {{kVersionHeader, std::to_string(version())},
                     {kRequesterHeader, m_name},
                     {kWaitHeader, std::to_string(wait.count())}};
  SetRevision(request.headers, kEndpointsHeaders, m_callbacks.requested_endpoint_revision());
  uint64_t number = m_next_request++;
  PendingRequest& pending = m_pending_requests[number];
  pending = {node, version(), is_referred, nullptr};
  m_current_request = number;
  m_overdue_timer.Start(version() == 0 ? kFirstTableMargin : wait + kAnswerMargin);
  pending.query = std::make_unique<HttpQuery>(
      m_loop, m_peers.PoolOf(*endpoint), std::move(request), wait + kAnswerMargin + kLateAnswerTime,
      [this, number](const std::optional<HttpReply>& reply) { OnReply(number, reply); },
      kMaxTableBytes);
}

// Turns to the next source. The request stays open, since a late answer is still usable.
void ConfigRelay::OnRequestOverdue() {
  const PendingRequest& pending = m_pending_requests.at(m_current_request);
  LOG(WARNING) << "event=config_source_overdue source=" << pending.node
               << " referred=" << pending.is_referred << " version=" << version();
  RecordSourceFailure(pending);
  m_has_lost_source = true;
  m_current_request = 0;
  m_timer.Start(kRequestPause);
}

void ConfigRelay::OnReply(uint64_t number, const std::optional<HttpReply>& reply) {
  // The query must not be destroyed inside its own callback.
  m_deferred.Post([this, number] { m_pending_requests.erase(number); });
  const PendingRequest& pending = m_pending_requests.at(number);
  bool is_late = number != m_current_request;
  // OnRequestOverdue() has already recorded the failure of this request.
  if (is_late && !reply) return;
  if (reply && FindHeader(reply->headers, kHolderHeader) != nullptr) {
    if (!is_late) FollowReferral(pending, *reply);
    return;
  }
  bool is_answer = HandleReply(pending, reply);
  if (is_late) {
    LOG(INFO) << "event=config_answer_late source=" << pending.node << " usable=" << is_answer;
    return;
  }
  m_current_request = 0;
  bool is_backed_off = m_policy.IsBackedOff(pending.node, EventLoop::NowUs());
  // When every source is stale or failing, they are asked without a long poll; the pause below
  // keeps the request rate as low as long polls would.
  bool is_last_resort = is_backed_off && m_has_lost_source;
  m_has_lost_source = !is_answer || is_backed_off;
  m_overdue_timer.Cancel();
  bool has_nothing = !is_answer || version() == 0;
  m_timer.Start(has_nothing ? kNoAnswerPause : is_last_resort ? kLongPollWait : kRequestPause);
}

// The source is busy sending whole tables: asks the node that it refers to, or the source again
// after a pause.
void ConfigRelay::FollowReferral(const PendingRequest& pending, const HttpReply& reply) {
  m_current_request = 0;
  m_overdue_timer.Cancel();
  m_referred_node = HeaderValue(reply.headers, kHolderHeader);
  if (m_referred_node == m_name || ++m_referrals_followed > kMaxReferrals) m_referred_node.clear();
  LOG(INFO) << "event=config_referred source=" << pending.node << " holder=" << m_referred_node
            << " version=" << version();
  m_timer.Start(m_referred_node.empty() ? kBusyPause : kRequestPause);
}

// A failure of a node that the source referred to does not count against the source.
void ConfigRelay::RecordSourceFailure(const PendingRequest& pending) {
  m_failure_counter.Add();
  if (!pending.is_referred) m_policy.OnFailure(pending.node, EventLoop::NowUs());
}

// Returns whether the reply is a valid answer; passes on a newer table that it contains.
bool ConfigRelay::HandleReply(const PendingRequest& pending,
                              const std::optional<HttpReply>& reply) {
  int64_t now_us = EventLoop::NowUs();
  bool is_answer = reply && (reply->status == kHttpOk || reply->status == kHttpNotModified) &&
                   FindHeader(reply->headers, kConfirmationAgeHeader) != nullptr;
  if (!is_answer) {
    LOG(WARNING) << "event=config_source_failed source=" << pending.node
                 << " referred=" << pending.is_referred
                 << " status=" << (reply ? reply->status : 0);
    RecordSourceFailure(pending);
    return false;
  }
  int64_t age_us = HeaderNumber(reply->headers, kConfirmationAgeHeader) * kUsPerMs;
  auto answer_version = static_cast<uint64_t>(HeaderNumber(reply->headers, kVersionHeader));
  // While neither side has a table, both are starting and the age carries no information.
  bool is_starting = answer_version == 0 && version() == 0;
  if (!is_starting && !pending.is_referred) {
    m_policy.OnAnswer(pending.node, age_us, now_us, m_random.Unit());
  }
  const Endpoint* endpoint = m_endpoints->FindNode(pending.node);
  if (endpoint != nullptr) {
    m_callbacks.on_source_endpoint_revision(
        *endpoint, RevisionIn(reply->headers, kEndpointsHeaders, m_callbacks.endpoint_revision()));
  }
  m_platform_confirmed_us = std::max(m_platform_confirmed_us, now_us - age_us);
  if (reply->status != kHttpOk || answer_version <= version()) return true;
  // A faster answer has already changed the table that this change starts from. The next request
  // starts from the new table.
  bool is_change = FindHeader(reply->headers, kChangeDigestHeader) != nullptr;
  if (is_change && pending.known != version()) return true;
  std::shared_ptr<const ConfigTable> table = DecodeTableFrom(*reply);
  if (table == nullptr) {
    RecordSourceFailure(pending);
    return false;
  }
  if (table->version() > version()) m_callbacks.on_newer_table(std::move(table));
  return true;
}

// The table in a reply, or the result of applying the change in it; null when either is invalid.
std::shared_ptr<const ConfigTable> ConfigRelay::DecodeTableFrom(const HttpReply& reply) {
  auto refuse = [](const std::string& error) {
    LOG(ERROR) << "event=config_from_node_refused error=\"" << error << "\"";
    return nullptr;
  };
  const std::string* digest = FindHeader(reply.headers, kChangeDigestHeader);
  if (digest == nullptr) {
    auto table = DecodeTable(reply.body);
    if (!table) return refuse(table.error().message);
    return std::make_shared<const ConfigTable>(std::move(*table));
  }
  auto change = DecodeChange(reply.body);
  if (!change) return refuse(change.error().message);
  if (m_table == nullptr) return refuse("a change without a table to apply it to");
  auto next = m_table->ApplyChange(*change);
  if (!next) return refuse(next.error().message);
  ConfigTable table =
      next->AtVersion(static_cast<uint64_t>(HeaderNumber(reply.headers, kVersionHeader)));
  // The source may hold a different table under the version that the change starts from. The digest
  // check keeps the result from being a mixture of the two.
  if (DigestOf(EncodeTable(table)) != *digest) return refuse("digest of the changed table differs");
  return std::make_shared<const ConfigTable>(std::move(table));
}

}  // namespace guavatrail
