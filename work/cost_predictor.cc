#include <algorithm>
#include <cmath>
#include <vector>

#include "work/work.h"

namespace tanagerseam {

namespace {

constexpr double kMinWeight = 0.1;
constexpr double kErrorWeight = 0.05;
// Errors are at least this large, so that no prediction counts alone.
constexpr double kMinError = 0.05;

struct Level
{
  std::string key;
  // Samples that count as much as the levels before.
  double prior = 0;
};

// From the most general to the most specific.
std::vector<Level>
LevelsOf(const CallTraits& aTraits)
{
  std::vector<Level> levels = { { "r/" + aTraits.route, 0 } };
  const auto add =
    [&levels, &aTraits](char aKind, const std::string& aId, double aPrior) {
      if (!aId.empty()) {
        levels.push_back(
          { std::string(1, aKind) + '/' + aTraits.route + '/' + aId, aPrior });
      }
    };
  add('o', aTraits.organisation, 8);
  add('p', aTraits.program, 4);
  add('s', aTraits.session, 2);
  return levels;
}

double
LogError(double aPredicted, double aActual)
{
  return std::abs(std::log(std::max(1.0, aPredicted)) -
                  std::log(std::max(1.0, aActual)));
}

bool
IsUsableHint(const CallTraits& aTraits)
{
  return aTraits.outputTokensHint > 0 &&
         aTraits.outputTokensHint <= CostPredictor::kMaxHint;
}

} // namespace

double
CostPredictor::ByAverages(const CallTraits& aTraits, double aDefault) const
{
  double estimate = aDefault;
  for (const Level& level : LevelsOf(aTraits)) {
    const auto found = this->averages.find(level.key);
    if (found != this->averages.end()) {
      const Average& average = *found->second;
      const double weight = average.samples / (average.samples + level.prior);
      estimate += weight * (average.mean - estimate);
    }
  }
  return estimate;
}

CostPrediction
CostPredictor::Predict(const CallTraits& aTraits) const
{
  CostPrediction cost;
  const auto known = this->errors.find(aTraits.route);
  const RouteErrors routeErrors =
    known == this->errors.end() ? RouteErrors{} : known->second;
  cost.errorFactor = std::exp(routeErrors.combined);
  if (aTraits.maxOutputTokens <= 0) {
    cost.millis = this->ByAverages(aTraits, kDefaultMillis);
    return cost;
  }
  const auto most = static_cast<double>(aTraits.maxOutputTokens);
  double tokens = this->ByAverages(aTraits, most * kDefaultOutputFraction);
  if (IsUsableHint(aTraits)) {
    // Weighted by the inverse squares of the errors seen so far.
    const double byAverages =
      1 / std::pow(std::max(kMinError, routeErrors.averages), 2);
    const double byHint =
      1 / std::pow(std::max(kMinError, routeErrors.hint), 2);
    const auto hint = static_cast<double>(aTraits.outputTokensHint);
    tokens = std::exp((byAverages * std::log(std::max(1.0, tokens)) +
                       byHint * std::log(std::min(most, hint))) /
                      (byAverages + byHint));
  }
  cost.outputTokens = std::clamp(tokens, 1.0, most);
  return cost;
}

void
CostPredictor::OnEnded(const CallTraits& aTraits,
                       int64_t aOutputTokens,
                       double aMillis)
{
  const bool isStream = aTraits.maxOutputTokens > 0;
  const double sample = isStream ? static_cast<double>(aOutputTokens) : aMillis;
  if (!(sample >= 0) || (isStream && aOutputTokens <= 0)) {
    return;
  }
  const CostPrediction predicted = this->Predict(aTraits);
  const bool isKnown = this->errors.count(aTraits.route) > 0;
  RouteErrors& routeErrors = this->errors[aTraits.route];
  const auto correct = [](double& aError, double aSample) {
    aError += kErrorWeight * (aSample - aError);
  };
  if (isKnown) {
    correct(
      routeErrors.combined,
      LogError(isStream ? predicted.outputTokens : predicted.millis, sample));
    correct(routeErrors.averages,
            LogError(this->ByAverages(aTraits, sample), sample));
  }
  if (isStream && IsUsableHint(aTraits)) {
    correct(routeErrors.hint,
            LogError(static_cast<double>(aTraits.outputTokensHint), sample));
  }
  for (const Level& level : LevelsOf(aTraits)) {
    this->Learn(level.key, sample);
  }
}

void
CostPredictor::Learn(const std::string& aKey, double aSample)
{
  auto found = this->averages.find(aKey);
  if (found == this->averages.end()) {
    this->order.push_front({ aKey });
    found = this->averages.emplace(aKey, this->order.begin()).first;
  }
  this->order.splice(this->order.begin(), this->order, found->second);
  Average& average = *found->second;
  ++average.samples;
  const double weight = std::max(kMinWeight, 1.0 / average.samples);
  average.mean += weight * (aSample - average.mean);
  if (this->order.size() > kMaxAverages) {
    this->averages.erase(this->order.back().key);
    this->order.pop_back();
  }
}

} // namespace tanagerseam
