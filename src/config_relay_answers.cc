// How ConfigRelay answers the questions of other nodes.
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

// Others are not referred to a node that is leaving.
void ConfigRelay::NoteHolder(std::string_view node) {
  const Endpoint* holder = m_endpoints->FindNode(node);
  if (holder == nullptr || holder->draining) return;
  m_referrals.AddHolder(node, holder->link_mbps);
}

void ConfigRelay::HandleRequest(std::unique_ptr<DownstreamRequest> request) {
  Known known = {static_cast<uint64_t>(HeaderNumber(request->headers(), kVersionHeader)),
                 static_cast<uint64_t>(HeaderNumber(request->headers(), kEndpointsHeader))};
  std::string_view asker = HeaderValue(request->headers(), kAskerHeader);
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
  std::chrono::milliseconds wait(HeaderNumber(waiting.request->headers(), kWaitHeader));
  waiting.timer->Start(has_wait ? std::min(wait, kQuestionWait) : kQuestionWait);
}

// Both the end of the wait and the end of the connection may come in one turn of the loop, and each
// of them in a callback of what is removed.
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
  request->BypassPacing();
  m_replies.Reply(std::move(request), kHttpOk, headers, *change);
}

// Sends the whole table, or refers the asker to another node when others are under way.
void ConfigRelay::AnswerTable(std::unique_ptr<DownstreamRequest> request, HeaderList headers) {
  std::string_view asker = HeaderValue(request->headers(), kAskerHeader);
  size_t bytes = m_encoded.size();
  TableReferrals::Answer answer = m_referrals.Decide(asker, bytes);
  if (std::holds_alternative<TableReferrals::SendTable>(answer)) {
    m_referrals.OnTransferStarted(bytes);
    request->BypassPacing();
    m_replies.Reply(std::move(request), kHttpOk, headers, m_encoded,
                    [this, bytes, node = std::string(asker), sent = version()](bool written) {
                      m_referrals.OnTransferEnded(bytes);
                      if (written && sent == version()) NoteHolder(node);
                    });
    return;
  }
  const auto* other = std::get_if<TableReferrals::Referral>(&answer);
  if (other != nullptr) m_referrals.OnReferral(other->node);
  headers.emplace_back(kHolderHeader, other == nullptr ? "" : other->node);
  m_replies.Reply(std::move(request), kHttpServiceUnavailable, headers);
}

void ConfigRelay::EncodeOnce() {
  if (!m_encoded.empty()) return;
  m_encoded = EncodeTable(*m_table);
  m_digest = DigestOf(m_encoded);
}

// Null when the version is not known any more, or the change is not smaller or not only one of
// resources.
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
