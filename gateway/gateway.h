// Request path of one host: admission control, dispatch to an endpoint, and
// relay of the response.
//
//   GatewayDependencies deps{ io, client, dialect, log, link, metrics };
//   Gateway gateway(settings, deps);
//   gateway.SetCatalog(catalog);
//   gateway.ConfirmCatalog(readStartedAt);
//   gateway.PutEndpoint(entry);
//   gateway.ConfirmEndpoints(readStartedAt);
//   gateway.Start();
//   gateway.Handle(request, reply);      // called by the HTTP server
//   gateway.BeginShutdown(Millis(7300)); // on SIGTERM
//
// Steps of a call, each of which may end it with a refusal:
//   parse, route, API key, origin of a resumed stream, history, token budget,
//   rate quota, placement, send, relay
//
// A call that this host can't admit or serve, because the store is unavailable,
// it has no usable endpoint or it reaches none, is forwarded at most once to a
// peer that can; see forwarded_call.h.
//
// Everything runs on one event loop, without locks. Invariants:
//  - a call that is not idempotent is sent again only if every earlier attempt
//    certainly did not execute;
//  - a response that says the call did not execute is sent only if no endpoint
//    can still execute it;
//  - a turn of a route that keeps history is in the record log before the
//    client sees the end of its stream; a record that this host can't write is
//    written by a peer if `recordRelay` is set, see record_relay.h;
//  - a resumed stream goes on at the software version that began it;
//  - the budget tokens of a turn are reserved before it is sent;
//  - an endpoint of an evacuated zone gets no call, and a cold endpoint no more
//    from all hosts than its service says;
//  - a call reaches no endpoint, and its text no peer, outside the regions that
//    its route and its organisation both allow;
//  - API keys are accepted only while the catalog was confirmed within
//    `keyFreshness`.
//
// All times are BootNow's, which includes time that the host was suspended.
#ifndef TANAGERSEAM_GATEWAY_GATEWAY_H_
#define TANAGERSEAM_GATEWAY_GATEWAY_H_

#include <memory>
#include <string>
#include <unordered_map>

#include <restinio/asio_include.hpp>

#include "call/call.h"
#include "catalog/catalog.h"
#include "dispatch/dispatch.h"
#include "fleet/fleet.h"
#include "program/program.h"
#include "quota/quota.h"
#include "zones/zones.h"

namespace tanagerseam {

struct GatewaySettings
{
  std::string host;
  std::string zone;
  // The regions of all zones; empty where regions play no part.
  ZoneRegions regions;
  // Address for calls from clients and peers, as IP:PORT.
  std::string callAddress;
  // Start of this process, in milliseconds since the epoch.
  uint64_t startTime = 0;
  // The whole fleet starts for the first time, so rate buckets start full.
  bool freshStart = false;
  // A withdrawn API key is accepted at most this long after its withdrawal.
  Millis keyFreshness{ 5000 };
  // Subtracted from keyFreshness to allow for clock and timer imprecision.
  Millis keyFreshnessMargin{ 700 };
  // Tolerated use beyond the organisations' rate caps.
  QuotaSlack quotaSlack;
  // Tolerated use beyond the rate limits that endpoints name.
  QuotaSlack endpointRateSlack{ Millis(4000), 0.5, 5 };
  // See DispatchSettings.
  PlacementMode placement = PlacementMode::kAuto;
  bool contention = false;
  // Records of turns that this host can't write are handed to a peer.
  bool recordRelay = false;
  // Tolerated use beyond the rate of cold endpoints.
  QuotaSlack coldSlack{ Millis(1000), 0, 0 };
  // Memory of all responses that are being received: gathered bodies, outputs
  // of turns, and what waits to be sent.
  // Without GatewayDependencies::heldMemory only.
  size_t maxResponseBytes = 16u << 20;
  // Of requests of this host that one endpoint has not answered.
  size_t maxEndpointBytes = 8u << 20;
  // Partitions per topic of the record log.
  int logPartitions = 12;
  // How long the record log keeps a record.
  Millis logRetention = kDefaultLogRetention;
};

// The registry of endpoints, as the gateway uses it.
class EndpointRegistry
{
public:
  virtual ~EndpointRegistry() = default;
  // Starts a reading at once; its end is told by ConfirmEndpoints.
  virtual void ReadNow() = 0;
};

struct GatewayDependencies
{
  restinio::asio_ns::io_context& io;
  EventClient& client;
  const Dialect& dialect;
  RecordLog& log;
  FleetLink& link;
  Metrics& metrics;
  // Bounds all that the host holds for clients and endpoints; shared with its
  // HTTP server. Null: only responses are bounded.
  std::shared_ptr<HeldMemory> heldMemory;
  // Null: the gateway waits for readings that come anyway.
  EndpointRegistry* registry = nullptr;
};

class Gateway
{
public:
  Gateway(GatewaySettings aSettings, GatewayDependencies aDependencies);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Installs the handlers for messages of peers, and starts the timers.
  void Start();

  // ---- state fed from the store
  // Ignored unless its version is newer than the current one.
  void SetCatalog(std::shared_ptr<const Catalog> aCatalog);
  // A read of the configuration that began at aReadStartedAt succeeded.
  void ConfirmCatalog(TimePoint aReadStartedAt);
  // Reading the configuration failed.
  void MarkCatalogUnavailable();
  // A zone is to be evacuated, or no longer; see EvacuatedZones.
  void PutEvacuation(const ZoneEvacuation& aRecord);
  // All such records before this position have been passed on.
  void ConfirmEvacuations(int64_t aPosition);
  // Has no effect for an entry that is older than one that was put before; see
  // EndpointEntryOrder.
  void PutEndpoint(EndpointEntry aEndpoint);
  void RemoveEndpoint(const std::string& aId);
  // Reading the endpoint registry failed, or a reading that began at
  // aReadStartedAt succeeded.
  void MarkEndpointsUnavailable();
  void ConfirmEndpoints(TimePoint aReadStartedAt);
  // Adds or renews a host of the fleet from its announcement. aPreexisting: the
  // announcement was in the store before this host started reading, so its age
  // is not known.
  void PutMember(const FleetMember& aMember, bool aPreexisting);
  void RemoveMember(const std::string& aHost);
  // Reading the announcements failed, or succeeded.
  void MarkMembersUnavailable();
  void ConfirmMembers();

  // ---- calls
  void Handle(EventRequest aRequest, std::shared_ptr<EventReply> aReply);
  // Readiness for load balancers: false while shutting down, before the first
  // confirmed endpoint list, with a stale catalog or without the store.
  bool Ready() const;
  // Reports not ready, so that clients move to other hosts, and returns unused
  // budget tokens. The process exits after aUntilExit at the latest; which
  // calls are served until then is up to ShutdownSchedule.
  void BeginShutdown(Millis aUntilExit);
  // The process exits: responds to calls that have no response yet, and breaks
  // streams off.
  void EndCalls();
  // Calls without a complete response, including forwarded ones.
  size_t InFlightCalls() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_GATEWAY_H_
