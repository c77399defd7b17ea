#include "daemon/journal.h"

#include "state/bootstrap.h"
#include "state/program_rules.h"

namespace tanagerseam {

namespace {

// Largest number of verdicts on this daemon's records that are kept.
constexpr size_t kMaxRetainedVerdicts = 10000;
constexpr int kIncarnationBytes = 8;
// Bound of one replay attempt, and so of the time that Stop waits for it.
constexpr Millis kResyncTimeout(5000);
// The log counts as hanging after this time without an answer while a record is
// pending. Members renew often, so a working log always answers sooner.
constexpr Millis kLogHangTimeout(500);

// The program that a record belongs to; empty if none.
std::string
ProgramOf(const RecordBody& aBody)
{
  if (auto* opened = std::get_if<ProgramOpened>(&aBody)) {
    return opened->program;
  }
  if (auto* started = std::get_if<CallStarted>(&aBody)) {
    return started->program;
  }
  if (auto* finished = std::get_if<CallFinished>(&aBody)) {
    return finished->program;
  }
  if (auto* voided = std::get_if<CallVoided>(&aBody)) {
    return voided->program;
  }
  if (auto* ended = std::get_if<ProgramEnded>(&aBody)) {
    return ended->program;
  }
  return "";
}

// Applies a pending record to a copy of the replayed program.
void
ApplyPendingRecord(std::optional<ProgramState>& aView, const RecordBody& aBody)
{
  if (auto* opened = std::get_if<ProgramOpened>(&aBody)) {
    if (!aView) {
      aView = OpenProgram(*opened);
    }
    return;
  }
  if (!aView) {
    return;
  }
  if (auto* started = std::get_if<CallStarted>(&aBody)) {
    StartCall(*aView, *started);
  } else if (auto* finished = std::get_if<CallFinished>(&aBody)) {
    FinishCall(*aView, *finished);
  } else if (auto* voided = std::get_if<CallVoided>(&aBody)) {
    VoidCall(*aView, *voided);
  } else if (auto* ended = std::get_if<ProgramEnded>(&aBody)) {
    aView->ended = true;
    aView->endReason = ended->reason;
  }
}

} // namespace

Journal::Journal(const DaemonSettings& aSettings, LogService& aService)
  : settings(aSettings)
  , service(aService)
  , state(std::make_unique<ClusterState>(kSlotCount))
  , incarnation(RandomHex(kIncarnationBytes))
  , config(std::make_shared<ConfigInForce>())
{
}

Journal::~Journal()
{
  this->Stop();
}

bool
Journal::Start(Millis aTimeout)
{
  Result<ClusterState> replayed = Replay(this->service, kSlotCount, aTimeout);
  int64_t from = 0;
  const bool replaySucceeded = IsOk(replayed);
  if (replaySucceeded) {
    std::lock_guard<std::mutex> lock(this->mutex);
    *this->state = std::move(std::get<ClusterState>(replayed));
    from = this->state->LastOffset() + 1;
  }
  if (replaySucceeded) {
    this->PublishConfig(
      this->With([](const ClusterState& aState) { return aState.Config(); }));
    this->caughtUp = true;
  }
  this->writer =
    std::make_unique<LogWriter>(this->service, this->settings.logWriter);
  this->follower = std::make_unique<LogFollower>(
    this->service,
    from,
    [this](const LogEntry& aEntry) { this->Apply(aEntry); },
    [this](int64_t aExpected, int64_t aFirst) {
      LogWarn("log_gap",
              { { "expected", std::to_string(aExpected) },
                { "first", std::to_string(aFirst) } });
      this->Resync();
    });
  return replaySucceeded;
}

void
Journal::Stop()
{
  this->stopping = true;
  this->follower.reset();
  this->writer.reset();
}

void
Journal::Resync()
{
  // Following on after a gap would make this replay diverge from all others, so
  // the state is replayed anew.
  Result<ClusterState> replayed =
    Replay(this->service, kSlotCount, kResyncTimeout);
  while (!IsOk(replayed) && !this->stopping) {
    LogError("resync_failed",
             { { "detail", std::get<Refusal>(replayed).detail } });
    replayed = Replay(this->service, kSlotCount, kResyncTimeout);
  }
  if (!IsOk(replayed)) {
    return;
  }
  ConfigVersion version;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    *this->state = std::move(std::get<ClusterState>(replayed));
    version = this->state->Config();
    this->DropReplayedRecords();
  }
  this->PublishConfig(version);
}

// Drops pending records that the state already includes; their verdicts are
// unknown.
void
Journal::DropReplayedRecords()
{
  for (auto it = this->pending.begin(); it != this->pending.end();) {
    const RecordKey key = it->first;
    const bool seen = this->state->HasSeen(it->second->header);
    if (seen) {
      this->RemoveFromProgram(ProgramOf(it->second->body), key);
    }
    it = seen ? this->pending.erase(it) : std::next(it);
  }
}

void
Journal::RemoveFromProgram(const std::string& aProgram, const RecordKey& aKey)
{
  auto found = this->pendingByProgram.find(aProgram);
  if (found == this->pendingByProgram.end()) {
    return;
  }
  auto& keys = found->second;
  keys.erase(std::remove(keys.begin(), keys.end(), aKey), keys.end());
  if (keys.empty()) {
    this->pendingByProgram.erase(found);
  }
}

std::optional<RecordTicket>
Journal::Submit(RecordBody aBody)
{
  auto record = std::make_shared<Record>();
  record->header.host = this->settings.host;
  record->body = std::move(aBody);
  const std::string program = ProgramOf(record->body);
  // Under the mutex, so that records enter the writer in sequence order.
  std::lock_guard<std::mutex> lock(this->mutex);
  record->header.incarnation = this->incarnation;
  record->header.sequence = this->nextSequence;
  RecordTicket ticket;
  ticket.incarnation = this->incarnation;
  ticket.sequence = this->nextSequence;
  ticket.text = EncodeRecord(*record);
  if (!this->writer->Submit(ticket.text)) {
    return std::nullopt;
  }
  ++this->nextSequence;
  const RecordKey key{ ticket.incarnation, ticket.sequence };
  if (this->pending.empty()) {
    this->pendingProgressAt = Now();
  }
  this->pending[key] = record;
  if (!program.empty()) {
    this->pendingByProgram[program].push_back(key);
  }
  return ticket;
}

std::optional<RecordVerdict>
Journal::Wait(const RecordTicket& aTicket, Millis aTimeout)
{
  const RecordKey key{ aTicket.incarnation, aTicket.sequence };
  std::unique_lock<std::mutex> lock(this->mutex);
  const bool arrived = this->verdictArrived.wait_for(
    lock, aTimeout, [&] { return this->verdicts.count(key) > 0; });
  if (!arrived) {
    return std::nullopt;
  }
  return this->verdicts[key];
}

std::optional<RecordVerdict>
Journal::SubmitAndWait(RecordBody aBody, Millis aTimeout)
{
  auto ticket = this->Submit(std::move(aBody));
  if (!ticket) {
    return std::nullopt;
  }
  return this->Wait(*ticket, aTimeout);
}

bool
Journal::SubmitEncoded(std::string aText)
{
  return this->writer->Submit(std::move(aText));
}

bool
Journal::HasSeen(const RecordHeader& aHeader) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->state->HasSeen(aHeader);
}

void
Journal::Apply(const LogEntry& aEntry)
{
  Result<Record> decoded = DecodeRecord(aEntry.text);
  if (!IsOk(decoded)) {
    LogError("record_unreadable",
             { { "offset", std::to_string(aEntry.offset) },
               { "detail", std::get<Refusal>(decoded).detail } });
    return;
  }
  const Record& record = std::get<Record>(decoded);
  RecordVerdict verdict;
  ConfigVersion version;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (aEntry.offset <= this->state->LastOffset()) {
      return;
    }
    ApplyOutcome outcome = this->state->Apply(aEntry.offset, record);
    verdict.verdict = outcome.verdict;
    verdict.offset = aEntry.offset;
    verdict.slots = std::move(outcome.slots);
    // Copied only on a change: it is too large to be copied for every record.
    if (std::holds_alternative<ConfigApplied>(record.body)) {
      version = this->state->Config();
    }
    const RecordKey key{ record.header.incarnation, record.header.sequence };
    const bool first = verdict.verdict != Verdict::kDuplicate;
    if (first && this->pending.erase(key) > 0) {
      this->pendingProgressAt = Now();
      this->RemoveFromProgram(ProgramOf(record.body), key);
      this->verdicts[key] = verdict;
      if (this->verdicts.size() > kMaxRetainedVerdicts) {
        this->verdicts.erase(this->verdicts.begin());
      }
    }
  }
  this->verdictArrived.notify_all();
  if (std::holds_alternative<ConfigApplied>(record.body)) {
    this->PublishConfig(version);
  }
  if (this->follower && this->follower->AtEnd()) {
    this->caughtUp = true;
  }
  if (this->onApplied) {
    this->onApplied(record, verdict);
  }
}

std::optional<ProgramState>
Journal::ProgramView(const std::string& aId) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::optional<ProgramState> view = this->state->Program(aId);
  auto found = this->pendingByProgram.find(aId);
  if (found == this->pendingByProgram.end()) {
    return view;
  }
  for (const RecordKey& key : found->second) {
    ApplyPendingRecord(view, this->pending.at(key)->body);
  }
  return view;
}

std::vector<std::string>
Journal::EncodedPendingRecords(const std::string& aProgram) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<std::string> texts;
  auto found = this->pendingByProgram.find(aProgram);
  if (found == this->pendingByProgram.end()) {
    return texts;
  }
  for (const RecordKey& key : found->second) {
    texts.push_back(EncodeRecord(*this->pending.at(key)));
  }
  return texts;
}

std::shared_ptr<const ConfigInForce>
Journal::Config() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->config;
}

void
Journal::AdoptConfig(const ConfigVersion& aConfig)
{
  this->PublishConfig(aConfig);
}

void
Journal::SetOwnerHints(std::map<int, OwnerHint> aOwners)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->ownerHints = std::move(aOwners);
}

OwnerHint
Journal::FindOwnerHint(int aSlot) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->ownerHints.find(aSlot);
  const bool known = !this->caughtUp && found != this->ownerHints.end();
  return known ? found->second : OwnerHint{};
}

void
Journal::PublishConfig(const ConfigVersion& aVersion)
{
  if (aVersion.version <= this->Config()->version) {
    return;
  }
  Result<DesiredState> parsed = DesiredFromJson(aVersion.config);
  if (!IsOk(parsed)) {
    LogError("config_unreadable",
             { { "version", std::to_string(aVersion.version) },
               { "detail", std::get<Refusal>(parsed).detail } });
    return;
  }
  auto next = std::make_shared<ConfigInForce>();
  next->version = aVersion.version;
  next->desired = std::move(std::get<DesiredState>(parsed));
  next->source = aVersion;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (next->version <= this->config->version) {
      return;
    }
    this->config = next;
  }
  LogInfo("config_in_force", { { "version", std::to_string(next->version) } });
}

bool
Journal::LogFailing() const
{
  return this->LogRequestsFail() || this->LogHangs();
}

LogFields
Journal::LogHealth() const
{
  const auto name = [](bool aValue) { return aValue ? "true" : "false"; };
  const bool started = this->follower != nullptr;
  return {
    { "appends_fail", name(started && this->writer->Failing()) },
    { "reads_fail", name(started && this->follower->Failing()) },
    { "log_hangs", name(this->LogHangs()) },
    { "waiting_records", std::to_string(this->WaitingRecords()) },
    { "last_response_ms_ago",
      std::to_string(MillisBetween(this->LastLogResponse(), Now())) },
  };
}

bool
Journal::LogHangs() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  const TimePoint lastProgressAt =
    std::max(this->pendingProgressAt, this->LastLogResponse());
  return !this->pending.empty() && Now() - lastProgressAt > kLogHangTimeout;
}

bool
Journal::LogRequestsFail() const
{
  return !this->follower || this->writer->Failing() ||
         this->follower->Failing();
}

TimePoint
Journal::LastLogResponse() const
{
  return this->follower ? this->follower->LastResponseTime() : TimePoint{};
}

int64_t
Journal::Position() const
{
  return this->follower ? this->follower->Position() : 0;
}

size_t
Journal::WaitingRecords() const
{
  return this->writer ? this->writer->QueuedRecords() : 0;
}

bool
Journal::Flush(Millis aTimeout)
{
  return this->writer->Flush(aTimeout);
}

std::string
Journal::Incarnation() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->incarnation;
}

void
Journal::NewIncarnation()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->incarnation = RandomHex(kIncarnationBytes);
  this->nextSequence = 1;
}

} // namespace tanagerseam
