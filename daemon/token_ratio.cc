#include "daemon/token_ratio.h"

#include <algorithm>
#include <cmath>

namespace tanagerseam {

namespace {

// Ratio of common tokenizers on English text.
constexpr double kInitialTokensPerByte = 0.25;
// Weight of the newest sample in the exponential moving average.
constexpr double kSampleWeight = 0.05;

} // namespace

void
TokenRatio::AddSample(const std::string& aModel,
                      int64_t aBytes,
                      int64_t aTokens)
{
  if (aBytes <= 0 || aTokens <= 0) {
    return;
  }
  const double sample = std::min(1.0, double(aTokens) / double(aBytes));
  std::lock_guard<std::mutex> lock(this->mutex);
  double& ratio = this->tokensPerByte.try_emplace(aModel, kInitialTokensPerByte)
                    .first->second;
  ratio += kSampleWeight * (sample - ratio);
}

int64_t
TokenRatio::EstimateTokens(const std::string& aModel, int64_t aBytes) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->tokensPerByte.find(aModel);
  const double ratio =
    found == this->tokensPerByte.end() ? kInitialTokensPerByte : found->second;
  return int64_t(std::ceil(ratio * double(std::max<int64_t>(0, aBytes))));
}

} // namespace tanagerseam
