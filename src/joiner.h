// Defines Joiner, which contacts seed nodes from the settings and from the platform until one
// answers, maintains the seed list of this data centre on the platform, and reunites partitions of
// the fleet.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "event_loop.h"
#include "platform_client.h"
#include "random_source.h"

namespace guavatrail {

enum class AddressState {
  kUnknown,  // No member record has this address.
  kLive,     // An alive or suspect member has it.
  kGone,     // Only dead or left members have it.
};

struct JoinCallbacks {
  // Opens a connection to the address and requests the member table.
  std::function<void(const std::string& address)> contact;
  std::function<AddressState(const std::string& address)> address_state;
  // Number of alive and suspect members, this node included.
  std::function<size_t()> live_members;
  // Whether this node should be on the seed list of its data centre.
  std::function<bool()> should_be_seed;
};

struct JoinOptions {
  std::string address;  // This node's own control address.
  std::string data_centre;
  std::vector<std::string> seeds;  // From the settings.
};

// Does not need the platform while a seed from the settings answers.
class Joiner {
 public:
  Joiner(EventLoop& loop, JoinOptions options, PlatformClient& platform, RandomSource& random,
         JoinCallbacks callbacks);

  void Start();
  // Must be called when a contact has sent its member table.
  void OnMemberTable();
  // Stops all attempts; called when the node leaves.
  void Stop();
  bool HasJoined() const { return m_has_joined; }

 private:
  void TryJoin();
  void CheckForPartitions();
  void ScheduleCheck();
  // Read the seed list of this data centre or of the others, and contact some of the addresses.
  void ReadOwnList();
  void ReadOtherLists();
  void OnOtherLists(const std::vector<std::string>& keys);
  void OnOwnList(const tl::expected<PlatformObject, PlatformError>& object);
  void ContactRandom(std::vector<std::string> addresses, size_t count);
  bool IsDead(const std::string& address) const;
  void RegisterAsSeed(const std::vector<std::string>& current, uint64_t object_version);

  JoinOptions m_options;
  PlatformClient& m_platform;
  RandomSource& m_random;
  JoinCallbacks m_callbacks;
  Timer m_attempt_timer;
  Timer m_check_timer;
  int m_attempts = 0;
  bool m_has_joined = false;
  bool m_has_delayed_first_check = false;  // The first check has been delayed by a random time.
  bool m_is_stopped = false;
  // Number of contacts to each unknown address; removed when the address becomes known.
  std::map<std::string, int> m_unanswered;
  // Expires on destruction, so that later platform answers are dropped.
  std::shared_ptr<Joiner*> m_lifetime = std::make_shared<Joiner*>(this);
};

}  // namespace guavatrail
