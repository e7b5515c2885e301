#include "server_check.h"

#include <glog/logging.h>

#include "server_notice.h"

namespace guavatrail {

namespace {

// A check waits for a slot of the server like any other request.
constexpr std::chrono::milliseconds kCheckTimeout{1'000};

}  // namespace

std::string_view ToString(ServerCheckResult result) {
  switch (result) {
    case ServerCheckResult::kInService:
      return "in_service";
    case ServerCheckResult::kLeaving:
      return "leaving";
    case ServerCheckResult::kOtherServer:
      return "other_server";
    case ServerCheckResult::kNotInService:
      return "not_in_service";
    case ServerCheckResult::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

ServerCheckResult EvaluateHealthReply(const ExternalProtocol& protocol, std::string_view server_id,
                                      const std::optional<HttpReply>& reply) {
  if (!reply) return ServerCheckResult::kNoAnswer;
  std::string_view answering_id = HeaderValue(reply->headers, protocol.server_id_header);
  if (!answering_id.empty() && answering_id != server_id) return ServerCheckResult::kOtherServer;
  if (ParseServerNotice(protocol, reply->headers).is_leaving) return ServerCheckResult::kLeaving;
  // A rejection by a full server does not tell: not every server states its leave in all answers.
  return reply->status == kHttpOk ? ServerCheckResult::kInService
                                  : ServerCheckResult::kNotInService;
}

ServerCheck::ServerCheck(EventLoop& loop, ConnectionPool& connections,
                         const ExternalProtocol& protocol, Handler handler)
    : m_loop(loop),
      m_connections(connections),
      m_protocol(protocol),
      m_handler(std::move(handler)) {}

// Uses a new connection: on one that is reused, a second copy of an earlier answer could be taken
// for the answer to the check.
void ServerCheck::Start(const ServerLifetime& server, std::string_view health_path) {
  if (m_query != nullptr && m_server == server) return;
  m_server = server;
  UpstreamRequest request{.method = EVHTTP_REQ_GET,
                          .uri = std::string(health_path),
                          .max_idle = std::chrono::milliseconds(0)};
  m_query = std::make_unique<HttpQuery>(m_loop, m_connections, std::move(request), kCheckTimeout,
                                        [this](const std::optional<HttpReply>& r) { OnReply(r); });
}

void ServerCheck::OnReply(const std::optional<HttpReply>& reply) {
  std::unique_ptr<HttpQuery> query = std::move(m_query);
  ServerCheckResult result = EvaluateHealthReply(m_protocol, m_server.id, reply);
  LOG(INFO) << "event=server_checked server=" << m_server.id
            << " started_ms=" << m_server.started_ms << " result=" << ToString(result)
            << " status=" << (reply ? reply->status : 0);
  if (result == ServerCheckResult::kInService) m_passed = m_server;
  m_handler(m_server, result);
}

}  // namespace guavatrail
