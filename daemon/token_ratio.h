// Estimates the tokens of a prompt from its bytes, per model.
//
// Usage:
//
//   TokenRatio ratio;
//   ratio.AddSample("model", promptBytes, countedTokens);
//   int64_t tokens = ratio.EstimateTokens("model", 4000);
//
// A prompt has at most one token per byte. This bound is used to reserve
// budget, but is about four times too high for endpoint selection: with the
// prefill time overestimated four times, calls are sent away from the endpoints
// that have their prefix cached.
//
// Thread-safe. Keeps one entry for each model that has responded.
#ifndef TANAGERSEAM_DAEMON_TOKEN_RATIO_H_
#define TANAGERSEAM_DAEMON_TOKEN_RATIO_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace tanagerseam {

class TokenRatio
{
public:
  // Updates the moving average with a prompt of aBytes in which an engine
  // counted aTokens. Ignores values that are not positive.
  void AddSample(const std::string& aModel, int64_t aBytes, int64_t aTokens);
  // Rounded up, so at least 1 for a positive aBytes.
  int64_t EstimateTokens(const std::string& aModel, int64_t aBytes) const;

private:
  mutable std::mutex mutex;
  std::map<std::string, double> tokensPerByte;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_TOKEN_RATIO_H_
