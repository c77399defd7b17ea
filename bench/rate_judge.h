// Judges what organisations were refused in a run by ideal token buckets of
// their rates and bursts, which see requests when callers send them.
//
//   RateJudge judge(shapes, requests);
//   judge.Wrongful();
//   judge.Served(programs, flooding);
#ifndef TANAGERSEAM_BENCH_RATE_JUDGE_H_
#define TANAGERSEAM_BENCH_RATE_JUDGE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "bench/program_caller.h"
#include "limit/limit.h"

namespace tanagerseam::bench {

// Of the organisations that do not flood.
struct ServedShares
{
  // Finished over entitled programs of the worst organisation.
  double worst = 1;
  // Entitled over all programs.
  double entitled = 1;
};

class RateJudge
{
public:
  // Shapes by index of the organisation.
  RateJudge(const std::vector<RateLimit>& aShapes,
            std::vector<RequestRecord> aRequests);

  // Refusals (429, 503) of requests that were inside the rate, by index of the
  // organisation and reason. The bucket is the ideal one of what was accepted:
  // it held two tokens when the request was sent, or one from then until the
  // answer.
  const std::map<std::string, int64_t>& Wrongful() const
  {
    return this->wrongful;
  }

  // Index of the organisation that floods; -1: none. A program is entitled to
  // be served if all of its requests were inside the rate; the bucket is the
  // ideal one of all that was sent, refused or not.
  ServedShares Served(const std::vector<ProgramRecord>& aPrograms,
                      int aFlooding) const;

private:
  void JudgeOrganisation(RateLimit aShape,
                         const std::vector<RequestRecord>& aRequests);

  std::map<std::string, int64_t> wrongful;
  // Programs with a request outside the rate.
  std::set<int64_t> outside;
};

} // namespace tanagerseam::bench

#endif // TANAGERSEAM_BENCH_RATE_JUDGE_H_
