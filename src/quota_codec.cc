#include "quota_codec.h"

#include <algorithm>

#include "quota.pb.h"

namespace guavatrail {

namespace {

constexpr size_t kMaxNodeNameBytes = 255;
// Counters beyond this could overflow the differences that the coordinator computes.
constexpr uint64_t kMaxCount = uint64_t{1} << 62U;
// The clock starts with the VM, and the base may be before that.
constexpr int64_t kMinTimeUs = -60'000'000;
constexpr int64_t kMaxTimeUs = int64_t{1} << 62U;

bool IsValid(const pb::QuotaCounters& counters) {
  return counters.offered() <= kMaxCount && counters.admitted() <= counters.offered() &&
         counters.returned() <= counters.admitted();
}

bool IsValid(const pb::QuotaUsage& usage) {
  return IsHeaderName(usage.workspace()) && IsValid(usage.total()) && IsValid(usage.base());
}

bool IsValid(const pb::QuotaLimit& limit) {
  return IsHeaderName(limit.workspace()) && limit.share() >= 0 && limit.share() <= 1 &&
         IsQuotaValue(limit.rate_per_s()) && IsQuotaValue(limit.burst());
}

template <typename Message>
bool Parse(std::string_view bytes, Message& message) {
  return bytes.size() <= INT32_MAX &&
         message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

template <typename Entries>
bool AreValid(const Entries& entries) {
  return static_cast<size_t>(entries.size()) <= kMaxQuotaEntries &&
         std::all_of(entries.begin(), entries.end(),
                     [](const auto& entry) { return IsValid(entry); });
}

QuotaCounters FromProto(const pb::QuotaCounters& counters) {
  return {counters.offered(), counters.admitted(), counters.returned()};
}

void ToProto(const QuotaCounters& counters, pb::QuotaCounters& out) {
  out.set_offered(counters.offered);
  out.set_admitted(counters.admitted);
  out.set_returned(counters.returned);
}

tl::unexpected<CodecError> Fail(const char* message) {
  return tl::make_unexpected(CodecError{message});
}

}  // namespace

std::string EncodeQuotaReport(const QuotaReport& report) {
  pb::QuotaReport out;
  out.set_node(report.node);
  out.set_process(report.process);
  out.set_time_us(report.time_us);
  out.set_base_time_us(report.base_time_us);
  for (const QuotaUsage& usage : report.usages) {
    pb::QuotaUsage& entry = *out.add_usages();
    entry.set_workspace(usage.workspace);
    ToProto(usage.total, *entry.mutable_total());
    ToProto(usage.base, *entry.mutable_base());
  }
  return out.SerializeAsString();
}

std::string EncodeQuotaReply(const QuotaReply& reply) {
  pb::QuotaReply out;
  out.set_group(reply.reporting_share);
  for (const QuotaLimit& limit : reply.limits) {
    pb::QuotaLimit& entry = *out.add_limits();
    entry.set_workspace(limit.workspace);
    entry.set_share(limit.share);
    entry.set_rate_per_s(limit.rate_per_s);
    entry.set_burst(limit.burst);
  }
  return out.SerializeAsString();
}

tl::expected<QuotaReport, CodecError> DecodeQuotaReport(std::string_view bytes) {
  pb::QuotaReport message;
  if (!Parse(bytes, message)) return Fail("bytes are not an encoded QuotaReport");
  bool has_node = !message.node().empty() && message.node().size() <= kMaxNodeNameBytes;
  if (!has_node) return Fail("quota report: node is not a name");
  bool has_times = message.base_time_us() >= kMinTimeUs &&
                   message.base_time_us() <= message.time_us() && message.time_us() <= kMaxTimeUs;
  if (!has_times) return Fail("quota report: time out of range");
  if (!AreValid(message.usages())) return Fail("quota report: usages out of range");
  QuotaReport report{.node = message.node(),
                     .process = message.process(),
                     .time_us = message.time_us(),
                     .base_time_us = message.base_time_us()};
  report.usages.reserve(static_cast<size_t>(message.usages_size()));
  for (const pb::QuotaUsage& usage : message.usages()) {
    report.usages.push_back({.workspace = usage.workspace(),
                             .total = FromProto(usage.total()),
                             .base = FromProto(usage.base())});
  }
  return report;
}

tl::expected<QuotaReply, CodecError> DecodeQuotaReply(std::string_view bytes) {
  pb::QuotaReply message;
  if (!Parse(bytes, message)) return Fail("bytes are not an encoded QuotaReply");
  if (!(message.group() >= 0 && message.group() <= 1))
    return Fail("quota reply: group out of range");
  if (!AreValid(message.limits())) return Fail("quota reply: limits out of range");
  QuotaReply reply{.reporting_share = message.group()};
  for (const pb::QuotaLimit& limit : message.limits()) {
    reply.limits.push_back({.workspace = limit.workspace(),
                            .share = limit.share(),
                            .rate_per_s = limit.rate_per_s(),
                            .burst = limit.burst()});
  }
  bool is_sorted = std::is_sorted(
      reply.limits.begin(), reply.limits.end(),
      [](const QuotaLimit& a, const QuotaLimit& b) { return a.workspace < b.workspace; });
  if (!is_sorted) return Fail("quota reply: limits are not sorted by workspace");
  return reply;
}

}  // namespace guavatrail
