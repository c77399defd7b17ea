// Circuit breaker for calls to the record log.
//
//   LogCircuitBreaker breaker;
//   if (!breaker.AllowCall(now)) { ... fail without a call ... }
//   breaker.OnSuccess();      // or
//   breaker.OnFailure(now);
//
// The breaker opens after kOpenAfter of failures without a success. While open
// it allows one probe call per kProbeInterval. Any success closes it.
#ifndef TANAGERSEAM_RECORDLOG_LOG_GATE_H_
#define TANAGERSEAM_RECORDLOG_LOG_GATE_H_

#include "kernel/kernel.h"

namespace tanagerseam {

class LogCircuitBreaker
{
public:
  static constexpr Millis kOpenAfter{ 400 };
  static constexpr Millis kProbeInterval{ 250 };

  // While the breaker is open, an allowed call counts as the probe.
  bool AllowCall(TimePoint aNow)
  {
    if (!this->IsOpen(aNow)) {
      return true;
    }
    if (aNow - this->lastProbeAt < kProbeInterval) {
      return false;
    }
    this->lastProbeAt = aNow;
    return true;
  }

  void OnSuccess() { this->failingSince = TimePoint{}; }

  void OnFailure(TimePoint aNow)
  {
    if (this->failingSince == TimePoint{}) {
      this->failingSince = aNow;
    }
  }

  bool IsOpen(TimePoint aNow) const
  {
    return this->failingSince != TimePoint{} &&
           aNow - this->failingSince >= kOpenAfter;
  }

private:
  TimePoint failingSince{};
  TimePoint lastProbeAt{};
};

} // namespace tanagerseam

#endif // TANAGERSEAM_RECORDLOG_LOG_GATE_H_
