// Defines HttpReader, a strict incremental parser of HTTP/1.1 requests and answers.
#pragma once

#include <event2/http.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "http_headers.h"

struct evbuffer;

namespace guavatrail {

// The start line and headers of a message.
struct HttpHead {
  // Requests only.
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string target;
  // Answers only.
  int status = 0;
  std::string reason;
  // Requests and answers.
  int minor_version = 1;
  HeaderList headers;  // All headers in the order received.
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

// Reads a sequence of messages from a buffer. Interim answers (1xx) are skipped.
class HttpReader {
 public:
  enum class Kind { kRequest, kAnswer };
  enum class Event {
    kNeedMore,  // More input is needed.
    kHead,      // The head of a message is available from head().
    kBody,      // Bytes were appended to `body`.
    kDone,      // The message is complete; further input belongs to the next one.
    kError,     // Invalid input, see error(); the connection must be closed.
  };

  HttpReader(Kind kind, size_t max_head_bytes);
  ~HttpReader();
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  // Sets the request method of the next answer, since an answer to HEAD has no body.
  void SetRequestMethod(evhttp_cmd_type method);
  void SetMaxHeadBytes(size_t bytes);
  // Parses `input` up to the next event and drains the bytes that were parsed.
  Event Next(evbuffer* input, evbuffer* body);
  // Whether an orderly close by the peer completes the current message.
  bool IsCompleteAtClose() const;

  const HttpHead& head() const;
  HttpHead TakeHead();
  // Whether the head of a message has arrived and the message is not complete.
  bool is_inside_message() const;
  HttpReadError error() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

std::string_view MethodName(evhttp_cmd_type method);

}  // namespace guavatrail
