#include "bench/rate_judge.h"

#include <algorithm>

namespace tanagerseam::bench {

namespace {

constexpr int kRateExceeded = 429;
constexpr int kUnavailable = 503;
// The limiter decides at most this long after a request was sent, if it does
// not wait for the owner of the bucket.
constexpr Millis kDecisionTime(500);
constexpr double kMillisPerSecond = 1000;

bool
IsRefused(const RequestRecord& aRequest)
{
  return aRequest.status == kRateExceeded || aRequest.status == kUnavailable;
}

class IdealBucket
{
public:
  IdealBucket(RateLimit aShape, TimePoint aNow)
    : shape(aShape)
    , level(aShape.burst)
    , last(aNow)
  {
  }

  double Level(TimePoint aNow)
  {
    const auto passed = double(MillisBetween(this->last, aNow));
    this->level += passed / kMillisPerSecond * this->shape.ratePerSecond;
    this->level = std::min(this->level, this->shape.burst);
    this->last = aNow;
    return this->level;
  }

  // May leave a debt: a request that waited takes a token that came later than
  // the request.
  void Take() { this->level -= 1; }

private:
  const RateLimit shape;
  double level;
  TimePoint last;
};

} // namespace

RateJudge::RateJudge(const std::vector<RateLimit>& aShapes,
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
    this->JudgeOrganisation(aShapes.at(organisation), requests);
  }
}

void
RateJudge::JudgeOrganisation(RateLimit aShape,
                             const std::vector<RequestRecord>& aRequests)
{
  IdealBucket ofAll(aShape, aRequests[0].sentAt);
  IdealBucket ofAccepted = ofAll;
  // Of the second bucket, before and after each request.
  std::vector<double> before;
  std::vector<double> after;
  for (const RequestRecord& request : aRequests) {
    if (ofAll.Level(request.sentAt) < 1) {
      this->outside.insert(request.program);
    } else {
      ofAll.Take();
    }
    before.push_back(ofAccepted.Level(request.sentAt));
    if (!IsRefused(request)) {
      ofAccepted.Take();
    }
    after.push_back(ofAccepted.Level(request.sentAt));
  }
  for (size_t i = 0; i < aRequests.size(); ++i) {
    const RequestRecord& request = aRequests[i];
    if (!IsRefused(request)) {
      continue;
    }
    const TimePoint until =
      request.sentAt + std::min(request.took, kDecisionTime);
    double least = before[i];
    for (size_t j = i; j < aRequests.size() && aRequests[j].sentAt <= until;
         ++j) {
      least = std::min(least, after[j]);
    }
    if (before[i] >= 2 || least >= 1) {
      ++this->wrongful[std::to_string(request.organisation) + " " +
                       request.reason];
    }
  }
}

ServedShares
RateJudge::Served(const std::vector<ProgramRecord>& aPrograms,
                  int aFlooding) const
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
    if (int(program.organisation) == aFlooding) {
      continue;
    }
    ++sent;
    if (this->outside.count(program.program) == 0) {
      Count& count = counts[program.organisation];
      count.finished += program.finished ? 1 : 0;
      ++count.entitled;
      ++entitled;
    }
  }
  ServedShares shares;
  for (const auto& entry : counts) {
    const Count& count = entry.second;
    shares.worst =
      std::min(shares.worst, double(count.finished) / double(count.entitled));
  }
  shares.entitled = double(entitled) / double(std::max<int64_t>(1, sent));
  return shares;
}

} // namespace tanagerseam::bench
