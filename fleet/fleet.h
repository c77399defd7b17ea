// Messages between the hosts of the fleet: periodic load reports, reservations
// of tokens from a program's budget, calls on an organisation's quota, where
// event streams began, the events of streams that are kept as turns, and
// records that a peer appends to the store's log.
//
//   FleetLink link(io, { "host-1", startTime, "10.0.0.1", 7780 });
//   link.SetHandlers(handlers);
//   link.SetPeers(members);
//   link.SendReport(report);
//   uint64_t reservation = link.Reserve("host-2", request, wait, done);
//   link.Settle("host-2", reservation, 144);
//   link.AcquireQuota("host-2", OrganisationHash("ski-club"), wait, done);
//   link.TellStreamBegan("host-2", stream, { "engines", "v1.2" });
//   link.FindStream("host-2", stream, wait, done);
//   link.TellStreamEvent({ "host-2", "host-3" }, stream, event);
//   link.FindStreamEvents("host-2", stream, lastEvent, wait, done);
//   link.AppendRecord("host-2", { { "turns-3", 7 }, record }, wait, done);
//
// Each message is a FlatBuffer in one UDP datagram, so there is no connection
// that could stall. A lost report is superseded by the next one. A request is
// retransmitted until its response arrives or is no longer of use; its receiver
// executes it once and repeats the first response. The safety of decisions does
// not depend on these messages; they only make decisions better and cheaper.
//
// A report is sent to at most kFanOut peers in round-robin order, so its cost
// does not grow with the fleet. A peer gets a host's report every
// ReportPeriod.
#ifndef TANAGERSEAM_FLEET_FLEET_H_
#define TANAGERSEAM_FLEET_FLEET_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <restinio/asio_include.hpp>

#include "catalog/catalog.h"
#include "coldstart/coldstart.h"
#include "dispatch/dispatch.h"
#include "kernel/kernel.h"
#include "quarantine/quarantine.h"
#include "quota/quota.h"
#include "recordlog/recordlog.h"
#include "resumption/resumption.h"
#include "zones/zones.h"

namespace tanagerseam {

struct FleetMember
{
  std::string host;
  std::string ip;
  uint16_t port = 0;
  // Empty if its announcement does not say.
  std::string zone;
  // See HostReport::startTime; 0 if its announcement does not say.
  uint64_t startTime = 0;
};

struct HostReport
{
  std::string host;
  // Start of the process in milliseconds since the epoch; identifies its
  // incarnation.
  uint64_t startTime = 0;
  // Set by SendReport.
  uint64_t sequence = 0;
  // Calls that the host has in flight.
  EndpointLoads endpointLoads;
  // Their outstanding work. At most kMaxReportedWork entries are sent, the
  // largest ones; calls without one count at the mean.
  EndpointWorks work;
  QuotaReports quotaReports;
  // The host cannot reach the platform's store, or is about to stop.
  bool storeUnavailable = false;
  // The host can admit and serve calls.
  bool ready = false;
  // Where the host accepts calls, as IP:PORT.
  std::string callAddress;
  // At most kMaxReportedLeaving are sent, the newest ones.
  std::vector<LeavingEndpoint> leavingEndpoints;
  // At most kMaxReportedRateLimits are sent, the newest ones.
  std::vector<EndpointRateLimit> rateLimits;
  QuarantineReport quarantine;
  // Services of which the host reaches no endpoint.
  std::vector<std::string> lostServices;
  std::vector<ZoneEvacuation> evacuations;
  // At most kMaxReportedCold are sent, those that stay cold longest.
  std::vector<ColdReport> coldEndpoints;
  // Of the organisations with the most work at the host. Empty in most reports,
  // and in those of older builds.
  std::vector<OrganisationShare> organisationWork;
};

// Asks for a reservation of tokens for one turn of a program.
struct TokenRequest
{
  std::string program;
  std::string organisation;
  // The turn continues an earlier one, so its program has already begun.
  bool continuesProgram = false;
  // Token budget of the whole program.
  int64_t programBudget = 0;
  // Upper bound of the turn's use; this many tokens are reserved.
  int64_t maxTokens = 0;
};

enum class ReserveStatus
{
  kReserved,
  // The budget has too few tokens left for the turn.
  kBudgetExhausted,
  // The program's budget owner could not decide.
  kUnavailable,
  // The organisation's quota does not admit a new program now.
  kOverQuota,
  // No response in time; the tokens may have been reserved.
  kNoAnswer,
};

struct ReserveResponse
{
  ReserveStatus status = ReserveStatus::kUnavailable;
  // The turn is the first of its program.
  bool beginsProgram = false;
  // The peer has to return the turn's unused tokens to the record log before
  // the turn's client sees its end, and settles the turn as if it used all.
  bool nearlySpent = false;
};

// What the owner of an organisation's quota decides about a call.
enum class QuotaAnswer
{
  kGranted,
  kRefused,
  // No answer in time, or the owner does not know the organisation.
  kNoAnswer,
};

// What a host says of a stream.
struct StreamAnswer
{
  // False: no answer in time.
  bool answered = false;
  // Unset if the host does not know the stream.
  std::optional<StreamOrigin> origin;
};

// What a host knows of a stream's events.
struct StreamEventsAnswer
{
  // False: no answer in time, or one that a datagram can't hold.
  bool answered = false;
  // Empty if the host does not know the stream.
  std::vector<StreamPart> parts;
};

// Why a message of a peer has no effect.
enum class SkippedMessage
{
  // Not a message of this protocol, or one without its content.
  kUnreadable,
  // Of a type that this build does not know; sent by a newer build.
  kUnknownType,
};

std::string_view
NameOf(SkippedMessage aReason);

// A record that one host asks another to append to the store's log.
struct PeerRecord
{
  LogPartition partition;
  std::string data;
};

// How a peer's append ended.
enum class PeerAppendStatus
{
  kAppended,
  // The store did not answer the peer; the record may have been appended.
  kNoAnswer,
  // As in LogFault.
  kUnavailable,
  kFull,
  kRejected,
  // The peer appends as many records for others as it may.
  kBusy,
  // No answer of the peer in time; the record may have been appended.
  kPeerSilent,
};

std::string_view
NameOf(PeerAppendStatus aStatus);

struct PeerAppendAnswer
{
  PeerAppendStatus status = PeerAppendStatus::kPeerSilent;
  // Of the record; set if the status is kAppended.
  int64_t offset = 0;
};

// Handlers for the messages of peers.
struct FleetHandlers
{
  std::function<void(const HostReport&)> onReport;
  // Responds by calling the given function once. The time is how long the
  // response is of use to the peer.
  std::function<
    void(const TokenRequest&, Millis, std::function<void(ReserveResponse)>)>
    onReserve;
  // Ends a reservation with status kReserved; aUsed tokens were used. If the
  // peer has restarted, all reserved tokens count as used.
  std::function<void(const TokenRequest&, int64_t aUsed)> onSettle;
  // Decides about a call of the named host.
  std::function<QuotaAnswer(const std::string& aHost,
                            uint64_t aOrganisationHash)>
    onAcquireQuota;
  // A stream has begun at a peer.
  std::function<void(uint64_t aStream, const StreamOrigin&)> onStreamBegan;
  // Where the stream began; null if this host does not know it.
  std::function<const StreamOrigin*(uint64_t aStream)> onFindStream;
  // A peer is about to pass an event of a stream on to a client. Optional, as
  // onFindStreamEvents.
  std::function<void(uint64_t aStream, PlacedEvent)> onStreamEvent;
  // The events up to aLastEvent; see StreamEvents::Find.
  std::function<std::vector<StreamPart>(uint64_t aStream, uint64_t aLastEvent)>
    onFindStreamEvents;
  // A message was skipped. Optional.
  std::function<void(SkippedMessage)> onMessageSkipped;
  // Responds by calling the given function once.
  std::function<void(const PeerRecord&, std::function<void(PeerAppendAnswer)>)>
    onAppendRecord;
};

struct FleetLinkSettings
{
  std::string host;
  // See HostReport::startTime.
  uint64_t startTime = 0;
  // Address to bind.
  std::string ip;
  uint16_t port = 0;
  // Id of the first request; drawn at random if unset.
  std::optional<uint64_t> firstRequestId;
};

class FleetLink
{
public:
  // Hosts report their state every kReportInterval.
  static constexpr Millis kReportInterval{ 100 };
  // Most peers that get one report.
  static constexpr size_t kFanOut = 16;
  // Larger reports leave out the organisations with the least demand.
  static constexpr size_t kMaxReportedOrganisations = 64;
  static constexpr size_t kMaxReportedLeaving = 64;
  static constexpr size_t kMaxReportedRateLimits = 64;
  static constexpr size_t kMaxReportedCold = 64;
  static constexpr size_t kMaxReportedWork = 16;
  // A request without a response is retransmitted after this time.
  static constexpr Millis kRetransmitInterval{ 12 };
  // Transmissions of a settlement until it is given up.
  static constexpr int kMaxSettleAttempts = 8;
  // Largest record that AppendRecord sends: a datagram of 60 KiB, less the
  // names of the host and the topic. The same for the events of a stream.
  static constexpr size_t kMaxRecordBytes = 59u << 10;
  // As kRetransmitInterval, doubled after each transmission. An append takes
  // several milliseconds and its datagram is up to 60 KiB, so the short
  // interval would send most records several times.
  static constexpr Millis kRecordRetransmitInterval{ 40 };

  // Time between two reports of a host to the same one of its peers.
  static constexpr Millis ReportPeriod(size_t aPeers)
  {
    const size_t rounds = std::max<size_t>(1, (aPeers + kFanOut - 1) / kFanOut);
    return kReportInterval * static_cast<int64_t>(rounds);
  }

  FleetLink(restinio::asio_ns::io_context& aIo, FleetLinkSettings aSettings);
  ~FleetLink();
  FleetLink(const FleetLink&) = delete;
  FleetLink& operator=(const FleetLink&) = delete;

  void SetHandlers(FleetHandlers aHandlers);
  // The hosts of the fleet other than this one.
  void SetPeers(std::vector<FleetMember> aPeers);
  void SendReport(HostReport aReport);
  // Requests a reservation from aHost and returns its id. The status is
  // kNoAnswer after aWait, and for a host that is not a peer. A reservation
  // with status kReserved or kNoAnswer must be settled.
  uint64_t Reserve(const std::string& aHost,
                   const TokenRequest& aRequest,
                   Millis aWait,
                   std::function<void(ReserveResponse)> aDone);
  // Has no effect for a reservation that never reached aHost.
  void Settle(const std::string& aHost, uint64_t aReservation, int64_t aUsed);
  // Asks aHost, as the owner of the organisation's quota, for one call. The
  // answer is kNoAnswer after aWait, and for a host that is not a peer.
  void AcquireQuota(const std::string& aHost,
                    uint64_t aOrganisationHash,
                    Millis aWait,
                    std::function<void(QuotaAnswer)> aDone);
  // Has no effect for a host that is not a peer.
  void TellStreamBegan(const std::string& aHost,
                       uint64_t aStream,
                       const StreamOrigin& aOrigin);
  // Asks aHost where a stream began. There is no answer after aWait, and from a
  // host that is not a peer.
  void FindStream(const std::string& aHost,
                  uint64_t aStream,
                  Millis aWait,
                  std::function<void(const StreamAnswer&)> aDone);
  // Has no effect for a host that is not a peer. False, and nothing is sent, if
  // the event does not fit into a datagram.
  bool TellStreamEvent(const std::vector<std::string>& aHosts,
                       uint64_t aStream,
                       const PlacedEvent& aEvent);
  // Asks aHost for the events of a stream up to aLastEvent. There is no answer
  // after aWait, and from a host that is not a peer.
  void FindStreamEvents(const std::string& aHost,
                        uint64_t aStream,
                        uint64_t aLastEvent,
                        Millis aWait,
                        std::function<void(StreamEventsAnswer)> aDone);
  // Asks aHost to append a record to the store's log, and returns the id of the
  // request. The status is kPeerSilent after aWait, for a host that is not a
  // peer, and for a record of more than kMaxRecordBytes.
  uint64_t AppendRecord(const std::string& aHost,
                        const PeerRecord& aRecord,
                        Millis aWait,
                        std::function<void(const PeerAppendAnswer&)> aDone);
  // Stops retransmitting the request; its aDone will not be called. The record
  // may be appended nevertheless.
  void CancelAppend(uint64_t aRequest);
  bool IsPeer(const std::string& aHost) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_FLEET_FLEET_H_
