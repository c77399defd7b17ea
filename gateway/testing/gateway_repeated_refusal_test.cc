// Endpoints that write an earlier refusal once more on a kept connection, where
// the response to the next request is due.
#include "gateway/testing/gateway_fixture.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

// What the second copy of the refusal says of its request.
enum class Naming
{
  kEarlierRequest,
  kNoRequest,
};

struct RepeatedRefusal
{
  int status = 503;
  Naming naming = Naming::kEarlierRequest;
  LateTime time = LateTime::kNextRequest;
  bool split = false;
};

std::string
NameOf(const RepeatedRefusal& aRefusal)
{
  return std::to_string(aRefusal.status) +
         (aRefusal.naming == Naming::kNoRequest ? ", names no request" : "") +
         (aRefusal.time == LateTime::kIdle ? ", on the idle connection" : "") +
         (aRefusal.split ? ", in two writes" : "");
}

std::vector<RepeatedRefusal>
AllRepeatedRefusals()
{
  std::vector<RepeatedRefusal> all;
  for (const int status : { 503, 429, 421 }) {
    for (const Naming naming :
         { Naming::kEarlierRequest, Naming::kNoRequest }) {
      for (const LateTime time : { LateTime::kNextRequest, LateTime::kIdle }) {
        for (const bool split : { false, true }) {
          all.push_back({ status, naming, time, split });
        }
      }
    }
  }
  return all;
}

class RepeatedRefusalTest : public GatewayTest
{
protected:
  // Refuses the first request, which ends its own response, and writes the
  // refusal once more; runs all others.
  PresetResponse Respond(const std::string& aRequest)
  {
    if (this->refuseNext) {
      this->refuseNext = false;
      const std::string refusal = MakeResponse(
        aRequest, "", "X-Not-Executed: 1\r\n", this->refusal.status);
      PresetResponse response{ refusal };
      response.late.bytes = refusal;
      if (this->refusal.naming == Naming::kNoRequest) {
        const size_t at = refusal.find("X-Request-Id: ");
        response.late.bytes.erase(at, refusal.find('\n', at) + 1 - at);
      }
      response.late.time = this->refusal.time;
      response.late.delay = Millis(10);
      response.late.split = this->refusal.split;
      return response;
    }
    ++this->runs[IdOf(aRequest)];
    if (aRequest.find("/ask/") != std::string::npos) {
      return { MakeStreamHead(aRequest) + Chunk("id: 1\ndata: one\n\n") +
               "0\r\n\r\n" };
    }
    return { MakeResponse(aRequest, "done") };
  }

  // A call that is refused, then one that meets the second copy.
  void SendTwo(const std::string& aMethod, const std::string& aTarget)
  {
    const std::string first = "a-" + std::to_string(this->nextId);
    const std::string second = "b-" + std::to_string(this->nextId++);
    this->refuseNext = true;
    this->SendAndReceive(this->host,
                         this->Request(aMethod, aTarget, first, "x"));
    if (this->refusal.time == LateTime::kIdle) {
      this->RunFor(Millis(5));
    }
    const int status = StatusOf(this->SendAndReceive(
      this->host, this->Request(aMethod, aTarget, second, "x")));
    const bool saysNotRun =
      status == 503 || status == 429 || status == 421 || status == 408;
    EXPECT_FALSE(saysNotRun && this->runs[second] > 0) << status;
    if (aMethod == "POST") {
      EXPECT_LE(this->runs[second], 1);
    }
  }

  RepeatedRefusal refusal;
  bool refuseNext = false;
  // By request id.
  std::map<std::string, int> runs;
  int nextId = 0;
};

// Guards against a client that is told "not run, try again" for a request that
// an endpoint runs, and against a second run: the copy of an earlier refusal
// was taken for the response to the next request.
TEST_F(RepeatedRefusalTest, IsNotTakenForTheResponseToTheNextRequest)
{
  const auto respond = [this](const std::string& aRequest) {
    return this->Respond(aRequest);
  };
  RawEndpoint first(this->io, respond);
  RawEndpoint second(this->io, respond);
  this->host.ApplyCatalog();
  for (const char* service : { "tools", "engines" }) {
    const std::string name(service);
    this->host.AddEndpoint(name + "-1", name, first.Address());
    this->host.AddEndpoint(name + "-2", name, second.Address());
  }
  for (const RepeatedRefusal& kind : AllRepeatedRefusals()) {
    SCOPED_TRACE(NameOf(kind));
    this->refusal = kind;
    for (int round = 0; round < 3; ++round) {
      this->SendTwo("GET", "/look/1");
      this->SendTwo("POST", "/charge/1");
      this->SendTwo("POST", "/ask/1");
    }
  }
}

} // namespace
} // namespace tanagerseam
