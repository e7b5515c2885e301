#include "delivery.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <set>

#include "config_codec.h"
#include "config_log.h"

namespace guavatrail {

namespace {

constexpr size_t kAcceptorCount = 3;
// A reply stays below the limit of 2 MB for a message: this much, and one more note of 900 KB.
constexpr size_t kReplyBytes = 1'000'000;

// The weight of a candidate for one purpose.
uint64_t RendezvousHash(std::string_view purpose, std::string_view node) {
  std::string input = std::string(purpose) + '\0' + std::string(node);
  std::array<unsigned char, crypto_generichash_BYTES_MIN> hash{};
  crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(input.data()),
                     input.size(), nullptr, 0);
  uint64_t value = 0;
  std::memcpy(&value, hash.data(), sizeof(value));
  return value;
}

// Candidates by falling hash.
std::vector<Candidate> Ranked(const std::vector<Candidate>& candidates, std::string_view purpose) {
  std::vector<std::pair<uint64_t, const Candidate*>> weighted;
  weighted.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    weighted.emplace_back(RendezvousHash(purpose, candidate.node), &candidate);
  }
  std::sort(weighted.begin(), weighted.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second->node < b.second->node;
  });
  std::vector<Candidate> ranked;
  ranked.reserve(weighted.size());
  for (const auto& [weight, candidate] : weighted) ranked.push_back(*candidate);
  return ranked;
}

}  // namespace

std::vector<std::string> ChooseWatchers(const std::vector<Candidate>& candidates,
                                        std::string_view data_centre, size_t count) {
  std::vector<std::string> watchers;
  for (const Candidate& candidate : Ranked(candidates, "watch")) {
    if (watchers.size() == count) break;
    if (candidate.data_centre == data_centre) watchers.push_back(candidate.node);
  }
  return watchers;
}

std::vector<std::string> ChooseAcceptors(const std::vector<Candidate>& candidates,
                                         std::string_view node) {
  std::vector<Candidate> ranked = Ranked(candidates, std::string("keep ").append(node));
  std::erase_if(ranked, [&](const Candidate& c) { return c.node == node; });
  std::vector<std::string> acceptors;
  std::set<std::string> used;
  for (const Candidate& candidate : ranked) {
    if (acceptors.size() < kAcceptorCount && used.insert(candidate.data_centre).second) {
      acceptors.push_back(candidate.node);
    }
  }
  for (const Candidate& candidate : ranked) {
    bool chosen = std::find(acceptors.begin(), acceptors.end(), candidate.node) != acceptors.end();
    if (acceptors.size() < kAcceptorCount && !chosen) acceptors.push_back(candidate.node);
  }
  return acceptors;
}

DeliveryRoles ChooseDeliveryRoles(const std::vector<pb::MemberRecord>& members,
                                  const Candidate& self, size_t watchers) {
  DeliveryRoles roles;
  std::vector<Candidate> alive = {self};
  std::vector<Candidate> not_left;
  for (const pb::MemberRecord& member : members) {
    if (member.state() == pb::MEMBER_LEFT || member.name() == self.node) continue;
    not_left.push_back({member.name(), member.data_centre()});
    if (member.state() == pb::MEMBER_ALIVE) alive.push_back(not_left.back());
    if (member.state() != pb::MEMBER_DEAD) roles.reachable.push_back(member.name());
  }
  roles.acceptors = ChooseAcceptors(alive, self.node);
  roles.recovery_acceptors = ChooseAcceptors(not_left, self.node);
  std::vector<std::string> chosen = ChooseWatchers(alive, self.data_centre, watchers);
  roles.is_watcher = std::find(chosen.begin(), chosen.end(), self.node) != chosen.end();
  return roles;
}

int64_t Backoff::NextMs(double unit) {
  constexpr int kMaxDoublings = 20;
  int64_t nominal = std::min(m_longest_ms, m_first_ms << std::min(m_failures, kMaxDoublings));
  ++m_failures;
  int64_t fixed = nominal / 2;
  return fixed + static_cast<int64_t>(unit * static_cast<double>(nominal - fixed));
}

void PullScheduler::RecordAnnouncement(std::string_view node, uint64_t version) {
  auto it = m_peers.find(node);
  if (it == m_peers.end()) {
    it = m_peers.emplace(std::string(node), Peer{0, m_next_order++, 0, 0}).first;
  }
  it->second.version = std::max(it->second.version, version);
}

uint64_t PullScheduler::AnnouncedBy(std::string_view node) const {
  auto it = m_peers.find(node);
  return it == m_peers.end() ? 0 : it->second.version;
}

uint64_t PullScheduler::HighestAnnounced() const {
  uint64_t highest = 0;
  for (const auto& [node, peer] : m_peers) highest = std::max(highest, peer.version);
  return highest;
}

void PullScheduler::RemovePeer(std::string_view node) {
  auto it = m_peers.find(node);
  if (it != m_peers.end()) m_peers.erase(it);
  if (IsOpenWith(node)) m_open.reset();
}

void PullScheduler::RemoveAllExcept(const std::vector<std::string>& members) {
  std::set<std::string_view> kept(members.begin(), members.end());
  std::erase_if(m_peers, [&](const auto& entry) { return !kept.contains(entry.first); });
  if (m_open && !kept.contains(*m_open)) m_open.reset();
}

std::optional<std::string> PullScheduler::StartPull(uint64_t held, int64_t now_ms) {
  if (m_open) return std::nullopt;
  const std::pair<const std::string, Peer>* best = nullptr;
  for (const auto& entry : m_peers) {
    const Peer& peer = entry.second;
    if (peer.version <= held || peer.not_before_ms > now_ms) continue;
    if (best == nullptr ||
        std::tie(peer.failures, peer.order) < std::tie(best->second.failures, best->second.order)) {
      best = &entry;
    }
  }
  if (best == nullptr) return std::nullopt;
  m_open = best->first;
  m_deadline_ms = now_ms + m_timeout_ms;
  return m_open;
}

int64_t PullScheduler::NextEventMs(uint64_t held) const {
  if (m_open) return m_deadline_ms;
  int64_t next = INT64_MAX;
  for (const auto& [node, peer] : m_peers) {
    if (peer.version > held) next = std::min(next, peer.not_before_ms);
  }
  return next;
}

void PullScheduler::ExtendDeadline(int64_t now_ms) { m_deadline_ms = now_ms + m_timeout_ms; }

void PullScheduler::RecordReply() {
  if (!m_open) return;
  m_peers[*m_open].failures = 0;
  m_open.reset();
}

bool PullScheduler::ExpirePull(int64_t now_ms) {
  if (!m_open || now_ms < m_deadline_ms) return false;
  constexpr int kMaxDoublings = 5;
  Peer& peer = m_peers[*m_open];
  peer.not_before_ms = now_ms + (m_timeout_ms << std::min(peer.failures, kMaxDoublings));
  ++peer.failures;
  m_open.reset();
  return true;
}

void PullScheduler::RecordBusy(int64_t now_ms, int64_t retry_after_ms) {
  if (!m_open) return;
  m_peers[*m_open].not_before_ms = now_ms + retry_after_ms;
  m_open.reset();
}

void PullScheduler::RecordBadReply() {
  if (!m_open) return;
  m_peers.erase(*m_open);
  m_open.reset();
}

std::vector<EncodedNote> NotesFromReply(const pb::NotesReply& reply) {
  std::vector<EncodedNote> notes;
  notes.reserve(static_cast<size_t>(reply.notes_size()));
  for (const pb::NoteBody& body : reply.notes()) {
    notes.push_back({body.version(), body.digest(), body.note()});
  }
  return notes;
}

void NoteWindow::Add(EncodedNote note) {
  if (!m_notes.empty() && note.version != m_notes.back().version + 1) Clear();
  m_bytes += note.bytes.size();
  m_notes.push_back(std::move(note));
  while (m_notes.size() > kMaxNotes || m_bytes > kMaxBytes) {
    m_bytes -= m_notes.front().bytes.size();
    m_notes.pop_front();
  }
}

void NoteWindow::Clear() {
  m_notes.clear();
  m_bytes = 0;
}

bool NoteWindow::FillReply(uint64_t held_version, pb::NotesReply& reply) const {
  if (m_notes.empty() || held_version + 1 < m_notes.front().version) return false;
  size_t bytes = 0;
  for (const EncodedNote& note : m_notes) {
    if (note.version <= held_version) continue;
    if (bytes > kReplyBytes) break;
    bytes += note.bytes.size();
    pb::NoteBody* body = reply.add_notes();
    body->set_version(note.version);
    body->set_digest(note.digest);
    body->set_note(note.bytes);
  }
  return true;
}

bool SnapshotServer::AdmitRequester(std::string_view client, int64_t now_ms) {
  std::erase_if(m_clients, [&](const auto& c) { return now_ms - c.second >= kClientIdleMs; });
  auto it = m_clients.find(client);
  if (it == m_clients.end()) {
    if (m_clients.size() >= kMaxClients) return false;
    it = m_clients.emplace(std::string(client), now_ms).first;
  }
  it->second = now_ms;
  return true;
}

bool SnapshotServer::FillReply(std::string_view client, const pb::NotesRequest& request,
                               const std::shared_ptr<const ConfigTable>& table, int64_t now_ms,
                               pb::NotesReply& reply) {
  if (!AdmitRequester(client, now_ms)) return false;
  std::shared_ptr<const Encoded> snapshot;
  uint32_t part = 0;
  for (const auto& encoded : m_encoded) {
    if (encoded->version != request.snapshot_version()) continue;
    snapshot = encoded;
    part = request.snapshot_part();
  }
  if (snapshot == nullptr && !m_encoded.empty() && m_encoded.back()->version == table->version()) {
    snapshot = m_encoded.back();
  }
  if (snapshot == nullptr) {
    std::string bytes = EncodeTable(*table);
    std::string digest = DigestOf(bytes);
    snapshot = std::make_shared<const Encoded>(
        Encoded{table->version(), std::move(digest), std::move(bytes)});
    m_encoded.push_back(snapshot);
    if (m_encoded.size() > 2) m_encoded.erase(m_encoded.begin());
  }
  std::vector<std::string_view> parts = SplitSnapshot(snapshot->bytes);
  if (part >= parts.size()) part = 0;
  reply.set_snapshot_version(snapshot->version);
  reply.set_snapshot_digest(snapshot->digest);
  reply.set_snapshot_parts(static_cast<uint32_t>(parts.size()));
  reply.set_snapshot_part(part);
  reply.set_snapshot_bytes(std::string(parts[part]));
  if (part + 1 == parts.size()) m_clients.erase(std::string(client));
  return true;
}

void SnapshotAssembler::Reset() { *this = SnapshotAssembler(); }

SnapshotAssembler::Result SnapshotAssembler::Add(const pb::NotesReply& reply,
                                                 std::shared_ptr<const ConfigTable>& table) {
  if (reply.snapshot_version() != m_version || reply.snapshot_digest() != m_digest) {
    Reset();
    m_version = reply.snapshot_version();
    m_digest = reply.snapshot_digest();
    m_parts = reply.snapshot_parts();
  }
  if (m_parts == 0 || m_parts > kMaxSnapshotParts) {
    Reset();
    return Result::kDamaged;
  }
  if (reply.snapshot_part() != m_next_part) return Result::kIncomplete;
  m_bytes += reply.snapshot_bytes();
  if (++m_next_part < m_parts) return Result::kIncomplete;
  bool digest_matches = DigestOf(m_bytes) == m_digest;
  auto decoded = DecodeTable(m_bytes);
  uint64_t version = m_version;
  Reset();
  if (!digest_matches || !decoded || decoded->version() != version) return Result::kDamaged;
  table = std::make_shared<const ConfigTable>(std::move(*decoded));
  return Result::kComplete;
}

ApplyBatchResult ApplyBatch(std::shared_ptr<const ConfigTable> table,
                            const std::vector<EncodedNote>& notes) {
  ApplyBatchResult result;
  result.table = std::move(table);
  for (const EncodedNote& note : notes) {
    if (note.version <= result.table->version()) continue;
    if (note.version != result.table->version() + 1) break;
    if (DigestOf(note.bytes) != note.digest) {
      result.digest_differed = true;
      break;
    }
    ApplyResult applied = ApplyEncodedNote(*result.table, note.bytes);
    if (applied.refusal) {
      result.refused.push_back({note.version, applied.note_id, *applied.refusal});
    }
    result.note_ids.emplace_back(note.version, applied.note_id);
    result.table = std::make_shared<const ConfigTable>(std::move(applied.table));
    result.taken.push_back(note);
  }
  return result;
}

}  // namespace guavatrail
