#include "publish_decision.h"

#include <algorithm>

namespace guavatrail {

namespace {

bool Intersects(const std::vector<ResourceRef>& a, const std::vector<ResourceRef>& b) {
  return std::any_of(a.begin(), a.end(), [&](const ResourceRef& ref) {
    return std::find(b.begin(), b.end(), ref) != b.end();
  });
}

// An empty list stands for any resource.
bool MayTouch(const LogEntry& entry, const std::vector<ResourceRef>& refs) {
  return entry.touched_resources.empty() || Intersects(entry.touched_resources, refs);
}

// The latest note accepted meanwhile that touches one of `refs`; null when there is none.
const LogEntry* LatestTouching(const PublishProgress& progress,
                               const std::vector<ResourceRef>& refs) {
  auto it = std::find_if(progress.meanwhile.rbegin(), progress.meanwhile.rend(),
                         [&](const LogEntry& entry) { return MayTouch(entry, refs); });
  return it == progress.meanwhile.rend() ? nullptr : &*it;
}

std::optional<NoteRefused> FindConflict(const PublishProgress& progress, const ReleaseNote& note) {
  const LogEntry* other = LatestTouching(progress, AffectedResources(note));
  if (other == nullptr) return std::nullopt;
  return NoteRefused{"note " + other->note_id + " was accepted meanwhile at version " +
                         std::to_string(other->version) + " and touches the same resources",
                     other->note_id};
}

NoteRefused RefuseInvalid(const PublishProgress& progress, const ConfigError& error,
                          uint64_t head_version) {
  std::vector<ResourceRef> involved = {error.resource};
  if (error.related) involved.push_back(*error.related);
  const LogEntry* other = LatestTouching(progress, involved);
  std::string reason = error.message + " (at version " + std::to_string(head_version) + ")";
  return {reason, other == nullptr ? "" : other->note_id};
}

// Whether the head as read may be stale or an update with the note may still take effect on it.
bool IsRefusalOpen(const PublishProgress& progress, const HeadObject& object) {
  return !progress.fenced || (progress.unanswered && *progress.unanswered >= object.object_version);
}

WriteDecision Refuse(const PublishProgress& progress, const HeadObject& object,
                     NoteRefused refusal) {
  if (!IsRefusalOpen(progress, object)) return refusal;
  return UpdateHead{{}, object.head, object.object_version, true};
}

// Takes over the entries that were not checked before; returns the first with the note's id.
std::optional<LogEntry> CheckEntries(PublishProgress& progress,
                                     const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    if (entry.version != progress.checked_version + 1) continue;
    if (entry.note_id == progress.entry.note_id) return entry;
    progress.checked_version = entry.version;
    if (entry.version > progress.base_version) progress.meanwhile.push_back(entry);
  }
  return std::nullopt;
}

}  // namespace

PublishProgress StartRun(const ReleaseNote& note, const HeadObject& first) {
  PublishProgress progress;
  progress.entry = MakeLogEntry(note);
  progress.base_version = first.head.version;
  progress.known_object_version = first.object_version;
  return progress;
}

void RecordClaimCreated(PublishProgress& progress) {
  progress.checked_version = progress.base_version;
}

void RecordClaimFound(PublishProgress& progress, uint64_t claim_version) {
  // Entries after the base must be examined for conflicts even when they cannot have the id.
  progress.checked_version = std::min(claim_version, progress.base_version);
}

HeadDecision ExamineHead(PublishProgress& progress, const HeadObject& object,
                         const std::vector<LogEntry>& older) {
  if (object.object_version < progress.known_object_version) return RereadHead{};
  progress.known_object_version = object.object_version;
  std::optional<LogEntry> found = CheckEntries(progress, older);
  if (!found && progress.checked_version < object.head.segmented_version) {
    return NeedEntries{progress.checked_version + 1, object.head.segmented_version};
  }
  if (!found) found = CheckEntries(progress, object.head.tail);
  if (!found) return NeedTable{};
  if (found->digest == progress.entry.digest) return NoteAccepted{found->version};
  // No update with this note can be under way: its publisher would have seen the other note, or its
  // condition has passed.
  return NoteRefused{"the id " + found->note_id + " belongs to another note at version " +
                         std::to_string(found->version),
                     found->note_id};
}

WriteDecision PlanWrite(const PublishProgress& progress, const HeadObject& object,
                        const ReleaseNote& note, const ConfigTable& table) {
  if (auto conflict = FindConflict(progress, note)) return Refuse(progress, object, *conflict);
  auto next = table.Apply(note);
  if (!next) {
    return Refuse(progress, object, RefuseInvalid(progress, next.error(), object.head.version));
  }
  if (progress.rebases > kMaxRebases) {
    return Refuse(progress, object,
                  {"the head changed " + std::to_string(progress.rebases) +
                       " times while the note was being published",
                   ""});
  }
  AppendResult append = AppendEntry(object.head, progress.entry, *next);
  return UpdateHead{std::move(append.new_objects), std::move(append.head), object.object_version,
                    false};
}

std::optional<uint64_t> RecordWrite(PublishProgress& progress, const UpdateHead& update,
                                    WriteOutcome outcome) {
  uint64_t next = update.expected_object_version + 1;
  switch (outcome) {
    case WriteOutcome::kDone:
      progress.known_object_version = std::max(progress.known_object_version, next);
      if (!update.is_fence) return update.head.version;
      progress.fenced = true;
      return std::nullopt;
    case WriteOutcome::kConflict:
      // The object version was passed, so lower reads are stale.
      progress.known_object_version = std::max(progress.known_object_version, next);
      if (!update.is_fence) ++progress.rebases;
      return std::nullopt;
    case WriteOutcome::kNotWritten:
      return std::nullopt;
    case WriteOutcome::kUnanswered:
      if (!update.is_fence) {
        progress.unanswered =
            std::max(progress.unanswered.value_or(0), update.expected_object_version);
      }
      return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace guavatrail
