// Defines HttpReader, a strict incremental reader of HTTP/1.1 requests and answers.
#pragma once

#include <event2/http.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "http_headers.h"

struct evbuffer;

namespace guavatrail {

// The part of a message before its body.
struct HttpHead {
  // Of a request.
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string target;
  // Of an answer.
  int status = 0;
  std::string reason;
  // Of both.
  int minor_version = 1;
  HeaderList headers;  // As sent, in order.
  BodyFraming framing = BodyFraming::kNone;
  std::optional<uint64_t> content_length;
  bool keep_alive = true;
};

enum class HttpReadError {
  kNone,
  kBadSyntax,
  kHeadTooLarge,
  kUnknownMethod,
};

std::string_view ToString(HttpReadError error);

// Reads one message after another from a buffer. Interim answers (1xx) are passed over.
class HttpReader {
 public:
  enum class Kind { kRequest, kAnswer };
  enum class Event {
    kNeedMore,  // Everything that can be read has been read.
    kHead,      // head() is that of the message that has begun.
    kBody,      // Bytes were added to `body`.
    kDone,      // The message is whole; the next bytes belong to another one.
    kError,     // error() says why; the connection is of no further use.
  };

  HttpReader(Kind kind, size_t max_head_bytes);
  ~HttpReader();
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  // The method of the request that the next answer is for; an answer to HEAD has no body.
  void ExpectAnswerTo(evhttp_cmd_type method);
  void SetMaxHeadBytes(size_t bytes);
  // Reads from `input` up to the next event and removes what was read.
  Event Next(evbuffer* input, evbuffer* body);
  // The peer ended the connection in an orderly way: whether that completes the message.
  bool FinishAtClose() const;

  const HttpHead& head() const;
  HttpHead TakeHead();
  // Whether a message has begun and is not whole.
  bool is_inside_message() const;
  HttpReadError error() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

// The name of a method as sent on the wire.
std::string_view MethodName(evhttp_cmd_type method);

}  // namespace guavatrail
