#include "operator_commands.h"

#include <zmq.h>

#include <algorithm>
#include <array>
#include <optional>
#include <ostream>
#include <random>

#include "fleet_query.h"
#include "platform_client.h"
#include "publisher.h"
#include "random_source.h"
#include "release_note.h"

namespace guavatrail {

namespace {

PublishResult PublishAndWait(EventLoop& loop, const OperatorArguments& arguments,
                             const ReleaseNote& note) {
  RandomSource random(std::random_device{}());
  PlatformClient client(loop, {arguments.platform->ip, arguments.platform->port});
  Publisher publisher(loop, client, random);
  std::optional<PublishResult> result;
  publisher.Publish(note, [&](PublishResult published) {
    result = std::move(published);
    loop.Stop();
  });
  if (!result.has_value()) loop.Run();
  return *result;
}

// The result of a publication in the forms in which it is printed.
struct PublishReport {
  nlohmann::json json;
  std::string text;
  ExitCode code = ExitCode::kDone;
  std::optional<uint64_t> version;
};

struct PublishReporter {
  const std::string& note_id;

  PublishReport Accepted(const char* result, uint64_t version) const {
    return {{{"result", result}, {"note", note_id}, {"version", version}},
            "note " + note_id + " is version " + std::to_string(version),
            ExitCode::kDone,
            version};
  }
  PublishReport operator()(const Published& r) const { return Accepted("published", r.version); }
  PublishReport operator()(const AlreadyPublished& r) const {
    return Accepted("already_published", r.version);
  }
  PublishReport operator()(const PublishRefused& r) const {
    return {{{"result", "refused"},
             {"note", note_id},
             {"reason", r.reason},
             {"conflicting_note", r.conflicting_note}},
            "note " + note_id + " is refused: " + r.reason,
            ExitCode::kRefused,
            std::nullopt};
  }
  PublishReport operator()(const PublishUnknown& r) const {
    return {{{"result", "unknown"}, {"note", note_id}, {"how_to_find_out", r.how_to_find_out}},
            "outcome of note " + note_id + " is unknown: " + r.how_to_find_out,
            ExitCode::kUnknown,
            std::nullopt};
  }
};

// Waits until the version is in force on all nodes. A timeout does not withdraw the accepted note.
ExitCode WaitForNodes(EventLoop& loop, const OperatorArguments& arguments, uint64_t version,
                      OperatorOutput out) {
  auto progress =
      WaitForProgress(loop, arguments.nodes, version, std::chrono::seconds(arguments.wait_seconds));
  if (!progress) {
    out.error << "guavatrail: version " << version << " is accepted, but "
              << progress.error().message << "\n";
    return ExitCode::kUnknown;
  }
  PrintProgress(*progress, arguments.json, out.result);
  return progress->IsComplete() ? ExitCode::kDone : ExitCode::kUnknown;
}

}  // namespace

ExitCode RunPublish(EventLoop& loop, const OperatorArguments& arguments, OperatorOutput out) {
  auto note = LoadReleaseNote(arguments.operands.front());
  if (!note) {
    out.error << "guavatrail: " << note.error().message << "\n";
    return ExitCode::kRefused;
  }
  PublishReport report =
      std::visit(PublishReporter{note->id}, PublishAndWait(loop, arguments, *note));
  if (arguments.json) {
    out.result << report.json.dump() << "\n";
  } else {
    (report.code == ExitCode::kDone ? out.result : out.error) << report.text << "\n";
  }
  if (!report.version.has_value() || arguments.wait_seconds == 0) return report.code;
  return WaitForNodes(loop, arguments, *report.version, out);
}

ExitCode RunDrain(EventLoop& loop, const OperatorArguments& arguments, OperatorOutput out) {
  const std::string& name = arguments.operands.front();
  auto members = QueryMembers(loop, arguments.nodes);
  if (!members) {
    out.error << "guavatrail: " << members.error().message << "\n";
    return ExitCode::kUnknown;
  }
  auto node = std::find_if(members->begin(), members->end(),
                           [&](const MemberInfo& member) { return member.name == name; });
  if (node == members->end()) {
    out.error << "guavatrail: node " << name << " is not a member\n";
    return ExitCode::kRefused;
  }
  AdminReply reply = PostTo(loop, {node->admin_ip, node->admin_port}, "/v1/drain", kAdminTimeout);
  if (!reply) {
    out.error << "guavatrail: node " << name << ": " << reply.error().message
              << "; see `guavatrail nodes` for its state, repeating the drain is safe\n";
    return ExitCode::kUnknown;
  }
  if (arguments.json) {
    out.result << reply->dump() << "\n";
  } else {
    out.result << "node " << name << " is draining\n";
  }
  return ExitCode::kDone;
}

ExitCode RunKeygen(const OperatorArguments& arguments, OperatorOutput out) {
  constexpr size_t kKeySize = 41;  // 40 characters of Z85 and the terminating null.
  std::array<char, kKeySize> public_key{};
  std::array<char, kKeySize> secret_key{};
  if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0) {
    out.error << "guavatrail: this ZeroMQ library has no CURVE support\n";
    return ExitCode::kRefused;
  }
  if (arguments.json) {
    out.result << nlohmann::json{{"public_key", public_key.data()},
                                 {"secret_key", secret_key.data()}}
                      .dump()
               << "\n";
  } else {
    out.result << "public_key = \"" << public_key.data() << "\"\nsecret_key = \""
               << secret_key.data() << "\"\n";
  }
  return ExitCode::kDone;
}

}  // namespace guavatrail
