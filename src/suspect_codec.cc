#include "suspect_codec.h"

#include <algorithm>
#include <cstdint>

namespace guavatrail {

namespace {

constexpr size_t kMaxFingerprintBytes = 64;
constexpr size_t kMaxLifetimeBytes = 512;

bool IsValid(const pb::CrashSuspect& message) {
  size_t length = message.fingerprint().size();
  bool has_name = length > 0 && length <= kMaxFingerprintBytes;
  auto crashes = static_cast<size_t>(message.crashes_size());
  bool has_crashes = crashes <= CrashBlame::kMaxCrashes &&
                     std::all_of(message.crashes().begin(), message.crashes().end(),
                                 [](const auto& id) { return id.size() <= kMaxLifetimeBytes; });
  return has_name && has_crashes && message.quarantine_left_ms() >= 0 && message.trials() >= 0;
}

}  // namespace

std::string EncodeSuspects(const SuspectMessage& message) {
  pb::CrashSuspects out;
  out.set_complete_for_ms(message.complete_for_ms);
  for (const CrashSuspect& suspect : message.suspects) {
    pb::CrashSuspect& entry = *out.add_suspects();
    entry.set_fingerprint(suspect.fingerprint);
    for (const std::string& lifetime : suspect.crashes) entry.add_crashes(lifetime);
    entry.set_is_cleared(suspect.is_cleared);
    entry.set_quarantine_left_ms(suspect.quarantine_left_ms);
    entry.set_trials(suspect.trials);
    entry.set_crashed_again(suspect.crashed_again);
  }
  return SerializeCanonical(out);
}

tl::expected<SuspectMessage, CodecError> DecodeSuspects(std::string_view bytes) {
  auto fail = [](const char* message) { return tl::make_unexpected(CodecError{message}); };
  pb::CrashSuspects message;
  bool is_parsed = bytes.size() <= INT32_MAX &&
                   message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  if (!is_parsed) return fail("bytes are not encoded CrashSuspects");
  if (static_cast<size_t>(message.suspects_size()) > CrashBlame::kMaxSuspects) {
    return fail("crash suspects: more than a node keeps");
  }
  SuspectMessage decoded{.complete_for_ms = message.complete_for_ms()};
  for (const pb::CrashSuspect& entry : message.suspects()) {
    if (!IsValid(entry)) return fail("crash suspect: field out of range");
    decoded.suspects.push_back({.fingerprint = entry.fingerprint(),
                                .crashes = {entry.crashes().begin(), entry.crashes().end()},
                                .is_cleared = entry.is_cleared(),
                                .quarantine_left_ms = entry.quarantine_left_ms(),
                                .trials = entry.trials(),
                                .crashed_again = entry.crashed_again()});
  }
  return decoded;
}

}  // namespace guavatrail
