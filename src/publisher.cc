#include "publisher.h"

#include <glog/logging.h>

#include <algorithm>

#include "config_store.h"
#include "parse_number.h"
#include "publish_decision.h"

namespace guavatrail {

namespace {

using Code = PlatformError::Code;

WriteOutcome OutcomeOf(const tl::expected<uint64_t, PlatformError>& result) {
  if (result) return WriteOutcome::kDone;
  switch (result.error().code) {
    case Code::kConflict:
      return WriteOutcome::kConflict;
    case Code::kUnavailable:
    case Code::kTooLarge:
      return WriteOutcome::kNotWritten;
    default:
      return WriteOutcome::kUnanswered;
  }
}

// The version in a claim. A malformed claim gives 0, which causes a search of the whole log.
uint64_t ParseClaim(std::string_view value) { return ParseNumber<uint64_t>(value).value_or(0); }

}  // namespace

// One publication as a chain of asynchronous steps. Each step ends in Finish() or starts another
// step. After a platform failure the chain restarts with reading the head, after a delay.
class Publisher::Publication : public std::enable_shared_from_this<Publication> {
 public:
  Publication(Publisher& owner, const ReleaseNote& note, std::function<void(PublishResult)> done)
      : m_owner(owner),
        m_note(note),
        m_note_bytes(EncodeNote(note)),
        m_done(std::move(done)),
        m_retry_delay(owner.m_options.first_retry),
        m_retry(owner.m_loop, [this] { ReadNextHead(); }),
        m_timeout(owner.m_loop, [this] { OnTimeout(); }) {}

  void Start() {
    m_timeout.Start(m_owner.m_options.timeout);
    // Starts from the loop, so that `done` is never called inside Publish().
    m_retry.Start(std::chrono::microseconds(0));
  }

 private:
  // Wraps a step so that it is skipped once the publication has finished.
  template <typename Result>
  std::function<void(Result)> IfRunning(void (Publication::*step)(Result)) {
    return [weak = weak_from_this(), step](Result result) {
      if (auto self = weak.lock(); self && !self->m_finished) ((*self).*step)(std::move(result));
    };
  }

  void ReadNextHead() {
    if (auto error = ValidateNote(m_note); !error) {
      return Finish(PublishRefused{error.error().message, ""});
    }
    if (m_note_bytes.size() > kMaxObjectBytes) {
      return Finish(PublishRefused{"the encoded note has " + std::to_string(m_note_bytes.size()) +
                                       " bytes, allowed are at most " +
                                       std::to_string(kMaxObjectBytes),
                                   ""});
    }
    ReadHead(m_owner.m_client, IfRunning(&Publication::OnHead));
  }

  void OnHead(tl::expected<HeadObject, StoreError> object) {
    if (!object) return RetryLater(object.error().message);
    m_object = std::move(*object);
    if (!m_claimed) {
      m_progress = StartRun(m_note, m_object);
      m_owner.m_client.Create(ClaimKey(m_note.id), std::to_string(m_progress.base_version),
                              IfRunning(&Publication::OnClaim));
      return;
    }
    ExamineLog({});
  }

  void OnClaim(tl::expected<uint64_t, PlatformError> created) {
    if (!created && created.error().code == Code::kConflict) {
      m_owner.m_client.Read(ClaimKey(m_note.id), IfRunning(&Publication::OnClaimRead));
      return;
    }
    if (!created) return RetryLater(created.error().message);
    m_claimed = true;
    RecordClaimCreated(m_progress);
    ExamineLog({});
  }

  void OnClaimRead(tl::expected<PlatformObject, PlatformError> claim) {
    if (!claim) return RetryLater(claim.error().message);
    m_claimed = true;
    RecordClaimFound(m_progress, ParseClaim(claim->value));
    ExamineLog({});
  }

  void ExamineLog(const std::vector<LogEntry>& older) {
    HeadDecision decision = ExamineHead(m_progress, m_object, older);
    if (std::holds_alternative<RereadHead>(decision)) {
      return RetryLater("the platform returned a head that is older than one seen before");
    }
    if (auto* need = std::get_if<NeedEntries>(&decision)) {
      ReadEntries(m_owner.m_client, m_object.head, need->first, need->last,
                  IfRunning(&Publication::OnOlderEntries));
      return;
    }
    if (auto* accepted = std::get_if<NoteAccepted>(&decision)) {
      return FinishAccepted(accepted->version);
    }
    if (auto* refused = std::get_if<NoteRefused>(&decision)) {
      return Finish(PublishRefused{refused->reason, refused->conflicting_note});
    }
    ReadTable(m_owner.m_client, m_object.head, m_owner.m_table, IfRunning(&Publication::OnTable));
  }

  void OnOlderEntries(tl::expected<std::vector<LogEntry>, StoreError> entries) {
    if (!entries) return RetryLater(entries.error().message);
    ExamineLog(*entries);
  }

  void OnTable(tl::expected<std::shared_ptr<const ConfigTable>, StoreError> table) {
    if (!table) return RetryLater(table.error().message);
    m_owner.m_table = *table;
    WriteDecision decision = PlanWrite(m_progress, m_object, m_note, **table);
    if (auto* refused = std::get_if<NoteRefused>(&decision)) {
      return Finish(PublishRefused{refused->reason, refused->conflicting_note});
    }
    m_update = std::move(std::get<UpdateHead>(decision));
    if (!m_update.is_fence) {
      m_update.objects.push_back({NoteKey(m_note.id, m_progress.entry.digest), m_note_bytes});
    }
    CreateNextObject();
  }

  // Objects are keyed by their content or by their position in the log, so an object that already
  // exists is equivalent to the one to be created.
  void CreateNextObject() {
    if (m_update.objects.empty()) return WriteHead();
    const ObjectWrite& object = m_update.objects.back();
    m_owner.m_client.Create(object.key, object.value, IfRunning(&Publication::OnObjectCreated));
  }

  void OnObjectCreated(tl::expected<uint64_t, PlatformError> created) {
    if (!created && created.error().code != Code::kConflict) {
      return RetryLater(created.error().message);
    }
    m_update.objects.pop_back();
    CreateNextObject();
  }

  void WriteHead() {
    if (!m_update.is_fence) m_head_update_sent = true;
    std::string value = EncodeHead(m_update.head);
    auto done = IfRunning(&Publication::OnHeadWritten);
    if (m_update.expected_object_version == 0) {
      m_owner.m_client.Create(kHeadKey, value, done);
    } else {
      m_owner.m_client.Update(kHeadKey, value, m_update.expected_object_version, done);
    }
  }

  void OnHeadWritten(tl::expected<uint64_t, PlatformError> written) {
    WriteOutcome outcome = OutcomeOf(written);
    if (auto version = RecordWrite(m_progress, m_update, outcome)) return FinishAccepted(*version);
    if (outcome == WriteOutcome::kDone || outcome == WriteOutcome::kConflict) {
      return ReadNextHead();
    }
    RetryLater(written.error().message);
  }

  void RetryLater(const std::string& reason) {
    LOG(INFO) << "event=publish_retry note=" << m_note.id << " delay_ms=" << m_retry_delay.count()
              << " reason=\"" << reason << '"';
    // Half of the delay is random, so that racing publishers do not retry at the same time.
    double factor = 0.5 + 0.5 * m_owner.m_random.Unit();
    auto delay = std::chrono::duration_cast<std::chrono::microseconds>(m_retry_delay * factor);
    m_retry_delay = std::min(m_retry_delay * 2, m_owner.m_options.longest_retry);
    m_retry.Start(delay);
  }

  void OnTimeout() {
    Finish(PublishUnknown{"publish the same file again: the id " + m_note.id +
                              " is its identity, so it is not published twice; or look for the id "
                              "in the list of notes",
                          m_head_update_sent});
  }

  void FinishAccepted(uint64_t version) {
    LOG(INFO) << "event=note_accepted note=" << m_note.id << " version=" << version
              << " by_this_run=" << m_head_update_sent;
    if (m_head_update_sent) return Finish(Published{version});
    Finish(AlreadyPublished{version});
  }

  void Finish(PublishResult result) {
    if (m_finished) return;
    m_finished = true;
    m_retry.Cancel();
    m_timeout.Cancel();
    // Stays alive: the list may hold the last reference, and `done` may destroy the owner.
    auto self = shared_from_this();
    auto& publications = m_owner.m_publications;
    publications.erase(std::remove(publications.begin(), publications.end(), self),
                       publications.end());
    m_done(std::move(result));
  }

  Publisher& m_owner;
  ReleaseNote m_note;
  std::string m_note_bytes;
  std::function<void(PublishResult)> m_done;
  PublishProgress m_progress;
  HeadObject m_object;
  UpdateHead m_update;
  bool m_claimed = false;
  bool m_head_update_sent = false;
  bool m_finished = false;
  std::chrono::milliseconds m_retry_delay;
  Timer m_retry;
  Timer m_timeout;
};

Publisher::Publisher(EventLoop& loop, PlatformClient& client, RandomSource& random, Options options)
    : m_loop(loop), m_client(client), m_random(random), m_options(options) {}

Publisher::Publisher(EventLoop& loop, PlatformClient& client, RandomSource& random)
    : Publisher(loop, client, random, Options()) {}

Publisher::~Publisher() = default;

void Publisher::Publish(const ReleaseNote& note, std::function<void(PublishResult)> done) {
  m_publications.push_back(std::make_shared<Publication>(*this, note, std::move(done)));
  m_publications.back()->Start();
}

}  // namespace guavatrail
