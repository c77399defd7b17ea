// Cost of a rate-limit decision on the bucket owner, by number of
// organisations.
#include <benchmark/benchmark.h>

#include "limit/limit.h"

namespace tanagerseam {
namespace {

constexpr RateLimit kLimit{ 100, 200 };
constexpr int kBorrowers = 10;

void
RateDecisionOnOwner(benchmark::State& aState)
{
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  OrganisationBuckets buckets{ LimitSettings{} };
  std::vector<std::string> names;
  for (int64_t i = 0; i < aState.range(0); ++i) {
    names.push_back("organisation-" + std::to_string(i));
    buckets.TakeOver(names.back(), kLimit, true, now);
  }
  std::vector<std::string> borrowers;
  for (int i = 0; i < kBorrowers; ++i) {
    borrowers.push_back("host-" + std::to_string(i));
  }
  size_t next = 0;
  for (auto _ : aState) {
    // Consecutive decisions touch buckets that are far apart in memory.
    const std::string& name = names[next * 7919 % names.size()];
    const std::string& borrower = borrowers[next % borrowers.size()];
    now += std::chrono::microseconds(100);
    benchmark::DoNotOptimize(buckets.TryAcquire(name, kLimit, borrower, now));
    ++next;
  }
}
BENCHMARK(RateDecisionOnOwner)->Arg(8)->Arg(100)->Arg(1000)->Arg(10000);

} // namespace
} // namespace tanagerseam
