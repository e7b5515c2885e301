// Defines the names of the headers between nodes, HeaderList, and the rules by which a proxy passes
// headers on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace guavatrail {

inline constexpr char kRequestIdHeader[] = "X-Guavatrail-Request-Id";
inline constexpr char kDeadlineHeader[] = "X-Guavatrail-Deadline-Ms";
inline constexpr char kWorkHeader[] = "X-Guavatrail-Work";
// Milliseconds left until the time within which an answer is of full use; absent: the deadline.
inline constexpr char kObjectiveHeader[] = "X-Guavatrail-Objective-Ms";
// The service that the entry node means; an address may have passed to a node of another one.
inline constexpr char kServiceHeader[] = "X-Guavatrail-Service";
// Present on a request that is to run at once or not at all: the entry node will look for a server
// with a free slot before it lets the request wait.
inline constexpr char kOfferHeader[] = "X-Guavatrail-Offer";
// On a refused offer: how long the request would have to wait.
inline constexpr char kWaitMsHeader[] = "X-Guavatrail-Wait-Ms";
inline constexpr char kIncarnationHeader[] = "X-Guavatrail-Incarnation";
inline constexpr char kLoadHeader[] = "X-Guavatrail-Load";
inline constexpr char kOutcomeHeader[] = "X-Guavatrail-Outcome";
// Why a request was not run, for logs and for the choice of the next node.
inline constexpr char kReasonHeader[] = "X-Guavatrail-Reason";
// Microseconds that the backend server took until the head of its answer.
inline constexpr char kServerTimeHeader[] = "X-Guavatrail-Server-Us";
// Microseconds that a request waited for a slot at the serving node.
inline constexpr char kQueueTimeHeader[] = "X-Guavatrail-Queue-Us";
// Status of a finished order whose answer is not kept.
inline constexpr char kOrderStatusHeader[] = "X-Guavatrail-Order-Status";
// Like Retry-After, in milliseconds.
inline constexpr char kRetryAfterMsHeader[] = "X-Guavatrail-Retry-After-Ms";
inline constexpr char kOrderKeyHeader[] = "Idempotency-Key";

// Paths of the node's own on the peer port; callers cannot reach them.
inline constexpr std::string_view kOwnPathPrefix = "/guavatrail/";
inline constexpr char kOrderKeyPath[] = "/guavatrail/v1/order-key";
inline constexpr char kFencePath[] = "/guavatrail/v1/fence";
// The configuration in force; see config_relay.h.
inline constexpr char kConfigPath[] = "/guavatrail/v1/config";
// Changes of the endpoints; see endpoint_relay.h.
inline constexpr char kEndpointsPath[] = "/guavatrail/v1/endpoints";
inline constexpr std::string_view kProbePathPrefix = "/guavatrail/v1/request/";

inline constexpr char kOutcomeAnswered[] = "answered";
inline constexpr char kOutcomeNotRun[] = "not-run";
inline constexpr char kOutcomeUnknown[] = "unknown";
// Answer to a fence request only: the order waits or runs.
inline constexpr char kOutcomeRunning[] = "running";

inline constexpr char kReasonDraining[] = "draining";
// The node is about to end; its server stays.
inline constexpr char kReasonStopping[] = "stopping";
inline constexpr char kReasonOverload[] = "overload";
inline constexpr char kReasonFenced[] = "fenced";
inline constexpr char kReasonUnreachable[] = "unreachable";
// No slot is free for an offer.
inline constexpr char kReasonBusy[] = "busy";
// The backend server itself turned the request away.
inline constexpr char kReasonServerFull[] = "server_full";
inline constexpr char kReasonWrongServer[] = "wrong_server";
// The node is beside a server of another service than the sender believes.
inline constexpr char kReasonWrongService[] = "wrong_service";
// No backend server beside the node takes new work.
inline constexpr char kReasonNoServer[] = "no_server";

inline constexpr size_t kMaxHeaderBytes = 65'536;
inline constexpr size_t kMaxRequestBodyBytes = 1'048'576;

enum HttpStatus {
  kHttpOk = 200,
  kHttpNotModified = 304,
  kHttpBadRequest = 400,
  kHttpNotFound = 404,
  kHttpRequestTimeout = 408,
  kHttpConflict = 409,
  kHttpGone = 410,
  kHttpContentTooLarge = 413,
  kHttpMisdirected = 421,
  kHttpPreconditionRequired = 428,
  kHttpTooManyRequests = 429,
  kHttpHeadersTooLarge = 431,
  kHttpInternalError = 500,
  kHttpNotImplemented = 501,
  kHttpBadGateway = 502,
  kHttpServiceUnavailable = 503,
  kHttpGatewayTimeout = 504,
};

// The reason phrase of a status that nodes give; "Status" for any other.
std::string_view ReasonPhrase(int status);

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// Header names are compared without regard to case.
bool IsSameHeaderName(std::string_view a, std::string_view b);
// Null when absent.
const std::string* FindHeader(const HeaderList& headers, std::string_view name);
// `text` with its ASCII letters in lower case, as names of hosts are compared.
std::string LowerCase(std::string_view text);
// Empty when absent.
std::string_view HeaderValue(const HeaderList& headers, std::string_view name);
// The value of a header with a non-negative number; 0 when it is absent or something else.
int64_t HeaderNumber(const HeaderList& headers, std::string_view name);
void RemoveHeader(HeaderList& headers, std::string_view name);
void SetHeader(HeaderList& headers, std::string_view name, std::string_view value);

// Whether X-Guavatrail-Outcome says `outcome`.
bool HasOutcome(const HeaderList& headers, std::string_view outcome);
// Adds Retry-After, in whole seconds and at least 1, and its value in milliseconds.
void SetRetryAfter(HeaderList& headers, int64_t retry_after_ms);
// Adds Retry-After in seconds with three decimals.
void SetFractionalRetryAfter(HeaderList& headers, int64_t retry_after_ms);

// Headers that a proxy passes on: without hop-by-hop headers, Content-Length and Expect, which
// belong to one connection.
HeaderList EndToEndHeaders(const HeaderList& headers);
// Removes X-Guavatrail-* headers, which only nodes may set.
void RemoveNodeHeaders(HeaderList& headers);

// How the end of a message body is known.
enum class BodyFraming { kNone, kLength, kChunked, kUntilClose };

// Whether an answer with `status` may have a body at all.
bool HasBody(int status);

}  // namespace guavatrail
