// Defines the decisions of a publisher about the head object: what to write, when a note is
// accepted, and when it may be reported as refused. Pure: the publisher carries them out.
//
// A conditional update that was not answered may take effect later, until the object version that
// it is conditional on has passed, and a read of the head may be stale. A note is therefore
// reported as refused only after a fence, a conditional write of the same head: it shows that the
// head was current and passes its object version, so that no update under way can still take
// effect.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config_log.h"

namespace guavatrail {

// What one run of a publisher has learned.
struct PublishProgress {
  LogEntry entry;  // MakeLogEntry the note.
  // Version of the first head that this run has read; notes after it were accepted meanwhile.
  uint64_t base_version = 0;
  // No entry up to this version has the note's id.
  uint64_t checked_version = 0;
  // A fence of this run took effect: updates by ended runs can no longer take effect.
  bool fenced = false;
  // The highest object version that an unanswered update of this run is conditional on.
  std::optional<uint64_t> unanswered;
  // Heads of a lower object version are stale.
  uint64_t known_object_version = 0;
  // Entries accepted after base_version, in order.
  std::vector<LogEntry> meanwhile;
  int rebases = 0;
  bool operator==(const PublishProgress&) const = default;
};

// How often a publisher moves its note to a newer head before it refuses.
inline constexpr int kMaxRebases = 8;

// Decisions.
struct RereadHead {};  // The head as read is stale.
struct NeedEntries {   // Older entries must be read before the head can be judged.
  uint64_t first = 0;
  uint64_t last = 0;
};
struct NeedTable {};  // The note is not in the log; PlanWrite decides, given the table.
struct NoteAccepted {
  uint64_t version = 0;
};
struct NoteRefused {
  std::string reason;
  std::string conflicting_note;  // Empty when no other note is the reason.
};
struct UpdateHead {
  std::vector<ObjectWrite> objects;  // To be created before the head.
  ConfigHead head;
  uint64_t expected_object_version = 0;  // 0: create.
  bool is_fence = false;
};

using HeadDecision = std::variant<RereadHead, NeedEntries, NeedTable, NoteAccepted, NoteRefused>;
using WriteDecision = std::variant<UpdateHead, NoteRefused>;

// Starts a run with the first head that it has read.
PublishProgress StartRun(const ReleaseNote& note, const HeadObject& first);

// Records that the run has created the claim of the note's id, after it read the first head: no
// publisher got further with this id before, so no entry of the first head has it.
void RecordClaimCreated(PublishProgress& progress);
// Records that the claim exists; its creator had read a head at `claim_version`, and no entry up to
// there has the id.
void RecordClaimFound(PublishProgress& progress, uint64_t claim_version);

// Judges a head as read. `older` are the entries asked for by NeedEntries, if any.
HeadDecision ExamineHead(PublishProgress& progress, const HeadObject& object,
                         const std::vector<LogEntry>& older);

// Decides about a note that is not in the log; `table` is the table at the head.
WriteDecision PlanWrite(const PublishProgress& progress, const HeadObject& object,
                        const ReleaseNote& note, const ConfigTable& table);

enum class WriteOutcome {
  kDone,
  kConflict,
  kNotWritten,  // Refused by the platform before it acted.
  kUnanswered,  // May have taken effect, or may yet.
};

// Records the outcome of an update. Returns the accepted version when the note is in the log.
std::optional<uint64_t> RecordWrite(PublishProgress& progress, const UpdateHead& update,
                                    WriteOutcome outcome);

}  // namespace guavatrail
