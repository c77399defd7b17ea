#include "daemon/wind_down.h"

#include <algorithm>

#include "daemon/chat.h"
#include "daemon/engine_memory.h"

namespace tanagerseam {

namespace {

constexpr Millis kInterval(250);
// Time before an endpoint leaves from which its programs move.
constexpr Millis kLead(60000);
constexpr size_t kMaxMoves = 8;
constexpr const char* kModelKind = "model";
// Weight of the newest move in the estimate of the next.
constexpr double kNewest = 0.2;

std::optional<Millis>
LeavesIn(const Endpoint& aEndpoint)
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

// The last turn that an engine answered; null if there is none.
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

WindDown::WindDown(const DaemonContext& aContext)
  : context(aContext)
{
}

WindDown::~WindDown()
{
  this->Stop();
}

void
WindDown::Start()
{
  this->thread = std::thread([this] { this->Run(); });
}

void
WindDown::Stop()
{
  this->stopping = true;
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
WindDown::OnLoad(const std::string& aEndpoint, const EngineLoad& aLoad)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->loads[aEndpoint] = aLoad;
  this->assigned.erase(aEndpoint);
}

std::string
WindDown::WarmEndpoint(const std::string& aProgram,
                       const std::string& aEndpoint,
                       int64_t aTokens) const
{
  return this->Find(aProgram, aEndpoint, aTokens).value_or(aEndpoint);
}

std::optional<std::string>
WindDown::Find(const std::string& aProgram,
               const std::string& aEndpoint,
               int64_t aTokens) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->moved.find(aProgram);
  const bool same = found != this->moved.end() &&
                    found->second.source == aEndpoint &&
                    found->second.tokens == aTokens;
  return same ? std::optional<std::string>(found->second.target) : std::nullopt;
}

void
WindDown::Run()
{
  while (!this->stopping) {
    std::this_thread::sleep_for(kInterval);
    const auto config = this->context.journal.Config();
    for (const auto& entry : config->desired.endpoints) {
      const auto leavesIn = LeavesIn(entry.second);
      const bool engine = entry.second.kind == EndpointKind::kModelEngine;
      if (engine && leavesIn && *leavesIn < kLead && !this->stopping) {
        this->MoveOff(entry.second);
      }
    }
    this->ForgetGone();
  }
}

void
WindDown::MoveOff(const Endpoint& aSource)
{
  const std::vector<Warm> warm = this->WarmAt(aSource);
  const size_t due =
    MovesDue(warm.size(), *LeavesIn(aSource), kInterval, kMaxMoves);
  const auto config = this->context.journal.Config();
  for (size_t i = 0; i < due && !this->stopping; ++i) {
    const Endpoint* target =
      this->TargetFor(config->desired, aSource, warm[i].model);
    if (target != nullptr) {
      this->Move(aSource, *target, warm[i]);
    }
  }
}

std::vector<WindDown::Warm>
WindDown::WarmAt(const Endpoint& aSource) const
{
  std::vector<std::string> held;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    const auto load = this->loads.find(aSource.name);
    if (load != this->loads.end()) {
      held = load->second.heldPrograms;
    }
  }
  std::vector<Warm> all;
  const int64_t wallMillis = WallMillis();
  for (const std::string& id : held) {
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
    Warm warm;
    warm.program = id;
    warm.model = end.model;
    warm.tokens = end.promptTokens + end.completionTokens;
    warm.epoch = FindOwner(this->context, ProgramKey(id)).epoch;
    const bool decided = this->Find(id, aSource.name, warm.tokens).has_value();
    if (!decided && FindOwner(this->context, "model/" + warm.model).isSelf) {
      all.push_back(std::move(warm));
    }
  }
  return all;
}

const Endpoint*
WindDown::TargetFor(const DesiredState& aDesired,
                    const Endpoint& aSource,
                    const std::string& aModel) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  const Endpoint* best = nullptr;
  int bestLoad = 0;
  for (const auto& [name, endpoint] : aDesired.endpoints) {
    const auto leavesIn = LeavesIn(endpoint);
    const auto report = this->loads.find(name);
    if (name == aSource.name || !Serves(endpoint, aModel) ||
        (leavesIn && *leavesIn < kLead) || report == this->loads.end()) {
      continue;
    }
    const auto given = this->assigned.find(name);
    const int load = report->second.running + report->second.queued +
                     (given == this->assigned.end() ? 0 : given->second);
    if (best == nullptr || load < bestLoad) {
      best = &endpoint;
      bestLoad = load;
    }
  }
  return best;
}

void
WindDown::Move(const Endpoint& aSource,
               const Endpoint& aTarget,
               const Warm& aWarm)
{
  PrefixCosts estimate;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    estimate = this->costs;
    estimate.prefillMillisPerToken =
      this->loads[aTarget.name].prefillMillisPerToken;
    ++this->assigned[aTarget.name];
  }
  const bool moves =
    this->context.settings.windDown != "prefill" &&
    CheaperPrefixAction(aWarm.tokens, estimate) == PrefixAction::kMove;
  bool done = false;
  const TimePoint start = Now();
  if (moves) {
    done = IsOk(MoveEngineProgram(this->context.http,
                                  aSource.address,
                                  aTarget.address,
                                  aWarm.program,
                                  aWarm.epoch));
  }
  const char* result = !moves ? "prefill" : done ? "moved" : "failed";
  this->context.metrics.Count("tanagerseam_wind_down_total",
                              { { "result", result } });
  std::lock_guard<std::mutex> lock(this->mutex);
  if (done) {
    const double perToken = std::max(0.0,
                                     double(MillisBetween(start, Now())) -
                                       this->costs.moveMillisFixed) /
                            double(std::max<int64_t>(1, aWarm.tokens));
    this->costs.moveMillisPerToken =
      (1 - kNewest) * this->costs.moveMillisPerToken + kNewest * perToken;
  }
  // Without a move its next call goes where the scheduler thinks best.
  const std::string& now = done ? aTarget.name : aSource.name;
  this->moved[aWarm.program] = { aSource.name, now, aWarm.tokens };
}

void
WindDown::ForgetGone()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  const int64_t wallMillis = WallMillis();
  for (auto it = this->moved.begin(); it != this->moved.end();) {
    const bool alive =
      this->context.journal.With([&](const ClusterState& aState) {
        return ProgramStatusOf(aState, it->first, wallMillis) ==
               ProgramStatus::kActive;
      });
    it = alive ? std::next(it) : this->moved.erase(it);
  }
}

} // namespace tanagerseam
