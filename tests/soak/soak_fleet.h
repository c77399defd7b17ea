// The fleet under soak test: gateways as real processes, a store, endpoints,
// and a fault-injecting proxy on each link to the store and the endpoints. All
// but the gateways run on the event loop of the soak process.
//
// Usage:
//
//   SoakFleet fleet(io, settings, checker, seed);
//   fleet.Start();
//   fleet.Apply(SoakFault::kKill, now);   // random choices follow the seed
//   fleet.Step(now);                      // every few milliseconds
//   fleet.ClearFaults(now);
//
// Step restarts a process that a fault ended after a delay. A process that
// exits by itself is reported to the checker as a violation and restarted.
#ifndef TANAGERSEAM_TESTS_SOAK_SOAK_FLEET_H_
#define TANAGERSEAM_TESTS_SOAK_SOAK_FLEET_H_

#include <filesystem>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "gateway/testing/raw_peer.h"
#include "tests/soak/soak_judge.h"
#include "tests/soak/soak_response.h"
#include "tests/standins/faultproxy_link.h"
#include "tests/support/gateway_host.h"
#include "tests/support/store_standin.h"

namespace tanagerseam::soak {

enum class SoakFault
{
  kKill,
  kKillAll,
  kPause,
  kTerminate,
  kStoreBusy,
  kStoreSilent,
  kStoreReset,
  kStoreLosesAppends,
  kStoreCompaction,
  kStoreLink,
  kEndpointLink,
  kEndpointErrors,
  // Second responses to a request, late.
  kEndpointLateDuplicates,
  // Responses whose head or body has no proper end.
  kEndpointFraming,
  // Failures of endpoints, and successes without a digest.
  kEndpointDigests,
  // Bodies that go on into a second response, heads that stop before the close.
  kEndpointOpenEnds,
  // An endpoint names the rate of calls that it takes from all gateways.
  kEndpointRateLimit,
  kDrainEndpoint,
  kChangeConfiguration,
  kWithdrawKey,
  // An operator asks that a zone gets no calls, for longer than the hosts may
  // take to follow. One zone at a time.
  kEvacuateZone,
};

std::string_view
NameOf(SoakFault aFault);

// All faults, for random selection.
const std::vector<SoakFault>&
AllFaults();

struct FleetSettings
{
  size_t hosts = 3;
  size_t endpointsPerService = 2;
  std::filesystem::path folder;
  Millis keyFreshness{ 2000 };
  // Unset: the store keeps everything.
  std::optional<Millis> storeRetention;
  // Prints each response corrupted.
  bool verbose = false;
  testing_support::OrganisationConfig club{ "club", "key-club" };
  testing_support::OrganisationConfig market{ "market",
                                              "key-market-1",
                                              20,
                                              20 };
};

class SoakFleet
{
public:
  SoakFleet(restinio::asio_ns::io_context& aIo,
            FleetSettings aSettings,
            SoakChecker& aChecker,
            uint64_t aSeed);
  ~SoakFleet();
  SoakFleet(const SoakFleet&) = delete;
  SoakFleet& operator=(const SoakFleet&) = delete;

  void Start();
  void Apply(SoakFault aFault, TimePoint aNow);
  void Step(TimePoint aNow);
  // Ends all faults and starts the hosts that are down. A host that is shutting
  // down is restarted by Step once it has ended.
  void ClearFaults(TimePoint aNow);

  // The client port of a random host that runs and is not shutting down, or of
  // any host if there is none.
  uint16_t ClientPort();
  // The organisation's API key in the newest configuration.
  std::string CurrentKey(const std::string& aOrganisation) const;
  // How often endpoints corrupted a response, by ResponseCorruption::Name().
  const std::map<std::string, int>& Corruptions() const
  {
    return this->corruptions;
  }

private:
  struct Host
  {
    std::unique_ptr<testing_support::GatewayHost> gateway;
    std::unique_ptr<standin::Link> storeLink;
    bool expectedToRun = false;
    bool terminating = false;
    TimePoint startAt{};
    TimePoint resumeAt{};
    TimePoint killAt{};
    TimePoint linkRestoreAt{};
  };
  struct Endpoint
  {
    std::string id;
    std::string service;
    std::string zone;
    std::unique_ptr<testing_support::RawEndpoint> server;
    // None for an unlinked endpoint.
    std::unique_ptr<standin::Link> link;
    TimePoint linkRestoreAt{};
    TimePoint drainEndsAt{};
    // The rate that it names until rateEndsAt, in calls per second.
    double callsPerSecond = 0;
    TimePoint rateEndsAt{};
  };

  void AddEndpoints(const std::string& aService);
  // An endpoint that gateways reach without a link. Only there a reset reaches
  // the gateway as a reset, and no fault of a link can pass for an orderly
  // close in the middle of a body.
  void AddUnlinkedEndpoint(const std::string& aService);
  Endpoint MakeEndpoint(const std::string& aId,
                        const std::string& aService,
                        const std::string& aZone,
                        bool aLinked);
  void RegisterEndpoint(const Endpoint& aEndpoint, const std::string& aState);
  void WriteConfiguration();
  void EvacuateZone(TimePoint aNow);
  void EndEvacuation(TimePoint aNow);
  testing_support::PresetResponse HandleRequest(const std::string& aEndpoint,
                                                const std::string& aRequest,
                                                bool aLinked);
  // The response as it should be, with the rate limit of the endpoint.
  testing_support::PresetResponse NameRate(
    const std::string& aEndpoint,
    testing_support::PresetResponse aResponse);
  // The digest of the next response of an endpoint.
  std::string NewDigest(const std::string& aEndpoint);
  Endpoint* FindEndpoint(const std::string& aId);
  // The fault of the next response to a call; none for most. Counted, and
  // printed if the settings say so.
  std::optional<ResponseCorruption> DrawResponseFault(const std::string& aId,
                                                      bool aLinked);
  // The faults that a response may have now.
  std::vector<ResponseFault> PossibleFaults(bool aLinked) const;
  void StepHost(Host& aHost, TimePoint aNow);
  void StepEndpoint(Endpoint& aEndpoint, TimePoint aNow);
  void Kill(Host& aHost, TimePoint aNow);
  void SetStoreFault(testing_support::StoreFault aFault, TimePoint aNow);
  standin::Fault DrawLinkFault();
  Millis DrawDuration(Millis aMin, Millis aMax);
  bool Chance(double aProbability);
  template<typename T>
  T& PickRandom(std::vector<T>& aItems);

  restinio::asio_ns::io_context& io;
  FleetSettings settings;
  SoakChecker& checker;
  std::mt19937_64 randomEngine;
  testing_support::StoreStandin store;
  std::vector<Host> hosts;
  std::vector<Endpoint> endpoints;
  std::vector<Endpoint> unlinkedEndpoints;
  // Digests that the endpoints gave so far.
  int digests = 0;
  int configVersion = 0;
  int marketKeyCount = 1;
  // Empty if no zone is evacuated.
  std::string evacuatedZone;
  TimePoint evacuationEndsAt{};
  TimePoint storeRestoreAt{};
  // End of each fault that makes endpoints corrupt responses.
  std::map<SoakFault, TimePoint> responseFaultsEndAt;
  std::map<std::string, int> corruptions;
};

} // namespace tanagerseam::soak

#endif // TANAGERSEAM_TESTS_SOAK_SOAK_FLEET_H_
