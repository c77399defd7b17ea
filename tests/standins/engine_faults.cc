#include "tests/standins/engine_faults.h"

#include <algorithm>

namespace tanagerseam::standin {

void
EngineFaults::Set(const nlohmann::json& aControl)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->dropShare = aControl.value("drop_share", this->dropShare);
  this->crossShare = aControl.value("cross_share", this->crossShare);
  this->delay = Millis(aControl.value("delay_ms", this->delay.count()));
  if (aControl.contains("status")) {
    this->status = aControl.value("status", 0);
    this->statusShare = aControl.value("share", 1.0);
  }
  if (aControl.contains("path")) {
    this->pathFault = { aControl.value("path", std::string()),
                        aControl.value("path_status", 0),
                        Millis(aControl.value("path_hang_ms", int64_t(0))) };
  }
  if (aControl.contains("seed")) {
    this->random.seed(aControl.value("seed", uint64_t(1)));
  }
}

PathFault
EngineFaults::FaultForPath(const std::string& aPath)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->pathFault.path == aPath ? this->pathFault : PathFault{};
}

FaultPlan
EngineFaults::Plan(int64_t aFrom, int64_t aMaxTokens)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::uniform_real_distribution<double> share(0, 1);
  std::uniform_int_distribution<int64_t> tokenIndex(
    aFrom, std::max(aMaxTokens - 1, aFrom));
  FaultPlan plan;
  plan.delay = this->delay;
  if (share(this->random) < this->statusShare) {
    plan.status = this->status;
  }
  if (share(this->random) < this->dropShare) {
    plan.dropAt = tokenIndex(this->random);
  }
  if (share(this->random) < this->crossShare) {
    // Half of the crossed responses are crossed from the first token.
    const bool fromStart = share(this->random) < 0.5;
    plan.crossAt = fromStart ? 0 : tokenIndex(this->random);
  }
  return plan;
}

} // namespace tanagerseam::standin
