// Draws the programs of a load test from a seeded random generator. The same
// seed gives the same programs under every policy.
//
//   std::mt19937_64 random(7);
//   const Workload& workload = FindWorkload("stopa");
//   ProgramPlan plan = DrawProgram(workload, random);
//
// Distributions:
// - Class: by its share.
// - Number of model calls: uniform.
// - Tokens of the first prompt, of later prompts and of completions: uniform.
// - Pauses between calls: exponential, capped at five times the mean.
// - A tool call or a sub-agent follows a model call, except the last, with the
//   probability of the class. Sub-agents don't start sub-agents.
// - The first prompt of a sub-agent starts with its parent's first prompt.
#ifndef TANAGERSEAM_BENCH_WORKLOAD_H_
#define TANAGERSEAM_BENCH_WORKLOAD_H_

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam::bench {

// Inclusive.
struct Range
{
  int64_t minimum = 1;
  int64_t maximum = 1;
};

struct ProgramClass
{
  const char* name;
  const char* urgency;
  // Share of all programs; the shares of a workload sum to 1.
  double share;
  // Model calls without those of sub-agents.
  Range calls;
  Range firstPromptTokens;
  Range laterPromptTokens;
  Range completionTokens;
  Millis meanPause;
  double toolProbability;
  double subAgentProbability;
};

struct OrganisationShare
{
  const char* name;
  // Share of all programs; the shares of a workload sum to 1.
  double share;
};

// A fleet size and the mix of programs that is sent to it.
struct Workload
{
  const char* name;
  int engines;
  int services;
  int daemons;
  std::vector<OrganisationShare> organisations;
  std::vector<ProgramClass> classes;
};

// Throws std::runtime_error if the name is unknown.
const Workload&
FindWorkload(const std::string& aName);

struct ProgramPlan;

// A model call, then an optional tool call, an optional sub-agent and a pause.
struct PlannedTurn
{
  std::string prompt;
  int64_t promptTokens = 0;
  int64_t completionTokens = 0;
  bool hasToolCall = false;
  // Null: no sub-agent.
  std::shared_ptr<ProgramPlan> subAgent;
  Millis pause{ 0 };
};

struct ProgramPlan
{
  std::string className;
  std::string urgency;
  // First prompt of the parent, with which the sub-agent's first prompt starts;
  // empty if this is not a sub-agent.
  std::string parentPrompt;
  std::vector<PlannedTurn> turns;
  // Including those of sub-agents.
  int64_t modelCalls = 0;
};

ProgramPlan
DrawProgram(const Workload& aWorkload, std::mt19937_64& aRandom);

// Processing times of an engine. A decode step produces one token for each
// sequence of the batch.
struct EngineTimes
{
  double prefillMillisPerToken = 0;
  double decodeMillisPerToken = 0;
};

// Lower bound of the program's latency under any scheduler: on dedicated
// engines that always have its prefix cached, without daemons and tool calls.
double
IdealMillis(const ProgramPlan& aPlan, const EngineTimes& aTimes);

// Mean of ProgramPlan::modelCalls over kMeanSampleSize programs of a fixed
// seed.
double
MeanModelCallsPerProgram(const Workload& aWorkload);

// Mean requests that a caller sends for a program, over the same sample: model
// and tool calls, and the opening and ending of the program and its sub-agents.
double
MeanRequestsPerProgram(const Workload& aWorkload);

// Draws an organisation index with the probability of its share.
size_t
DrawOrganisation(const Workload& aWorkload, std::mt19937_64& aRandom);

} // namespace tanagerseam::bench

#endif // TANAGERSEAM_BENCH_WORKLOAD_H_
