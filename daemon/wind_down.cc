#include "daemon/wind_down.h"

#include <algorithm>

#include "daemon/chat.h"
#include "daemon/engine_memory.h"

namespace tanagerseam {

namespace {

constexpr Millis kPassInterval(250);
// Migration starts this long before an endpoint leaves.
constexpr Millis kMigrationLeadTime(60000);
constexpr size_t kMaxMovesPerPass = 8;
constexpr const char* kModelKind = "model";
// Weight of the newest move in the moving average of the cost per token.
constexpr double kNewestMoveWeight = 0.2;

std::optional<Millis>
TimeUntilLeaving(const Endpoint& aEndpoint)
{
  if (IsLeaving(aEndpoint)) {
    return Millis(0);
  }
  if (aEndpoint.leavesAtMillis == 0) {
    return std::nullopt;
  }
  return Millis(aEndpoint.leavesAtMillis - WallMillis());
}

bool
Serves(const Endpoint& aEndpoint, const std::string& aModel)
{
  const auto& models = aEndpoint.models;
  return std::find(models.begin(), models.end(), aModel) != models.end();
}

// The newest turn of kind "model"; null if there is none.
const Turn*
LastModelTurn(const ProgramState& aProgram)
{
  for (auto it = aProgram.turns.rbegin(); it != aProgram.turns.rend(); ++it) {
    if ((*it)->kind == kModelKind) {
      return it->get();
    }
  }
  return nullptr;
}

} // namespace

PrefixMigrator::PrefixMigrator(const DaemonContext& aContext)
  : context(aContext)
{
}

PrefixMigrator::~PrefixMigrator()
{
  this->Stop();
}

void
PrefixMigrator::Start()
{
  this->thread = std::thread([this] { this->Run(); });
}

void
PrefixMigrator::Stop()
{
  this->stopping = true;
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
PrefixMigrator::OnLoadReport(const std::string& aEndpoint,
                             const EngineLoad& aLoad)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->loadReports[aEndpoint] = aLoad;
  this->movesSinceReport.erase(aEndpoint);
}

std::string
PrefixMigrator::FindPrefixEndpoint(const std::string& aProgram,
                                   const std::string& aEndpoint,
                                   int64_t aTokens) const
{
  return this->FindDecidedEndpoint(aProgram, aEndpoint, aTokens)
    .value_or(aEndpoint);
}

std::optional<std::string>
PrefixMigrator::FindDecidedEndpoint(const std::string& aProgram,
                                    const std::string& aEndpoint,
                                    int64_t aTokens) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->migrations.find(aProgram);
  const bool matches = found != this->migrations.end() &&
                       found->second.source == aEndpoint &&
                       found->second.tokens == aTokens;
  return matches ? std::optional<std::string>(found->second.target)
                 : std::nullopt;
}

void
PrefixMigrator::Run()
{
  while (!this->stopping) {
    std::this_thread::sleep_for(kPassInterval);
    const auto config = this->context.journal.Config();
    for (const auto& entry : config->desired.endpoints) {
      const auto leavesIn = TimeUntilLeaving(entry.second);
      const bool engine = entry.second.kind == EndpointKind::kModelEngine;
      if (engine && leavesIn && *leavesIn < kMigrationLeadTime &&
          !this->stopping) {
        this->MigrateFrom(entry.second);
      }
    }
    this->EraseEndedPrograms();
  }
}

void
PrefixMigrator::MigrateFrom(const Endpoint& aSource)
{
  const std::vector<CachedProgram> programs = this->CachedProgramsOn(aSource);
  const size_t due = MovesDue(programs.size(),
                              *TimeUntilLeaving(aSource),
                              kPassInterval,
                              kMaxMovesPerPass);
  const auto config = this->context.journal.Config();
  for (size_t i = 0; i < due && !this->stopping; ++i) {
    const Endpoint* target =
      this->FindTarget(config->desired, aSource, programs[i].model);
    if (target != nullptr) {
      this->Migrate(aSource, *target, programs[i]);
    }
  }
}

std::vector<PrefixMigrator::CachedProgram>
PrefixMigrator::CachedProgramsOn(const Endpoint& aSource) const
{
  std::vector<std::string> heldPrograms;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    const auto load = this->loadReports.find(aSource.name);
    if (load != this->loadReports.end()) {
      heldPrograms = load->second.heldPrograms;
    }
  }
  std::vector<CachedProgram> all;
  const int64_t wallMillis = WallMillis();
  for (const std::string& id : heldPrograms) {
    const auto program = this->context.journal.With(
      [&](const ClusterState& aState) -> std::optional<ProgramState> {
        return ProgramStatusOf(aState, id, wallMillis) == ProgramStatus::kActive
                 ? aState.Program(id)
                 : std::nullopt;
      });
    const Turn* turn = program ? LastModelTurn(*program) : nullptr;
    if (turn == nullptr || program->open || turn->endpoint != aSource.name) {
      continue;
    }
    const CompletionInfo end = DecodeCompletionInfo(turn->answer);
    CachedProgram cached;
    cached.program = id;
    cached.model = end.model;
    cached.tokens = end.promptTokens + end.completionTokens;
    cached.epoch = FindOwner(this->context, ProgramKey(id)).epoch;
    const bool decided =
      this->FindDecidedEndpoint(id, aSource.name, cached.tokens).has_value();
    if (!decided && FindOwner(this->context, "model/" + cached.model).isSelf) {
      all.push_back(std::move(cached));
    }
  }
  return all;
}

const Endpoint*
PrefixMigrator::FindTarget(const DesiredState& aDesired,
                           const Endpoint& aSource,
                           const std::string& aModel) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  const Endpoint* best = nullptr;
  int bestLoad = 0;
  for (const auto& [name, endpoint] : aDesired.endpoints) {
    const auto leavesIn = TimeUntilLeaving(endpoint);
    const auto report = this->loadReports.find(name);
    if (name == aSource.name || !Serves(endpoint, aModel) ||
        (leavesIn && *leavesIn < kMigrationLeadTime) ||
        report == this->loadReports.end()) {
      continue;
    }
    const auto moves = this->movesSinceReport.find(name);
    const int load =
      report->second.running + report->second.queued +
      (moves == this->movesSinceReport.end() ? 0 : moves->second);
    if (best == nullptr || load < bestLoad) {
      best = &endpoint;
      bestLoad = load;
    }
  }
  return best;
}

void
PrefixMigrator::Migrate(const Endpoint& aSource,
                        const Endpoint& aTarget,
                        const CachedProgram& aProgram)
{
  PrefixCosts estimate;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    estimate = this->costs;
    estimate.prefillMillisPerToken =
      this->loadReports[aTarget.name].prefillMillisPerToken;
    ++this->movesSinceReport[aTarget.name];
  }
  const bool shouldMove =
    this->context.settings.windDown != "prefill" &&
    CheaperPrefixAction(aProgram.tokens, estimate) == PrefixAction::kMove;
  bool moveSucceeded = false;
  const TimePoint start = Now();
  if (shouldMove) {
    moveSucceeded = IsOk(TransferPrefixCache(this->context.http,
                                             aSource.address,
                                             aTarget.address,
                                             aProgram.program,
                                             aProgram.epoch));
  }
  const char* result = !shouldMove     ? "prefill"
                       : moveSucceeded ? "moved"
                                       : "failed";
  this->context.metrics.Count("tanagerseam_wind_down_total",
                              { { "result", result } });
  std::lock_guard<std::mutex> lock(this->mutex);
  if (moveSucceeded) {
    const double perToken = std::max(0.0,
                                     double(MillisBetween(start, Now())) -
                                       this->costs.moveMillisFixed) /
                            double(std::max<int64_t>(1, aProgram.tokens));
    this->costs.moveMillisPerToken =
      (1 - kNewestMoveWeight) * this->costs.moveMillisPerToken +
      kNewestMoveWeight * perToken;
  }
  // Without a move the prefix stays at the source, and the scheduler picks the
  // endpoint of the next call.
  const std::string& endpointNow = moveSucceeded ? aTarget.name : aSource.name;
  this->migrations[aProgram.program] = { aSource.name,
                                         endpointNow,
                                         aProgram.tokens };
}

void
PrefixMigrator::EraseEndedPrograms()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  const int64_t wallMillis = WallMillis();
  for (auto it = this->migrations.begin(); it != this->migrations.end();) {
    const bool alive =
      this->context.journal.With([&](const ClusterState& aState) {
        return ProgramStatusOf(aState, it->first, wallMillis) ==
               ProgramStatus::kActive;
      });
    it = alive ? std::next(it) : this->migrations.erase(it);
  }
}

} // namespace tanagerseam
