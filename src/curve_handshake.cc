#include "curve_handshake.h"

#include <algorithm>

namespace guavatrail {

namespace {

// The server sends its greeting, WELCOME, and as its second command READY or ERROR. Both commands
// are short frames: flags and length take a byte each.
constexpr size_t kGreetingBytes = 64;
constexpr size_t kFrameHeadBytes = 2;
constexpr size_t kWelcomeBytes = 168;
constexpr size_t kSecondCommand = kGreetingBytes + kFrameHeadBytes + kWelcomeBytes;
constexpr size_t kSecondName = kSecondCommand + kFrameHeadBytes;
// The name of a command follows its length.
constexpr std::string_view kReady = "\x05READY";
constexpr char kShortCommandFlags = 0x04;

}  // namespace

void CurveHandshake::OnClientBytes(size_t bytes) {
  if (m_state != State::kInProgress) return;
  m_client_bytes += bytes;
  if (m_client_bytes > kMaxClientBytes) m_state = State::kTooLong;
}

void CurveHandshake::OnServerBytes(std::string_view bytes) {
  if (m_state != State::kInProgress) return;
  size_t missing = kSecondName + kReady.size() - m_server_bytes.size();
  m_server_bytes.append(bytes.substr(0, missing));
  if (bytes.size() < missing) return;
  bool is_ready = m_server_bytes[kSecondCommand] == kShortCommandFlags &&
                  m_server_bytes.compare(kSecondName, kReady.size(), kReady) == 0;
  if (is_ready) m_state = State::kComplete;
}

}  // namespace guavatrail
