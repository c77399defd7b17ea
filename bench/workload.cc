#include "bench/workload.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <stdexcept>

namespace tanagerseam::bench {

namespace {

constexpr int kMeanSampleSize = 1000;
constexpr double kMaxPauseOverMean = 5;
// Upper bound of the model calls of a sub-agent.
constexpr int64_t kMaxSubAgentCalls = 2;

const std::vector<OrganisationShare> kOrganisations = {
  { "org-a", 0.28 }, { "org-b", 0.22 }, { "org-c", 0.16 }, { "org-d", 0.10 },
  { "org-e", 0.08 }, { "org-f", 0.06 }, { "org-g", 0.05 }, { "org-h", 0.05 },
};

const std::vector<Workload> kWorkloads = {
  { "stopa",
    9,
    3,
    9,
    kOrganisations,
    { { "storm_alert",
        "urgent",
        0.10,
        { 2, 3 },
        { 150, 300 },
        { 20, 60 },
        { 12, 24 },
        Millis(50),
        0.3,
        0 },
      { "skier_question",
        "normal",
        0.55,
        { 3, 5 },
        { 400, 900 },
        { 40, 160 },
        { 24, 48 },
        Millis(150),
        0.3,
        0.05 },
      { "report_draft",
        "background",
        0.35,
        { 5, 9 },
        { 1000, 2400 },
        { 60, 240 },
        { 32, 72 },
        Millis(250),
        0.3,
        0.15 } } },
  { "mljeko",
    9,
    6,
    9,
    kOrganisations,
    { { "farm_gate_driver",
        "urgent",
        0.20,
        { 2, 3 },
        { 200, 400 },
        { 20, 80 },
        { 12, 24 },
        Millis(50),
        0.2,
        0 },
      { "sheet_explanation",
        "normal",
        0.60,
        { 4, 7 },
        { 800, 1800 },
        { 40, 160 },
        { 32, 64 },
        Millis(200),
        0.4,
        0.1 },
      { "payment_correction",
        "background",
        0.20,
        { 5, 8 },
        { 1000, 2000 },
        { 40, 120 },
        { 24, 48 },
        Millis(200),
        0.7,
        0.1 } } },
};

int64_t
DrawUniform(const Range& aRange, std::mt19937_64& aRandom)
{
  return std::uniform_int_distribution<int64_t>(aRange.minimum,
                                                aRange.maximum)(aRandom);
}

bool
DrawBernoulli(double aProbability, std::mt19937_64& aRandom)
{
  return std::uniform_real_distribution<double>()(aRandom) < aProbability;
}

// Three-letter words separated by spaces, which makes four bytes per token.
std::string
DrawText(int64_t aTokens, std::mt19937_64& aRandom)
{
  constexpr int kWordLetters = 3;
  std::string text;
  for (int64_t i = 0; i < aTokens; ++i) {
    if (i > 0) {
      text += ' ';
    }
    uint64_t bits = aRandom();
    for (int letter = 0; letter < kWordLetters; ++letter) {
      text += char('a' + bits % 26);
      bits /= 26;
    }
  }
  return text;
}

Millis
DrawPause(Millis aMean, std::mt19937_64& aRandom)
{
  const auto mean = double(aMean.count());
  const double drawn =
    std::exponential_distribution<double>(1 / std::max(1.0, mean))(aRandom);
  return Millis(int64_t(std::min(drawn, kMaxPauseOverMean * mean)));
}

ProgramPlan
DrawProgramOfClass(const ProgramClass& aClass,
                   const ProgramPlan* aParent,
                   std::mt19937_64& aRandom)
{
  ProgramPlan plan;
  plan.className = aClass.name;
  plan.urgency = aClass.urgency;
  const int64_t calls = aParent == nullptr
                          ? DrawUniform(aClass.calls, aRandom)
                          : DrawUniform({ 1, kMaxSubAgentCalls }, aRandom);
  if (aParent != nullptr) {
    plan.parentPrompt = aParent->turns.at(0).prompt;
  }
  plan.modelCalls = calls;
  for (int64_t i = 0; i < calls; ++i) {
    const bool isFirst = i == 0 && aParent == nullptr;
    PlannedTurn turn;
    turn.promptTokens = DrawUniform(
      isFirst ? aClass.firstPromptTokens : aClass.laterPromptTokens, aRandom);
    turn.prompt = DrawText(turn.promptTokens, aRandom);
    turn.completionTokens = DrawUniform(aClass.completionTokens, aRandom);
    const bool isLast = i + 1 == calls;
    if (!isLast) {
      turn.pause = DrawPause(aClass.meanPause, aRandom);
      turn.hasToolCall = DrawBernoulli(aClass.toolProbability, aRandom);
    }
    plan.turns.push_back(std::move(turn));
    if (!isLast && aParent == nullptr &&
        DrawBernoulli(aClass.subAgentProbability, aRandom)) {
      auto subAgent = std::make_shared<ProgramPlan>(
        DrawProgramOfClass(aClass, &plan, aRandom));
      plan.modelCalls += subAgent->modelCalls;
      plan.turns.back().subAgent = std::move(subAgent);
    }
  }
  return plan;
}

template<typename Shares>
size_t
DrawByShare(const Shares& aShares, std::mt19937_64& aRandom)
{
  double remaining = std::uniform_real_distribution<double>()(aRandom);
  for (size_t i = 0; i + 1 < aShares.size(); ++i) {
    remaining -= aShares[i].share;
    if (remaining < 0) {
      return i;
    }
  }
  return aShares.size() - 1;
}

// Requests that a caller sends for a program if none is refused.
int64_t
CountRequests(const ProgramPlan& aPlan)
{
  constexpr int64_t kOpenAndEndRequests = 2;
  int64_t requests = kOpenAndEndRequests;
  for (const PlannedTurn& turn : aPlan.turns) {
    requests += turn.hasToolCall ? 2 : 1;
    requests += turn.subAgent ? CountRequests(*turn.subAgent) : 0;
  }
  return requests;
}

struct Means
{
  double modelCalls = 0;
  double requests = 0;
};

// Computed once per workload: drawing the prompt texts is expensive, and the
// means are needed for the rate limit of every organisation.
const Means&
CachedMeansOf(const Workload& aWorkload)
{
  static std::mutex mutex;
  static std::map<std::string, Means> cache;
  std::lock_guard<std::mutex> lock(mutex);
  Means& means = cache[aWorkload.name];
  if (means.requests == 0) {
    std::mt19937_64 random(1);
    for (int i = 0; i < kMeanSampleSize; ++i) {
      const ProgramPlan plan = DrawProgram(aWorkload, random);
      means.modelCalls += double(plan.modelCalls) / kMeanSampleSize;
      means.requests += double(CountRequests(plan)) / kMeanSampleSize;
    }
  }
  return means;
}

} // namespace

const Workload&
FindWorkload(const std::string& aName)
{
  for (const Workload& workload : kWorkloads) {
    if (aName == workload.name) {
      return workload;
    }
  }
  throw std::runtime_error("unknown workload: " + aName);
}

ProgramPlan
DrawProgram(const Workload& aWorkload, std::mt19937_64& aRandom)
{
  const size_t index = DrawByShare(aWorkload.classes, aRandom);
  return DrawProgramOfClass(aWorkload.classes[index], nullptr, aRandom);
}

double
IdealMillis(const ProgramPlan& aPlan, const EngineTimes& aTimes)
{
  double millis = 0;
  for (const PlannedTurn& turn : aPlan.turns) {
    millis += double(turn.promptTokens) * aTimes.prefillMillisPerToken +
              double(turn.completionTokens) * aTimes.decodeMillisPerToken +
              double(turn.pause.count());
    if (turn.subAgent) {
      millis += IdealMillis(*turn.subAgent, aTimes);
    }
  }
  return millis;
}

double
MeanModelCallsPerProgram(const Workload& aWorkload)
{
  return CachedMeansOf(aWorkload).modelCalls;
}

double
MeanRequestsPerProgram(const Workload& aWorkload)
{
  return CachedMeansOf(aWorkload).requests;
}

size_t
DrawOrganisation(const Workload& aWorkload, std::mt19937_64& aRandom)
{
  return DrawByShare(aWorkload.organisations, aRandom);
}

} // namespace tanagerseam::bench
