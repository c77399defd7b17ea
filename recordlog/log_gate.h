// Keeps calls from a log that is away.
//
//   LogGate gate;
//   if (!gate.MayAsk(now)) { ... fail without a call ... }
//   gate.Answered();      // or
//   gate.Failed(now);
//
// After kAwayAfter without a good answer the gate is shut; then one call in
// kProbeEvery passes, to see whether the log is back. Any good answer opens it.
#ifndef TANAGERSEAM_RECORDLOG_LOG_GATE_H_
#define TANAGERSEAM_RECORDLOG_LOG_GATE_H_

#include "kernel/kernel.h"

namespace tanagerseam {

class LogGate
{
public:
  static constexpr Millis kAwayAfter{ 400 };
  static constexpr Millis kProbeEvery{ 250 };

  bool MayAsk(TimePoint aNow)
  {
    if (!this->Shut(aNow)) {
      return true;
    }
    if (aNow - this->probedAt < kProbeEvery) {
      return false;
    }
    this->probedAt = aNow;
    return true;
  }

  void Answered() { this->failingSince = TimePoint{}; }

  void Failed(TimePoint aNow)
  {
    if (this->failingSince == TimePoint{}) {
      this->failingSince = aNow;
    }
  }

  bool Shut(TimePoint aNow) const
  {
    return this->failingSince != TimePoint{} &&
           aNow - this->failingSince >= kAwayAfter;
  }

private:
  TimePoint failingSince{};
  TimePoint probedAt{};
};

} // namespace tanagerseam

#endif // TANAGERSEAM_RECORDLOG_LOG_GATE_H_
