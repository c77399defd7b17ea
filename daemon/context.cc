#include "daemon/context.h"

namespace tanagerseam {

std::string
ProgramKey(const std::string& aProgram)
{
  return "program/" + aProgram;
}

OwnerLocation
FindOwner(const DaemonContext& aContext, const std::string& aKey)
{
  const std::string incarnation = aContext.journal.Incarnation();
  OwnerLocation location =
    aContext.journal.With([&](const ClusterState& aState) {
      OwnerLocation location;
      location.slot = aState.SlotOf(aKey);
      const Slot& slot = aState.Slots()[size_t(location.slot)];
      location.host = slot.owner;
      location.epoch = slot.epoch;
      location.isSelf = slot.owner == aContext.settings.host &&
                        slot.ownerIncarnation == incarnation;
      auto member = aState.Members().find(slot.owner);
      if (member != aState.Members().end()) {
        location.peerAddress = member->second.peerAddress;
      }
      return location;
    });
  if (location.host.empty()) {
    const OwnerHint hint = aContext.journal.FindOwnerHint(location.slot);
    location.host = hint.host;
    location.peerAddress = hint.peerAddress;
    location.epoch = hint.epoch;
  }
  return location;
}

std::set<int>
SlotsOf(const DaemonContext& aContext, const std::vector<std::string>& aKeys)
{
  return aContext.journal.With([&aKeys](const ClusterState& aState) {
    std::set<int> slots;
    for (const std::string& key : aKeys) {
      slots.insert(aState.SlotOf(key));
    }
    return slots;
  });
}

std::optional<Refusal>
CheckApiKey(const DaemonContext& aContext,
            const std::string& aDigest,
            const std::string& aOrganisation)
{
  if (aDigest.empty()) {
    return std::nullopt;
  }
  const auto config = aContext.journal.Config();
  const ApiKey* key = config->desired.FindKey(aDigest);
  if (key == nullptr) {
    return MakeRefusal(RefusalReason::kKeyUnknown,
                       "no API key with this digest");
  }
  if (config->desired.IsWithdrawn(*key)) {
    return MakeRefusal(RefusalReason::kKeyWithdrawn,
                       "the API key " + key->name + " was withdrawn");
  }
  if (!aOrganisation.empty() && key->organisation != aOrganisation) {
    return MakeRefusal(RefusalReason::kKeyUnknown,
                       "the API key belongs to another organisation");
  }
  return std::nullopt;
}

bool
IsLeaving(const Endpoint& aEndpoint)
{
  const bool leaveTimePassed =
    aEndpoint.leavesAtMillis > 0 && WallMillis() >= aEndpoint.leavesAtMillis;
  return aEndpoint.leaving || leaveTimePassed;
}

} // namespace tanagerseam
