#include "http_headers.h"

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace guavatrail {

namespace {

constexpr std::string_view kNodeHeaderPrefix = "X-Guavatrail-";
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

constexpr std::array<std::string_view, 11> kConnectionHeaders = {"Connection",
                                                                 "Keep-Alive",
                                                                 "Proxy-Connection",
                                                                 "Proxy-Authenticate",
                                                                 "TE",
                                                                 "Proxy-Authorization",
                                                                 "Trailer",
                                                                 "Transfer-Encoding",
                                                                 "Upgrade",
                                                                 "Content-Length",
                                                                 "Expect"};

bool EqualNames(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view Trim(std::string_view text) {
  size_t start = text.find_first_not_of(" \t");
  if (start == std::string_view::npos) return {};
  return text.substr(start, text.find_last_not_of(" \t") - start + 1);
}

// Header names that the Connection headers declare to be hop-by-hop.
std::vector<std::string_view> DeclaredHopByHop(const evkeyvalq* headers) {
  std::vector<std::string_view> names;
  for (const evkeyval* h = headers->tqh_first; h != nullptr; h = h->next.tqe_next) {
    if (!EqualNames(h->key, "Connection")) continue;
    std::string_view rest = h->value;
    while (!rest.empty()) {
      size_t comma = std::min(rest.find(','), rest.size());
      names.push_back(Trim(rest.substr(0, comma)));
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return names;
}

int CountOf(const evkeyvalq* headers, std::string_view name) {
  int count = 0;
  for (const evkeyval* h = headers->tqh_first; h != nullptr; h = h->next.tqe_next) {
    if (EqualNames(h->key, name)) ++count;
  }
  return count;
}

}  // namespace

const std::string* FindHeader(const HeaderList& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (EqualNames(key, name)) return &value;
  }
  return nullptr;
}

void RemoveHeader(HeaderList& headers, std::string_view name) {
  std::erase_if(headers, [&](const auto& header) { return EqualNames(header.first, name); });
}

void SetHeader(HeaderList& headers, std::string_view name, std::string_view value) {
  RemoveHeader(headers, name);
  headers.emplace_back(name, value);
}

HeaderList EndToEndHeaders(const evkeyvalq* headers) {
  std::vector<std::string_view> declared = DeclaredHopByHop(headers);
  HeaderList list;
  for (const evkeyval* h = headers->tqh_first; h != nullptr; h = h->next.tqe_next) {
    auto is_name = [&](std::string_view name) { return EqualNames(h->key, name); };
    if (std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(), is_name)) continue;
    if (std::any_of(declared.begin(), declared.end(), is_name)) continue;
    list.emplace_back(h->key, h->value);
  }
  return list;
}

void RemoveNodeHeaders(HeaderList& headers) {
  std::erase_if(headers, [](const auto& header) {
    return EqualNames(std::string_view(header.first).substr(0, kNodeHeaderPrefix.size()),
                      kNodeHeaderPrefix);
  });
}

std::optional<uint64_t> ContentLengthOf(const evkeyvalq* headers) {
  const char* text = evhttp_find_header(headers, "Content-Length");
  if (text == nullptr) return std::nullopt;
  std::string_view digits = Trim(text);
  uint64_t value = 0;
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (error != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  return value;
}

BodyFraming AnswerFraming(const evkeyvalq* headers, evhttp_cmd_type method, int status) {
  if (status < kFirstFinalStatus) return BodyFraming::kInvalid;
  if (method == EVHTTP_REQ_HEAD || status == kNoContent || status == kNotModified) {
    return BodyFraming::kNone;
  }
  const char* encoding = evhttp_find_header(headers, "Transfer-Encoding");
  if (encoding != nullptr) {
    // evhttp reads the last coding only when it is the only one.
    return EqualNames(encoding, "chunked") ? BodyFraming::kChunked : BodyFraming::kInvalid;
  }
  int lengths = CountOf(headers, "Content-Length");
  if (lengths == 0) return BodyFraming::kUntilClose;
  return lengths == 1 && ContentLengthOf(headers) ? BodyFraming::kLength : BodyFraming::kInvalid;
}

bool HasSafeFraming(const evkeyvalq* headers, evhttp_cmd_type method) {
  int lengths = CountOf(headers, "Content-Length");
  int encodings = CountOf(headers, "Transfer-Encoding");
  if (lengths + encodings > 1) return false;
  if (lengths == 1 && !ContentLengthOf(headers)) return false;
  if (encodings == 1 && !EqualNames(evhttp_find_header(headers, "Transfer-Encoding"), "chunked")) {
    return false;
  }
  bool reads_body =
      method == EVHTTP_REQ_POST || method == EVHTTP_REQ_PUT || method == EVHTTP_REQ_PATCH;
  return reads_body || (encodings == 0 && ContentLengthOf(headers).value_or(0) == 0);
}

}  // namespace guavatrail
