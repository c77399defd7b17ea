// Decides which calls go out on a connection of their own. Private to this
// library.
//
//   ConnectionPolicy policy;
//   policy.OnStrayResponse("tools", now);
//   call.ownConnection = policy.NeedsOwnConnection(kind, "tools", now);
//
// On a kept connection a call can meet a late response to an earlier one, or an
// end that nobody announced. What that costs depends on the call:
//   - an idempotent call goes on to another endpoint: kept connections do;
//   - a call that may not be repeated has an unknown outcome: never a kept one;
//   - a turn fails, and its client repeats it from its start: kept ones do
//     unless endpoints of the service have sent stray responses lately.
#ifndef TANAGERSEAM_GATEWAY_CONNECTION_POLICY_H_
#define TANAGERSEAM_GATEWAY_CONNECTION_POLICY_H_

#include <map>
#include <string>

#include "catalog/catalog.h"
#include "kernel/kernel.h"

namespace tanagerseam {

class ConnectionPolicy
{
public:
  // Streams avoid kept connections for this time after a stray response.
  static constexpr Millis kStrayMemory{ 10000 };

  // An endpoint of aService sent a response that nobody waited for.
  void OnStrayResponse(const std::string& aService, TimePoint aNow)
  {
    this->lastStray[aService] = aNow;
  }

  bool NeedsOwnConnection(CallKind aKind,
                          const std::string& aService,
                          TimePoint aNow) const
  {
    switch (aKind) {
      case CallKind::kIdempotent:
        return false;
      case CallKind::kNonIdempotent:
        return true;
      case CallKind::kStream:
        return this->HadStrayResponse(aService, aNow);
    }
    return true;
  }

private:
  bool HadStrayResponse(const std::string& aService, TimePoint aNow) const
  {
    auto found = this->lastStray.find(aService);
    return found != this->lastStray.end() &&
           aNow - found->second < kStrayMemory;
  }

  std::map<std::string, TimePoint> lastStray;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_CONNECTION_POLICY_H_
