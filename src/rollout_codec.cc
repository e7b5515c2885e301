#include "rollout_codec.h"

#include <cstdint>

#include "config_table.h"

namespace guavatrail {

namespace {

constexpr int kMaxKinds = 64;
constexpr int64_t kMaxCount = 1'000'000'000'000;

tl::unexpected<CodecError> Fail(const char* message) {
  return tl::make_unexpected(CodecError{message});
}

template <typename Message>
bool Parse(std::string_view bytes, Message& message) {
  return bytes.size() <= INT32_MAX &&
         message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

bool IsValid(const pb::RolloutKindCounts& counts) {
  if (counts.kind().empty() || counts.times_size() > static_cast<int>(TimeHistogram::kBins)) {
    return false;
  }
  int64_t times = 0;
  for (uint32_t time : counts.times()) times += time;
  return counts.failures() >= 0 && counts.failures() <= counts.answers() &&
         counts.answers() <= kMaxCount && times <= counts.answers() - counts.failures();
}

void Encode(std::string_view kind, const KindCounts& counts, pb::RolloutKindCounts& out) {
  out.set_kind(std::string(kind));
  out.set_answers(counts.answers);
  out.set_failures(counts.failures);
  size_t bins = TimeHistogram::kBins;
  while (bins > 0 && counts.times.Bin(bins - 1) == 0) --bins;
  for (size_t bin = 0; bin < bins; ++bin) {
    out.add_times(static_cast<uint32_t>(counts.times.Bin(bin)));
  }
}

KindCounts Decode(const pb::RolloutKindCounts& message) {
  KindCounts counts{.answers = message.answers(), .failures = message.failures()};
  for (int bin = 0; bin < message.times_size(); ++bin) {
    counts.times.AddToBin(static_cast<size_t>(bin), message.times(bin));
  }
  return counts;
}

}  // namespace

std::string EncodeNotice(const RolloutNotice& notice) {
  pb::RolloutNotice out;
  out.set_service(notice.service);
  out.set_target(notice.progress.target);
  out.set_phase(static_cast<uint32_t>(notice.progress.phase));
  for (const auto& [kind, limit_us] : notice.slow_limits) {
    pb::RolloutSlowLimit& limit = *out.add_slow_limits();
    limit.set_kind(kind);
    limit.set_limit_us(limit_us);
  }
  return SerializeCanonical(out);
}

std::string EncodeReport(const RolloutReport& report) {
  pb::RolloutReport out;
  out.set_target(report.target);
  if (report.phase) out.set_phase(static_cast<uint32_t>(*report.phase));
  out.set_version(report.version);
  out.set_run(report.run);
  out.set_in_service(report.in_service);
  for (const auto& [kind, counts] : report.work) Encode(kind, counts, *out.add_kinds());
  return SerializeCanonical(out);
}

tl::expected<RolloutNotice, CodecError> DecodeNotice(std::string_view bytes) {
  pb::RolloutNotice message;
  if (!Parse(bytes, message)) return Fail("bytes are no encoded RolloutNotice");
  std::optional<RolloutPhase> phase = ToPhase(message.phase());
  if (!phase) return Fail("rollout notice: phase is unknown");
  if (message.target().empty() || message.target().size() > kMaxVersionLength) {
    return Fail("rollout notice: target is empty or too long");
  }
  if (message.slow_limits_size() > kMaxKinds) return Fail("rollout notice: too many slow_limits");
  RolloutNotice notice{.service = message.service(), .progress = {message.target(), *phase}};
  for (const pb::RolloutSlowLimit& limit : message.slow_limits()) {
    if (limit.limit_us() <= 0) return Fail("rollout notice: limit_us is not positive");
    if (limit.kind().size() > kMaxNameLength) return Fail("rollout notice: kind is too long");
    notice.slow_limits[limit.kind()] = limit.limit_us();
  }
  return notice;
}

tl::expected<RolloutReport, CodecError> DecodeReport(std::string_view bytes) {
  pb::RolloutReport message;
  if (!Parse(bytes, message)) return Fail("bytes are no encoded RolloutReport");
  std::optional<RolloutPhase> phase = ToPhase(message.phase());
  if (!phase && message.phase() != 0) return Fail("rollout report: phase is unknown");
  if (message.kinds_size() > kMaxKinds) return Fail("rollout report: too many kinds");
  if (message.in_service() < 0) return Fail("rollout report: in_service is negative");
  RolloutReport report{.target = message.target(),
                       .phase = phase,
                       .version = message.version(),
                       .run = message.run(),
                       .in_service = message.in_service()};
  for (const pb::RolloutKindCounts& counts : message.kinds()) {
    if (!IsValid(counts)) return Fail("rollout report: counts are out of range");
    report.work[counts.kind()] = Decode(counts);
  }
  return report;
}

}  // namespace guavatrail
