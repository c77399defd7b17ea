// The world of a soak: gateways as real processes, a store, endpoints, and a
// proxy on each way to them. All but the gateways runs on the soak's loop.
//
//   SoakFleet fleet(io, settings, judge);
//   fleet.Start();
//   fleet.Apply(SoakFault::kKill, draw);  // seeded
//   fleet.Step(now);                      // a few times a second
//   fleet.Heal();
//
// A process that a fault ended is started again by Step after a pause. One that
// ends by itself is reported to the judge.
#ifndef TANAGERSEAM_TESTS_SOAK_SOAK_FLEET_H_
#define TANAGERSEAM_TESTS_SOAK_SOAK_FLEET_H_

#include <filesystem>
#include <memory>
#include <random>
#include <vector>

#include "gateway/testing/raw_peer.h"
#include "tests/soak/soak_judge.h"
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
  kStoreForgets,
  kStoreLink,
  kEndpointLink,
  kEndpointErrors,
  kDrainEndpoint,
  kChangeConfiguration,
  kWithdrawKey,
};

std::string_view
NameOf(SoakFault aFault);

// All of them, to draw from.
const std::vector<SoakFault>&
AllFaults();

struct FleetSettings
{
  size_t hosts = 3;
  size_t endpointsOfService = 2;
  std::filesystem::path folder;
  Millis keyFreshness{ 2000 };
  testing_support::OrganisationText club{ "club", "key-club" };
  testing_support::OrganisationText market{ "market", "key-market-1", 20, 20 };
};

class SoakFleet
{
public:
  SoakFleet(restinio::asio_ns::io_context& aIo,
            FleetSettings aSettings,
            SoakJudge& aJudge,
            uint64_t aSeed);
  ~SoakFleet();
  SoakFleet(const SoakFleet&) = delete;
  SoakFleet& operator=(const SoakFleet&) = delete;

  void Start();
  void Apply(SoakFault aFault, TimePoint aNow);
  void Step(TimePoint aNow);
  // Ends all faults and starts all hosts.
  void Heal(TimePoint aNow);

  // The port of a host that takes clients: one that was not told to stop, if
  // there is any.
  uint16_t CallPort();
  // The newest configuration's key of an organisation.
  std::string KeyOf(const std::string& aOrganisation) const;

private:
  struct Host
  {
    std::unique_ptr<testing_support::GatewayHost> gateway;
    std::unique_ptr<standin::Link> storeLink;
    bool expectedToRun = false;
    bool told = false;
    TimePoint startAt{};
    TimePoint continueAt{};
    TimePoint killAt{};
    TimePoint linkHealsAt{};
  };
  struct Endpoint
  {
    std::string id;
    std::string service;
    std::unique_ptr<testing_support::RawEndpoint> server;
    std::unique_ptr<standin::Link> link;
    TimePoint linkHealsAt{};
    TimePoint returnsAt{};
  };

  void AddEndpoints(const std::string& aService);
  void Register(const Endpoint& aEndpoint, const std::string& aState);
  void WriteConfiguration();
  testing_support::PresetResponse Answer(const std::string& aRequest);
  testing_support::PresetResponse Spoil(testing_support::PresetResponse aAction,
                                        const std::string& aRequest);
  void StepHost(Host& aHost, TimePoint aNow);
  void StepEndpoint(Endpoint& aEndpoint, TimePoint aNow);
  void Kill(Host& aHost, TimePoint aNow);
  void SetStoreFault(testing_support::StoreFault aFault, TimePoint aNow);
  standin::Fault DrawLinkFault();
  Millis DrawTime(Millis aLeast, Millis aMost);
  bool Chance(double aPart);
  template<typename T>
  T& Any(std::vector<T>& aItems);

  restinio::asio_ns::io_context& io;
  FleetSettings settings;
  SoakJudge& judge;
  std::mt19937_64 random;
  testing_support::StoreStandin store;
  std::vector<Host> hosts;
  std::vector<Endpoint> endpoints;
  int version = 0;
  int marketKeys = 1;
  TimePoint storeHealsAt{};
  TimePoint errorsEndAt{};
};

} // namespace tanagerseam::soak

#endif // TANAGERSEAM_TESTS_SOAK_SOAK_FLEET_H_
