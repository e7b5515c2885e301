// Server side of ConfigRelay: answers the requests of other nodes.
#include <algorithm>

#include "config_codec.h"
#include "config_relay.h"
#include "config_relay_protocol.h"

namespace guavatrail {

namespace {

constexpr int64_t kUsPerMs = 1'000;

}  // namespace

bool ConfigRelay::HasNewsFor(const Known& known) const {
  return version() > known.version || m_hooks.endpoint_revision() > known.endpoint_revision;
}

// Followers are not referred to a draining node, because it is about to leave.
void ConfigRelay::NoteHolder(std::string_view node) {
  const Endpoint* holder = m_endpoints->FindNode(node);
  if (holder == nullptr || holder->draining) return;
  m_referrals.Holds(node, holder->link_mbps);
}

void ConfigRelay::Answer(std::unique_ptr<DownstreamRequest> request) {
  Known known = {static_cast<uint64_t>(NumberIn(request->headers(), kVersionHeader)),
                 static_cast<uint64_t>(NumberIn(request->headers(), kEndpointsHeader))};
  std::string_view asker = TextIn(request->headers(), kAskerHeader);
  if (m_table != nullptr && known.version == version()) NoteHolder(asker);
  if (HasNewsFor(known)) {
    AnswerNow(std::move(request), known);
    return;
  }
  uint64_t number = m_next_waiting++;
  Waiting& waiting = m_waiting[number];
  request->SetEndHandler([this, number](bool) { Forget(number); });
  waiting.request = std::move(request);
  waiting.known = known;
  waiting.timer = std::make_unique<Timer>(m_loop, [this, number, known] {
    auto it = m_waiting.find(number);
    if (it == m_waiting.end() || it->second.request == nullptr) return;
    it->second.request->SetEndHandler(nullptr);
    AnswerNow(std::move(it->second.request), known);
    Forget(number);
  });
  bool has_wait = FindHeader(waiting.request->headers(), kWaitHeader) != nullptr;
  std::chrono::milliseconds wait(NumberIn(waiting.request->headers(), kWaitHeader));
  waiting.timer->Start(has_wait ? std::min(wait, kQuestionWait) : kQuestionWait);
}

// The wait and the connection may both end in one iteration of the loop. Each ends in a callback of
// the object that is removed, so the removal is deferred; a second one has no effect.
void ConfigRelay::Forget(uint64_t waiting) {
  m_deferred.Post([this, waiting] { m_waiting.erase(waiting); });
}

void ConfigRelay::AnswerWaiting() {
  for (auto& [number, waiting] : m_waiting) {
    if (waiting.request == nullptr || !HasNewsFor(waiting.known)) continue;
    waiting.timer->Start(std::chrono::microseconds(0));
  }
}

void ConfigRelay::AnswerNow(std::unique_ptr<DownstreamRequest> request, const Known& known) {
  int64_t age_ms = (EventLoop::NowUs() - m_confirmed_us) / kUsPerMs;
  HeaderList headers = {{kVersionHeader, std::to_string(version())},
                        {kAgeHeader, std::to_string(std::max<int64_t>(0, age_ms))},
                        {kEndpointsHeader, std::to_string(m_hooks.endpoint_revision())}};
  if (version() <= known.version) {
    m_replies.Reply(std::move(request), kHttpNotModified, headers);
    return;
  }
  EncodeOnce();
  const std::string* change = ChangeFrom(known.version);
  if (change == nullptr) {
    AnswerTable(std::move(request), std::move(headers));
    return;
  }
  headers.emplace_back(kChangeHeader, m_digest);
  request->Expedite();
  m_replies.Reply(std::move(request), kHttpOk, headers, *change);
}

// Sends the whole table, or refers the requester to another node while other tables are being sent.
void ConfigRelay::AnswerTable(std::unique_ptr<DownstreamRequest> request, HeaderList headers) {
  std::string_view asker = TextIn(request->headers(), kAskerHeader);
  size_t bytes = m_encoded.size();
  TableReferrals::Answer answer = m_referrals.AnswerFor(asker, bytes);
  if (std::holds_alternative<TableReferrals::SendTable>(answer)) {
    m_referrals.Started(bytes);
    request->Expedite();
    m_replies.Reply(std::move(request), kHttpOk, headers, m_encoded,
                    [this, bytes, node = std::string(asker), sent = version()](bool written) {
                      m_referrals.Ended(bytes);
                      if (written && sent == version()) NoteHolder(node);
                    });
    return;
  }
  const auto* other = std::get_if<TableReferrals::AskNode>(&answer);
  if (other != nullptr) m_referrals.Referred(other->node);
  headers.emplace_back(kHolderHeader, other == nullptr ? "" : other->node);
  m_replies.Reply(std::move(request), kHttpServiceUnavailable, headers);
}

void ConfigRelay::EncodeOnce() {
  if (!m_encoded.empty()) return;
  m_encoded = EncodeTable(*m_table);
  m_digest = DigestOf(m_encoded);
}

// The encoded change from version `known` to the current table. Null when that version is no longer
// kept, when the limits differ too (a note carries only resources), or when the change is not
// smaller than the table.
const std::string* ConfigRelay::ChangeFrom(uint64_t known) {
  for (Former& former : m_former) {
    if (former.table->version() != known) continue;
    if (former.table->limits() != m_table->limits()) return nullptr;
    if (former.change.empty()) {
      ReleaseNote note = m_table->ChangeSince(*former.table);
      if (!ValidateNote(note)) return nullptr;
      former.change = EncodeNote(note);
    }
    return former.change.size() < m_encoded.size() ? &former.change : nullptr;
  }
  return nullptr;
}

}  // namespace guavatrail
