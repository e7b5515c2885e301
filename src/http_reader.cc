#include "http_reader.h"

#include <event2/buffer.h>
#include <http_parser.h>

#include <algorithm>
#include <array>
#include <climits>

namespace guavatrail {

namespace {

constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
// Limits on interim answers and on empty lines before a message. A peer that sends them without
// end would keep the reader busy forever.
constexpr int kMaxInterimAnswers = 16;
constexpr int kMaxLeadingLineEnds = 4;

struct MethodEntry {
  http_method parsed;
  evhttp_cmd_type method;
  std::string_view name;
};

constexpr std::array<MethodEntry, 7> kMethods = {{
    {HTTP_GET, EVHTTP_REQ_GET, "GET"},
    {HTTP_POST, EVHTTP_REQ_POST, "POST"},
    {HTTP_HEAD, EVHTTP_REQ_HEAD, "HEAD"},
    {HTTP_PUT, EVHTTP_REQ_PUT, "PUT"},
    {HTTP_DELETE, EVHTTP_REQ_DELETE, "DELETE"},
    {HTTP_PATCH, EVHTTP_REQ_PATCH, "PATCH"},
    {HTTP_OPTIONS, EVHTTP_REQ_OPTIONS, "OPTIONS"},
}};

bool IsTokenCharacter(char c) {
  if ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')) return true;
  return std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool IsControl(char c) {
  auto byte = static_cast<unsigned char>(c);
  return (byte < 0x20 && c != '\t') || byte == 0x7f;
}

// Whether `line` is a token, immediately followed by a colon and a value without control
// characters. Obsolete line folding is rejected, since a folded line starts with whitespace.
bool IsHeaderLine(std::string_view line) {
  size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  std::string_view name = line.substr(0, colon);
  if (!std::all_of(name.begin(), name.end(), IsTokenCharacter)) return false;
  return std::none_of(line.begin() + static_cast<std::ptrdiff_t>(colon), line.end(), IsControl);
}

// Whether `line` has the form "METHOD target HTTP/1.x" with single spaces.
bool IsRequestLine(std::string_view line) {
  size_t first = line.find(' ');
  size_t last = line.rfind(' ');
  if (first == std::string_view::npos || first == 0 || last <= first + 1) return false;
  std::string_view target = line.substr(first + 1, last - first - 1);
  return std::none_of(target.begin(), target.end(),
                      [](char c) { return c == ' ' || c == '\t' || IsControl(c); });
}

// Whether `head` follows the strict syntax. Heads that http_parser accepts but other recipients
// interpret differently allow request smuggling past this node.
bool IsStrictHead(std::string_view head, HttpReader::Kind kind) {
  bool is_first = true;
  while (!head.empty()) {
    size_t end = head.find("\r\n");
    if (end == std::string_view::npos) return false;
    std::string_view line = head.substr(0, end);
    head.remove_prefix(end + 2);
    if (line.find('\n') != std::string_view::npos || line.find('\r') != std::string_view::npos) {
      return false;
    }
    if (is_first) {
      if (kind == HttpReader::Kind::kRequest && !IsRequestLine(line)) return false;
      if (std::any_of(line.begin(), line.end(), IsControl)) return false;
      is_first = false;
    } else if (!line.empty() && !IsHeaderLine(line)) {
      return false;
    }
  }
  return true;
}

std::string_view TrimRight(std::string_view text) {
  size_t end = text.find_last_not_of(" \t");
  return end == std::string_view::npos ? std::string_view() : text.substr(0, end + 1);
}

int CountOf(const HeaderList& headers, std::string_view name) {
  int count = 0;
  for (const auto& [key, value] : headers) count += IsSameHeaderName(key, name) ? 1 : 0;
  return count;
}

}  // namespace

struct HttpReader::Impl {
  Impl(Kind reader_kind, size_t max) : kind(reader_kind), max_head_bytes(max) { Restart(); }

  void Restart();
  bool ReadHead(evbuffer* input);
  Event Fail(HttpReadError code);
  Event Execute(evbuffer* input, evbuffer* body);
  bool CheckHead();

  static Impl& Of(http_parser* parser) { return *static_cast<Impl*>(parser->data); }
  static int OnUrl(http_parser* parser, const char* at, size_t length);
  static int OnStatus(http_parser* parser, const char* at, size_t length);
  static int OnHeaderField(http_parser* parser, const char* at, size_t length);
  static int OnHeaderValue(http_parser* parser, const char* at, size_t length);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, size_t length);
  static int OnMessageComplete(http_parser* parser);
  static const http_parser_settings& Callbacks();

  Kind kind;
  size_t max_head_bytes;
  http_parser parser{};
  HttpHead head;
  evhttp_cmd_type request_method = EVHTTP_REQ_GET;
  HttpReadError error = HttpReadError::kNone;
  evbuffer* body_target = nullptr;
  int leading_line_ends = 0;      // Empty lines before the message.
  int interim_answers = 0;        // Interim answers since the last final one.
  bool has_begun = false;         // The head is complete in the input, so parsing has begun.
  bool is_head_complete = false;  // The head was parsed.
  bool is_complete = false;       // The message was parsed.
  bool was_value = false;         // The last header callback was for a value.
  bool has_head_event = false;    // Event::kHead is pending.
  bool has_body_event = false;    // Event::kBody is pending.
};

const http_parser_settings& HttpReader::Impl::Callbacks() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = &Impl::OnUrl;
    settings.on_status = &Impl::OnStatus;
    settings.on_header_field = &Impl::OnHeaderField;
    settings.on_header_value = &Impl::OnHeaderValue;
    settings.on_headers_complete = &Impl::OnHeadersComplete;
    settings.on_body = &Impl::OnBody;
    settings.on_message_complete = &Impl::OnMessageComplete;
    return settings;
  }();
  return kSettings;
}

void HttpReader::Impl::Restart() {
  http_parser_init(&parser, kind == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser.data = this;
  head = {};
  leading_line_ends = 0;
  has_begun = is_head_complete = is_complete = was_value = false;
  has_head_event = has_body_event = false;
}

int HttpReader::Impl::OnUrl(http_parser* parser, const char* at, size_t length) {
  Of(parser).head.target.append(at, length);
  return 0;
}

int HttpReader::Impl::OnStatus(http_parser* parser, const char* at, size_t length) {
  Of(parser).head.reason.append(at, length);
  return 0;
}

int HttpReader::Impl::OnHeaderField(http_parser* parser, const char* at, size_t length) {
  Impl& self = Of(parser);
  // Trailers of a chunked message are discarded.
  if (self.is_head_complete) return 0;
  HeaderList& headers = self.head.headers;
  if (headers.empty() || self.was_value) headers.emplace_back();
  headers.back().first.append(at, length);
  self.was_value = false;
  return 0;
}

int HttpReader::Impl::OnHeaderValue(http_parser* parser, const char* at, size_t length) {
  Impl& self = Of(parser);
  if (self.is_head_complete) return 0;
  self.head.headers.back().second.append(at, length);
  self.was_value = true;
  return 0;
}

int HttpReader::Impl::OnHeadersComplete(http_parser* parser) {
  constexpr int kNoBody = 1;
  Impl& self = Of(parser);
  HttpHead& head = self.head;
  for (auto& [name, value] : head.headers) value = TrimRight(value);
  head.minor_version = parser->http_minor;
  head.status = static_cast<int>(parser->status_code);
  head.keep_alive = http_should_keep_alive(parser) != 0;
  self.is_head_complete = true;
  bool is_answer_to_head = self.kind == Kind::kAnswer && self.request_method == EVHTTP_REQ_HEAD;
  if ((parser->flags & F_CHUNKED) != 0) {
    head.framing = BodyFraming::kChunked;
  } else if (parser->content_length != ULLONG_MAX) {
    head.framing = BodyFraming::kLength;
    head.content_length = parser->content_length;
  } else if (self.kind == Kind::kAnswer && HasBody(head.status)) {
    head.framing = BodyFraming::kUntilClose;
  }
  if (is_answer_to_head || (self.kind == Kind::kAnswer && !HasBody(head.status))) {
    head.framing = BodyFraming::kNone;
  }
  if (!self.CheckHead()) return -1;
  if (head.status >= kFirstFinalStatus || self.kind == Kind::kRequest) {
    self.has_head_event = true;
    http_parser_pause(parser, 1);
  }
  return is_answer_to_head ? kNoBody : 0;
}

// Checks rules that http_parser does not enforce: unambiguous body framing; for answers, a status
// that exists; and for requests, at most one Host header (which HTTP/1.1 requires) and a supported
// method.
bool HttpReader::Impl::CheckHead() {
  if (parser.http_major != 1) return false;
  int lengths = CountOf(head.headers, "Content-Length");
  int encodings = CountOf(head.headers, "Transfer-Encoding");
  if (lengths + encodings > 1) return false;
  if (encodings == 1 && head.framing != BodyFraming::kChunked &&
      head.framing != BodyFraming::kNone) {
    return false;
  }
  // A status below 100 would count as that of an interim answer.
  if (kind == Kind::kAnswer) return head.status >= kFirstStatus && head.status <= kLastStatus;
  if (encodings == 1 && head.framing != BodyFraming::kChunked) return false;
  int hosts = CountOf(head.headers, "Host");
  if (hosts > 1 || (hosts == 0 && head.minor_version >= 1)) return false;
  auto entry = std::find_if(kMethods.begin(), kMethods.end(), [this](const MethodEntry& m) {
    return m.parsed == static_cast<http_method>(parser.method);
  });
  if (entry == kMethods.end()) {
    error = HttpReadError::kUnknownMethod;
    return false;
  }
  head.method = entry->method;
  return true;
}

int HttpReader::Impl::OnBody(http_parser* parser, const char* at, size_t length) {
  Impl& self = Of(parser);
  evbuffer_add(self.body_target, at, length);
  self.has_body_event = true;
  return 0;
}

int HttpReader::Impl::OnMessageComplete(http_parser* parser) {
  Of(parser).is_complete = true;
  http_parser_pause(parser, 1);
  return 0;
}

HttpReader::Event HttpReader::Impl::Fail(HttpReadError code) {
  if (error == HttpReadError::kNone) error = code;
  return Event::kError;
}

// Whether `input` starts with a complete, strictly valid head. Sets `error` if it is invalid.
bool HttpReader::Impl::ReadHead(evbuffer* input) {
  // A few empty lines before a message are ignored (RFC 9112, section 2.2).
  while (evbuffer_get_length(input) >= 2) {
    const unsigned char* start = evbuffer_pullup(input, 2);
    if (start[0] != '\r' || start[1] != '\n') break;
    if (++leading_line_ends > kMaxLeadingLineEnds) {
      error = HttpReadError::kBadSyntax;
      return false;
    }
    evbuffer_drain(input, 2);
  }
  evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
  size_t length = end.pos < 0 ? evbuffer_get_length(input) : static_cast<size_t>(end.pos) + 4;
  // An incomplete head that has reached the limit exceeds it.
  if (length > max_head_bytes || (end.pos < 0 && length == max_head_bytes)) {
    error = HttpReadError::kHeadTooLarge;
    return false;
  }
  if (end.pos < 0) return false;
  const unsigned char* data = evbuffer_pullup(input, static_cast<ev_ssize_t>(length));
  if (!IsStrictHead({reinterpret_cast<const char*>(data), length}, kind)) {
    error = HttpReadError::kBadSyntax;
    return false;
  }
  return true;
}

HttpReader::Event HttpReader::Impl::Execute(evbuffer* input, evbuffer* body) {
  body_target = body;
  has_body_event = false;
  while (true) {
    evbuffer_iovec part{};
    if (evbuffer_peek(input, -1, nullptr, &part, 1) <= 0 || part.iov_len == 0) break;
    size_t parsed = http_parser_execute(&parser, &Callbacks(),
                                        static_cast<const char*>(part.iov_base), part.iov_len);
    evbuffer_drain(input, parsed);
    http_errno code = HTTP_PARSER_ERRNO(&parser);
    if (code == HPE_PAUSED) {
      http_parser_pause(&parser, 0);
      break;
    }
    if (code != HPE_OK) return Fail(HttpReadError::kBadSyntax);
  }
  body_target = nullptr;
  if (has_head_event) {
    has_head_event = false;
    return Event::kHead;
  }
  return has_body_event ? Event::kBody : Event::kNeedMore;
}

HttpReader::HttpReader(Kind kind, size_t max_head_bytes)
    : m_impl(std::make_unique<Impl>(kind, max_head_bytes)) {}

HttpReader::~HttpReader() = default;

void HttpReader::SetRequestMethod(evhttp_cmd_type method) { m_impl->request_method = method; }

void HttpReader::SetMaxHeadBytes(size_t bytes) { m_impl->max_head_bytes = bytes; }

HttpReader::Event HttpReader::Next(evbuffer* input, evbuffer* body) {
  Impl& impl = *m_impl;
  while (true) {
    if (impl.error != HttpReadError::kNone) return Event::kError;
    if (impl.is_complete) {
      bool is_interim = impl.kind == Kind::kAnswer && impl.head.status < kFirstFinalStatus;
      impl.Restart();
      impl.interim_answers = is_interim ? impl.interim_answers + 1 : 0;
      if (!is_interim) return Event::kDone;
      if (impl.interim_answers > kMaxInterimAnswers) return impl.Fail(HttpReadError::kBadSyntax);
    }
    if (!impl.has_begun) {
      if (!impl.ReadHead(input)) {
        return impl.error == HttpReadError::kNone ? Event::kNeedMore : Event::kError;
      }
      impl.has_begun = true;
    }
    Event event = impl.Execute(input, body);
    if (event != Event::kNeedMore) return event;
    if (!impl.is_complete) return Event::kNeedMore;
  }
}

bool HttpReader::IsCompleteAtClose() const {
  return m_impl->is_head_complete && m_impl->head.framing == BodyFraming::kUntilClose;
}

const HttpHead& HttpReader::head() const { return m_impl->head; }

HttpHead HttpReader::TakeHead() { return std::move(m_impl->head); }

bool HttpReader::is_inside_message() const { return m_impl->has_begun; }

HttpReadError HttpReader::error() const { return m_impl->error; }

std::string_view ToString(HttpReadError error) {
  switch (error) {
    case HttpReadError::kNone:
      return "none";
    case HttpReadError::kBadSyntax:
      return "bad_syntax";
    case HttpReadError::kHeadTooLarge:
      return "head_too_large";
    case HttpReadError::kUnknownMethod:
      return "unknown_method";
  }
  return "unknown";
}

std::string_view MethodName(evhttp_cmd_type method) {
  for (const MethodEntry& entry : kMethods) {
    if (entry.method == method) return entry.name;
  }
  return "GET";
}

}  // namespace guavatrail
