#include "operator_queries.h"

#include <fstream>
#include <iomanip>
#include <optional>
#include <ostream>

#include "burn.h"
#include "burn_report.h"
#include "config_store.h"
#include "fleet_query.h"
#include "parse_number.h"
#include "platform_client.h"
#include "release_note.h"

namespace guavatrail {

namespace {

constexpr int kJsonIndent = 2;
// The objective is part of the configuration; this one is assumed when the platform is unavailable.
constexpr double kDefaultObjective = 0.999;

PlatformClient::Options PlatformOptions(const OperatorArguments& arguments) {
  return {arguments.platform->ip, arguments.platform->port};
}

// Starts a read and runs the loop until it has completed.
template <typename T, typename Start>
tl::expected<T, StoreError> WaitFor(EventLoop& loop, Start start) {
  std::optional<tl::expected<T, StoreError>> result;
  start([&](tl::expected<T, StoreError> answer) {
    result = std::move(answer);
    loop.Stop();
  });
  if (!result.has_value()) loop.Run();
  return std::move(*result);
}

tl::expected<std::shared_ptr<const ConfigTable>, StoreError> ReadTable(
    EventLoop& loop, const OperatorArguments& arguments) {
  PlatformClient client(loop, PlatformOptions(arguments));
  return WaitFor<std::shared_ptr<const ConfigTable>>(
      loop, [&](auto done) { ReadCurrentTable(client, std::move(done)); });
}

ExitCode ReportReadError(const StoreError& error, OperatorOutput out) {
  out.error << "guavatrail: " << error.message << "; nothing was changed, repeat the command\n";
  return ExitCode::kUnknown;
}

nlohmann::json ToJson(const std::vector<ResourceRef>& refs) {
  nlohmann::json names = nlohmann::json::array();
  for (const ResourceRef& ref : refs) names.push_back(ToString(ref));
  return names;
}

std::vector<ResourceRef> RefsOf(const std::vector<Resource>& resources) {
  std::vector<ResourceRef> refs;
  refs.reserve(resources.size());
  for (const Resource& resource : resources) refs.push_back(RefOf(resource));
  return refs;
}

void PrintRefs(std::string_view title, const std::vector<ResourceRef>& refs, std::ostream& out) {
  for (const ResourceRef& ref : refs) out << title << ' ' << ToString(ref) << '\n';
}

}  // namespace

tl::expected<uint64_t, std::string> ParseVersion(std::string_view text) {
  uint64_t version = ParseNumber<uint64_t>(text).value_or(0);
  if (version == 0) {
    return tl::make_unexpected("found \"" + std::string(text) +
                               "\", allowed is a version, an integer from 1");
  }
  return version;
}

ExitCode RunValidate(EventLoop& loop, const OperatorArguments& arguments, OperatorOutput out) {
  auto note = LoadReleaseNote(arguments.operands.front());
  if (!note) {
    out.error << "guavatrail: " << note.error().message << "\n";
    return ExitCode::kRefused;
  }
  auto table = ReadTable(loop, arguments);
  if (!table) return ReportReadError(table.error(), out);
  auto applied = (*table)->Apply(*note);
  if (!applied) {
    out.error << "guavatrail: " << arguments.operands.front() << ": " << applied.error().message
              << "\n";
    return ExitCode::kRefused;
  }
  if (arguments.json) {
    out.result << nlohmann::json{{"valid", true},
                                 {"note", note->id},
                                 {"against_version", (*table)->version()}}
                      .dump(kJsonIndent)
               << "\n";
  } else {
    out.result << "note " << note->id << " is valid against version " << (*table)->version()
               << "\n";
  }
  return ExitCode::kDone;
}

ExitCode RunNotes(EventLoop& loop, const OperatorArguments& arguments, OperatorOutput out) {
  PlatformClient client(loop, PlatformOptions(arguments));
  auto entries = WaitFor<std::vector<LogEntry>>(
      loop, [&](auto done) { ReadHistory(client, std::move(done)); });
  if (!entries) return ReportReadError(entries.error(), out);
  if (arguments.json) {
    nlohmann::json list = nlohmann::json::array();
    for (const LogEntry& entry : *entries) {
      list.push_back({{"version", entry.version},
                      {"note", entry.note_id},
                      {"touched", ToJson(entry.touched_resources)}});
    }
    out.result << list.dump(kJsonIndent) << "\n";
    return ExitCode::kDone;
  }
  for (const LogEntry& entry : *entries) {
    out.result << std::setw(8) << entry.version << "  " << entry.note_id << "\n";
  }
  return ExitCode::kDone;
}

ExitCode RunShow(EventLoop& loop, const OperatorArguments& arguments, OperatorOutput out) {
  auto version = ParseVersion(arguments.operands.front());
  if (!version) {
    out.error << "guavatrail: show: " << version.error() << "\n";
    return ExitCode::kUsage;
  }
  PlatformClient client(loop, PlatformOptions(arguments));
  auto stored =
      WaitFor<StoredNote>(loop, [&](auto done) { ReadNoteAt(client, *version, std::move(done)); });
  if (!stored) {
    if (stored.error().code != StoreError::Code::kMissing)
      return ReportReadError(stored.error(), out);
    out.error << "guavatrail: version " << *version << " does not exist\n";
    return ExitCode::kRefused;
  }
  const ReleaseNote& note = stored->note;
  if (arguments.json) {
    nlohmann::json result = {{"version", *version},
                             {"note", note.id},
                             {"author", note.author},
                             {"summary", note.summary},
                             {"added", ToJson(RefsOf(note.added))},
                             {"changed", ToJson(RefsOf(note.changed))},
                             {"withdrawn", ToJson(note.withdrawn)}};
    if (note.requires_api_keys) result["requires_api_keys"] = *note.requires_api_keys;
    out.result << result.dump(kJsonIndent) << "\n";
    return ExitCode::kDone;
  }
  out.result << "version " << *version << "\nnote " << note.id << "\nauthor " << note.author
             << "\nsummary " << note.summary << "\n";
  PrintRefs("added", RefsOf(note.added), out.result);
  PrintRefs("changed", RefsOf(note.changed), out.result);
  PrintRefs("withdrawn", note.withdrawn, out.result);
  if (note.requires_api_keys) {
    out.result << "requires_api_keys " << (*note.requires_api_keys ? "true" : "false") << "\n";
  }
  return ExitCode::kDone;
}

void PrintProgress(const ProgressReport& report, bool json, std::ostream& out) {
  if (json) {
    out << ToJson(report).dump(kJsonIndent) << "\n";
    return;
  }
  out << "version " << report.version << ": " << report.Count(NodeProgress::kInForce) << " of "
      << report.nodes.size() << " nodes in force\n";
  for (const NodeStatus& node : report.nodes) {
    if (node.progress == NodeProgress::kInForce) continue;
    out << "  " << ToString(node.progress) << "  " << node.name << " (" << node.data_centre
        << ", version " << node.version << ")\n";
  }
}

ExitCode RunProgress(EventLoop& loop, const OperatorArguments& arguments, OperatorOutput out) {
  std::optional<uint64_t> version;
  if (!arguments.operands.empty()) {
    auto parsed = ParseVersion(arguments.operands.front());
    if (!parsed) {
      out.error << "guavatrail: progress: " << parsed.error() << "\n";
      return ExitCode::kUsage;
    }
    version = *parsed;
  }
  auto report =
      WaitForProgress(loop, arguments.nodes, version, std::chrono::seconds(arguments.wait_seconds));
  if (!report) {
    out.error << "guavatrail: " << report.error().message << "\n";
    return ExitCode::kUnknown;
  }
  PrintProgress(*report, arguments.json, out.result);
  bool has_timed_out = arguments.wait_seconds > 0 && !report->IsComplete();
  return has_timed_out ? ExitCode::kUnknown : ExitCode::kDone;
}

ExitCode RunNodes(EventLoop& loop, const OperatorArguments& arguments, OperatorOutput out) {
  auto members = QueryMembers(loop, arguments.nodes);
  if (!members) {
    out.error << "guavatrail: " << members.error().message << "\n";
    return ExitCode::kUnknown;
  }
  if (arguments.json) {
    nlohmann::json list = nlohmann::json::array();
    for (const MemberInfo& node : *members) {
      list.push_back({{"name", node.name},
                      {"service", node.service},
                      {"data_centre", node.data_centre},
                      {"state", node.state},
                      {"draining", node.draining},
                      {"version", node.recorded_version}});
    }
    out.result << list.dump(kJsonIndent) << "\n";
    return ExitCode::kDone;
  }
  for (const MemberInfo& node : *members) {
    out.result << std::left << std::setw(24) << node.name << std::setw(16) << node.service
               << std::setw(12) << node.data_centre << std::setw(10)
               << (node.draining ? "draining" : node.state) << "version " << node.recorded_version
               << "\n";
  }
  return ExitCode::kDone;
}

namespace {

// Reads the objectives by service; empty if no platform is given or it does not answer.
std::map<std::string, double, std::less<>> ReadObjectives(EventLoop& loop,
                                                          const OperatorArguments& arguments) {
  std::map<std::string, double, std::less<>> objectives;
  if (!arguments.platform.has_value()) return objectives;
  auto table = ReadTable(loop, arguments);
  if (!table) return objectives;
  for (const auto& [name, service] : (*table)->services()) objectives[name] = service.objective;
  return objectives;
}

MeshBurn ReadBurn(EventLoop& loop, const std::vector<MemberInfo>& members) {
  std::vector<AdminAddress> addresses;
  std::vector<NodeReading> readings;
  for (const MemberInfo& node : members) {
    if (node.state == "left") continue;
    addresses.push_back({node.admin_ip, node.admin_port});
    readings.push_back({node.name, std::nullopt});
  }
  std::vector<AdminReply> replies = GetFromAll(loop, addresses, "/v1/burn", kAdminTimeout);
  for (size_t i = 0; i < replies.size(); ++i) {
    if (!replies[i]) continue;
    auto burn = ParseNodeBurn(replies[i]->dump());
    if (burn) readings[i].burn = std::move(*burn);
  }
  return MergeBurn(readings);
}

nlohmann::json BurnRow(const BurnKey& key, const BurnEntry& entry, double objective) {
  BurnBudget budget = BudgetOf(entry, objective);
  nlohmann::json row{{"service", key.first},
                     {"kind", key.second},
                     {"objective", budget.objective},
                     {"budget_left", budget.left},
                     {"fast_burn_rate", budget.fast_rate},
                     {"slow_burn_rate", budget.slow_rate},
                     {"p99_us", entry.slow.latency.Quantile(0.99)}};
  for (size_t i = 0; i < kCallOutcomes; ++i) {
    auto outcome = static_cast<CallOutcome>(i);
    row[std::string(ToString(outcome))] = entry.total.counts.Of(outcome);
  }
  return row;
}

void PrintBurnRow(const nlohmann::json& row, std::ostream& out) {
  out << std::left << std::setw(14) << row["service"].get<std::string>() << std::setw(10)
      << row["kind"].get<std::string>() << std::fixed << std::setprecision(2) << "budget left "
      << std::setw(8) << row["budget_left"].get<double>() << "burn 5 min " << std::setw(8)
      << row["fast_burn_rate"].get<double>() << "1 h " << std::setw(8)
      << row["slow_burn_rate"].get<double>() << "good " << row["good"] << " refused "
      << row["refused"] << " late " << row["late"] << " unknown " << row["unknown"]
      << " incomplete " << row["incomplete"] << "\n";
}

}  // namespace

ExitCode RunBurn(EventLoop& loop, const OperatorArguments& arguments, OperatorOutput out) {
  auto members = QueryMembers(loop, arguments.nodes);
  if (!members) {
    out.error << "guavatrail: " << members.error().message << "\n";
    return ExitCode::kUnknown;
  }
  auto objectives = ReadObjectives(loop, arguments);
  auto objective_of = [&](std::string_view service) {
    auto it = objectives.find(service);
    return it == objectives.end() ? kDefaultObjective : it->second;
  };
  MeshBurn burn = ReadBurn(loop, *members);
  if (!arguments.html_file.empty()) {
    std::ofstream file(arguments.html_file);
    file << BurnReportHtml(burn, objective_of);
    if (!file.flush()) {
      out.error << "guavatrail: cannot write " << arguments.html_file << "\n";
      return ExitCode::kRefused;
    }
  }
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [key, entry] : burn.entries) {
    rows.push_back(BurnRow(key, entry, objective_of(key.first)));
  }
  if (arguments.json) {
    out.result << nlohmann::json{{"burn", rows}, {"nodes", burn.nodes}, {"missing", burn.missing}}
                      .dump(kJsonIndent)
               << "\n";
    return ExitCode::kDone;
  }
  for (const nlohmann::json& row : rows) PrintBurnRow(row, out.result);
  out.result << burn.nodes.size() << " nodes read, " << burn.missing.size() << " missing\n";
  for (const std::string& node : burn.missing) out.result << "  missing " << node << "\n";
  return ExitCode::kDone;
}

}  // namespace guavatrail
