// Defines the names of the headers between nodes, HeaderList, and the rules by which a proxy passes
// headers on.
#pragma once

#include <event2/http.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct evkeyvalq;

namespace guavatrail {

inline constexpr char kRequestIdHeader[] = "X-Guavatrail-Request-Id";
inline constexpr char kDeadlineHeader[] = "X-Guavatrail-Deadline-Ms";
inline constexpr char kWorkHeader[] = "X-Guavatrail-Work";
inline constexpr char kIncarnationHeader[] = "X-Guavatrail-Incarnation";
inline constexpr char kLoadHeader[] = "X-Guavatrail-Load";
inline constexpr char kOutcomeHeader[] = "X-Guavatrail-Outcome";
// Why a request was not run, for logs and for the choice of the next node.
inline constexpr char kReasonHeader[] = "X-Guavatrail-Reason";
// Microseconds that the backend server took until the head of its answer.
inline constexpr char kServerTimeHeader[] = "X-Guavatrail-Server-Us";
// Status of a finished order whose answer is not kept.
inline constexpr char kOrderStatusHeader[] = "X-Guavatrail-Order-Status";
inline constexpr char kOrderKeyHeader[] = "Idempotency-Key";

// Paths of the node's own on the peer port; callers cannot reach them.
inline constexpr std::string_view kOwnPathPrefix = "/guavatrail/";
inline constexpr char kOrderKeyPath[] = "/guavatrail/v1/order-key";
inline constexpr char kFencePath[] = "/guavatrail/v1/fence";
inline constexpr std::string_view kProbePathPrefix = "/guavatrail/v1/request/";

inline constexpr char kOutcomeAnswered[] = "answered";
inline constexpr char kOutcomeNotRun[] = "not-run";
inline constexpr char kOutcomeUnknown[] = "unknown";
// Answer to a fence request only: the order waits or runs.
inline constexpr char kOutcomeRunning[] = "running";

inline constexpr char kReasonDraining[] = "draining";
inline constexpr char kReasonOverload[] = "overload";
inline constexpr char kReasonFenced[] = "fenced";

// Bounds that evhttp does not set by itself.
inline constexpr size_t kMaxHeaderBytes = 65'536;
inline constexpr size_t kMaxRequestBodyBytes = 1'048'576;

enum HttpStatus {
  kHttpOk = 200,
  kHttpBadRequest = 400,
  kHttpNotFound = 404,
  kHttpConflict = 409,
  kHttpGone = 410,
  kHttpPreconditionRequired = 428,
  kHttpTooManyRequests = 429,
  kHttpBadGateway = 502,
  kHttpServiceUnavailable = 503,
  kHttpGatewayTimeout = 504,
};

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// Header names are compared without regard to case. Null when absent.
const std::string* FindHeader(const HeaderList& headers, std::string_view name);
void RemoveHeader(HeaderList& headers, std::string_view name);
void SetHeader(HeaderList& headers, std::string_view name, std::string_view value);

// Headers that a proxy passes on: without hop-by-hop headers, Content-Length and Expect, which
// belong to one connection.
HeaderList EndToEndHeaders(const evkeyvalq* headers);
// Removes X-Guavatrail-* headers, which only nodes may set.
void RemoveNodeHeaders(HeaderList& headers);

// How the end of a message body is known.
enum class BodyFraming { kNone, kLength, kChunked, kUntilClose, kInvalid };

// The framing of an answer with `status` to a request of `method`.
BodyFraming AnswerFraming(const evkeyvalq* headers, evhttp_cmd_type method, int status);
// Whether a request can be passed on safely. evhttp ignores the body of methods such as GET and
// would read it as the next request, and it lets contradictory lengths pass.
bool HasSafeFraming(const evkeyvalq* headers, evhttp_cmd_type method);
// The Content-Length; nullopt when absent or not a number.
std::optional<uint64_t> ContentLengthOf(const evkeyvalq* headers);

}  // namespace guavatrail
