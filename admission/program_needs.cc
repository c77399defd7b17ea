// How long programs take.
#include "admission/admission.h"

#include <algorithm>

namespace tanagerseam {

namespace {

constexpr double kEwmaWeight = 0.05;
// The counts of calls halve at this number of first calls, so that a route's
// programs may change.
constexpr double kMaxFirstCalls = 200;

} // namespace

void
ProgramNeeds::RecordSent(const std::string& aRoute,
                         const std::string& aProgram,
                         bool aBegins,
                         TimePoint aNow)
{
  auto found = this->routes.find(aRoute);
  if (found == this->routes.end()) {
    if (this->routes.size() >= kMaxRoutes) {
      return;
    }
    found = this->routes.emplace(aRoute, RouteStatistics{}).first;
  }
  RouteStatistics& route = found->second;
  route.firstCalls += aBegins ? 1 : 0;
  route.calls += 1;
  if (route.firstCalls > kMaxFirstCalls) {
    route.firstCalls /= 2;
    route.calls /= 2;
  }
  if (aProgram.empty()) {
    return;
  }
  auto begin = this->beginOf.find(aProgram);
  if (begin != this->beginOf.end() && !aBegins) {
    const std::chrono::duration<double, std::milli> age =
      aNow - begin->second->at;
    route.meanAge += route.meanAge == 0
                       ? age.count()
                       : kEwmaWeight * (age.count() - route.meanAge);
  }
  if (!aBegins || begin != this->beginOf.end()) {
    return;
  }
  this->begins.push_back({ aProgram, aNow });
  this->beginOf[aProgram] = std::prev(this->begins.end());
  if (this->begins.size() > kMaxPrograms) {
    this->beginOf.erase(this->begins.front().program);
    this->begins.pop_front();
  }
}

Millis
ProgramNeeds::NeedOf(const std::string& aRoute, Millis aCall) const
{
  auto found = this->routes.find(aRoute);
  if (found == this->routes.end() || found->second.firstCalls < 1) {
    return aCall;
  }
  const RouteStatistics& route = found->second;
  const double turns = std::max(1.0, route.calls / route.firstCalls);
  // Later calls 1 .. n-1 at distance t have a mean age of n/2 x t; the last one
  // has the age (n-1) x t.
  const double lastCallAge = 2 * route.meanAge * (turns - 1) / turns;
  return aCall + Millis(static_cast<int64_t>(lastCallAge));
}

} // namespace tanagerseam
