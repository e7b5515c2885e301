#include "fleet_query.h"

#include <algorithm>

namespace guavatrail {

namespace {

constexpr std::chrono::milliseconds kProgressPollInterval{200};

void Pause(EventLoop& loop, std::chrono::milliseconds delay) {
  Timer timer(loop, [&loop] { loop.Stop(); });
  timer.Start(delay);
  loop.Run();
}

std::optional<uint64_t> DecodeVersion(const AdminReply& reply) {
  if (!reply || !reply->is_object()) return std::nullopt;
  auto it = reply->find("version");
  if (it == reply->end() || !it->is_number_unsigned()) return std::nullopt;
  return it->get<uint64_t>();
}

}  // namespace

tl::expected<std::vector<MemberInfo>, FleetError> QueryMembers(
    EventLoop& loop, std::span<const AdminAddress> contacts) {
  std::string tried;
  for (const AdminAddress& contact : contacts) {
    AdminReply reply = GetFrom(loop, contact, "/v1/members", kAdminTimeout);
    if (reply) return ParseMembers(*reply);
    tried +=
        " " + contact.ip + ":" + std::to_string(contact.port) + " (" + reply.error().message + ")";
  }
  return tl::make_unexpected(FleetError{"no node answered:" + tried});
}

ProgressReport QueryProgress(EventLoop& loop, std::span<const MemberInfo> members,
                             std::optional<uint64_t> version) {
  std::vector<AdminAddress> addresses;
  for (const MemberInfo& node : members) addresses.push_back({node.admin_ip, node.admin_port});
  std::vector<AdminReply> replies = GetFromAll(loop, addresses, "/v1/status", kAdminTimeout);
  std::vector<std::optional<uint64_t>> answers;
  uint64_t highest = 0;
  for (const AdminReply& reply : replies) {
    answers.push_back(DecodeVersion(reply));
    highest = std::max(highest, answers.back().value_or(0));
  }
  return MakeProgressReport(version.value_or(highest), members, answers);
}

tl::expected<ProgressReport, FleetError> WaitForProgress(EventLoop& loop,
                                                         std::span<const AdminAddress> contacts,
                                                         std::optional<uint64_t> version,
                                                         std::chrono::seconds wait) {
  int64_t end_us = EventLoop::NowUs() + std::chrono::microseconds(wait).count();
  while (true) {
    auto members = QueryMembers(loop, contacts);
    if (!members) return tl::make_unexpected(members.error());
    ProgressReport report = QueryProgress(loop, *members, version);
    if (report.IsComplete() || EventLoop::NowUs() >= end_us) return report;
    Pause(loop, kProgressPollInterval);
  }
}

}  // namespace guavatrail
