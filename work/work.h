// How much work calls are, how much of it endpoints still have, and how fast
// they do it: the inputs of adaptive placement (docs/design/placement.md).
//
//   CostPredictor predictor;
//   CostPrediction cost = predictor.Predict(traits);
//   predictor.OnEnded(traits, generatedTokens, milliseconds);
//
//   OutstandingWork work;
//   work.Begin(call.id, EndpointHash("engine-1"), 240);
//   work.Progress(call.id, 100);
//   work.OnPeerReport("host-2", loads, works, now);
//   double millis = work.Own(EndpointHash("engine-1"));
//   work.End(call.id);
//
//   EndpointPace pace;
//   pace.OnReport(2.5, now);
//   double slowness = pace.Slowness(longTermSlowness, now);
//
// Deterministic: the time is an argument, and there is no I/O. Memory is
// bounded: the averages that were not used for longest are evicted, and the
// rest goes by the calls in flight and the hosts heard lately.
#ifndef TANAGERSEAM_WORK_WORK_H_
#define TANAGERSEAM_WORK_WORK_H_

#include <deque>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "kernel/kernel.h"

namespace tanagerseam {

// What is known of a call before it runs.
struct CallTraits
{
  std::string route;
  // May be empty, like the next two.
  std::string organisation;
  std::string program;
  // A sequence of turns within the program.
  std::string session;
  // 0 for a call that generates no tokens.
  int64_t maxOutputTokens = 0;
  // The client's estimate; ignored if it is absurd.
  int64_t outputTokensHint = 0;
};

struct CostPrediction
{
  // 0 for a call that generates no tokens.
  double outputTokens = 0;
  // Duration of a call that generates no tokens, else 0.
  double millis = 0;
  // The mean factor by which predictions for the route were wrong; 1 if they
  // were exact.
  double errorFactor = 1;
};

// Predicts the cost of calls by moving averages over the route, and the
// organisation, program and session on it. Each counts by how much it has seen.
class CostPredictor
{
public:
  static constexpr size_t kMaxAverages = 8192;
  // A larger hint is taken for a mistake.
  static constexpr int64_t kMaxHint = 1000000;
  // Assumed of a route without samples: duration, and part of the maximum.
  static constexpr double kDefaultMillis = 100;
  static constexpr double kDefaultOutputFraction = 0.5;

  CostPrediction Predict(const CallTraits& aTraits) const;
  // aMillis: duration of the call at the usual pace.
  void OnEnded(const CallTraits& aTraits,
               int64_t aOutputTokens,
               double aMillis);
  size_t Averages() const { return this->order.size(); }

private:
  struct Average
  {
    std::string key;
    double mean = 0;
    int samples = 0;
  };
  // Errors of the two predictions of output tokens, as mean absolute
  // logarithms.
  struct RouteErrors
  {
    double averages = 1;
    double hint = 1;
    double combined = 0;
  };

  // The prediction by averages alone.
  double ByAverages(const CallTraits& aTraits, double aDefault) const;
  void Learn(const std::string& aKey, double aSample);

  std::list<Average> order;
  std::unordered_map<std::string, std::list<Average>::iterator> averages;
  std::unordered_map<std::string, RouteErrors> errors;
};

// Outstanding work in milliseconds at the usual pace, by EndpointHash.
using EndpointWorks = std::unordered_map<uint32_t, uint32_t>;

class OutstandingWork
{
public:
  // Reports of hosts expire at this age.
  static constexpr Millis kMaxReportAge{ 1500 };
  // A call that outlives its prediction is assumed to need this fraction of
  // what it has done so far: the longer a call runs, the longer it will run.
  static constexpr double kOverrunFraction = 0.2;

  void Begin(uint64_t aCall, uint32_t aEndpoint, double aMillis);
  // aMillis: work that the call has done so far.
  void Progress(uint64_t aCall, double aMillis);
  void End(uint64_t aCall);
  // Replaces the peer's last report. Calls at an endpoint for which it states
  // no work count at the mean: it is of an older build, or left them out.
  void OnPeerReport(const std::string& aHost,
                    const std::unordered_map<uint32_t, int>& aCalls,
                    const EndpointWorks& aWorks,
                    TimePoint aNow);
  void Expire(TimePoint aNow);

  // Work of this host's calls at the endpoint.
  double Own(uint32_t aEndpoint) const;
  // Work of other hosts there. aCalls: their calls, where the endpoint itself
  // has said so more lately than the hosts. aMeanMillis: work of a call whose
  // host does not state it.
  double Others(uint32_t aEndpoint,
                std::optional<double> aCalls,
                double aMeanMillis) const;
  // The work of all of this host's calls, to be reported.
  EndpointWorks OwnWorks() const;
  double OwnTotal() const;
  // Age of the newest report of a peer; unset if there is none.
  std::optional<Millis> NewestReportAge(TimePoint aNow) const;

private:
  struct Call
  {
    uint32_t endpoint = 0;
    double predicted = 0;
    double left = 0;
  };
  struct OwnWork
  {
    int calls = 0;
    double millis = 0;
  };
  struct PeerWork
  {
    int calls = 0;
    // Of them, those whose work is not stated.
    int unstated = 0;
    double millis = 0;
  };
  using PeerWorks = std::unordered_map<uint32_t, PeerWork>;
  struct Report
  {
    PeerWorks works;
    TimePoint receivedAt{};
  };

  void Count(const PeerWorks& aWorks, int aSign);

  std::unordered_map<uint64_t, Call> calls;
  std::unordered_map<uint32_t, OwnWork> own;
  std::unordered_map<std::string, Report> reports;
  // Arrivals of reports in order, including those superseded since.
  std::deque<std::pair<TimePoint, std::string>> arrivals;
  // Sums over `reports`.
  PeerWorks peers;
};

// How long work takes at an endpoint at a moment, from what the endpoint says
// and what was learned over a longer time.
class EndpointPace
{
public:
  // Paces change about every 600 ms, so that a report of 300 ms ago counts a
  // quarter.
  static constexpr Millis kHalfLife{ 150 };
  // Larger paces, and those that are not positive numbers, are ignored.
  static constexpr double kMaxPace = 100;

  // aPace: how long work takes relative to the usual time. Returns false if it
  // is absurd.
  bool OnReport(double aPace, TimePoint aNow);
  bool IsStated() const { return this->statedAt != TimePoint{}; }
  // Age of the last report; unset if there was none.
  std::optional<Millis> Age(TimePoint aNow) const;
  // Time that work takes relative to the mean of all endpoints. aLongTerm is
  // the same over a longer time. The last report counts relative to the mean of
  // the reports, as aLongTerm contains the latter already.
  double Slowness(double aLongTerm, TimePoint aNow) const;

private:
  double stated = 1;
  double mean = 1;
  TimePoint statedAt{};
};

} // namespace tanagerseam

#endif // TANAGERSEAM_WORK_WORK_H_
