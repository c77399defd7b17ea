// The way of every call through one host: admission, placement, relay.
//
//   GatewayParts parts{ io, client, dialect, log, link, metrics };
//   Gateway gateway(settings, parts);
//   gateway.SetCatalog(catalog);
//   gateway.CatalogConfirmed(askedAt);
//   gateway.PutEndpoint(entry);
//   gateway.Handle(request, reply);      // from the server
//   gateway.Drain();                     // at SIGTERM
//
// The steps of a call, each of which may end it with a refusal:
//   read -> route -> key -> quota -> history -> budget -> place -> send ->
//   relay
//
// A call that this host can't judge or serve, since it has lost the store or
// knows no endpoint, is passed on once to a peer that can; see
// forwarded_call.h.
//
// One loop runs everything; there are no locks. Invariants:
//  - a call that may not be repeated is sent at most once after which it can
//    have run;
//  - an answer that says "not run" is given only if no endpoint can run the
//    call any more;
//  - a turn that is kept is in the log before the client sees its end;
//  - tokens of a turn are reserved before it is sent;
//  - keys are honoured only while the catalog was confirmed within
//    `keyFreshness`.
//
// Time is BootNow's, so that a suspended host knows how long it was away.
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

namespace tanagerseam {

struct GatewaySettings
{
  std::string host;
  std::string zone;
  // Where it takes calls, as IP:PORT.
  std::string callAddress;
  // Milliseconds since the epoch at which this process started.
  uint64_t started = 0;
  // The whole fleet starts for the first time.
  bool freshStart = false;
  // A withdrawn key may be honoured this long after its withdrawal.
  Millis keyFreshness{ 5000 };
  // Subtracted from keyFreshness for what clocks and timers lack in precision.
  Millis keyFreshnessMargin{ 700 };
  // What organisations may use beyond their caps.
  QuotaSlack quotaSlack;
  // Partitions of one topic of the log.
  int logParts = 12;
};

struct GatewayParts
{
  restinio::asio_ns::io_context& io;
  EventClient& client;
  const Dialect& dialect;
  RecordLog& log;
  FleetLink& link;
  Metrics& metrics;
};

class Gateway
{
public:
  // Time between reports to the other hosts.
  static constexpr Millis kReportEvery{ 100 };

  Gateway(GatewaySettings aSettings, GatewayParts aParts);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Start();

  // ---- what the host believes
  // Versions that are not newer are ignored.
  void SetCatalog(std::shared_ptr<const Catalog> aCatalog);
  void CatalogConfirmed(TimePoint aAskedAt);
  // The configuration can't be read now.
  void CatalogLost();
  void PutEndpoint(EndpointEntry aEndpoint);
  void RemoveEndpoint(const std::string& aId);
  // The registry of endpoints did not answer, or answers again.
  void EndpointsLost();
  void EndpointsConfirmed();
  // Announcements of the fleet's hosts; aOld: there before this host read them.
  void PutMember(const FleetMember& aMember, bool aOld);
  void RemoveMember(const std::string& aHost);
  void MembersLost();
  void MembersConfirmed();

  // ---- calls
  void Handle(EventRequest aRequest, std::shared_ptr<EventReply> aReply);
  // True while clients should come to this host.
  bool Ready() const;
  // Clients should go elsewhere; those that still come are served.
  void Drain();
  // The process ends soon: calls that come now are refused at once.
  void StopTakingCalls();
  // Calls that are not answered whole.
  size_t UnderWay() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_GATEWAY_H_
