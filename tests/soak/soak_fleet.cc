#include "tests/soak/soak_fleet.h"

#include <iostream>

#include "tests/soak/soak_text.h"

namespace tanagerseam::soak {

namespace {

using testing_support::EndpointJson;
using testing_support::FreePort;
using testing_support::GatewayHost;
using testing_support::LoopbackAddress;
using testing_support::PresetResponse;
using testing_support::RawEndpoint;
using testing_support::StoreFault;

constexpr Millis kMinFaultDuration(200);
constexpr Millis kMaxFaultDuration(3000);
constexpr Millis kMinRestartDelay(100);
constexpr Millis kMaxRestartDelay(1200);
// From SIGTERM until the process is killed: longer than its own shutdown limit
// of 8 s.
constexpr Millis kTerminationTimeout(9000);
// Fraction of responses that endpoints corrupt during a fault of responses.
constexpr double kCorruptedFraction = 0.3;
// How long an endpoint names a rate, and the bounds of that rate.
constexpr Millis kRateLimitDuration(10000);
constexpr double kMinCallsPerSecond = 3;
constexpr double kMaxCallsPerSecond = 10;
// Fraction of requests that endpoints refuse during kEndpointErrors.
constexpr double kRefusedFraction = 0.1;
constexpr Millis kMinEvacuation = SoakChecker::kEvacuationLimit + Millis(2000);
constexpr Millis kMaxEvacuation = SoakChecker::kEvacuationLimit + Millis(6000);
constexpr const char* kZones[] = { "zone-a", "zone-b" };

struct SoakFaultName
{
  SoakFault fault;
  std::string_view name;
};

constexpr SoakFaultName kSoakFaults[] = {
  { SoakFault::kKill, "kill" },
  { SoakFault::kKillAll, "kill_all" },
  { SoakFault::kPause, "pause" },
  { SoakFault::kTerminate, "terminate" },
  { SoakFault::kStoreBusy, "store_busy" },
  { SoakFault::kStoreSilent, "store_silent" },
  { SoakFault::kStoreReset, "store_reset" },
  { SoakFault::kStoreLosesAppends, "store_loses_appends" },
  { SoakFault::kStoreCompaction, "store_forgets" },
  { SoakFault::kStoreLink, "store_link" },
  { SoakFault::kEndpointLink, "endpoint_link" },
  { SoakFault::kEndpointErrors, "endpoint_errors" },
  { SoakFault::kEndpointLateDuplicates, "endpoint_late_duplicates" },
  { SoakFault::kEndpointFraming, "endpoint_framing" },
  { SoakFault::kEndpointDigests, "endpoint_digests" },
  { SoakFault::kEndpointOpenEnds, "endpoint_open_ends" },
  { SoakFault::kEndpointRateLimit, "endpoint_rate_limit" },
  { SoakFault::kDrainEndpoint, "drain_endpoint" },
  { SoakFault::kChangeConfiguration, "change_configuration" },
  { SoakFault::kWithdrawKey, "withdraw_key" },
  { SoakFault::kEvacuateZone, "evacuate_zone" },
};

struct ResponseFaultSource
{
  ResponseFault fault;
  SoakFault during;
  // A link would forward the fault as another one.
  bool onlyUnlinked = false;
};

constexpr ResponseFaultSource kResponseFaultSources[] = {
  { ResponseFault::kLost, SoakFault::kEndpointErrors },
  { ResponseFault::kTruncated, SoakFault::kEndpointErrors },
  { ResponseFault::kDelayed, SoakFault::kEndpointErrors },
  { ResponseFault::kDoubled, SoakFault::kEndpointErrors },
  { ResponseFault::kCrossed, SoakFault::kEndpointErrors },
  { ResponseFault::kLateDuplicate, SoakFault::kEndpointLateDuplicates },
  { ResponseFault::kIdleDuplicate, SoakFault::kEndpointLateDuplicates },
  { ResponseFault::kHeadCut, SoakFault::kEndpointFraming },
  { ResponseFault::kNoLength, SoakFault::kEndpointFraming },
  { ResponseFault::kNoLengthReset, SoakFault::kEndpointFraming, true },
  { ResponseFault::kNoLengthCut, SoakFault::kEndpointFraming, true },
  { ResponseFault::kEndless, SoakFault::kEndpointFraming },
  { ResponseFault::kNoDigest, SoakFault::kEndpointDigests },
  { ResponseFault::kFailure, SoakFault::kEndpointDigests },
  { ResponseFault::kFailureLateDuplicate, SoakFault::kEndpointDigests },
  { ResponseFault::kFailureIdleDuplicate, SoakFault::kEndpointDigests },
  { ResponseFault::kNoLengthDoubled, SoakFault::kEndpointOpenEnds },
  { ResponseFault::kHeadCutPause, SoakFault::kEndpointOpenEnds },
};

asio::ip::tcp::endpoint
Loopback(uint16_t aPort)
{
  return { asio::ip::make_address("127.0.0.1"), aPort };
}

const char*
ZoneOf(size_t aIndex)
{
  return kZones[aIndex % std::size(kZones)];
}

// The time limit that a request names, if any.
std::optional<Millis>
DeadlineOf(const std::string& aRequest)
{
  const std::string text = HeaderOf(aRequest, "X-Deadline-Ms");
  return text.empty() ? std::nullopt : std::optional<Millis>(std::stoll(text));
}

uint16_t
PortOf(const std::string& aAddress)
{
  return static_cast<uint16_t>(
    std::stoi(aAddress.substr(aAddress.rfind(':') + 1)));
}

} // namespace

std::string_view
NameOf(SoakFault aFault)
{
  for (const SoakFaultName& row : kSoakFaults) {
    if (row.fault == aFault) {
      return row.name;
    }
  }
  return "unknown";
}

const std::vector<SoakFault>&
AllFaults()
{
  static const std::vector<SoakFault> kAll = [] {
    std::vector<SoakFault> all;
    for (const SoakFaultName& row : kSoakFaults) {
      all.push_back(row.fault);
    }
    return all;
  }();
  return kAll;
}

SoakFleet::SoakFleet(restinio::asio_ns::io_context& aIo,
                     FleetSettings aSettings,
                     SoakChecker& aChecker,
                     uint64_t aSeed)
  : io(aIo)
  , settings(std::move(aSettings))
  , checker(aChecker)
  , randomEngine(aSeed)
  , store(aIo)
{
}

SoakFleet::~SoakFleet() = default;

Millis
SoakFleet::DrawDuration(Millis aMin, Millis aMax)
{
  std::uniform_int_distribution<int64_t> draw(aMin.count(), aMax.count());
  return Millis(draw(this->randomEngine));
}

bool
SoakFleet::Chance(double aProbability)
{
  return std::bernoulli_distribution(aProbability)(this->randomEngine);
}

template<typename T>
T&
SoakFleet::PickRandom(std::vector<T>& aItems)
{
  std::uniform_int_distribution<size_t> draw(0, aItems.size() - 1);
  return aItems[draw(this->randomEngine)];
}

void
SoakFleet::Start()
{
  this->WriteConfiguration();
  this->AddEndpoints("engines");
  this->AddEndpoints("tools");
  this->AddUnlinkedEndpoint("engines");
  this->AddUnlinkedEndpoint("tools");
  if (this->settings.storeRetention) {
    this->store.SetRetention(*this->settings.storeRetention);
  }
  const uint16_t storePort = PortOf(this->store.Address());
  for (size_t i = 0; i < this->settings.hosts; ++i) {
    Host host;
    const uint16_t linkPort = FreePort();
    host.storeLink = std::make_unique<standin::Link>(
      this->io,
      standin::LinkSettings{
        "store", Loopback(linkPort), Loopback(storePort) });
    testing_support::GatewayHostSettings gateway;
    gateway.folder = this->settings.folder;
    gateway.name = "host-" + std::to_string(i);
    gateway.zone = ZoneOf(i);
    gateway.storeAddress = LoopbackAddress(linkPort);
    gateway.keyFreshness = this->settings.keyFreshness;
    gateway.storeRetention = this->settings.storeRetention;
    host.gateway = std::make_unique<GatewayHost>(gateway);
    host.gateway->Start();
    host.expectedToRun = true;
    this->hosts.push_back(std::move(host));
  }
}

SoakFleet::Endpoint
SoakFleet::MakeEndpoint(const std::string& aId,
                        const std::string& aService,
                        const std::string& aZone,
                        bool aLinked)
{
  Endpoint endpoint;
  endpoint.id = aId;
  endpoint.service = aService;
  endpoint.zone = aZone;
  this->checker.OnEndpointAdded(aId, aZone);
  endpoint.server = std::make_unique<RawEndpoint>(
    this->io, [this, aId, aLinked](const std::string& aRequest) {
      return this->HandleRequest(aId, aRequest, aLinked);
    });
  if (aLinked) {
    const uint16_t linkPort = FreePort();
    endpoint.link = std::make_unique<standin::Link>(
      this->io,
      standin::LinkSettings{ endpoint.id,
                             Loopback(linkPort),
                             Loopback(PortOf(endpoint.server->Address())) });
  }
  return endpoint;
}

void
SoakFleet::AddEndpoints(const std::string& aService)
{
  for (size_t i = 0; i < this->settings.endpointsPerService; ++i) {
    this->endpoints.push_back(this->MakeEndpoint(
      aService + "-" + std::to_string(i), aService, ZoneOf(i), true));
    this->RegisterEndpoint(this->endpoints.back(), "ready");
  }
}

void
SoakFleet::AddUnlinkedEndpoint(const std::string& aService)
{
  this->unlinkedEndpoints.push_back(
    this->MakeEndpoint(aService + "-unlinked", aService, ZoneOf(0), false));
  this->RegisterEndpoint(this->unlinkedEndpoints.back(), "ready");
}

void
SoakFleet::RegisterEndpoint(const Endpoint& aEndpoint,
                            const std::string& aState)
{
  const std::string address =
    aEndpoint.link ? LoopbackAddress(aEndpoint.link->Settings().listen.port())
                   : aEndpoint.server->Address();
  this->store.PutKeyed(
    "keyed.servers",
    aEndpoint.id,
    EndpointJson(aEndpoint.service, address, aState, "v1", aEndpoint.zone));
}

void
SoakFleet::WriteConfiguration()
{
  this->store.PutKeyed(
    "keyed.op",
    "config",
    testing_support::ConfigurationJson(
      ++this->configVersion, { this->settings.club, this->settings.market }));
}

void
SoakFleet::EvacuateZone(TimePoint aNow)
{
  if (!this->evacuatedZone.empty()) {
    return;
  }
  std::vector<std::string> zones(std::begin(kZones), std::end(kZones));
  this->evacuatedZone = this->PickRandom(zones);
  this->evacuationEndsAt =
    aNow + this->DrawDuration(kMinEvacuation, kMaxEvacuation);
  this->store.PutKeyed("keyed.op", "evacuate/" + this->evacuatedZone, "{}");
  this->checker.OnZoneEvacuated(this->evacuatedZone, aNow);
}

void
SoakFleet::EndEvacuation(TimePoint aNow)
{
  this->checker.OnEvacuationEnded(this->evacuatedZone, aNow);
  this->store.PutKeyed("keyed.op", "evacuate/" + this->evacuatedZone, "");
  this->evacuatedZone.clear();
  this->evacuationEndsAt = TimePoint{};
}

std::string
SoakFleet::CurrentKey(const std::string& aOrganisation) const
{
  return aOrganisation == this->settings.club.name ? this->settings.club.key
                                                   : this->settings.market.key;
}

std::vector<ResponseFault>
SoakFleet::PossibleFaults(bool aLinked) const
{
  std::vector<ResponseFault> possible;
  for (const ResponseFaultSource& row : kResponseFaultSources) {
    const auto end = this->responseFaultsEndAt.find(row.during);
    const bool active =
      end != this->responseFaultsEndAt.end() && BootNow() < end->second;
    if (active && !(aLinked && row.onlyUnlinked)) {
      possible.push_back(row.fault);
    }
  }
  return possible;
}

SoakFleet::Endpoint*
SoakFleet::FindEndpoint(const std::string& aId)
{
  auto found = std::find_if(
    this->endpoints.begin(),
    this->endpoints.end(),
    [&aId](const Endpoint& aEndpoint) { return aEndpoint.id == aId; });
  return found == this->endpoints.end() ? nullptr : &*found;
}

PresetResponse
SoakFleet::NameRate(const std::string& aEndpoint, PresetResponse aResponse)
{
  const Endpoint* endpoint = this->FindEndpoint(aEndpoint);
  if (endpoint == nullptr || BootNow() >= endpoint->rateEndsAt) {
    return aResponse;
  }
  this->checker.OnRateNamed(aEndpoint, endpoint->callsPerSecond, BootNow());
  aResponse.bytes.insert(
    aResponse.bytes.find("X-Server-Seal"),
    "Server-Limit: " + std::to_string(endpoint->callsPerSecond) + "\r\n");
  return aResponse;
}

std::optional<ResponseCorruption>
SoakFleet::DrawResponseFault(const std::string& aId, bool aLinked)
{
  const std::vector<ResponseFault> faults = this->PossibleFaults(aLinked);
  if (faults.empty() || !this->Chance(kCorruptedFraction)) {
    return std::nullopt;
  }
  const ResponseCorruption corruption =
    DrawCorruption(faults, this->randomEngine);
  ++this->corruptions[corruption.Name()];
  if (this->settings.verbose) {
    std::cout << WallMillis() << " response to " << aId << ": "
              << corruption.Name() << std::endl;
  }
  return corruption;
}

std::string
SoakFleet::NewDigest(const std::string& aEndpoint)
{
  return aEndpoint + "." + std::to_string(++this->digests);
}

PresetResponse
SoakFleet::HandleRequest(const std::string& aEndpoint,
                         const std::string& aRequest,
                         bool aLinked)
{
  const std::string id = HeaderOf(aRequest, "X-Request-Id");
  this->checker.OnRequestArrived(aEndpoint, BootNow());
  if (BootNow() < this->responseFaultsEndAt[SoakFault::kEndpointErrors] &&
      this->Chance(kRefusedFraction)) {
    return { "HTTP/1.1 503 X\r\nX-Request-Id: " + id +
             "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
  }
  ExecutedCall executed;
  executed.id = id;
  executed.endpoint = aEndpoint;
  executed.organisation = HeaderOf(aRequest, "X-Tenant");
  executed.body = BodyOf(aRequest);
  executed.deadline = DeadlineOf(aRequest);
  executed.at = BootNow();
  this->checker.OnCallExecuted(executed);
  const EndpointResponse response =
    MakeResponse(aRequest, this->NewDigest(aEndpoint), this->randomEngine);
  const auto corruption = this->DrawResponseFault(id, aLinked);
  if (!corruption) {
    this->checker.OnResponseProduced(response.Produced());
    return this->NameRate(aEndpoint, ToPreset(response));
  }
  const EndpointResponse intended = Intended(response, corruption->fault);
  this->checker.OnResponseProduced(intended.Produced());
  return Corrupt(intended, *corruption, this->randomEngine);
}

void
SoakFleet::Kill(Host& aHost, TimePoint aNow)
{
  if (!aHost.gateway->process) {
    return;
  }
  aHost.gateway->process.reset();
  aHost.expectedToRun = false;
  aHost.terminating = false;
  aHost.resumeAt = TimePoint{};
  aHost.killAt = TimePoint{};
  aHost.startAt = aNow + this->DrawDuration(kMinRestartDelay, kMaxRestartDelay);
}

void
SoakFleet::SetStoreFault(StoreFault aFault, TimePoint aNow)
{
  this->store.SetFault(aFault);
  this->storeRestoreAt =
    aNow + this->DrawDuration(kMinFaultDuration, kMaxFaultDuration);
}

standin::Fault
SoakFleet::DrawLinkFault()
{
  using standin::FaultKind;
  std::vector<FaultKind> kinds = {
    FaultKind::kCut,          FaultKind::kDelay,      FaultKind::kHalfOpen,
    FaultKind::kOneWayUp,     FaultKind::kOneWayDown, FaultKind::kFreeze,
    FaultKind::kDropResponses
  };
  standin::Fault fault;
  fault.kind = this->PickRandom(kinds);
  fault.delay = this->DrawDuration(Millis(20), Millis(400));
  fault.jitter = Millis(50);
  fault.seed = this->randomEngine();
  return fault;
}

void
SoakFleet::Apply(SoakFault aFault, TimePoint aNow)
{
  const Millis duration =
    this->DrawDuration(kMinFaultDuration, kMaxFaultDuration);
  Host& host = this->PickRandom(this->hosts);
  Endpoint& endpoint = this->PickRandom(this->endpoints);
  switch (aFault) {
    case SoakFault::kKill:
      this->Kill(host, aNow);
      break;
    case SoakFault::kKillAll:
      for (Host& each : this->hosts) {
        this->Kill(each, aNow);
      }
      break;
    case SoakFault::kPause:
      if (host.expectedToRun && host.resumeAt == TimePoint{}) {
        host.gateway->process->Pause();
        host.resumeAt = aNow + duration;
      }
      break;
    case SoakFault::kTerminate:
      if (host.expectedToRun && !host.terminating) {
        host.gateway->process->Terminate();
        host.terminating = true;
        host.killAt = aNow + kTerminationTimeout;
      }
      break;
    case SoakFault::kStoreBusy:
      this->SetStoreFault(StoreFault::kUnavailable, aNow);
      break;
    case SoakFault::kStoreSilent:
      this->SetStoreFault(StoreFault::kNoResponse, aNow);
      break;
    case SoakFault::kStoreReset:
      this->SetStoreFault(StoreFault::kReset, aNow);
      break;
    case SoakFault::kStoreLosesAppends:
      this->SetStoreFault(StoreFault::kUnacknowledgedAppends, aNow);
      break;
    case SoakFault::kStoreCompaction:
      this->store.Compact("keyed.op");
      this->store.Compact("keyed.servers");
      break;
    case SoakFault::kStoreLink:
      host.storeLink->SetFault(this->DrawLinkFault());
      host.linkRestoreAt = aNow + duration;
      break;
    case SoakFault::kEndpointLink:
      endpoint.link->SetFault(this->DrawLinkFault());
      endpoint.linkRestoreAt = aNow + duration;
      this->checker.OnEndpointCutOff(endpoint.id, aNow);
      break;
    case SoakFault::kEndpointErrors:
    case SoakFault::kEndpointLateDuplicates:
    case SoakFault::kEndpointFraming:
    case SoakFault::kEndpointDigests:
    case SoakFault::kEndpointOpenEnds:
      this->responseFaultsEndAt[aFault] = aNow + duration;
      break;
    case SoakFault::kEndpointRateLimit: {
      if (aNow < endpoint.rateEndsAt) {
        break;
      }
      std::uniform_real_distribution<double> rate(kMinCallsPerSecond,
                                                  kMaxCallsPerSecond);
      endpoint.callsPerSecond = rate(this->randomEngine);
      endpoint.rateEndsAt = aNow + kRateLimitDuration;
      break;
    }
    case SoakFault::kDrainEndpoint:
      this->RegisterEndpoint(endpoint, "draining");
      endpoint.drainEndsAt = aNow + duration;
      break;
    case SoakFault::kChangeConfiguration:
      this->WriteConfiguration();
      break;
    case SoakFault::kWithdrawKey: {
      const std::string withdrawnKey = this->settings.market.key;
      this->settings.market.key =
        "key-market-" + std::to_string(++this->marketKeyCount);
      this->WriteConfiguration();
      this->checker.OnKeyWithdrawn(withdrawnKey, aNow);
      break;
    }
    case SoakFault::kEvacuateZone:
      this->EvacuateZone(aNow);
      break;
  }
}

void
SoakFleet::StepHost(Host& aHost, TimePoint aNow)
{
  if (aHost.resumeAt != TimePoint{} && aNow >= aHost.resumeAt) {
    aHost.gateway->process->Continue();
    aHost.resumeAt = TimePoint{};
  }
  if (aHost.linkRestoreAt != TimePoint{} && aNow >= aHost.linkRestoreAt) {
    aHost.storeLink->SetFault(standin::Fault{});
    aHost.linkRestoreAt = TimePoint{};
  }
  const bool running =
    aHost.gateway->process != nullptr && aHost.gateway->process->Running();
  if (aHost.terminating && !running) {
    this->Kill(aHost, aNow);
  } else if (aHost.terminating && aNow >= aHost.killAt &&
             aHost.resumeAt == TimePoint{}) {
    this->checker.ReportViolation(
      "shutdown_timeout: a gateway still ran 9 s after SIGTERM");
    this->Kill(aHost, aNow);
  } else if (aHost.expectedToRun && !running) {
    this->checker.ReportViolation("crash: " +
                                  aHost.gateway->process->LogTail());
    this->Kill(aHost, aNow);
  }
  if (!aHost.expectedToRun && aNow >= aHost.startAt) {
    aHost.gateway->Start();
    aHost.expectedToRun = true;
  }
}

void
SoakFleet::StepEndpoint(Endpoint& aEndpoint, TimePoint aNow)
{
  if (aEndpoint.linkRestoreAt != TimePoint{} &&
      aNow >= aEndpoint.linkRestoreAt) {
    aEndpoint.link->SetFault(standin::Fault{});
    aEndpoint.linkRestoreAt = TimePoint{};
    this->checker.OnEndpointRestored(aEndpoint.id, aNow);
  }
  if (aEndpoint.drainEndsAt != TimePoint{} && aNow >= aEndpoint.drainEndsAt) {
    this->RegisterEndpoint(aEndpoint, "ready");
    aEndpoint.drainEndsAt = TimePoint{};
  }
}

void
SoakFleet::Step(TimePoint aNow)
{
  for (Host& host : this->hosts) {
    this->StepHost(host, aNow);
  }
  for (Endpoint& endpoint : this->endpoints) {
    this->StepEndpoint(endpoint, aNow);
  }
  if (this->storeRestoreAt != TimePoint{} && aNow >= this->storeRestoreAt) {
    this->store.SetFault(StoreFault::kNone);
    this->storeRestoreAt = TimePoint{};
  }
  if (this->evacuationEndsAt != TimePoint{} && aNow >= this->evacuationEndsAt) {
    this->EndEvacuation(aNow);
  }
}

void
SoakFleet::ClearFaults(TimePoint aNow)
{
  const auto makeDue = [aNow](TimePoint& aTime) {
    aTime = aTime == TimePoint{} ? aTime : aNow;
  };
  for (Host& host : this->hosts) {
    makeDue(host.resumeAt);
    makeDue(host.linkRestoreAt);
    makeDue(host.startAt);
  }
  for (Endpoint& endpoint : this->endpoints) {
    makeDue(endpoint.linkRestoreAt);
    makeDue(endpoint.drainEndsAt);
  }
  makeDue(this->storeRestoreAt);
  makeDue(this->evacuationEndsAt);
  this->responseFaultsEndAt.clear();
  this->Step(aNow);
}

uint16_t
SoakFleet::ClientPort()
{
  std::vector<uint16_t> ports;
  for (const Host& host : this->hosts) {
    if (host.expectedToRun && !host.terminating) {
      ports.push_back(host.gateway->callPort);
    }
  }
  return ports.empty() ? this->PickRandom(this->hosts).gateway->callPort
                       : this->PickRandom(ports);
}

} // namespace tanagerseam::soak
