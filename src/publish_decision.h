// Defines the decisions of a publisher about the head object: what to write, when a note is
// accepted, and when it may be reported as refused. Performs no I/O: the publisher carries the
// decisions out.
//
// A conditional update without an answer may still take effect until the head has passed the
// object version that the update expects, and a read of the head may be stale. A note is therefore
// reported as refused only after a fence, a conditional write of the unchanged head. A fence that
// succeeds shows that the head was current and advances its object version, so that no update in
// flight can take effect any more.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config_log.h"

namespace guavatrail {

// State of one run of a publisher.
struct PublishProgress {
  LogEntry entry;  // The log entry of the note.
  // Version of the first head read in this run; notes after it were accepted concurrently.
  uint64_t base_version = 0;
  // No entry up to this version has the note's id.
  uint64_t checked_version = 0;
  // A fence of this run took effect: updates of earlier runs can no longer take effect.
  bool has_fenced = false;
  // The highest object version expected by an update of this run that got no answer.
  std::optional<uint64_t> unanswered_at;
  // Heads of a lower object version are stale.
  uint64_t known_object_version = 0;
  // Entries accepted after base_version, in order.
  std::vector<LogEntry> concurrent_entries;
  int rebases = 0;
  bool operator==(const PublishProgress&) const = default;
};

// Number of times that a publisher rebases its note on a newer head before it refuses the note.
inline constexpr int kMaxRebases = 8;

// Decisions.
struct RereadHead {};  // The head that was read is stale.
struct NeedEntries {   // Older entries must be read before the head can be examined.
  uint64_t first = 0;
  uint64_t last = 0;
};
struct NeedTable {};  // The note is not in the log; PlanWrite decides with the table.
struct NoteAccepted {
  uint64_t version = 0;
};
struct NoteRefused {
  std::string reason;
  std::string conflicting_note;  // Empty if the reason is not another note.
};
struct UpdateHead {
  std::vector<ObjectWrite> objects;  // To be written before the head.
  ConfigHead head;
  uint64_t expected_object_version = 0;  // 0: create.
  bool is_fence = false;
};

using HeadDecision = std::variant<RereadHead, NeedEntries, NeedTable, NoteAccepted, NoteRefused>;
using WriteDecision = std::variant<UpdateHead, NoteRefused>;

// Starts a run with the first head read.
PublishProgress StartRun(const ReleaseNote& note, const HeadObject& first);

// Records that this run created the claim of the note's id after it read the first head. No other
// publisher can have written the id before, so no entry of the first head has it.
void RecordClaimCreated(PublishProgress& progress);
// Records that the claim already exists. Its creator had read the head at `claim_version`, and no
// entry up to that version has the id.
void RecordClaimFound(PublishProgress& progress, uint64_t claim_version);

// Examines a head. `older` are the entries that NeedEntries asked for, if any.
HeadDecision ExamineHead(PublishProgress& progress, const HeadObject& object,
                         const std::vector<LogEntry>& older);

// Decides what to write for a note that is not in the log; `table` is the table at the head.
WriteDecision PlanWrite(const PublishProgress& progress, const HeadObject& object,
                        const ReleaseNote& note, const ConfigTable& table);

enum class WriteOutcome {
  kDone,
  kConflict,
  kNotWritten,  // Rejected by the platform without effect.
  kUnanswered,  // No answer; may have taken effect or may still do so.
};

// Records the outcome of an update. Returns the accepted version if the note is now in the log.
std::optional<uint64_t> RecordWrite(PublishProgress& progress, const UpdateHead& update,
                                    WriteOutcome outcome);

}  // namespace guavatrail
