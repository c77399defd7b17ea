#include "daemon/journal.h"

#include "state/bootstrap.h"
#include "state/program_rules.h"

namespace tanagerseam {

namespace {

// Verdicts that nobody waited for, kept at most.
constexpr size_t kMaxVerdicts = 10000;
constexpr int kIncarnationBytes = 8;
// One try of a replay; also the longest time that Stop waits for it.
constexpr Millis kResyncLimit(5000);
// Silence of the log, while an own record waits, after which it counts as
// hanging. Members renew often, so a log that works is never silent so long.
constexpr Millis kHangAfter(500);

// The program that a record is about; empty if it is about none.
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

// Applies an own record that the log does not have yet to a copy.
void
ApplyToView(std::optional<ProgramState>& aView, const RecordBody& aBody)
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
Journal::Start(Millis aLimit)
{
  Result<ClusterState> replayed = Replay(this->service, kSlotCount, aLimit);
  int64_t from = 0;
  const bool answered = IsOk(replayed);
  if (answered) {
    std::lock_guard<std::mutex> lock(this->mutex);
    *this->state = std::move(std::get<ClusterState>(replayed));
    from = this->state->LastOffset() + 1;
  }
  if (answered) {
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
  return answered;
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
  // Following on from a state with a hole in it would make this replay differ
  // from every other.
  Result<ClusterState> replayed =
    Replay(this->service, kSlotCount, kResyncLimit);
  while (!IsOk(replayed) && !this->stopping) {
    LogError("resync_failed",
             { { "detail", std::get<Refusal>(replayed).detail } });
    replayed = Replay(this->service, kSlotCount, kResyncLimit);
  }
  if (!IsOk(replayed)) {
    return;
  }
  ConfigVersion version;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    *this->state = std::move(std::get<ClusterState>(replayed));
    version = this->state->Config();
    this->ForgetSeen();
  }
  this->PublishConfig(version);
}

// Drops own records that the state already holds; their verdicts are not known.
void
Journal::ForgetSeen()
{
  for (auto it = this->pending.begin(); it != this->pending.end();) {
    const OwnKey key = it->first;
    const bool seen = this->state->HasSeen(it->second->header);
    if (seen) {
      this->ForgetOfProgram(ProgramOf(it->second->body), key);
    }
    it = seen ? this->pending.erase(it) : std::next(it);
  }
}

void
Journal::ForgetOfProgram(const std::string& aProgram, const OwnKey& aKey)
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
  // Records enter the writer in the order of their sequences.
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
  const OwnKey key{ ticket.incarnation, ticket.sequence };
  if (this->pending.empty()) {
    this->pendingSince = Now();
  }
  this->pending[key] = record;
  if (!program.empty()) {
    this->pendingByProgram[program].push_back(key);
  }
  return ticket;
}

std::optional<RecordVerdict>
Journal::Wait(const RecordTicket& aTicket, Millis aLimit)
{
  const OwnKey key{ aTicket.incarnation, aTicket.sequence };
  std::unique_lock<std::mutex> lock(this->mutex);
  const bool came = this->verdictCame.wait_for(
    lock, aLimit, [&] { return this->verdicts.count(key) > 0; });
  if (!came) {
    return std::nullopt;
  }
  return this->verdicts[key];
}

std::optional<RecordVerdict>
Journal::SubmitAndWait(RecordBody aBody, Millis aLimit)
{
  auto ticket = this->Submit(std::move(aBody));
  if (!ticket) {
    return std::nullopt;
  }
  return this->Wait(*ticket, aLimit);
}

bool
Journal::Relay(std::string aText)
{
  return this->writer->Submit(std::move(aText));
}

bool
Journal::Seen(const RecordHeader& aHeader) const
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
    // The whole configuration: too large to be copied for every record.
    if (std::holds_alternative<ConfigApplied>(record.body)) {
      version = this->state->Config();
    }
    const OwnKey key{ record.header.incarnation, record.header.sequence };
    const bool first = verdict.verdict != Verdict::kDuplicate;
    if (first && this->pending.erase(key) > 0) {
      this->pendingSince = Now();
      this->ForgetOfProgram(ProgramOf(record.body), key);
      this->verdicts[key] = verdict;
      if (this->verdicts.size() > kMaxVerdicts) {
        this->verdicts.erase(this->verdicts.begin());
      }
    }
  }
  this->verdictCame.notify_all();
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
  for (const OwnKey& key : found->second) {
    ApplyToView(view, this->pending.at(key)->body);
  }
  return view;
}

std::vector<std::string>
Journal::PendingOf(const std::string& aProgram) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<std::string> texts;
  auto found = this->pendingByProgram.find(aProgram);
  if (found == this->pendingByProgram.end()) {
    return texts;
  }
  for (const OwnKey& key : found->second) {
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
Journal::AdoptOwners(std::map<int, OwnerHint> aOwners)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->ownerHints = std::move(aOwners);
}

OwnerHint
Journal::HintOf(int aSlot) const
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
  return this->AnswersFail() || this->Hangs();
}

bool
Journal::Hangs() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  const TimePoint silentSince =
    std::max(this->pendingSince, this->LastLogAnswer());
  return !this->pending.empty() && Now() - silentSince > kHangAfter;
}

bool
Journal::AnswersFail() const
{
  return !this->follower || this->writer->Failing() ||
         this->follower->Failing();
}

TimePoint
Journal::LastLogAnswer() const
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
Journal::Flush(Millis aLimit)
{
  return this->writer->Flush(aLimit);
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
