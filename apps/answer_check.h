// Defines how the load tool classifies answers.
#pragma once

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sodium.h>

#include <array>
#include <string>

namespace guavatrail::load {

inline constexpr size_t kDigestBodyLimit = 1'000'000;

enum class Outcome { kGood, kRefused, kLate, kUnknown, kIncomplete, kMismatched, kFailed };
inline constexpr size_t kOutcomes = 7;
inline constexpr std::array<const char*, kOutcomes> kOutcomeNames = {
    "good", "refused", "late", "unknown", "incomplete", "mismatched", "failed"};

inline const char* HeaderOf(evhttp_request* request, const char* name) {
  const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
  return value == nullptr ? "" : value;
}

inline std::string DigestHex(const unsigned char* body, size_t size) {
  std::array<unsigned char, crypto_generichash_BYTES> digest;
  crypto_generichash(digest.data(), digest.size(), body, size, nullptr, 0);
  std::array<char, 2 * crypto_generichash_BYTES + 1> hex;
  return sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
}

// Whether the length of the body is known. A body that ends with the connection may be truncated.
inline bool HasLength(evhttp_request* request) {
  int status = evhttp_request_get_response_code(request);
  return status == HTTP_NOCONTENT || status == HTTP_NOTMODIFIED ||
         *HeaderOf(request, "Content-Length") != 0 || *HeaderOf(request, "Transfer-Encoding") != 0;
}

inline bool MatchesRequest(evhttp_request* request, const std::string& tag) {
  if (tag != HeaderOf(request, "X-Request-Tag")) return false;
  std::string digest = HeaderOf(request, "X-Body-Digest");
  evbuffer* body = evhttp_request_get_input_buffer(request);
  size_t size = evbuffer_get_length(body);
  return digest.empty() || size > kDigestBodyLimit ||
         digest == DigestHex(evbuffer_pullup(body, -1), size);
}

inline Outcome Classify(evhttp_request* request, const std::string& tag, bool is_late) {
  int status = evhttp_request_get_response_code(request);
  std::string outcome = HeaderOf(request, "X-Guavatrail-Outcome");
  if (!HasLength(request)) return Outcome::kIncomplete;
  bool is_answered = outcome == "answered";
  if (outcome == "not-run") return Outcome::kRefused;
  if (outcome == "unknown") return Outcome::kUnknown;
  if (!is_answered && (status == 503 || status == 429 || status == 428)) return Outcome::kRefused;
  if (!is_answered && (status == 502 || status == 504 || status == 409)) return Outcome::kUnknown;
  if (status < 200 || status >= 400) return Outcome::kFailed;
  if (!MatchesRequest(request, tag)) return Outcome::kMismatched;
  return is_late ? Outcome::kLate : Outcome::kGood;
}

}  // namespace guavatrail::load
