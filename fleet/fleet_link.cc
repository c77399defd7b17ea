#include <algorithm>
#include <array>
#include <deque>
#include <map>

#include "fleet/fleet.h"
#include "fleet/fleet_wire_generated.h"

namespace tanagerseam {

namespace {

namespace asio = restinio::asio_ns;

// After this time without a message a start of a host may be over.
constexpr Millis kSilentStart(700);
constexpr size_t kMaxDatagram = 60u << 10;
// Questions whose answers are remembered for repetitions, for each peer.
constexpr size_t kRememberedAnswers = 2048;

fleetwire::LoadReportT
ToWire(const HostReport& aReport)
{
  fleetwire::LoadReportT table;
  table.sequence = aReport.sequence;
  table.store_lost = aReport.storeLost;
  table.ready = aReport.ready;
  table.call_address = aReport.callAddress;
  for (const auto& entry : aReport.endpointCalls) {
    table.endpoints.emplace_back(entry.first,
                                 static_cast<uint16_t>(entry.second));
  }
  for (const auto& entry : aReport.organisations) {
    const QuotaReport& use = entry.second;
    table.organisations.emplace_back(entry.first,
                                     use.admittedCalls,
                                     use.admittedPrograms,
                                     use.reservedCalls,
                                     static_cast<float>(use.demand));
  }
  if (table.organisations.size() > FleetLink::kMaxOrganisations) {
    std::sort(table.organisations.begin(),
              table.organisations.end(),
              [](const auto& aLeft, const auto& aRight) {
                return aLeft.demand() > aRight.demand();
              });
    table.organisations.resize(FleetLink::kMaxOrganisations);
  }
  return table;
}

HostReport
FromWire(const fleetwire::DatagramT& aDatagram,
         const fleetwire::LoadReportT& aTable)
{
  HostReport report;
  report.host = aDatagram.host;
  report.started = aDatagram.started;
  report.sequence = aTable.sequence;
  report.storeLost = aTable.store_lost;
  report.ready = aTable.ready;
  report.callAddress = aTable.call_address;
  for (const auto& entry : aTable.endpoints) {
    report.endpointCalls[entry.endpoint()] = entry.calls();
  }
  for (const auto& entry : aTable.organisations) {
    report.organisations[entry.organisation()] = {
      entry.demand(), entry.admitted(), entry.begun(), entry.promised()
    };
  }
  return report;
}

ReserveVerdict
VerdictFromWire(uint8_t aVerdict)
{
  constexpr std::array<ReserveVerdict, 4> kVerdicts = {
    ReserveVerdict::kReserved,
    ReserveVerdict::kSpent,
    ReserveVerdict::kUnknown,
    ReserveVerdict::kOverQuota,
  };
  return aVerdict < kVerdicts.size() ? kVerdicts[aVerdict]
                                     : ReserveVerdict::kUnknown;
}

} // namespace

struct FleetLink::Impl
{
  // A question that waits for its answer, or a settlement for its receipt.
  struct Asked
  {
    explicit Asked(asio::io_context& aIo)
      : timer(aIo)
    {
    }
    std::string host;
    std::string datagram;
    TimePoint giveUpAt{};
    int triesLeft = 0;
    asio::steady_timer timer;
    std::function<void(ReserveAnswer)> done;
  };
  // A reservation that a peer asked for, or a settlement that it sent.
  struct PeerQuestion
  {
    TokenRequest request;
    // Nothing while the answer is being found.
    std::optional<ReserveAnswer> answer;
    bool settled = false;
  };
  // What one start of a peer asked.
  struct PeerQuestions
  {
    uint64_t started = 0;
    TimePoint heardAt{};
    std::deque<uint64_t> order;
    std::unordered_map<uint64_t, PeerQuestion> byNumber;
  };
  struct NewestReport
  {
    uint64_t started = 0;
    uint64_t sequence = 0;
    TimePoint at{};
  };

  Impl(asio::io_context& aIo, FleetLinkSettings aSettings)
    : io(aIo)
    , settings(std::move(aSettings))
    , socket(aIo)
  {
  }

  // ---- sending

  template<typename Table>
  std::string Encode(const Table& aTable) const
  {
    fleetwire::DatagramT datagram;
    datagram.host = this->settings.host;
    datagram.started = this->settings.started;
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

  // Sends a question until it is answered or of no more use.
  void Ask(uint64_t aRequest)
  {
    auto found = this->asked.find(aRequest);
    if (found == this->asked.end()) {
      return;
    }
    Asked& question = *found->second;
    auto peer = this->peers.find(question.host);
    const bool over = BootNow() >= question.giveUpAt ||
                      question.triesLeft == 0 || peer == this->peers.end();
    if (over) {
      this->Answered(aRequest, { ReserveVerdict::kNoAnswer, false });
      return;
    }
    --question.triesLeft;
    this->SendTo(peer->second, question.datagram);
    question.timer.expires_after(kAskAgainAfter);
    question.timer.async_wait([this, aRequest](const auto& aError) {
      if (!aError) {
        this->Ask(aRequest);
      }
    });
  }

  void Answered(uint64_t aRequest, ReserveAnswer aAnswer)
  {
    auto found = this->asked.find(aRequest);
    if (found == this->asked.end()) {
      return;
    }
    const auto question = std::move(found->second);
    this->asked.erase(found);
    question->timer.cancel();
    if (question->done) {
      question->done(aAnswer);
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
          this->Take(aLength);
        }
        this->Receive();
      });
  }

  void Take(size_t aLength)
  {
    const auto* bytes = reinterpret_cast<const uint8_t*>(this->buffer.data());
    flatbuffers::Verifier verifier(bytes, aLength);
    if (!fleetwire::VerifyDatagramBuffer(verifier)) {
      LogWarn("peer_message_unreadable",
              { { "from", this->sender.address().to_string() } });
      return;
    }
    fleetwire::DatagramT datagram;
    fleetwire::GetDatagram(bytes)->UnPackTo(&datagram);
    switch (datagram.body.type) {
      case fleetwire::Body::LoadReport:
        this->TakeReport(datagram);
        break;
      case fleetwire::Body::ReserveTokens:
        this->TakeReserve(datagram);
        break;
      case fleetwire::Body::TokensReserved: {
        const auto* answer = datagram.body.AsTokensReserved();
        this->Answered(answer->request,
                       { VerdictFromWire(answer->verdict), answer->begins });
        break;
      }
      case fleetwire::Body::SettleTokens:
        this->TakeSettle(datagram);
        break;
      case fleetwire::Body::TokensSettled:
        this->Answered(datagram.body.AsTokensSettled()->request,
                       { ReserveVerdict::kReserved, false });
        break;
      default:
        LogWarn("peer_message_unknown", { { "from", datagram.host } });
    }
  }

  // A start that is not known yet. The clock of a host may have been set back
  // between two starts; so an earlier time is a new start too, once the other
  // one has been silent.
  static bool IsNewStart(uint64_t aKnown,
                         uint64_t aTold,
                         TimePoint aHeardAt,
                         TimePoint aNow)
  {
    return aTold > aKnown || (aTold < aKnown && aNow - aHeardAt > kSilentStart);
  }

  // Drops reports of an earlier start and those that were overtaken.
  void TakeReport(const fleetwire::DatagramT& aDatagram)
  {
    const auto report = FromWire(aDatagram, *aDatagram.body.AsLoadReport());
    const TimePoint now = BootNow();
    NewestReport& newest = this->newestReport[report.host];
    const bool newStart =
      IsNewStart(newest.started, report.started, newest.at, now);
    const bool newer =
      report.started == newest.started && report.sequence > newest.sequence;
    if (!newStart && !newer) {
      return;
    }
    newest = { report.started, report.sequence, now };
    if (this->handlers.onReport) {
      this->handlers.onReport(report);
    }
  }

  PeerQuestions& QuestionsOf(const fleetwire::DatagramT& aDatagram)
  {
    PeerQuestions& questions = this->questions[aDatagram.host];
    const TimePoint now = BootNow();
    const bool newStart =
      IsNewStart(questions.started, aDatagram.started, questions.heardAt, now);
    questions.heardAt = now;
    if (newStart) {
      PeerQuestions former = std::move(questions);
      questions = PeerQuestions{};
      questions.started = aDatagram.started;
      questions.heardAt = now;
      this->SettleAll(former);
    }
    return questions;
  }

  static bool IsReserved(const PeerQuestion& aQuestion)
  {
    return aQuestion.answer &&
           aQuestion.answer->verdict == ReserveVerdict::kReserved;
  }

  // The peer died with what it had reserved.
  void SettleAll(PeerQuestions& aFormer)
  {
    for (auto& entry : aFormer.byNumber) {
      PeerQuestion& question = entry.second;
      if (IsReserved(question) && !question.settled) {
        this->handlers.onSettle(question.request, question.request.most);
      }
    }
  }

  // False if the question was asked before.
  static bool Note(PeerQuestions& aQuestions,
                   uint64_t aNumber,
                   PeerQuestion aQuestion)
  {
    if (!aQuestions.byNumber.emplace(aNumber, std::move(aQuestion)).second) {
      return false;
    }
    aQuestions.order.push_back(aNumber);
    if (aQuestions.order.size() > kRememberedAnswers) {
      aQuestions.byNumber.erase(aQuestions.order.front());
      aQuestions.order.pop_front();
    }
    return true;
  }

  void TellReserved(const asio::ip::udp::endpoint& aTo,
                    uint64_t aNumber,
                    ReserveAnswer aAnswer)
  {
    fleetwire::TokensReservedT table;
    table.request = aNumber;
    table.verdict = static_cast<uint8_t>(aAnswer.verdict);
    table.begins = aAnswer.begins;
    this->SendTo(aTo, this->Encode(table));
  }

  void TakeReserve(const fleetwire::DatagramT& aDatagram)
  {
    const fleetwire::ReserveTokensT& table = *aDatagram.body.AsReserveTokens();
    PeerQuestions& known = this->QuestionsOf(aDatagram);
    const uint64_t number = table.request;
    const auto from = this->sender;
    const TokenRequest request{ table.program,
                                table.organisation,
                                table.continues,
                                table.budget,
                                table.most };
    if (!Note(known, number, { request, std::nullopt, false })) {
      if (const auto answer = known.byNumber[number].answer) {
        this->TellReserved(from, number, *answer);
      }
      return;
    }
    this->handlers.onReserve(
      request,
      Millis(table.wait_ms),
      [this, from, number, request, host = aDatagram.host](
        ReserveAnswer aAnswer) {
        this->OnReserveAnswer(host, number, request, aAnswer);
        this->TellReserved(from, number, aAnswer);
      });
  }

  void OnReserveAnswer(const std::string& aHost,
                       uint64_t aNumber,
                       const TokenRequest& aRequest,
                       ReserveAnswer aAnswer)
  {
    auto& byNumber = this->questions[aHost].byNumber;
    auto found = byNumber.find(aNumber);
    const bool reserved = aAnswer.verdict == ReserveVerdict::kReserved;
    if (found == byNumber.end()) {
      // Asked by a start of the peer that is over.
      if (reserved) {
        this->handlers.onSettle(aRequest, 0);
      }
      return;
    }
    found->second.answer = aAnswer;
    if (reserved && found->second.settled) {
      this->handlers.onSettle(aRequest, 0);
    }
  }

  void TakeSettle(const fleetwire::DatagramT& aDatagram)
  {
    const fleetwire::SettleTokensT& table = *aDatagram.body.AsSettleTokens();
    fleetwire::TokensSettledT receipt;
    receipt.request = table.request;
    this->SendTo(this->sender, this->Encode(receipt));
    auto& byNumber = this->QuestionsOf(aDatagram).byNumber;
    auto found = byNumber.find(table.reservation);
    if (found == byNumber.end() || found->second.settled) {
      return;
    }
    PeerQuestion& question = found->second;
    question.settled = true;
    if (IsReserved(question)) {
      this->handlers.onSettle(question.request, table.used);
    }
  }

  asio::io_context& io;
  FleetLinkSettings settings;
  asio::ip::udp::socket socket;
  asio::ip::udp::endpoint sender;
  std::array<char, kMaxDatagram> buffer{};
  FleetHandlers handlers;
  std::map<std::string, asio::ip::udp::endpoint> peers;
  std::string lastPeer;
  uint64_t sequence = 0;
  uint64_t nextRequest = 1;
  std::unordered_map<std::string, NewestReport> newestReport;
  std::unordered_map<std::string, PeerQuestions> questions;
  std::unordered_map<uint64_t, std::unique_ptr<Asked>> asked;
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
  const std::string data = self.Encode(ToWire(aReport));
  const size_t count = std::min(kFanOut, self.peers.size());
  auto next = self.peers.upper_bound(self.lastPeer);
  for (size_t i = 0; i < count; ++i) {
    next = next == self.peers.end() ? self.peers.begin() : next;
    self.SendTo(next->second, data);
    self.lastPeer = next->first;
    ++next;
  }
}

bool
FleetLink::IsPeer(const std::string& aHost) const
{
  return this->impl->peers.count(aHost) > 0;
}

uint64_t
FleetLink::Reserve(const std::string& aHost,
                   const TokenRequest& aRequest,
                   Millis aWait,
                   std::function<void(ReserveAnswer)> aDone)
{
  Impl& self = *this->impl;
  const uint64_t number = self.nextRequest++;
  fleetwire::ReserveTokensT table;
  table.request = number;
  table.program = aRequest.program;
  table.organisation = aRequest.organisation;
  table.continues = aRequest.continues;
  table.budget = aRequest.budget;
  table.most = aRequest.most;
  table.wait_ms = static_cast<uint32_t>(std::max<int64_t>(1, aWait.count()));
  auto question = std::make_unique<Impl::Asked>(self.io);
  question->host = aHost;
  question->datagram = self.Encode(table);
  question->giveUpAt = BootNow() + aWait;
  question->triesLeft =
    static_cast<int>(aWait.count() / kAskAgainAfter.count()) + 1;
  question->done = std::move(aDone);
  self.asked[number] = std::move(question);
  restinio::asio_ns::post(self.io, [&self, number] { self.Ask(number); });
  return number;
}

void
FleetLink::Settle(const std::string& aHost,
                  uint64_t aReservation,
                  int64_t aUsed)
{
  Impl& self = *this->impl;
  const uint64_t number = self.nextRequest++;
  fleetwire::SettleTokensT table;
  table.request = number;
  table.reservation = aReservation;
  table.used = aUsed;
  auto question = std::make_unique<Impl::Asked>(self.io);
  question->host = aHost;
  question->datagram = self.Encode(table);
  question->giveUpAt = TimePoint::max();
  question->triesLeft = kSettleTries;
  self.asked[number] = std::move(question);
  self.Ask(number);
}

} // namespace tanagerseam
