// Simulates the caller of one program: opens the program, sends its calls in
// order, each through a randomly chosen daemon, pauses between calls, runs
// sub-agents and ends the program.
//
//   ProgramCaller caller(client, config, records, organisation, seed);
//   caller.Run(plan, arrival, deadline, idealMillis);
//
// A request without a response or with status 503 is retried through a randomly
// chosen daemon, with the same call number as idempotency key, up to
// kMaxAttempts attempts in all. Any other refusal ends the program. Every
// attempt is recorded.
#ifndef TANAGERSEAM_BENCH_PROGRAM_CALLER_H_
#define TANAGERSEAM_BENCH_PROGRAM_CALLER_H_

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

#include "bench/workload.h"
#include "http/http.h"

namespace tanagerseam::bench {

// One attempt of a request, as sent and seen by the caller.
struct RequestRecord
{
  TimePoint sentAt;
  Millis duration{ 0 };
  // "open", "model", "service" or "end".
  const char* kind = "";
  // Number of the caller's program; sub-agents share it.
  int64_t program = 0;
  size_t organisation = 0;
  // HTTP status; 0: no response.
  int status = 0;
  // Name of the refusal; empty for a 2xx status.
  std::string reason;
};

struct ProgramRecord
{
  // Unique within the run.
  int64_t program = 0;
  size_t organisation = 0;
  std::string className;
  std::string urgency;
  TimePoint arrivedAt;
  double latencyMillis = 0;
  double idealMillis = 0;
  bool finished = false;
  // Why the program did not finish; empty if it finished.
  std::string reason;
};

// Collects the records of all callers of a run. Thread-safe.
class RunRecords
{
public:
  void Add(const RequestRecord& aRecord);
  void Add(const ProgramRecord& aRecord);
  // Adds prompt tokens that at least one engine has to prefill once.
  void AddNeededTokens(int64_t aTokens) { this->neededTokens += aTokens; }
  void AddModelCall() { ++this->modelCalls; }
  // Returns a new program number, from 1.
  int64_t NextProgramNumber() { return ++this->lastProgramNumber; }

  std::vector<RequestRecord> Requests() const;
  std::vector<ProgramRecord> Programs() const;
  int64_t NeededTokens() const { return this->neededTokens; }
  int64_t ModelCalls() const { return this->modelCalls; }

private:
  mutable std::mutex mutex;
  std::vector<RequestRecord> requests;
  std::vector<ProgramRecord> programs;
  std::atomic<int64_t> neededTokens{ 0 };
  std::atomic<int64_t> modelCalls{ 0 };
  std::atomic<int64_t> lastProgramNumber{ 0 };
};

// Addresses, names and credentials that callers use.
struct CallerConfig
{
  std::vector<std::string> daemons;
  std::string model;
  std::string route;
  // API keys by organisation index.
  std::vector<std::string> keys;
};

// Runs one program; blocks its thread. Not thread-safe. aClient, aConfig and
// aRecords must outlive it.
class ProgramCaller
{
public:
  ProgramCaller(HttpClient& aClient,
                const CallerConfig& aConfig,
                RunRecords& aRecords,
                size_t aOrganisation,
                uint64_t aSeed);

  // Runs the program until it finishes, is refused or aDeadline passes, then
  // records it. Latency counts from aArrival.
  void Run(const ProgramPlan& aPlan,
           TimePoint aArrival,
           TimePoint aDeadline,
           double aIdealMillis);

private:
  // Return an empty string, or the reason for which the program did not finish.
  std::string RunPlan(const ProgramPlan& aPlan, const std::string& aParent);
  std::string RunTurns(const ProgramPlan& aPlan, const std::string& aProgram);
  std::string RunModelCall(const ProgramPlan& aPlan,
                           const PlannedTurn& aTurn,
                           const std::string& aProgram,
                           int64_t aNumber);
  // Sends a request with retries. Returns an empty string and writes the
  // response body to aAnswer, or returns the reason of the refusal.
  std::string Call(const std::string& aMethod,
                   const std::string& aPath,
                   const HttpHeaders& aHeaders,
                   const std::string& aBody,
                   std::string& aAnswer);
  HttpAnswer CallOnce(const HttpCall& aCall);

  HttpClient& client;
  const CallerConfig& config;
  RunRecords& records;
  const size_t organisation;
  const int64_t program;
  std::mt19937_64 random;
  TimePoint deadline{};
  // When the last 2xx response arrived.
  TimePoint lastAnswer{};
};

} // namespace tanagerseam::bench

#endif // TANAGERSEAM_BENCH_PROGRAM_CALLER_H_
