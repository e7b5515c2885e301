#include "config_relay.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "config_codec.h"
#include "config_relay_protocol.h"

namespace guavatrail {

namespace {

// Nodes named in turn before the source is asked again.
constexpr int kMaxReferrals = 8;
constexpr int64_t kUsPerMs = 1'000;
// Versions that a follower may be behind and still get a change in place of the table.
constexpr size_t kFormerTables = 8;
// When nothing has come from a source for the wait of the question and this, another is asked.
constexpr std::chrono::milliseconds kMargin{400};
// An overdue answer is still of use: on a full link it is late, not lost.
constexpr std::chrono::milliseconds kLateTime{2'000};
// How often a node that follows the platform looks whether it should.
constexpr std::chrono::milliseconds kRoleCheck{1'000};
// How often a follower that has turned to the platform looks whether it answers.
constexpr std::chrono::milliseconds kPlatformTrial{700};
// A node that starts asks other nodes for its first table for this time, and then the platform.
// Where all nodes start at once their source needs a moment itself, and would need longer if all
// read the platform beside it.
constexpr std::chrono::milliseconds kFirstTableWait{2'000};
// A whole table takes longer than a change, and its source sends others beside it.
constexpr std::chrono::milliseconds kFirstTableMargin{600};
// Between two questions.
constexpr std::chrono::milliseconds kPause{5};
// After a source that did not answer, or has no table yet.
constexpr std::chrono::milliseconds kNoAnswerPause{100};
// After a source that is sending other whole tables and knows no holder.
constexpr std::chrono::milliseconds kBusyPause{50};
constexpr size_t kMaxTableBytes = 8'388'608;

std::string Describe(const ConfigSource& source) {
  if (const auto* node = std::get_if<FromNode>(&source)) return node->node;
  return "platform";
}

}  // namespace

ConfigRelay::ConfigRelay(EventLoop& loop, Candidate self, PeerClient& peers, Metrics& metrics,
                         RandomSource& random, Callbacks hooks, ConfigSourcePolicy::Options options)
    : m_loop(loop),
      m_random(random),
      m_hooks(std::move(hooks)),
      m_name(self.node),
      m_policy(std::move(self), options),
      m_peers(peers),
      m_endpoints(std::make_shared<const EndpointList>()),
      m_replies(loop),
      m_questions(metrics.GetCounter("config_questions_total")),
      m_failures(metrics.GetCounter("config_question_failures_total")),
      m_timer(loop, [this] { Step(); }),
      m_overdue_timer(loop, [this] { OnOverdue(); }),
      m_deferred(loop) {}

void ConfigRelay::Start() {
  if (m_is_running) return;
  m_is_running = true;
  m_started_us = EventLoop::NowUs();
  m_source = SourceNow();
  m_hooks.watch_platform(std::holds_alternative<FromPlatform>(m_source));
  m_timer.Start(std::holds_alternative<FromPlatform>(m_source) ? kRoleCheck : kPause);
}

ConfigSource ConfigRelay::SourceNow() const {
  int64_t now_us = EventLoop::NowUs();
  bool is_late = now_us - m_started_us > kFirstTableWait.count() * kUsPerMs;
  if (version() == 0 && is_late) return FromPlatform{};
  return m_policy.SourceAt(now_us);
}

void ConfigRelay::Stop() {
  m_is_running = false;
  m_timer.Cancel();
  m_overdue_timer.Cancel();
  m_open.clear();
  m_current = 0;
}

void ConfigRelay::SetEndpoints(std::shared_ptr<const EndpointList> endpoints) {
  if (endpoints == m_endpoints) return;
  m_endpoints = std::move(endpoints);
  const Endpoint* self = m_endpoints->FindNode(m_name);
  m_referrals.SetLinkMbps(self == nullptr ? 0 : self->link_mbps);
  m_policy.SetCandidates(WatcherCandidates(*m_endpoints), m_endpoints->all().size());
  AnswerWaiting();
}

void ConfigRelay::SetTable(std::shared_ptr<const ConfigTable> table) {
  if (m_table != nullptr) {
    m_former.push_front({m_table, ""});
    if (m_former.size() > kFormerTables) m_former.pop_back();
    for (Former& former : m_former) former.change.clear();
  }
  m_table = std::move(table);
  m_referrals.OnTableChanged();
  m_encoded.clear();
  AnswerWaiting();
}

void ConfigRelay::OnPlatformConfirmation() { m_confirmed_us = EventLoop::NowUs(); }

// In an outage that the watchers suffer too, one call of each follower is enough to see that it
// goes on, so the trial is judged now and not at its end.
void ConfigRelay::OnPlatformFailure() {
  bool is_from_platform = std::holds_alternative<FromPlatform>(m_source);
  if (m_is_running && is_from_platform && m_policy.IsOutageLikely()) m_timer.Start(kPause);
}

// Whether the platform has confirmed nothing for longer than one that answers takes between two
// confirmations: a watch ends within the age that a source may have.
bool ConfigRelay::IsPlatformSilent() const {
  return EventLoop::NowUs() - m_confirmed_us > m_policy.max_age_us();
}

void ConfigRelay::Step() {
  if (!m_is_running || m_current != 0) return;
  int64_t now_us = EventLoop::NowUs();
  bool is_from_platform = std::holds_alternative<FromPlatform>(m_source);
  if (is_from_platform && !m_policy.is_watcher() && IsPlatformSilent()) {
    m_policy.OnPlatformFailure(now_us, m_random.Unit());
  }
  ConfigSource source = SourceNow();
  if (source != m_source) {
    LOG(INFO) << "event=config_source source=" << Describe(source)
              << " before=" << Describe(m_source) << " version=" << version()
              << " endpoint_revision=" << m_hooks.endpoint_revision()
              << " age_ms=" << (now_us - m_confirmed_us) / kUsPerMs;
    m_source = source;
    m_hooks.watch_platform(std::holds_alternative<FromPlatform>(source));
  }
  if (const auto* node = std::get_if<FromNode>(&m_source)) {
    std::string holder = std::exchange(m_holder, "");
    if (holder.empty()) m_referrals_followed = 0;
    Ask(holder.empty() ? node->node : holder, !holder.empty());
  } else {
    m_holder.clear();
    m_timer.Start(m_policy.is_watcher() ? kRoleCheck : kPlatformTrial);
  }
}

void ConfigRelay::Ask(const std::string& node, bool is_referred) {
  const Endpoint* endpoint = m_endpoints->FindNode(node);
  if (endpoint == nullptr) {
    if (!is_referred) m_policy.OnFailure(node, EventLoop::NowUs());
    m_timer.Start(is_referred ? kBusyPause : kPause);
    return;
  }
  m_questions.Add();
  UpstreamRequest request{.method = EVHTTP_REQ_GET, .uri = kConfigPath};
  // A node that has lost its source wants to know at once whether it has missed a change.
  bool is_in_a_hurry = m_has_lost_source || version() == 0;
  std::chrono::milliseconds wait = is_in_a_hurry ? std::chrono::milliseconds(0) : kQuestionWait;
  request.headers = {{kVersionHeader, std::to_string(version())},
                     {kEndpointsHeader, std::to_string(m_hooks.requested_endpoint_revision())},
                     {kAskerHeader, m_name},
                     {kWaitHeader, std::to_string(wait.count())}};
  uint64_t number = m_next_question++;
  Question& question = m_open[number];
  question = {node, version(), is_referred, nullptr};
  m_current = number;
  m_overdue_timer.Start(version() == 0 ? kFirstTableMargin : wait + kMargin);
  question.query = std::make_unique<HttpQuery>(
      m_loop, m_peers.PoolOf(*endpoint), std::move(request), wait + kMargin + kLateTime,
      [this, number](const std::optional<HttpReply>& reply) { OnReply(number, reply); },
      kMaxTableBytes);
}

// The next source is asked; the question stays open.
void ConfigRelay::OnOverdue() {
  const Question& question = m_open.at(m_current);
  LOG(WARNING) << "event=config_source_overdue source=" << question.node
               << " referred=" << question.is_referred << " version=" << version();
  SourceFailed(question);
  m_has_lost_source = true;
  m_current = 0;
  m_timer.Start(kPause);
}

void ConfigRelay::OnReply(uint64_t number, const std::optional<HttpReply>& reply) {
  // The query is in its own callback.
  m_deferred.Post([this, number] { m_open.erase(number); });
  const Question& question = m_open.at(number);
  bool is_late = number != m_current;
  // The source has been given up for this question already.
  if (is_late && !reply) return;
  if (reply && FindHeader(reply->headers, kHolderHeader) != nullptr) {
    if (!is_late) AskAgain(question, *reply);
    return;
  }
  bool is_answer = TakeReply(question, reply);
  if (is_late) {
    LOG(INFO) << "event=config_answer_late source=" << question.node << " usable=" << is_answer;
    return;
  }
  m_current = 0;
  bool is_useless = m_policy.IsBackedOff(question.node, EventLoop::NowUs());
  // While no source is of use, each is asked without a wait, and the waits are made up for here.
  bool is_last_resort = is_useless && m_has_lost_source;
  m_has_lost_source = !is_answer || is_useless;
  m_overdue_timer.Cancel();
  bool has_nothing = !is_answer || version() == 0;
  m_timer.Start(has_nothing ? kNoAnswerPause : is_last_resort ? kQuestionWait : kPause);
}

// The source is sending other tables; another node, or the source again after a pause, has it.
void ConfigRelay::AskAgain(const Question& question, const HttpReply& reply) {
  m_current = 0;
  m_overdue_timer.Cancel();
  m_holder = HeaderValue(reply.headers, kHolderHeader);
  if (m_holder == m_name || ++m_referrals_followed > kMaxReferrals) m_holder.clear();
  LOG(INFO) << "event=config_referred source=" << question.node << " holder=" << m_holder
            << " version=" << version();
  m_timer.Start(m_holder.empty() ? kBusyPause : kPause);
}

// A node that was only named by a source is not to blame for the source.
void ConfigRelay::SourceFailed(const Question& question) {
  m_failures.Add();
  if (!question.is_referred) m_policy.OnFailure(question.node, EventLoop::NowUs());
}

// Whether it was an answer; a table that it holds is put in force.
bool ConfigRelay::TakeReply(const Question& question, const std::optional<HttpReply>& reply) {
  int64_t now_us = EventLoop::NowUs();
  bool is_answer = reply && (reply->status == kHttpOk || reply->status == kHttpNotModified) &&
                   FindHeader(reply->headers, kAgeHeader) != nullptr;
  if (!is_answer) {
    LOG(WARNING) << "event=config_source_failed source=" << question.node
                 << " referred=" << question.is_referred
                 << " status=" << (reply ? reply->status : 0);
    SourceFailed(question);
    return false;
  }
  int64_t age_us = HeaderNumber(reply->headers, kAgeHeader) * kUsPerMs;
  auto answer_version = static_cast<uint64_t>(HeaderNumber(reply->headers, kVersionHeader));
  // A source that has just started, as this node has, is neither fresh nor stale.
  bool is_starting = answer_version == 0 && version() == 0;
  if (!is_starting && !question.is_referred) {
    m_policy.OnAnswer(question.node, age_us, now_us, m_random.Unit());
  }
  const Endpoint* endpoint = m_endpoints->FindNode(question.node);
  if (endpoint != nullptr) {
    auto revision = static_cast<uint64_t>(HeaderNumber(reply->headers, kEndpointsHeader));
    m_hooks.on_source_endpoint_revision(*endpoint, revision);
  }
  m_confirmed_us = std::max(m_confirmed_us, now_us - age_us);
  if (reply->status != kHttpOk || answer_version <= version()) return true;
  // Another answer was faster; the next question starts from its table.
  bool is_change = FindHeader(reply->headers, kChangeHeader) != nullptr;
  if (is_change && question.known != version()) return true;
  std::shared_ptr<const ConfigTable> table = TableIn(*reply);
  if (table == nullptr) {
    SourceFailed(question);
    return false;
  }
  if (table->version() > version()) m_hooks.on_newer_table(std::move(table));
  return true;
}

// The table that an answer holds or leads to; null when it cannot be had.
std::shared_ptr<const ConfigTable> ConfigRelay::TableIn(const HttpReply& reply) {
  auto refuse = [](const std::string& error) {
    LOG(ERROR) << "event=config_from_node_refused error=\"" << error << "\"";
    return nullptr;
  };
  const std::string* digest = FindHeader(reply.headers, kChangeHeader);
  if (digest == nullptr) {
    auto table = DecodeTable(reply.body);
    if (!table) return refuse(table.error().message);
    return std::make_shared<const ConfigTable>(std::move(*table));
  }
  auto note = DecodeNote(reply.body);
  if (!note) return refuse(note.error().message);
  if (m_table == nullptr) return refuse("a change without a table");
  auto next = m_table->Apply(*note);
  if (!next) return refuse(next.error().message);
  ConfigTable table =
      next->AtVersion(static_cast<uint64_t>(HeaderNumber(reply.headers, kVersionHeader)));
  // A source that has meant another table by the same version must not leave this one mixed.
  if (DigestOf(EncodeTable(table)) != *digest) return refuse("the change leads to another table");
  return std::make_shared<const ConfigTable>(std::move(table));
}

}  // namespace guavatrail
