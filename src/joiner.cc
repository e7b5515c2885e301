#include "joiner.h"

#include <glog/logging.h>

#include <algorithm>
#include <memory>

#include "seed_list.h"

namespace guavatrail {

namespace {

using std::chrono::milliseconds;

// Spreads the first attempts when a whole data centre restarts.
constexpr int64_t kStartSpreadMs = 100;
constexpr int64_t kFirstRetryMs = 500;
constexpr int64_t kMaxRetryMs = 10'000;
// The seed list of the own data centre is read first; the other lists are read too from this
// attempt on, since the first attempt has had no answer.
constexpr int kOtherListsFromAttempt = 2;
// Contacts without answer after which an address without a member record counts as dead.
constexpr int kDeadAfterContacts = 2;
constexpr size_t kContactsPerAttempt = 3;
// The check for partitions runs on one node of the fleet about every 2 s regardless of the fleet's
// size, so that the load on the platform does not grow with it.
constexpr int64_t kCheckPerMemberMs = 2000;
constexpr int64_t kMinCheckMs = 10'000;
constexpr int64_t kFirstCheckMs = 1000;
// When a whole fleet starts at once, the first checks are spread to about 10 per second.
constexpr uint64_t kFirstCheckPerMemberMs = 100;
constexpr int kLogPeriodS = 10;

}  // namespace

Joiner::Joiner(EventLoop& loop, JoinOptions options, PlatformClient& platform, RandomSource& random,
               JoinCallbacks callbacks)
    : m_options(std::move(options)),
      m_platform(platform),
      m_random(random),
      m_callbacks(std::move(callbacks)),
      m_attempt_timer(loop, [this] { TryJoin(); }),
      m_check_timer(loop, [this] { CheckForPartitions(); }) {}

void Joiner::Start() {
  m_attempt_timer.Start(milliseconds(m_random.Below(kStartSpreadMs)));
  m_check_timer.Start(milliseconds(kFirstCheckMs + m_random.Below(kFirstCheckMs)));
}

void Joiner::OnMemberTable() {
  m_has_joined = true;
  m_attempt_timer.Cancel();
}

void Joiner::Stop() {
  m_is_stopped = true;
  m_attempt_timer.Cancel();
  m_check_timer.Cancel();
}

void Joiner::TryJoin() {
  if (m_has_joined || m_is_stopped) return;
  // This node was the first of its fleet, and others have joined through it.
  if (m_callbacks.live_members() > 1) {
    m_has_joined = true;
    return;
  }
  ++m_attempts;
  ContactRandom(m_options.seeds, kContactsPerAttempt);
  ReadOwnList();
  if (m_attempts >= kOtherListsFromAttempt) ReadOtherLists();
  int64_t delay_ms = std::min(kMaxRetryMs, kFirstRetryMs << std::min(m_attempts - 1, 10));
  m_attempt_timer.Start(milliseconds(delay_ms / 2 + m_random.Below(delay_ms)));
}

// Looks for partitions of the fleet that this node has no records of, and adds this node to the
// seed list of its data centre when the list has room.
void Joiner::CheckForPartitions() {
  if (m_is_stopped) return;
  if (!m_has_delayed_first_check && m_has_joined) {
    m_has_delayed_first_check = true;
    auto members = static_cast<uint64_t>(m_callbacks.live_members());
    m_check_timer.Start(milliseconds(m_random.Below(members * kFirstCheckPerMemberMs + 1)));
    return;
  }
  if (m_has_joined || m_callbacks.should_be_seed()) ReadOwnList();
  if (m_has_joined) {
    ContactRandom(m_options.seeds, 1);
    ReadOtherLists();
  }
  ScheduleCheck();
}

void Joiner::ScheduleCheck() {
  int64_t members = static_cast<int64_t>(m_callbacks.live_members());
  int64_t period_ms = std::max(kMinCheckMs, members * kCheckPerMemberMs);
  m_check_timer.Start(milliseconds(period_ms / 2 + m_random.Below(period_ms)));
}

void Joiner::ReadOwnList() {
  std::weak_ptr<Joiner*> self = m_lifetime;
  m_platform.Read(SeedKey(m_options.data_centre),
                  [self](const tl::expected<PlatformObject, PlatformError>& object) {
                    if (auto joiner = self.lock()) (*joiner)->OnOwnList(object);
                  });
}

void Joiner::OnOwnList(const tl::expected<PlatformObject, PlatformError>& object) {
  if (m_is_stopped) return;
  if (!object && object.error().code != PlatformError::Code::kNotFound) {
    LOG_EVERY_T(WARNING, kLogPeriodS)
        << "event=seeds_unreadable key=" << SeedKey(m_options.data_centre) << " error=\""
        << object.error().message << '"';
    return;
  }
  std::vector<std::string> addresses;
  if (object) addresses = DecodeSeeds(object->value);
  if (m_callbacks.should_be_seed()) RegisterAsSeed(addresses, object ? object->version : 0);
  ContactRandom(addresses, m_has_joined ? 1 : kContactsPerAttempt);
}

void Joiner::ReadOtherLists() {
  std::weak_ptr<Joiner*> self = m_lifetime;
  m_platform.List(kSeedPrefix,
                  [self](const tl::expected<std::vector<std::string>, PlatformError>& keys) {
                    auto joiner = self.lock();
                    if (joiner && keys) (*joiner)->OnOtherLists(*keys);
                  });
}

void Joiner::OnOtherLists(const std::vector<std::string>& keys) {
  std::weak_ptr<Joiner*> self = m_lifetime;
  for (const std::string& key : keys) {
    if (key == SeedKey(m_options.data_centre) || m_is_stopped) continue;
    m_platform.Read(key, [self](const tl::expected<PlatformObject, PlatformError>& object) {
      auto joiner = self.lock();
      if (!joiner || !object || (*joiner)->m_is_stopped) return;
      (*joiner)->ContactRandom(DecodeSeeds(object->value), 1);
    });
  }
}

void Joiner::ContactRandom(std::vector<std::string> addresses, size_t count) {
  std::erase_if(addresses, [&](const std::string& address) {
    return address == m_options.address ||
           m_callbacks.address_state(address) == AddressState::kLive;
  });
  for (size_t taken = 0; taken < count && !addresses.empty(); ++taken) {
    size_t i = m_random.Below(addresses.size());
    if (m_callbacks.address_state(addresses[i]) == AddressState::kUnknown) {
      ++m_unanswered[addresses[i]];
    }
    m_callbacks.contact(addresses[i]);
    addresses.erase(addresses.begin() + static_cast<ptrdiff_t>(i));
  }
}

bool Joiner::IsDead(const std::string& address) const {
  AddressState state = m_callbacks.address_state(address);
  auto unanswered = m_unanswered.find(address);
  return state == AddressState::kGone ||
         (state == AddressState::kUnknown && unanswered != m_unanswered.end() &&
          unanswered->second >= kDeadAfterContacts);
}

void Joiner::RegisterAsSeed(const std::vector<std::string>& current, uint64_t object_version) {
  auto next = AddSeed(current, m_options.address,
                      [this](const std::string& address) { return IsDead(address); });
  std::erase_if(m_unanswered, [this](const auto& item) {
    return m_callbacks.address_state(item.first) != AddressState::kUnknown;
  });
  if (!next) return;
  auto handler = [](tl::expected<uint64_t, PlatformError> written) {
    // After a conflict another node has changed the list; the next check reads it again.
    if (written || written.error().code == PlatformError::Code::kConflict) return;
    LOG_EVERY_T(WARNING, kLogPeriodS)
        << "event=seeds_not_written error=\"" << written.error().message << '"';
  };
  std::string key = SeedKey(m_options.data_centre);
  if (object_version == 0) {
    m_platform.Create(key, EncodeSeeds(*next), handler);
  } else {
    m_platform.Update(key, EncodeSeeds(*next), object_version, handler);
  }
}

}  // namespace guavatrail
