// Defines Joiner, which finds contacts in the settings and on the platform until one answers, keeps
// this data centre's list of contacts on the platform, and heals a fleet that has fallen apart.
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
  kUnknown,  // No record has this address.
  kLive,
  kGone,  // Only dead or left records have it.
};

struct JoinCallbacks {
  // Opens a connection to the address and asks it for the member table.
  std::function<void(const std::string& address)> contact;
  std::function<AddressState(const std::string& address)> state_of;
  // Alive and suspect members, this node included.
  std::function<size_t()> live_members;
  // Whether this node is one of those that should be on the data centre's list.
  std::function<bool()> should_be_seed;
};

struct JoinOptions {
  std::string address;  // This node's own control address.
  std::string data_centre;
  std::vector<std::string> seeds;  // From the settings.
};

// Works without the platform as long as one contact from the settings answers.
class Joiner {
 public:
  Joiner(EventLoop& loop, JoinOptions options, PlatformClient& platform, RandomSource& random,
         JoinCallbacks ports);

  void Start();
  // A contact sent its member table.
  void OnAnswer();
  // Stops all attempts, for a node that leaves.
  void Stop();
  bool HasJoined() const { return m_has_joined; }

 private:
  void Attempt();
  void Check();
  void ScheduleCheck();
  // Read the list of this data centre or those of the others, and contact some addresses.
  void ReadOwnList();
  void ReadOtherLists();
  void OnOtherLists(const std::vector<std::string>& keys);
  void OnOwnList(const tl::expected<PlatformObject, PlatformError>& object);
  void ContactSome(std::vector<std::string> addresses, size_t count);
  bool IsDead(const std::string& address) const;
  void Register(const std::vector<std::string>& current, uint64_t object_version);

  JoinOptions m_options;
  PlatformClient& m_platform;
  RandomSource& m_random;
  JoinCallbacks m_ports;
  Timer m_attempt_timer;
  Timer m_check_timer;
  int m_attempts = 0;
  bool m_has_joined = false;
  bool m_has_spread = false;  // The first check has been put off.
  bool m_is_stopped = false;
  // Times that an unknown address was contacted; reset when it becomes known.
  std::map<std::string, int> m_unanswered;
  // Platform answers that arrive after this object is gone find it expired.
  std::shared_ptr<Joiner*> m_lifetime = std::make_shared<Joiner*>(this);
};

}  // namespace guavatrail
