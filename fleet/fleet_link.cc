#include <algorithm>
#include <array>
#include <map>
#include <random>

#include "fleet/append_wire.h"
#include "fleet/fleet.h"
#include "fleet/fleet_wire_generated.h"
#include "fleet/peer_requests.h"
#include "fleet/report_wire.h"
#include "fleet/response_wire.h"
#include "fleet/stream_wire.h"

namespace tanagerseam {

namespace {

namespace asio = restinio::asio_ns;

// A message with an earlier start time than the known one is accepted after the
// host has sent nothing for this long; see IsNewIncarnation.
constexpr Millis kIncarnationTimeout(700);
constexpr size_t kMaxDatagram = 60u << 10;

struct SkippedMessageName
{
  SkippedMessage reason;
  std::string_view name;
};

constexpr SkippedMessageName kSkippedMessages[] = {
  { SkippedMessage::kUnreadable, "unreadable" },
  { SkippedMessage::kUnknownType, "unknown_type" },
};

// The ids of an incarnation's requests begin at random, so that a late answer
// to its predecessor, which had the same address, is not taken for an answer to
// one of its own.
uint64_t
DrawFirstRequestId()
{
  return (static_cast<uint64_t>(std::random_device{}()) << 32) + 1;
}

} // namespace

std::string_view
NameOf(SkippedMessage aReason)
{
  for (const SkippedMessageName& row : kSkippedMessages) {
    if (row.reason == aReason) {
      return row.name;
    }
  }
  return "unknown";
}

struct FleetLink::Impl
{
  // Null: no response in time.
  using ResponseHandler =
    std::function<void(const fleetwire::DatagramT* aResponse)>;

  // A request awaiting its response, or a settlement awaiting its
  // acknowledgement.
  struct PendingRequest
  {
    explicit PendingRequest(asio::io_context& aIo)
      : timer(aIo)
    {
    }
    std::string host;
    std::string datagram;
    TimePoint deadline{};
    int attemptsLeft = 0;
    // Until the next transmission; multiplied by `backoff` after each one.
    Millis interval = kRetransmitInterval;
    int backoff = 1;
    asio::steady_timer timer;
    ResponseHandler done;
  };
  struct LastReport
  {
    uint64_t startTime = 0;
    uint64_t sequence = 0;
    TimePoint receivedAt{};
  };

  Impl(asio::io_context& aIo, FleetLinkSettings aSettings)
    : io(aIo)
    , settings(std::move(aSettings))
    , socket(aIo)
    , nextRequestId(settings.firstRequestId.value_or(DrawFirstRequestId()))
  {
  }

  // ---- sending

  template<typename Table>
  std::string Encode(const Table& aTable) const
  {
    fleetwire::DatagramT datagram;
    datagram.host = this->settings.host;
    datagram.started = this->settings.startTime;
    datagram.body.Set(Table(aTable));
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(fleetwire::Datagram::Pack(builder, &datagram));
    return std::string(
      reinterpret_cast<const char*>(builder.GetBufferPointer()),
      builder.GetSize());
  }

  void SendTo(const asio::ip::udp::endpoint& aPeer, const std::string& aData)
  {
    asio::error_code error;
    this->socket.send_to(asio::buffer(aData), aPeer, 0, error);
  }

  // Has no effect for a host that is not a peer.
  void SendToPeer(const std::string& aHost, const std::string& aData)
  {
    auto peer = this->peers.find(aHost);
    if (peer != this->peers.end()) {
      this->SendTo(peer->second, aData);
    }
  }

  // Sends a request whose response is of use for aWait.
  template<typename Table>
  PendingRequest& Request(const std::string& aHost,
                          const Table& aTable,
                          Millis aWait,
                          ResponseHandler aDone)
  {
    auto pending = std::make_unique<PendingRequest>(this->io);
    pending->host = aHost;
    pending->datagram = this->Encode(aTable);
    pending->deadline = BootNow() + aWait;
    pending->attemptsLeft =
      static_cast<int>(aWait.count() / kRetransmitInterval.count()) + 1;
    pending->done = std::move(aDone);
    const uint64_t id = aTable.request;
    PendingRequest& request = *pending;
    this->pendingRequests[id] = std::move(pending);
    asio::post(this->io, [this, id] { this->Transmit(id); });
    return request;
  }

  // Sends a request, and retransmits it until its response arrives, its
  // deadline passes or its attempts are used up.
  void Transmit(uint64_t aId)
  {
    auto found = this->pendingRequests.find(aId);
    if (found == this->pendingRequests.end()) {
      return;
    }
    PendingRequest& pending = *found->second;
    auto peer = this->peers.find(pending.host);
    const bool expired = BootNow() >= pending.deadline ||
                         pending.attemptsLeft == 0 || peer == this->peers.end();
    if (expired) {
      this->Complete(aId, nullptr);
      return;
    }
    --pending.attemptsLeft;
    this->SendTo(peer->second, pending.datagram);
    const TimePoint now = BootNow();
    pending.timer.expires_after(
      std::min(now + pending.interval, pending.deadline) - now);
    pending.interval *= pending.backoff;
    pending.timer.async_wait([this, aId](const auto& aError) {
      if (!aError) {
        this->Transmit(aId);
      }
    });
  }

  void Complete(uint64_t aId, const fleetwire::DatagramT* aResponse)
  {
    auto found = this->pendingRequests.find(aId);
    if (found == this->pendingRequests.end()) {
      return;
    }
    const auto pending = std::move(found->second);
    this->pendingRequests.erase(found);
    pending->timer.cancel();
    if (pending->done) {
      pending->done(aResponse);
    }
  }

  // ---- receiving

  void Receive()
  {
    this->socket.async_receive_from(
      asio::buffer(this->buffer),
      this->sender,
      [this](const asio::error_code& aError, size_t aLength) {
        if (aError == asio::error::operation_aborted) {
          return;
        }
        if (!aError) {
          this->HandleDatagram(aLength);
        }
        this->Receive();
      });
  }

  void HandleDatagram(size_t aLength)
  {
    const auto* bytes = reinterpret_cast<const uint8_t*>(this->buffer.data());
    flatbuffers::Verifier verifier(bytes, aLength);
    if (!fleetwire::VerifyDatagramBuffer(verifier)) {
      this->Skip(SkippedMessage::kUnreadable,
                 this->sender.address().to_string());
      return;
    }
    fleetwire::DatagramT datagram;
    fleetwire::GetDatagram(bytes)->UnPackTo(&datagram);
    const bool knownType = datagram.body.type <= fleetwire::Body::MAX;
    // The verifier accepts a type without its table.
    if (knownType && datagram.body.value == nullptr) {
      this->Skip(SkippedMessage::kUnreadable,
                 this->sender.address().to_string());
      return;
    }
    switch (datagram.body.type) {
      case fleetwire::Body::LoadReport:
        this->HandleReport(datagram);
        break;
      case fleetwire::Body::ReserveTokens:
        this->HandleReserve(datagram);
        break;
      case fleetwire::Body::TokensReserved:
        this->Complete(datagram.body.AsTokensReserved()->request, &datagram);
        break;
      case fleetwire::Body::AcquireQuota:
        this->HandleAcquireQuota(datagram);
        break;
      case fleetwire::Body::SettleTokens:
        this->HandleSettle(datagram);
        break;
      case fleetwire::Body::TokensSettled:
        this->Complete(datagram.body.AsTokensSettled()->request, &datagram);
        break;
      case fleetwire::Body::StreamBegan:
        this->HandleStreamBegan(*datagram.body.AsStreamBegan());
        break;
      case fleetwire::Body::FindStream:
        this->HandleFindStream(*datagram.body.AsFindStream());
        break;
      case fleetwire::Body::StreamFound:
        this->Complete(datagram.body.AsStreamFound()->request, &datagram);
        break;
      case fleetwire::Body::AppendRecord:
        this->HandleAppendRecord(datagram);
        break;
      case fleetwire::Body::RecordAppended:
        this->Complete(datagram.body.AsRecordAppended()->request, &datagram);
        break;
      case fleetwire::Body::StreamEventPassed:
        this->HandleStreamEvent(datagram);
        break;
      case fleetwire::Body::FindStreamEvents:
        this->HandleFindStreamEvents(*datagram.body.AsFindStreamEvents());
        break;
      case fleetwire::Body::StreamEventsFound:
        this->Complete(datagram.body.AsStreamEventsFound()->request, &datagram);
        break;
      default:
        this->Skip(SkippedMessage::kUnknownType, datagram.host);
    }
  }

  void Skip(SkippedMessage aReason, const std::string& aSender)
  {
    LogWarn(aReason == SkippedMessage::kUnknownType ? "peer_message_unknown"
                                                    : "peer_message_unreadable",
            { { "from", aSender } });
    if (this->handlers.onMessageSkipped) {
      this->handlers.onMessageSkipped(aReason);
    }
  }

  // True for a message of an incarnation that is not known yet. A host's clock
  // may be set back between two starts, so an earlier start time also counts as
  // new once the host has sent nothing for kIncarnationTimeout.
  static bool IsNewIncarnation(uint64_t aKnown,
                               uint64_t aReceived,
                               TimePoint aLastMessageAt,
                               TimePoint aNow)
  {
    return aReceived > aKnown ||
           (aReceived < aKnown && aNow - aLastMessageAt > kIncarnationTimeout);
  }

  // Drops reports of an earlier incarnation and reports that arrive out of
  // order.
  void HandleReport(const fleetwire::DatagramT& aDatagram)
  {
    const auto report = ReportFromWire(aDatagram);
    const TimePoint now = BootNow();
    LastReport& last = this->lastReports[report.host];
    const bool newIncarnation =
      IsNewIncarnation(last.startTime, report.startTime, last.receivedAt, now);
    const bool newer =
      report.startTime == last.startTime && report.sequence > last.sequence;
    if (!newIncarnation && !newer) {
      return;
    }
    last = { report.startTime, report.sequence, now };
    if (this->handlers.onReport) {
      this->handlers.onReport(report);
    }
  }

  PeerRequests& RequestsOf(const fleetwire::DatagramT& aDatagram)
  {
    PeerRequests& requests = this->peerRequests[aDatagram.host];
    const TimePoint now = BootNow();
    const bool newIncarnation = IsNewIncarnation(
      requests.startTime, aDatagram.started, requests.lastMessageAt, now);
    requests.lastMessageAt = now;
    if (newIncarnation) {
      PeerRequests former = std::move(requests);
      requests = PeerRequests{};
      requests.startTime = aDatagram.started;
      requests.lastMessageAt = now;
      this->SettleOpen(former);
    }
    return requests;
  }

  // Settles the open reservations of an incarnation that has ended. All their
  // tokens count as used.
  void SettleOpen(PeerRequests& aFormer)
  {
    for (auto& entry : aFormer.byId) {
      PeerRequest& reservation = entry.second;
      if (reservation.IsReserved() && !reservation.settled) {
        this->handlers.onSettle(reservation.request,
                                reservation.request.maxTokens);
      }
    }
  }

  void SendReserveResponse(const asio::ip::udp::endpoint& aTo,
                           uint64_t aId,
                           ReserveResponse aResponse)
  {
    fleetwire::TokensReservedT table;
    table.request = aId;
    table.verdict = static_cast<uint8_t>(aResponse.status);
    table.begins = aResponse.beginsProgram;
    table.nearly_spent = aResponse.nearlySpent;
    this->SendTo(aTo, this->Encode(table));
  }

  void HandleReserve(const fleetwire::DatagramT& aDatagram)
  {
    const fleetwire::ReserveTokensT& table = *aDatagram.body.AsReserveTokens();
    PeerRequests& requests = this->RequestsOf(aDatagram);
    const uint64_t id = table.request;
    const auto from = this->sender;
    const TokenRequest request{ table.program,
                                table.organisation,
                                table.continues,
                                table.budget,
                                table.most };
    const bool settled = false;
    if (!requests.Remember(id, { request, std::nullopt, settled, BootNow() })) {
      if (const auto response = requests.byId[id].response) {
        this->SendReserveResponse(from, id, *response);
      }
      return;
    }
    this->handlers.onReserve(request,
                             Millis(table.wait_ms),
                             [this, from, id, request, host = aDatagram.host](
                               ReserveResponse aResponse) {
                               this->OnReserved(host, id, request, aResponse);
                               this->SendReserveResponse(from, id, aResponse);
                             });
  }

  void HandleAcquireQuota(const fleetwire::DatagramT& aDatagram)
  {
    const fleetwire::AcquireQuotaT& table = *aDatagram.body.AsAcquireQuota();
    PeerRequests& requests = this->RequestsOf(aDatagram);
    const bool settled = true;
    if (requests.Remember(table.request,
                          { {}, std::nullopt, settled, BootNow() })) {
      const QuotaAnswer answer =
        this->handlers.onAcquireQuota(aDatagram.host, table.organisation);
      requests.byId[table.request].response =
        ReserveResponse{ StatusOf(answer), false, false };
    }
    if (const auto response = requests.byId[table.request].response) {
      this->SendReserveResponse(this->sender, table.request, *response);
    }
  }

  void HandleStreamBegan(const fleetwire::StreamBeganT& aTable)
  {
    this->handlers.onStreamBegan(aTable.stream,
                                 { aTable.service, aTable.version });
  }

  void HandleFindStream(const fleetwire::FindStreamT& aTable)
  {
    fleetwire::StreamFoundT response;
    response.request = aTable.request;
    if (const auto* origin = this->handlers.onFindStream(aTable.stream)) {
      response.service = origin->service;
      response.version = origin->version;
    }
    this->SendTo(this->sender, this->Encode(response));
  }

  void HandleStreamEvent(const fleetwire::DatagramT& aDatagram)
  {
    const fleetwire::StreamEventPassedT& table =
      *aDatagram.body.AsStreamEventPassed();
    auto event = StreamEventFromWire(table);
    if (!event) {
      this->Skip(SkippedMessage::kUnreadable, aDatagram.host);
    } else if (this->handlers.onStreamEvent) {
      this->handlers.onStreamEvent(table.stream, std::move(*event));
    }
  }

  void HandleFindStreamEvents(const fleetwire::FindStreamEventsT& aTable)
  {
    if (!this->handlers.onFindStreamEvents) {
      return;
    }
    const auto parts =
      this->handlers.onFindStreamEvents(aTable.stream, aTable.last);
    const auto response = StreamEventsToWire(aTable.request, parts);
    if (response.too_large) {
      LogWarn("stream_events_too_large", {});
    }
    this->SendTo(this->sender, this->Encode(response));
  }

  void HandleAppendRecord(const fleetwire::DatagramT& aDatagram)
  {
    AnswerAppend(this->RequestsOf(aDatagram),
                 *aDatagram.body.AsAppendRecord(),
                 this->handlers,
                 [this, from = this->sender](const auto& aAnswer) {
                   this->SendTo(from, this->Encode(aAnswer));
                 });
  }

  void OnReserved(const std::string& aHost,
                  uint64_t aId,
                  const TokenRequest& aRequest,
                  ReserveResponse aResponse)
  {
    auto& byId = this->peerRequests[aHost].byId;
    auto found = byId.find(aId);
    const bool reserved = aResponse.status == ReserveStatus::kReserved;
    if (found == byId.end()) {
      // The peer has restarted, or the request was evicted: release the tokens.
      if (reserved) {
        this->handlers.onSettle(aRequest, 0);
      }
      return;
    }
    found->second.response = aResponse;
    // Settled before the response was ready: release the tokens.
    if (reserved && found->second.settled) {
      this->handlers.onSettle(aRequest, 0);
    }
  }

  void HandleSettle(const fleetwire::DatagramT& aDatagram)
  {
    const fleetwire::SettleTokensT& table = *aDatagram.body.AsSettleTokens();
    fleetwire::TokensSettledT acknowledgement;
    acknowledgement.request = table.request;
    this->SendTo(this->sender, this->Encode(acknowledgement));
    auto& byId = this->RequestsOf(aDatagram).byId;
    auto found = byId.find(table.reservation);
    if (found == byId.end() || found->second.settled) {
      return;
    }
    PeerRequest& reservation = found->second;
    reservation.settled = true;
    if (reservation.IsReserved()) {
      this->handlers.onSettle(reservation.request, table.used);
    }
  }

  asio::io_context& io;
  FleetLinkSettings settings;
  asio::ip::udp::socket socket;
  asio::ip::udp::endpoint sender;
  std::array<char, kMaxDatagram> buffer{};
  FleetHandlers handlers;
  std::map<std::string, asio::ip::udp::endpoint> peers;
  std::string lastReportedPeer;
  uint64_t sequence = 0;
  uint64_t nextRequestId;
  std::unordered_map<std::string, LastReport> lastReports;
  std::unordered_map<std::string, PeerRequests> peerRequests;
  std::unordered_map<uint64_t, std::unique_ptr<PendingRequest>> pendingRequests;
};

FleetLink::FleetLink(asio::io_context& aIo, FleetLinkSettings aSettings)
  : impl(std::make_unique<Impl>(aIo, std::move(aSettings)))
{
  Impl& self = *this->impl;
  const asio::ip::udp::endpoint address(
    asio::ip::make_address(self.settings.ip), self.settings.port);
  self.socket.open(asio::ip::udp::v4());
  self.socket.bind(address);
  self.socket.non_blocking(true);
  self.Receive();
}

FleetLink::~FleetLink() = default;

void
FleetLink::SetHandlers(FleetHandlers aHandlers)
{
  this->impl->handlers = std::move(aHandlers);
}

void
FleetLink::SetPeers(std::vector<FleetMember> aPeers)
{
  this->impl->peers.clear();
  for (const FleetMember& peer : aPeers) {
    asio::error_code error;
    const auto ip = asio::ip::make_address(peer.ip, error);
    if (error) {
      LogWarn("peer_address_unreadable", { { "peer", peer.host } });
      continue;
    }
    this->impl->peers[peer.host] = { ip, peer.port };
  }
}

void
FleetLink::SendReport(HostReport aReport)
{
  Impl& self = *this->impl;
  if (self.peers.empty()) {
    return;
  }
  aReport.sequence = ++self.sequence;
  const std::string data = self.Encode(ReportToWire(aReport));
  const size_t count = std::min(kFanOut, self.peers.size());
  auto next = self.peers.upper_bound(self.lastReportedPeer);
  for (size_t i = 0; i < count; ++i) {
    next = next == self.peers.end() ? self.peers.begin() : next;
    self.SendTo(next->second, data);
    self.lastReportedPeer = next->first;
    ++next;
  }
}

bool
FleetLink::IsPeer(const std::string& aHost) const
{
  return this->impl->peers.count(aHost) > 0;
}

void
FleetLink::AcquireQuota(const std::string& aHost,
                        uint64_t aOrganisationHash,
                        Millis aWait,
                        std::function<void(QuotaAnswer)> aDone)
{
  fleetwire::AcquireQuotaT table;
  table.request = this->impl->nextRequestId++;
  table.organisation = aOrganisationHash;
  this->impl->Request(
    aHost,
    table,
    aWait,
    [done = std::move(aDone)](const fleetwire::DatagramT* aResponse) {
      done(AnswerOf(ReserveResponseOf(aResponse).status));
    });
}

void
FleetLink::TellStreamBegan(const std::string& aHost,
                           uint64_t aStream,
                           const StreamOrigin& aOrigin)
{
  fleetwire::StreamBeganT table;
  table.stream = aStream;
  table.service = aOrigin.service;
  table.version = aOrigin.version;
  this->impl->SendToPeer(aHost, this->impl->Encode(table));
}

void
FleetLink::FindStream(const std::string& aHost,
                      uint64_t aStream,
                      Millis aWait,
                      std::function<void(const StreamAnswer&)> aDone)
{
  fleetwire::FindStreamT table;
  table.request = this->impl->nextRequestId++;
  table.stream = aStream;
  this->impl->Request(
    aHost,
    table,
    aWait,
    [done = std::move(aDone)](const fleetwire::DatagramT* aResponse) {
      done(StreamAnswerOf(aResponse));
    });
}

bool
FleetLink::TellStreamEvent(const std::vector<std::string>& aHosts,
                           uint64_t aStream,
                           const PlacedEvent& aEvent)
{
  if (aEvent.event.data.size() > kMaxRecordBytes) {
    return false;
  }
  const std::string data =
    this->impl->Encode(StreamEventToWire(aStream, aEvent));
  for (const std::string& host : aHosts) {
    this->impl->SendToPeer(host, data);
  }
  return true;
}

void
FleetLink::FindStreamEvents(const std::string& aHost,
                            uint64_t aStream,
                            uint64_t aLastEvent,
                            Millis aWait,
                            std::function<void(StreamEventsAnswer)> aDone)
{
  fleetwire::FindStreamEventsT table;
  table.request = this->impl->nextRequestId++;
  table.stream = aStream;
  table.last = aLastEvent;
  this->impl->Request(
    aHost,
    table,
    aWait,
    [done = std::move(aDone)](const fleetwire::DatagramT* aResponse) {
      done(StreamEventsAnswerOf(aResponse));
    });
}

uint64_t
FleetLink::AppendRecord(const std::string& aHost,
                        const PeerRecord& aRecord,
                        Millis aWait,
                        std::function<void(const PeerAppendAnswer&)> aDone)
{
  const uint64_t id = this->impl->nextRequestId++;
  const bool sendable = aRecord.data.size() <= kMaxRecordBytes;
  const Millis wait = sendable ? aWait : Millis(0);
  Impl::PendingRequest& pending = this->impl->Request(
    aHost,
    AppendToWire(id, aRecord),
    wait,
    [aHost, done = std::move(aDone)](const fleetwire::DatagramT* aResponse) {
      done(AppendAnswerOf(aHost, aResponse));
    });
  pending.interval = kRecordRetransmitInterval;
  pending.backoff = 2;
  return id;
}

void
FleetLink::CancelAppend(uint64_t aRequest)
{
  this->impl->pendingRequests.erase(aRequest);
}

uint64_t
FleetLink::Reserve(const std::string& aHost,
                   const TokenRequest& aRequest,
                   Millis aWait,
                   std::function<void(ReserveResponse)> aDone)
{
  fleetwire::ReserveTokensT table;
  table.request = this->impl->nextRequestId++;
  table.program = aRequest.program;
  table.organisation = aRequest.organisation;
  table.continues = aRequest.continuesProgram;
  table.budget = aRequest.programBudget;
  table.most = aRequest.maxTokens;
  table.wait_ms = static_cast<uint32_t>(std::max<int64_t>(1, aWait.count()));
  this->impl->Request(
    aHost,
    table,
    aWait,
    [done = std::move(aDone)](const fleetwire::DatagramT* aResponse) {
      done(ReserveResponseOf(aResponse));
    });
  return table.request;
}

void
FleetLink::Settle(const std::string& aHost,
                  uint64_t aReservation,
                  int64_t aUsed)
{
  Impl& self = *this->impl;
  const uint64_t id = self.nextRequestId++;
  fleetwire::SettleTokensT table;
  table.request = id;
  table.reservation = aReservation;
  table.used = aUsed;
  auto pending = std::make_unique<Impl::PendingRequest>(self.io);
  pending->host = aHost;
  pending->datagram = self.Encode(table);
  pending->deadline = TimePoint::max();
  pending->attemptsLeft = kMaxSettleAttempts;
  self.pendingRequests[id] = std::move(pending);
  self.Transmit(id);
}

} // namespace tanagerseam
