// Names of the urgency classes; defaults of EndpointPolicy.
#include <array>
#include <utility>

#include "route/route.h"

namespace tanagerseam {

namespace {

// In the order of the enum.
constexpr std::array<std::pair<Urgency, std::string_view>, 3> kUrgencies{ {
  { Urgency::kUrgent, "urgent" },
  { Urgency::kNormal, "normal" },
  { Urgency::kBackground, "background" },
} };

} // namespace

std::string_view
UrgencyName(Urgency aUrgency)
{
  return kUrgencies[static_cast<size_t>(aUrgency)].second;
}

std::optional<Urgency>
ParseUrgency(std::string_view aName)
{
  for (const auto& [urgency, name] : kUrgencies) {
    if (name == aName) {
      return urgency;
    }
  }
  return std::nullopt;
}

bool
EndpointPolicy::ShouldWaitForWarm(const DispatchRequest& /*aRequest*/,
                                  const EndpointState& /*aWarmEndpoint*/,
                                  Millis /*aWaited*/)
{
  return false;
}

} // namespace tanagerseam
