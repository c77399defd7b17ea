// Finds the refusals of a run that exceed what the rate limits justify. Replays
// the requests, at the times callers sent them, against ideal token buckets
// with the rate and burst of each organisation.
//
//   RateJudge judge(limits, requests);
//   judge.WrongfulRefusals();
//   judge.FindServedShares(programs, floodingOrganisation);
#ifndef TANAGERSEAM_BENCH_RATE_JUDGE_H_
#define TANAGERSEAM_BENCH_RATE_JUDGE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "bench/program_caller.h"
#include "limit/limit.h"

namespace tanagerseam::bench {

// Over the organisations that don't flood.
struct ServedShares
{
  // Finished over entitled programs, of the worst-served organisation.
  double worstOrganisation = 1;
  // Entitled over all programs.
  double entitled = 1;
};

class RateJudge
{
public:
  // aLimits is indexed by organisation.
  RateJudge(const std::vector<RateLimit>& aLimits,
            std::vector<RequestRecord> aRequests);

  // Refusals (429, 503) of requests within the rate limit, counted under
  // "ORGANISATION_INDEX REASON". A request is within the limit if a bucket that
  // only accepted requests are charged to held two tokens when it was sent, or
  // at least one from then until the response, for at most 500 ms.
  const std::map<std::string, int64_t>& WrongfulRefusals() const
  {
    return this->wrongfulRefusals;
  }

  // A program is entitled to be served if all of its requests were within the
  // rate limit. The bucket for this is charged for every request that it has a
  // token for, whether the request was refused or not. aFloodingOrganisation is
  // an index; -1: none.
  ServedShares FindServedShares(const std::vector<ProgramRecord>& aPrograms,
                                int aFloodingOrganisation) const;

private:
  void JudgeOrganisation(RateLimit aLimit,
                         const std::vector<RequestRecord>& aRequests);

  std::map<std::string, int64_t> wrongfulRefusals;
  // Programs with a request above the rate limit.
  std::set<int64_t> programsOverRate;
};

} // namespace tanagerseam::bench

#endif // TANAGERSEAM_BENCH_RATE_JUDGE_H_
