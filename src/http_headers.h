// Defines HeaderList, the names of the HTTP headers and paths that nodes use among themselves, and
// the rules by which a proxy forwards headers.
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
// Milliseconds left until the answer must be complete, which is not before the deadline. Absent:
// the deadline.
inline constexpr char kTimeoutHeader[] = "X-Guavatrail-Timeout-Ms";
inline constexpr char kWorkHeader[] = "X-Guavatrail-Work";
// Milliseconds left until the latency objective expires; absent: only the deadline applies.
inline constexpr char kObjectiveHeader[] = "X-Guavatrail-Objective-Ms";
// The service that the entry node selected. A node of another service refuses the request, since an
// address may have been reassigned.
inline constexpr char kServiceHeader[] = "X-Guavatrail-Service";
// Marks the trial of a request in quarantine; see quarantine_trials.h.
inline constexpr char kTrialHeader[] = "X-Guavatrail-Trial";
// Marks an offer, a request that must run immediately or not at all: the entry node looks for a
// server with a free slot before it queues the request.
inline constexpr char kOfferHeader[] = "X-Guavatrail-Offer";
// Sent with a refused offer or a refusal because of the link: milliseconds that the request would
// have to wait.
inline constexpr char kWaitMsHeader[] = "X-Guavatrail-Wait-Ms";
// The workspace that a request belongs to; see caller_identity.h. Absent: none.
inline constexpr char kWorkspaceHeader[] = "X-Guavatrail-Workspace";
// Takes the place of a large body that a node sends to itself; see local_bodies.h.
inline constexpr char kLocalBodyHeader[] = "X-Guavatrail-Local-Body";
inline constexpr char kIncarnationHeader[] = "X-Guavatrail-Incarnation";
inline constexpr char kLoadHeader[] = "X-Guavatrail-Load";
// What the serving node knows from its server's answers and reports; see server_statement.h.
inline constexpr char kServerStatementHeader[] = "X-Guavatrail-Server";
inline constexpr char kOutcomeHeader[] = "X-Guavatrail-Outcome";
// The reason why a request was not run, for logs and for the selection of the next node.
inline constexpr char kReasonHeader[] = "X-Guavatrail-Reason";
// Microseconds from the time the request got a slot at the serving node until the head of the
// backend server's answer.
inline constexpr char kServerTimeHeader[] = "X-Guavatrail-Server-Us";
// Microseconds that a request waited for a slot at the serving node.
inline constexpr char kQueueTimeHeader[] = "X-Guavatrail-Queue-Us";
// Status of a finished order whose answer is not stored.
inline constexpr char kOrderStatusHeader[] = "X-Guavatrail-Order-Status";
// The value of Retry-After in milliseconds.
inline constexpr char kRetryAfterMsHeader[] = "X-Guavatrail-Retry-After-Ms";
// Name of the node that sends a request of its own to another node.
inline constexpr char kNodeHeader[] = "X-Guavatrail-Node";
inline constexpr char kOrderKeyHeader[] = "Idempotency-Key";

// Prefix of the node's internal paths on the peer port, which callers cannot access.
inline constexpr std::string_view kInternalPathPrefix = "/guavatrail/";
inline constexpr char kOrderKeyPath[] = "/guavatrail/v1/order-key";
inline constexpr char kFencePath[] = "/guavatrail/v1/fence";
// The config table in force; see config_relay.h.
inline constexpr char kConfigPath[] = "/guavatrail/v1/config";
// Endpoint updates; see endpoint_relay.h.
inline constexpr char kEndpointsPath[] = "/guavatrail/v1/endpoints";
// Requests that are suspected of crashing servers; see suspect_relay.h.
inline constexpr char kSuspectsPath[] = "/guavatrail/v1/suspects";
// Rollouts of server versions; see rollout_exchange.h.
inline constexpr char kRolloutPath[] = "/guavatrail/v1/rollout";
// Reports on the quotas of workspaces; see quota_exchange.h.
inline constexpr char kQuotaPath[] = "/guavatrail/v1/quota";
inline constexpr std::string_view kProbePathPrefix = "/guavatrail/v1/request/";

inline constexpr char kOutcomeAnswered[] = "answered";
inline constexpr char kOutcomeNotRun[] = "not-run";
inline constexpr char kOutcomeUnknown[] = "unknown";
// For fence requests: the order is queued or running. For probes: the request is in progress.
inline constexpr char kOutcomeRunning[] = "running";

inline constexpr char kReasonDraining[] = "draining";
// The node is stopping, but its server remains.
inline constexpr char kReasonStopping[] = "stopping";
inline constexpr char kReasonOverload[] = "overload";
inline constexpr char kReasonFenced[] = "fenced";
inline constexpr char kReasonUnreachable[] = "unreachable";
// An offer was refused because no slot is free.
inline constexpr char kReasonBusy[] = "busy";
// The backend server refused the request.
inline constexpr char kReasonServerFull[] = "server_full";
inline constexpr char kReasonWrongServer[] = "wrong_server";
// The backend server belongs to another service than the request states.
inline constexpr char kReasonWrongService[] = "wrong_service";
// The node has no backend server that accepts new work.
inline constexpr char kReasonNoServer[] = "no_server";
// The request has crashed several backend servers; see crash_blame.h.
inline constexpr char kReasonQuarantined[] = "quarantined";
// The request may have crashed backend servers, and this node must not run it now; see
// crash_containment.h.
inline constexpr char kReasonContained[] = "contained";
// An answer that had begun was not complete at its timeout: the backend server had not sent all of
// it, or the caller had not read it in time.
inline constexpr char kReasonAnswerTimeout[] = "answer_timeout";
inline constexpr char kReasonCallerSlow[] = "caller_slow";
inline constexpr char kReasonCallerLeft[] = "caller_left";
// The workspace is above its quota; see quota_enforcer.h.
inline constexpr char kReasonQuota[] = "quota";
// The request does not fit in the memory of the node; see memory_budget.h.
inline constexpr char kReasonMemory[] = "memory";
inline constexpr char kReasonNoRoom[] = "no_room";
// The request names a body that its node was to hand to itself, but that the node no longer holds;
// see local_bodies.h.
inline constexpr char kReasonBodyGone[] = "body_gone";

inline constexpr size_t kMaxHeaderBytes = 65'536;
inline constexpr size_t kMaxRequestBodyBytes = 1'048'576;

enum HttpStatus {
  kHttpOk = 200,
  kHttpNotModified = 304,
  kHttpBadRequest = 400,
  kHttpUnauthorized = 401,
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

// The reason phrase of a status that nodes send; "Status" for any other.
std::string_view ReasonPhrase(int status);

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// Compares header names case-insensitively.
bool IsSameHeaderName(std::string_view a, std::string_view b);
// Whether a header can carry `text` unchanged: not empty, without control characters, and with no
// space at either end, which readers strip.
bool IsFieldValue(std::string_view text);
// Null if absent.
const std::string* FindHeader(const HeaderList& headers, std::string_view name);
// Converts ASCII letters to lower case, for the comparison of host names.
std::string LowerCase(std::string_view text);
// The host of `authority`, which is HOST or HOST:PORT. HOST may be an IPv6 address in brackets.
std::string_view HostWithoutPort(std::string_view authority);
// The value of a header; empty if absent.
std::string_view HeaderValue(const HeaderList& headers, std::string_view name);
// The value of a numeric header; 0 if it is absent, negative or not a number.
int64_t HeaderNumber(const HeaderList& headers, std::string_view name);
void RemoveHeader(HeaderList& headers, std::string_view name);
void SetHeader(HeaderList& headers, std::string_view name, std::string_view value);

// Whether the value of X-Guavatrail-Outcome is `outcome`.
bool HasOutcome(const HeaderList& headers, std::string_view outcome);
// Sets Retry-After, rounded up to whole seconds and at least 1, and kRetryAfterMsHeader.
void SetRetryAfter(HeaderList& headers, int64_t retry_after_ms);
// Sets Retry-After in seconds with three decimals.
void SetFractionalRetryAfter(HeaderList& headers, int64_t retry_after_ms);

// The headers that a proxy forwards: all except hop-by-hop headers, Content-Length and Expect,
// which apply to a single connection.
HeaderList EndToEndHeaders(const HeaderList& headers);
// Removes X-Guavatrail-* headers, which only nodes may set.
void RemoveNodeHeaders(HeaderList& headers);

// How the end of a message body is determined.
enum class BodyFraming { kNone, kLength, kChunked, kUntilClose };

// Whether an answer with `status` may have a body.
bool HasBody(int status);

}  // namespace guavatrail
