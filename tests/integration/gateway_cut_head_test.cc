// A gateway as a real process before an endpoint whose responses stop at each
// byte of their head and body. What a client gets is a success only if the
// endpoint's bytes were a whole response, and a turn that was cut is not
// continued.
//
// A body with neither length nor chunks whose connection is closed in order
// can't be told from a whole one, so a cut in such a body is left out here,
// except in event streams, whose events show where they end. A chunked body is
// whole once its zero-sized chunk has come (RFC 9112, section 8): if the
// connection is closed in order within the last line end, the gateway may take
// the response either way.
#include "tests/support/gateway_fleet.h"

#include <algorithm>
#include <map>

namespace tanagerseam {
namespace {

using namespace testing_support;

// Calls at once: the slots of an endpoint.
constexpr size_t kBatchSize = 8;
constexpr Millis kDeadline(1500);
// Of calls whose endpoint falls silent, and wait for it.
constexpr Millis kSilenceDeadline(400);
constexpr Millis kPause(20);
constexpr Millis kBatchLimit(8000);
// A trial that was refused before it reached the endpoint is sent again.
constexpr int kMaxSends = 20;
constexpr Millis kResendWait(100);
// Between the cuts of a silent endpoint.
constexpr size_t kSilenceStride = 16;

enum class Framing
{
  kLength,
  kChunks,
  kClose,
};

// What the endpoint does behind its last byte.
enum class End
{
  kClose,
  kReset,
  kPauseAndClose,
  kSilence,
};

template<typename T>
struct Named
{
  T value;
  const char* name;
};

constexpr Named<Framing> kFramings[] = { { Framing::kLength, "length" },
                                         { Framing::kChunks, "chunks" },
                                         { Framing::kClose, "no framing" } };
constexpr Named<bool> kConnections[] = { { false, "new connection" },
                                         { true, "kept connection" } };
constexpr Named<bool> kOrders[] = { { false, "framing last" },
                                    { true, "framing first" } };
constexpr const char* kPaths[] = { "/look/1", "/charge/1", "/ask/1" };

// One call, whose endpoint sends the first bytes of its response only.
struct Trial
{
  std::string id;
  size_t length = 0;
  std::string received;
  bool closed = false;
};

// What the client can't tell from a whole response.
bool
LooksWhole(const Trial& aTrial)
{
  const size_t end = aTrial.received.find("\r\n\r\n");
  if (end == std::string::npos) {
    return false;
  }
  const std::string head = aTrial.received.substr(0, end);
  const bool framed = head.find("Content-Length: ") != std::string::npos ||
                      head.find("chunked") != std::string::npos;
  return framed ? IsCompleteResponse(aTrial.received) : aTrial.closed;
}

bool
IsSuccess(const Trial& aTrial)
{
  const int status = StatusOf(aTrial.received);
  return status >= 200 && status < 300;
}

class GatewayCutHead : public GatewayFleet
{
protected:
  GatewayCutHead()
    : GatewayFleet(1, [this](const std::string& aRequest) {
      return this->Respond(aRequest);
    })
  {
  }

  // With an organisation whose rate does not limit the trials.
  void SetUp() override
  {
    GatewayFleet::SetUp();
    constexpr int kCallsPerSecond = 100000;
    this->store.PutKeyed(
      "keyed.op",
      "config",
      ConfigurationJson(
        2, { { "fast", "key-2", kCallsPerSecond, kCallsPerSecond } }));
    ASSERT_TRUE(this->Until([this] {
      return StatusOf(
               this->Ask(this->hosts[0]->callPort,
                         this->Request("/look/1", this->NextId(), ""))) == 200;
    }));
  }

  // All ids have one length, so that the cuts of all trials are the same.
  std::string NextId()
  {
    std::string digits = std::to_string(this->nextId++);
    digits.insert(0, 6 - digits.size(), '0');
    return "r-" + digits;
  }

  bool IsTurn() const { return this->path == "/ask/1"; }

  static const char* BodyFor(bool aStream)
  {
    return aStream ? "id: 1\ndata: out\n\n" : "done";
  }

  std::string Body() const { return BodyFor(this->IsTurn()); }

  // A whole response.
  std::string Whole(const std::string& aId, bool aStream) const
  {
    const std::string body = BodyFor(aStream);
    const std::string marks =
      "X-Request-Id: " + aId + "\r\nX-Server-Seal: seal\r\n" +
      (aStream ? "Content-Type: text/event-stream\r\n" : "");
    std::string framed;
    std::string bytes = body;
    if (this->framing == Framing::kLength) {
      framed = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    } else if (this->framing == Framing::kChunks) {
      framed = "Transfer-Encoding: chunked\r\n";
      bytes = Chunk(body) + "0\r\n\r\n";
    }
    return "HTTP/1.1 200 OK\r\n" +
           (this->framingFirst ? framed + marks : marks + framed) + "\r\n" +
           bytes;
  }

  // Calls that are no trial get a sound response.
  PresetResponse Respond(const std::string& aRequest)
  {
    const std::string id = IdOf(aRequest);
    ++this->attempts[id];
    const bool stream = aRequest.find("/ask/") != std::string::npos;
    const auto cut = this->cuts.find(id);
    PresetResponse response;
    if (cut == this->cuts.end()) {
      const std::string body = BodyFor(stream);
      response.bytes = SuccessHead(aRequest) +
                       (stream ? "Content-Type: text/event-stream\r\n" : "") +
                       "Content-Length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body;
      response.close = !this->keeps;
      return response;
    }
    response.bytes = this->Whole(id, stream).substr(0, cut->second);
    response.reset = this->end == End::kReset;
    response.close =
      this->end == End::kClose || this->end == End::kPauseAndClose;
    response.delay = this->end == End::kPauseAndClose ? kPause : Millis(0);
    return response;
  }

  std::string Request(const std::string& aPath,
                      const std::string& aId,
                      const std::string& aPrevious) const
  {
    const std::string& program = aPrevious.empty() ? aId : aPrevious;
    std::string headers;
    if (aPath == "/ask/1") {
      headers = "X-Program-Id: p-" + program + "\r\nX-Session-Id: s-" +
                program +
                "\r\nX-Token-Usage: 10,50\r\nX-Token-Budget: 5000\r\n";
    }
    if (!aPrevious.empty()) {
      headers += "X-Previous-Turn: " + aPrevious + "\r\n";
    }
    const Millis deadline =
      this->end == End::kSilence ? kSilenceDeadline : kDeadline;
    return std::string(aPath == "/look/1" ? "GET " : "POST ") + aPath +
           " HTTP/1.1\r\nHost: reports.example\r\nX-Request-Id: " + aId +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) +
           "\r\nAuthorization: Bearer key-2\r\n" + headers +
           "Content-Length: 2\r\n\r\nin";
  }

  // Sends all requests at once, each on a connection of its own, and waits for
  // their responses.
  std::vector<Trial> AskAll(const std::vector<std::string>& aRequests)
  {
    std::vector<std::unique_ptr<RawClient>> clients;
    for (const std::string& request : aRequests) {
      clients.push_back(
        std::make_unique<RawClient>(this->io, this->hosts[0]->callPort));
      clients.back()->Send(request);
    }
    std::vector<Trial> results(aRequests.size());
    const auto ended = [&] {
      bool all = true;
      for (size_t i = 0; i < clients.size(); ++i) {
        results[i].received = clients[i]->Received();
        results[i].closed = clients[i]->Closed();
        all = all && (results[i].closed || LooksWhole(results[i]));
      }
      return all;
    };
    const TimePoint limit = BootNow() + kBatchLimit;
    while (!ended() && BootNow() < limit) {
      this->io.restart();
      this->io.run_one_for(Millis(5));
    }
    EXPECT_TRUE(ended()) << "a call has no end";
    return results;
  }

  // The endpoint keeps the connections of these calls, or closes them.
  void SendSoundCalls()
  {
    std::vector<std::string> requests;
    for (size_t i = 0; i < kBatchSize; ++i) {
      requests.push_back(this->Request("/look/1", this->NextId(), ""));
    }
    this->AskAll(requests);
  }

  // Ends the connections that earlier calls have left open.
  void CloseConnections()
  {
    this->keeps = false;
    for (int before = -1; before != this->endpoint.requestsOnKeptConnections;) {
      before = this->endpoint.requestsOnKeptConnections;
      this->SendSoundCalls();
    }
  }

  // The trials of a batch, all of which reached the endpoint.
  void RunBatch(std::vector<Trial> aTrials)
  {
    for (int sends = 0; !aTrials.empty() && sends < kMaxSends; ++sends) {
      if (this->keeps) {
        this->SendSoundCalls();
      }
      std::vector<std::string> requests;
      for (Trial& trial : aTrials) {
        trial.id = this->NextId();
        this->cuts[trial.id] = trial.length;
        requests.push_back(this->Request(this->path, trial.id, ""));
      }
      const int onKept = this->endpoint.requestsOnKeptConnections;
      const std::vector<Trial> results = this->AskAll(requests);
      const bool anyWhole = std::any_of(
        aTrials.begin(), aTrials.end(), [this](const Trial& aTrial) {
          return this->IsWhole(aTrial);
        });
      if (anyWhole && this->end == End::kPauseAndClose) {
        // A whole response ends the call before its connection is closed, and
        // a turn that goes out on it meanwhile may fail.
        this->RunFor(2 * kPause);
      }
      this->trialsOnKept += this->endpoint.requestsOnKeptConnections - onKept;
      std::vector<Trial> reached;
      std::vector<Trial> again;
      for (size_t i = 0; i < aTrials.size(); ++i) {
        aTrials[i].received = results[i].received;
        aTrials[i].closed = results[i].closed;
        (this->attempts.count(aTrials[i].id) > 0 ? reached : again)
          .push_back(aTrials[i]);
      }
      this->trials += static_cast<int>(reached.size());
      for (const Trial& trial : reached) {
        this->CheckTrial(trial);
      }
      if (this->IsTurn()) {
        this->CheckFollowingTurns(reached);
      }
      aTrials = again;
      if (!aTrials.empty()) {
        this->RunFor(kResendWait);
      }
    }
    EXPECT_TRUE(aTrials.empty()) << "calls did not reach the endpoint";
  }

  bool IsClosedInOrder() const
  {
    return this->end == End::kClose || this->end == End::kPauseAndClose;
  }

  // True if the endpoint's bytes, with what it did behind them, are a whole
  // response.
  bool IsWhole(const Trial& aTrial) const
  {
    const std::string whole = this->Whole(aTrial.id, this->IsTurn());
    return aTrial.length == whole.size() &&
           (this->framing != Framing::kClose || this->IsClosedInOrder());
  }

  // True if only the line end behind the zero-sized chunk was cut.
  bool MayBeWhole(const Trial& aTrial) const
  {
    constexpr size_t kLastLineEnd = 2;
    const std::string whole = this->Whole(aTrial.id, this->IsTurn());
    return this->framing == Framing::kChunks && this->IsClosedInOrder() &&
           aTrial.length < whole.size() &&
           aTrial.length + kLastLineEnd >= whole.size();
  }

  // A cut that nothing tells from the end of the body.
  bool IsLeftOut(size_t aLength, size_t aHeadEnd, size_t aWhole) const
  {
    return this->framing == Framing::kClose && !this->IsTurn() &&
           this->IsClosedInOrder() && aLength >= aHeadEnd && aLength < aWhole;
  }

  void CheckTrial(const Trial& aTrial)
  {
    SCOPED_TRACE("cut behind byte " + std::to_string(aTrial.length) + " of\n" +
                 this->Whole(aTrial.id, this->IsTurn()) + "\nthe client got\n" +
                 aTrial.received);
    const bool success = IsSuccess(aTrial) && LooksWhole(aTrial);
    if (this->MayBeWhole(aTrial)) {
      EXPECT_TRUE(!success ||
                  aTrial.received.find(this->Body()) != std::string::npos);
    } else if (!this->IsWhole(aTrial)) {
      EXPECT_FALSE(success);
      this->CheckFailure(aTrial);
    } else if (this->end != End::kReset) {
      // A reset may overtake the bytes before it.
      EXPECT_TRUE(success);
    }
    if (this->path != "/look/1") {
      EXPECT_EQ(this->attempts[aTrial.id], 1) << "the call ran again";
    }
  }

  // A cut call is answered with a failure that does not say "not run", unless
  // the stream to the client has begun.
  void CheckFailure(const Trial& aTrial) const
  {
    const std::string whole = this->Whole(aTrial.id, this->IsTurn());
    if (this->IsTurn() && aTrial.length >= whole.find("\r\n\r\n") + 4) {
      return;
    }
    constexpr int kBadGateway = 502;
    constexpr int kGatewayTimeout = 504;
    const int status = StatusOf(aTrial.received);
    EXPECT_TRUE(status == kBadGateway || status == kGatewayTimeout) << status;
    EXPECT_TRUE(IsCompleteResponse(aTrial.received));
    // Only the endpoint's own failures may bear its mark.
    EXPECT_EQ(aTrial.received.find("X-Server-Seal"), std::string::npos);
  }

  void CheckFollowingTurns(const std::vector<Trial>& aTurns)
  {
    std::vector<std::string> requests;
    std::vector<std::string> ids;
    for (const Trial& turn : aTurns) {
      ids.push_back(this->NextId());
      requests.push_back(this->Request(this->path, ids.back(), turn.id));
    }
    const std::vector<Trial> following = this->AskAll(requests);
    for (size_t i = 0; i < aTurns.size(); ++i) {
      SCOPED_TRACE("a turn follows one that was cut behind byte " +
                   std::to_string(aTurns[i].length) + "; it got\n" +
                   following[i].received);
      const bool answered = IsSuccess(aTurns[i]) && LooksWhole(aTurns[i]);
      if (!this->IsWhole(aTurns[i]) &&
          !(answered && this->MayBeWhole(aTurns[i]))) {
        EXPECT_FALSE(IsSuccess(following[i]));
        EXPECT_EQ(this->attempts.count(ids[i]), 0u)
          << "the endpoint ran the following turn";
      } else if (answered) {
        EXPECT_TRUE(IsSuccess(following[i]));
      }
    }
  }

  // Cuts the response behind each aStride-th byte, and sends it whole.
  void CutAtEachByte(size_t aStride = 1)
  {
    const std::string whole = this->Whole(this->NextId(), this->IsTurn());
    const size_t headEnd = whole.find("\r\n\r\n") + 4;
    std::vector<Trial> batch;
    for (size_t length = 0; length <= whole.size(); ++length) {
      const bool edge = length + 1 >= whole.size() ||
                        (length + 3 >= headEnd && length <= headEnd + 1);
      if ((length % aStride == 0 || edge) &&
          !this->IsLeftOut(length, headEnd, whole.size())) {
        batch.push_back({ "", length });
      }
      if (batch.size() == kBatchSize) {
        this->RunBatch(std::move(batch));
        batch.clear();
      }
    }
    this->RunBatch(std::move(batch));
  }

  // All kinds of calls and framings, on new and kept connections.
  void CutAllResponses(End aEnd, size_t aStride = 1)
  {
    this->end = aEnd;
    for (const char* each : kPaths) {
      for (const auto& framingRow : kFramings) {
        for (const auto& connectionRow : kConnections) {
          SCOPED_TRACE(std::string(each) + ", " + framingRow.name + ", " +
                       connectionRow.name);
          this->path = each;
          this->framing = framingRow.value;
          this->CloseConnections();
          this->keeps = connectionRow.value;
          this->trialsOnKept = 0;
          this->CutAtEachByte(aStride);
          // A call that can't be repeated never goes out on a kept one.
          EXPECT_EQ(this->trialsOnKept > 0,
                    this->keeps && this->path != "/charge/1");
          this->allOnKept += this->trialsOnKept;
        }
      }
    }
    std::cout << this->trials << " responses, " << this->allOnKept
              << " attempts on kept connections\n";
  }

  std::string path = "/look/1";
  Framing framing = Framing::kLength;
  End end = End::kClose;
  // Sound responses leave their connections open.
  bool keeps = false;
  // The header that frames the body stands before the others.
  bool framingFirst = false;
  int trials = 0;
  int trialsOnKept = 0;
  int allOnKept = 0;
  // The bytes that the endpoint sends, by request.
  std::map<std::string, size_t> cuts;
  // At the endpoint, by request.
  std::map<std::string, int> attempts;
};

// Guards against an endpoint that closes within its response, which the client
// got as a success with an empty or a short body.
TEST_F(GatewayCutHead, AResponseCutByACloseIsNoSuccess)
{
  for (const auto& orderRow : kOrders) {
    SCOPED_TRACE(orderRow.name);
    this->framingFirst = orderRow.value;
    this->CutAllResponses(End::kClose);
  }
}

// Guards against the same by a reset, also behind a body without length or
// chunks.
TEST_F(GatewayCutHead, AResponseCutByAResetIsNoSuccess)
{
  this->CutAllResponses(End::kReset);
}

// Guards against a close that comes by itself, when all bytes were handled.
TEST_F(GatewayCutHead, AResponseCutByALateCloseIsNoSuccess)
{
  this->CutAllResponses(End::kPauseAndClose);
}

// Guards against a part of a response that passes for all of it once the time
// of the call is over.
TEST_F(GatewayCutHead, AResponseCutBySilenceIsNoSuccess)
{
  this->CutAllResponses(End::kSilence, kSilenceStride);
}

} // namespace
} // namespace tanagerseam
