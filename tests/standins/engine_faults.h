// Fault injection of the engine stand-in, configured by POST /control. All
// random choices come from the last seed set.
#ifndef TANAGERSEAM_TESTS_STANDINS_ENGINE_FAULTS_H_
#define TANAGERSEAM_TESTS_STANDINS_ENGINE_FAULTS_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <string>

#include <nlohmann/json.hpp>

#include "kernel/kernel.h"

namespace tanagerseam::standin {

// Faults of one completion request.
struct FaultPlan
{
  // If not 0: respond with this status without executing the request.
  int status = 0;
  Millis delay{ 0 };
  // Index of the token before which the stream ends without [DONE].
  std::optional<int64_t> dropAt;
  // Index of the token from which on the response is crossed: it carries the id
  // and text of another request.
  std::optional<int64_t> crossAt;
};

// Fault of one request path, such as "/kv/import".
struct PathFault
{
  std::string path;
  // If not 0: respond with this status without executing the request.
  int status = 0;
  // Execute the request, then delay the response by this time.
  Millis hang{ 0 };
};

class EngineFaults
{
public:
  // Keys: drop_share, cross_share, status and share, delay_ms, seed; path with
  // path_status and path_hang_ms. Absent keys keep their values.
  void Set(const nlohmann::json& aControl);
  // Draws the faults of a request for tokens aFrom to aMaxTokens - 1.
  FaultPlan Plan(int64_t aFrom, int64_t aMaxTokens);
  // A default PathFault if none is set for aPath.
  PathFault FaultForPath(const std::string& aPath);

private:
  std::mutex mutex;
  std::mt19937_64 random{ 1 };
  double dropShare = 0;
  double crossShare = 0;
  double statusShare = 0;
  int status = 0;
  Millis delay{ 0 };
  PathFault pathFault;
};

} // namespace tanagerseam::standin

#endif // TANAGERSEAM_TESTS_STANDINS_ENGINE_FAULTS_H_
