// Defines LoopPass, the time that one pass of the event loop took and what it was spent on, and
// PassTimer, which measures it. Performs no I/O; the caller passes in the time.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace guavatrail {

// The callbacks of a pass, by what has caused them.
enum class LoopWork {
  kAccept,      // A new connection on one of the node's ports.
  kDownstream,  // Input or the end of an accepted connection.
  kUpstream,    // Input or the end of a connection that this node has opened.
  kControl,     // A message of another node's control plane.
  kTimer,       // A timer, or a function that was deferred to the next pass.
};
inline constexpr size_t kLoopWorkKinds = 5;

std::string_view ToString(LoopWork work);

struct LoopPass {
  struct Share {
    uint32_t callbacks = 0;
    int64_t us = 0;
  };

  int64_t duration_us = 0;
  std::array<Share, kLoopWorkKinds> shares;  // Indexed by LoopWork.
};

// The pass as fields of a log line: "accepts=3 accept_ms=1 ...".
std::string FormatShares(const LoopPass& pass);

// Time that libevent spends between two callbacks counts for the earlier one.
class PassTimer {
 public:
  // A callback begins. The first one after EndPass begins a pass.
  void BeginCallback(LoopWork work, int64_t now_us);
  // Ends the pass. Its duration is 0 if there was no callback.
  LoopPass EndPass(int64_t now_us);
  bool is_running() const { return m_is_running; }

 private:
  void EndCallback(int64_t now_us);

  LoopPass m_pass;
  LoopWork m_work = LoopWork::kTimer;  // Of the callback in progress.
  bool m_is_running = false;
  int64_t m_start_us = 0;
  int64_t m_callback_start_us = 0;
};

}  // namespace guavatrail
