// The part of ServingProxy that generates its own answers and logs the outcome of requests.
#include <glog/logging.h>

#include "percent_encoding.h"
#include "placement.h"
#include "serving_call.h"
#include "serving_proxy.h"

namespace guavatrail {

namespace {

constexpr int64_t kUsPerMs = 1000;

}  // namespace

HeaderList ServingProxy::NodeHeaders(std::string_view outcome, std::string_view request_id) const {
  AdmissionLoad load = LoadOf(m_admission);
  HeaderList headers = {{kOutcomeHeader, std::string(outcome)},
                        {kLoadHeader, FormatLoad({load.in_service, load.queued, load.service_us,
                                                  m_failures.percent(), load.usable_slots})}};
  if (auto text = ServerStatementText()) SetHeader(headers, kServerStatementHeader, *text);
  // Lets the entry node check that the answer belongs to its request.
  if (!request_id.empty()) SetHeader(headers, kRequestIdHeader, request_id);
  return headers;
}

void ServingProxy::LogEnd(const Call& call, std::string_view outcome,
                          std::string_view reason) const {
  AdmissionLoad load = LoadOf(m_admission);
  int64_t now_us = EventLoop::NowUs();
  int64_t arrival_us = call.downstream->arrival_us();
  int64_t start_us = call.start_us == 0 ? now_us : call.start_us;
  LOG(INFO) << "event=served id="
            << HeaderValue(call.downstream->headers(), m_protocol.request_id_header)
            << " try_id=" << call.request_id << " kind=" << call.work.name << " workspace="
            << (call.workspace.name.empty() ? "none" : PercentEncode(call.workspace.name))
            << " outcome=" << outcome << " reason=" << reason << " server=" << call.server.id
            << " queue_ms=" << (start_us - arrival_us) / kUsPerMs
            << " server_ms=" << (now_us - start_us) / kUsPerMs
            << " left_ms=" << (call.deadline_us - now_us) / kUsPerMs
            << " in_service=" << load.in_service << " queued=" << load.queued
            << " retry_after_ms=" << call.retry_after_ms << " limit_in_force=" << LimitInForce()
            << " limit_age_ms=" << LimitAgeMs(now_us)
            << " server_limit=" << call.notice.limit_per_s.value_or(kNoLimit)
            << " server_leaving=" << call.notice.is_leaving;
}

void ServingProxy::AnswerNotRun(Call& call, std::string_view reason, int64_t retry_after_ms) {
  call.retry_after_ms = retry_after_ms;
  LogEnd(call, kOutcomeNotRun, reason);
  m_metrics.GetCounter("serving_refused_total", "reason=\"" + std::string(reason) + "\"").Add();
  if (!call.is_attached()) return;
  HeaderList headers = NodeHeaders(kOutcomeNotRun, call.request_id);
  SetHeader(headers, kReasonHeader, reason);
  if (call.wait_ms > 0) SetHeader(headers, kWaitMsHeader, std::to_string(call.wait_ms));
  SetRetryAfter(headers, retry_after_ms);
  call.downstream->Reply(kHttpServiceUnavailable, headers, "");
}

void ServingProxy::AnswerUnknown(Call& call, int status) {
  LogEnd(call, kOutcomeUnknown, status == kHttpGatewayTimeout ? "deadline" : "broken");
  if (!call.is_attached()) return;
  call.downstream->Reply(status, NodeHeaders(kOutcomeUnknown, call.request_id), "");
}

}  // namespace guavatrail
