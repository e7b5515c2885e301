#include "request_fingerprint.h"

#include <sodium.h>

#include <array>

#include "crash_blame.h"
#include "downstream_request.h"
#include "event_loop.h"

namespace guavatrail {

namespace {

constexpr size_t kDigestBytes = 16;
// Headers that name the caller. Requests of different callers are different requests, even if they
// are otherwise the same.
constexpr std::array<std::string_view, 2> kCredentialHeaders = {"Authorization", "Cookie"};

// Adds the length too, so that the end of one part cannot be taken for the start of the next.
void AddPart(crypto_generichash_state& state, std::string_view part) {
  uint64_t length = part.size();
  crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(&length),
                            sizeof(length));
  crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(part.data()),
                            part.size());
}

void AddMethodAndHost(crypto_generichash_state& state, const DownstreamRequest& request) {
  AddPart(state, std::to_string(request.method()));
  AddPart(state, HostWithoutPort(request.authority()));
}

std::string HexDigest(crypto_generichash_state& state) {
  std::array<unsigned char, kDigestBytes> digest{};
  crypto_generichash_final(&state, digest.data(), digest.size());
  std::array<char, 2 * kDigestBytes + 1> hex{};
  sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
  return hex.data();
}

}  // namespace

std::string FingerprintOf(const DownstreamRequest& request) {
  crypto_generichash_state state;
  crypto_generichash_init(&state, nullptr, 0, kDigestBytes);
  AddMethodAndHost(state, request);
  AddPart(state, request.target());
  for (std::string_view name : kCredentialHeaders) {
    AddPart(state, HeaderValue(request.headers(), name));
  }
  AddPart(state, *request.body());
  return HexDigest(state);
}

std::string FamilyFingerprintOf(const DownstreamRequest& request, std::string_view workspace) {
  crypto_generichash_state state;
  crypto_generichash_init(&state, nullptr, 0, kDigestBytes);
  AddMethodAndHost(state, request);
  AddPart(state, request.path());
  AddPart(state, workspace);
  AddPart(state, HeaderValue(request.headers(), "Authorization"));
  AddPart(state, *request.body());
  return std::string(CrashBlame::kFamilyPrefix) + HexDigest(state);
}

std::string QuarantineFingerprintOf(const CrashBlame& blame, const DownstreamRequest& request,
                                    std::string_view workspace) {
  std::string family = FamilyFingerprintOf(request, workspace);
  return blame.IsQuarantined(family, EventLoop::NowUs()) ? family : FingerprintOf(request);
}

std::optional<int64_t> QuarantineRetryAfterMs(const CrashBlame* blame,
                                              const DownstreamRequest& request,
                                              std::string_view workspace) {
  if (blame == nullptr || blame->empty()) return std::nullopt;
  return blame->RetryAfterMs(QuarantineFingerprintOf(*blame, request, workspace),
                             EventLoop::NowUs());
}

}  // namespace guavatrail
