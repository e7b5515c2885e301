// Server side of ConfigRelay: answers the requests of other nodes.
#include <glog/logging.h>

#include <algorithm>

#include "config_codec.h"
#include "config_relay.h"
#include "config_relay_protocol.h"

namespace guavatrail {

namespace {

constexpr int64_t kUsPerMs = 1'000;

}  // namespace

bool ConfigRelay::HasUpdateFor(const RequesterState& known) const {
  return version() > known.version || known.endpoint_revision < m_callbacks.endpoint_revision();
}

// Followers are not referred to a draining node, because it is about to leave.
void ConfigRelay::RecordTableHolder(std::string_view node) {
  const Endpoint* holder = m_endpoints->FindNode(node);
  if (holder == nullptr || holder->draining) return;
  m_referrals.AddHolder(node, holder->link_mbps);
}

void ConfigRelay::HandleRequest(std::unique_ptr<DownstreamRequest> request) {
  RequesterState known = {
      static_cast<uint64_t>(HeaderNumber(request->headers(), kVersionHeader)),
      RevisionIn(request->headers(), kEndpointsHeaders, m_callbacks.endpoint_revision())};
  std::string_view requester = HeaderValue(request->headers(), kRequesterHeader);
  if (m_table != nullptr && known.version == version()) RecordTableHolder(requester);
  if (known.version > version()) RequestNewerTable(requester);
  if (HasUpdateFor(known)) {
    SendAnswer(std::move(request), known);
    return;
  }
  uint64_t number = m_next_long_poll++;
  LongPoll& long_poll = m_long_polls[number];
  request->SetEndHandler([this, number](bool) { RemoveLongPoll(number); });
  long_poll.request = std::move(request);
  long_poll.known = known;
  long_poll.timer = std::make_unique<Timer>(m_loop, [this, number, known] {
    auto it = m_long_polls.find(number);
    if (it == m_long_polls.end() || it->second.request == nullptr) return;
    it->second.request->SetEndHandler(nullptr);
    SendAnswer(std::move(it->second.request), known);
    RemoveLongPoll(number);
  });
  bool has_wait = FindHeader(long_poll.request->headers(), kWaitHeader) != nullptr;
  std::chrono::milliseconds wait(HeaderNumber(long_poll.request->headers(), kWaitHeader));
  long_poll.timer->Start(has_wait ? std::min(wait, kLongPollWait) : kLongPollWait);
}

// This node has started with an older table: the platform has come back from an older copy, and the
// operator has not written to it again. The long poll of the requester is answered later, by when
// this node may have its table.
void ConfigRelay::RequestNewerTable(std::string_view requester) {
  bool can_request = m_is_running && m_current_request == 0;
  if (!can_request || m_endpoints->FindNode(requester) == nullptr) return;
  LOG(INFO) << "event=config_newer_at_follower follower=" << requester << " version=" << version();
  SendRequest(std::string(requester), true);
}

// The wait and the connection may both end in one iteration of the loop, each in a callback of an
// object that is to be removed. The removal is therefore deferred; a second removal has no effect.
void ConfigRelay::RemoveLongPoll(uint64_t number) {
  m_deferred.Post([this, number] { m_long_polls.erase(number); });
}

void ConfigRelay::AnswerLongPolls() {
  for (auto& [number, long_poll] : m_long_polls) {
    if (long_poll.request == nullptr || !HasUpdateFor(long_poll.known)) continue;
    long_poll.timer->Start(std::chrono::microseconds(0));
  }
}

void ConfigRelay::SendAnswer(std::unique_ptr<DownstreamRequest> request,
                             const RequesterState& known) {
  int64_t age_ms = (EventLoop::NowUs() - m_platform_confirmed_us) / kUsPerMs;
  HeaderList headers = {{kVersionHeader, std::to_string(version())},
                        {kConfirmationAgeHeader, std::to_string(std::max<int64_t>(0, age_ms))}};
  SetRevision(headers, kEndpointsHeaders, m_callbacks.endpoint_revision());
  if (version() <= known.version) {
    m_replies.Reply(std::move(request), kHttpNotModified, headers);
    return;
  }
  EnsureEncoded();
  const std::string* change = EncodedChangeFrom(known.version);
  if (change == nullptr) {
    SendTableOrReferral(std::move(request), std::move(headers));
    return;
  }
  headers.emplace_back(kChangeDigestHeader, m_digest);
  request->BypassPacing();
  m_replies.ReplyIfItFits(std::move(request), headers, *change);
}

// Sends the whole table, or refers the requester to another node while other tables are being sent.
void ConfigRelay::SendTableOrReferral(std::unique_ptr<DownstreamRequest> request,
                                      HeaderList headers) {
  std::string_view requester = HeaderValue(request->headers(), kRequesterHeader);
  size_t bytes = m_encoded.size();
  TableReferrals::Answer answer = m_referrals.Decide(requester, bytes);
  if (std::holds_alternative<TableReferrals::SendTable>(answer)) {
    m_referrals.OnTransferStarted(bytes);
    request->BypassPacing();
    m_replies.ReplyIfItFits(
        std::move(request), headers, m_encoded,
        [this, bytes, node = std::string(requester), sent = version()](bool written) {
          m_referrals.OnTransferEnded(bytes);
          if (written && sent == version()) RecordTableHolder(node);
        });
    return;
  }
  const auto* other = std::get_if<TableReferrals::Referral>(&answer);
  if (other != nullptr) m_referrals.OnReferral(other->node);
  headers.emplace_back(kHolderHeader, other == nullptr ? "" : other->node);
  m_replies.Reply(std::move(request), kHttpServiceUnavailable, headers);
}

void ConfigRelay::EnsureEncoded() {
  if (!m_encoded.empty()) return;
  m_encoded = EncodeTable(*m_table);
  m_digest = DigestOf(m_encoded);
}

// The encoded change from version `known` to the current table. Null when that version is no longer
// kept, when the limits differ too (a note carries only resources), or when the change is not
// smaller than the table.
const std::string* ConfigRelay::EncodedChangeFrom(uint64_t known) {
  for (PreviousTable& previous : m_previous_tables) {
    if (previous.table->version() != known) continue;
    if (previous.table->limits() != m_table->limits()) return nullptr;
    if (previous.change.empty()) {
      ReleaseNote change = m_table->ChangeSince(*previous.table);
      if (!ValidateChange(change)) return nullptr;
      previous.change = EncodeNote(change);
    }
    return previous.change.size() < m_encoded.size() ? &previous.change : nullptr;
  }
  return nullptr;
}

}  // namespace guavatrail
