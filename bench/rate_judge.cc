#include "bench/rate_judge.h"

#include <algorithm>

namespace tanagerseam::bench {

namespace {

constexpr int kRateExceeded = 429;
constexpr int kUnavailable = 503;
// Upper bound of the time from sending a request to the rate decision, unless
// the limiter waits for the owner of the bucket.
constexpr Millis kMaxDecisionTime(500);
constexpr double kMillisPerSecond = 1000;

bool
IsRefused(const RequestRecord& aRequest)
{
  return aRequest.status == kRateExceeded || aRequest.status == kUnavailable;
}

// A token bucket without loans or latency.
class IdealBucket
{
public:
  IdealBucket(RateLimit aLimit, TimePoint aNow)
    : limit(aLimit)
    , tokens(aLimit.burst)
    , lastRefill(aNow)
  {
  }

  double Refill(TimePoint aNow)
  {
    const auto passed = double(MillisBetween(this->lastRefill, aNow));
    this->tokens += passed / kMillisPerSecond * this->limit.ratePerSecond;
    this->tokens = std::min(this->tokens, this->limit.burst);
    this->lastRefill = aNow;
    return this->tokens;
  }

  // May make the balance negative: a request that waited is granted a token
  // that was added after the request was sent.
  void Take() { this->tokens -= 1; }

private:
  const RateLimit limit;
  double tokens;
  TimePoint lastRefill;
};

} // namespace

RateJudge::RateJudge(const std::vector<RateLimit>& aLimits,
                     std::vector<RequestRecord> aRequests)
{
  std::sort(aRequests.begin(),
            aRequests.end(),
            [](const RequestRecord& aLeft, const RequestRecord& aRight) {
              return aLeft.sentAt < aRight.sentAt;
            });
  std::map<size_t, std::vector<RequestRecord>> byOrganisation;
  for (RequestRecord& request : aRequests) {
    byOrganisation[request.organisation].push_back(std::move(request));
  }
  for (const auto& [organisation, requests] : byOrganisation) {
    this->JudgeOrganisation(aLimits.at(organisation), requests);
  }
}

void
RateJudge::JudgeOrganisation(RateLimit aLimit,
                             const std::vector<RequestRecord>& aRequests)
{
  IdealBucket bucketOfSent(aLimit, aRequests[0].sentAt);
  IdealBucket bucketOfAccepted = bucketOfSent;
  // Balance of bucketOfAccepted before and after each request.
  std::vector<double> tokensBefore;
  std::vector<double> tokensAfter;
  for (const RequestRecord& request : aRequests) {
    if (bucketOfSent.Refill(request.sentAt) < 1) {
      this->programsOverRate.insert(request.program);
    } else {
      bucketOfSent.Take();
    }
    tokensBefore.push_back(bucketOfAccepted.Refill(request.sentAt));
    if (!IsRefused(request)) {
      bucketOfAccepted.Take();
    }
    tokensAfter.push_back(bucketOfAccepted.Refill(request.sentAt));
  }
  for (size_t i = 0; i < aRequests.size(); ++i) {
    const RequestRecord& request = aRequests[i];
    if (!IsRefused(request)) {
      continue;
    }
    const TimePoint until =
      request.sentAt + std::min(request.duration, kMaxDecisionTime);
    double lowestTokens = tokensBefore[i];
    for (size_t j = i; j < aRequests.size() && aRequests[j].sentAt <= until;
         ++j) {
      lowestTokens = std::min(lowestTokens, tokensAfter[j]);
    }
    if (tokensBefore[i] >= 2 || lowestTokens >= 1) {
      ++this->wrongfulRefusals[std::to_string(request.organisation) + " " +
                               request.reason];
    }
  }
}

ServedShares
RateJudge::FindServedShares(const std::vector<ProgramRecord>& aPrograms,
                            int aFloodingOrganisation) const
{
  struct Count
  {
    int64_t finished = 0;
    int64_t entitled = 0;
  };
  std::map<size_t, Count> counts;
  int64_t sent = 0;
  int64_t entitled = 0;
  for (const ProgramRecord& program : aPrograms) {
    if (int(program.organisation) == aFloodingOrganisation) {
      continue;
    }
    ++sent;
    if (this->programsOverRate.count(program.program) == 0) {
      Count& count = counts[program.organisation];
      count.finished += program.finished ? 1 : 0;
      ++count.entitled;
      ++entitled;
    }
  }
  ServedShares shares;
  for (const auto& entry : counts) {
    const Count& count = entry.second;
    shares.worstOrganisation =
      std::min(shares.worstOrganisation,
               double(count.finished) / double(count.entitled));
  }
  shares.entitled = double(entitled) / double(std::max<int64_t>(1, sent));
  return shares;
}

} // namespace tanagerseam::bench
