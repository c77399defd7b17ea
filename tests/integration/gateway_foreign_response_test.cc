// Gateways as real processes before endpoints that respond twice, late, without
// their digest or with odd heads: what a client gets is the response that an
// endpoint gave to its request, whole, or a failure of the gateway.
#include "tests/support/gateway_fleet.h"

#include <map>

namespace tanagerseam {
namespace {

using namespace testing_support;

// Calls of each kind to one endpoint; a second response meets the next ones.
constexpr int kCalls = 4;
constexpr const char* kPaths[] = { "/look/1", "/charge/1", "/ask/1" };
constexpr Millis kIdleTime(20);

// What an endpoint sent as its response to one attempt.
struct GivenResponse
{
  std::string digest;
  int status = 200;
  std::string body;
  // The end of its body is told by its framing, and that came.
  bool whole = true;
};

// The framing of a response's body.
enum class Framing
{
  kLength,
  kChunks,
  kClose,
};

enum class SecondResponse
{
  kNone,
  kSame,
  kWithoutId,
  // The same without the digest, and so no response of the service.
  kWithoutDigest,
  // Cut within its head.
  kCutHead,
};

// When the second response is sent.
enum class SecondTime
{
  kAtOnce,
  kIdle,
  kNextRequest,
};

template<typename T>
struct Named
{
  T value;
  const char* name;
};

constexpr Named<Framing> kFramings[] = { { Framing::kLength, "length" },
                                         { Framing::kChunks, "chunks" },
                                         { Framing::kClose, "close" } };
constexpr Named<SecondResponse> kSeconds[] = {
  { SecondResponse::kSame, "the same" },
  { SecondResponse::kWithoutId, "without an id" },
  { SecondResponse::kWithoutDigest, "without a digest" },
  { SecondResponse::kCutHead, "a cut head" },
};
constexpr Named<SecondTime> kTimes[] = {
  { SecondTime::kAtOnce, "at once" },
  { SecondTime::kIdle, "idle" },
  { SecondTime::kNextRequest, "with the next request" },
};
constexpr Named<int> kStatuses[] = { { 200, "success" }, { 500, "failure" } };

std::string
HeaderIn(const std::string& aResponse, const std::string& aName)
{
  const size_t end = aResponse.find("\r\n\r\n");
  const size_t at = aResponse.find("\r\n" + aName + ": ");
  if (at == std::string::npos || at > end) {
    return "";
  }
  const size_t from = at + aName.size() + 4;
  return aResponse.substr(from, aResponse.find("\r\n", from) - from);
}

// The body of a complete response, without its chunks.
std::string
BodyIn(const std::string& aResponse)
{
  size_t at = aResponse.find("\r\n\r\n") + 4;
  if (HeaderIn(aResponse, "Transfer-Encoding") != "chunked") {
    return aResponse.substr(at);
  }
  std::string body;
  for (size_t size = 1; size > 0;) {
    size = std::stoul(aResponse.substr(at), nullptr, 16);
    at = aResponse.find("\r\n", at) + 2;
    body += aResponse.substr(at, size);
    at += size + 2;
  }
  return body;
}

class GatewayForeignResponse : public GatewayFleet
{
protected:
  GatewayForeignResponse()
    : GatewayFleet(1, [this](const std::string& aRequest) {
      return this->Respond(aRequest);
    })
  {
  }

  std::string Head(const std::string& aId,
                   const std::string& aDigest,
                   bool aStream) const
  {
    return "HTTP/1.1 " + std::to_string(this->status) + " X\r\n" +
           (aId.empty() ? "" : "X-Request-Id: " + aId + "\r\n") +
           (aDigest.empty() ? "" : "X-Server-Seal: " + aDigest + "\r\n") +
           (aStream ? "Content-Type: text/event-stream\r\n" : "");
  }

  std::string Framed(const std::string& aBody) const
  {
    switch (this->framing) {
      case Framing::kLength:
        return "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
               aBody;
      case Framing::kChunks:
        return "Transfer-Encoding: chunked\r\n\r\n" + Chunk(aBody) +
               "0\r\n\r\n";
      case Framing::kClose:
        break;
    }
    return "\r\n" + aBody;
  }

  std::string Second(const std::string& aId,
                     const std::string& aDigest,
                     bool aStream,
                     const std::string& aBody) const
  {
    switch (this->second) {
      case SecondResponse::kNone:
        return "";
      case SecondResponse::kSame:
        return this->Head(aId, aDigest, aStream) + this->Framed(aBody);
      case SecondResponse::kWithoutId:
        return this->Head("", aDigest, aStream) + this->Framed(aBody);
      case SecondResponse::kWithoutDigest:
        return this->Head(aId, "", aStream) + this->Framed(aBody);
      case SecondResponse::kCutHead:
        return this->Head(aId, aDigest, aStream);
    }
    return "";
  }

  PresetResponse Respond(const std::string& aRequest)
  {
    const std::string id = IdOf(aRequest);
    const bool stream = aRequest.find("/ask/") != std::string::npos;
    const std::string digest = "digest-" + std::to_string(++this->attempts);
    const std::string body =
      stream ? "id: 1\ndata: to " + id + "\n\n" : "to " + id;
    this->given[id].push_back({ digest, this->status, body });
    PresetResponse response;
    response.bytes = this->layout
                       ? this->layout(id, digest, body)
                       : this->Head(id, digest, stream) + this->Framed(body);
    response.close = this->framing == Framing::kClose || this->closes;
    const std::string late = this->Second(id, digest, stream, body);
    if (this->time == SecondTime::kAtOnce || response.close) {
      response.bytes += late;
      return response;
    }
    response.late.bytes = late;
    response.late.time = this->time == SecondTime::kIdle
                           ? LateTime::kIdle
                           : LateTime::kNextRequest;
    response.late.delay = Millis(5);
    return response;
  }

  std::string Request(const std::string& aPath, const std::string& aId) const
  {
    const bool turn = aPath == "/ask/1";
    const std::string program =
      turn ? "X-Program-Id: p-" + aId + "\r\nX-Session-Id: s-" + aId +
               "\r\nX-Token-Usage: 10,50\r\nX-Token-Budget: 5000\r\n"
           : "";
    return std::string(aPath == "/look/1" ? "GET " : "POST ") + aPath +
           " HTTP/1.1\r\nHost: reports.example\r\nX-Request-Id: " + aId +
           "\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer key-1\r\n" +
           program + "Content-Length: 2\r\n\r\nin";
  }

  // True if an endpoint gave this response to the request, as it is.
  bool WasGiven(const std::string& aId, const std::string& aResponse) const
  {
    const auto found = this->given.find(aId);
    if (found == this->given.end()) {
      return false;
    }
    for (const GivenResponse& one : found->second) {
      if (one.digest == HeaderIn(aResponse, "X-Server-Seal") &&
          one.status == StatusOf(aResponse) &&
          (one.body == BodyIn(aResponse) || one.status >= 300)) {
        return one.whole;
      }
    }
    return false;
  }

  // What is wrong with a complete response; empty if nothing is.
  std::string FaultOf(const std::string& aId, const std::string& aResponse)
  {
    const int status = StatusOf(aResponse);
    if (HeaderIn(aResponse, "X-Request-Id") != aId) {
      return "another request's";
    }
    const bool success = status >= 200 && status < 300;
    const bool hasDigest = !HeaderIn(aResponse, "X-Server-Seal").empty();
    if (success && !hasDigest) {
      return "a success without a digest";
    }
    return hasDigest && !this->WasGiven(aId, aResponse)
             ? "no endpoint's response to this request"
             : "";
  }

  // Sends calls of each kind to the last host, one after another, and checks
  // what comes back.
  void CallAndCheck()
  {
    for (const char* path : kPaths) {
      SCOPED_TRACE(path);
      for (int i = 0; i < kCalls; ++i) {
        const std::string id = "r-" + std::to_string(this->nextId++);
        const std::string response =
          this->Ask(this->hosts.back()->callPort, this->Request(path, id));
        if (!response.empty()) {
          EXPECT_EQ(this->FaultOf(id, response), "") << response;
        }
        this->successes[path] += StatusOf(response) == 200 ? 1 : 0;
        if (this->time == SecondTime::kIdle) {
          this->RunFor(kIdleTime);
        }
      }
    }
  }

  // Calls with second responses of each framing, kind, time and status.
  void CallWithSecondResponses()
  {
    for (const auto& framingRow : kFramings) {
      for (const auto& secondRow : kSeconds) {
        for (const auto& timeRow : kTimes) {
          for (const auto& statusRow : kStatuses) {
            SCOPED_TRACE(std::string(framingRow.name) + ", " + secondRow.name +
                         ", " + timeRow.name + ", " + statusRow.name);
            this->framing = framingRow.value;
            this->second = secondRow.value;
            this->time = timeRow.value;
            this->status = statusRow.value;
            this->CallAndCheck();
          }
        }
      }
    }
    for (const char* path : kPaths) {
      EXPECT_GT(this->successes[path], 0) << path;
    }
  }

  // The bytes of a response with this id, digest and body, if they are not the
  // usual ones.
  std::function<std::string(const std::string& aId,
                            const std::string& aDigest,
                            const std::string& aBody)>
    layout;
  Framing framing = Framing::kLength;
  SecondResponse second = SecondResponse::kNone;
  SecondTime time = SecondTime::kAtOnce;
  int status = 200;
  // The endpoint closes behind each response.
  bool closes = false;
  int attempts = 0;
  // By path.
  std::map<std::string, int> successes;
  // By request.
  std::map<std::string, std::vector<GivenResponse>> given;
};

// The clients call a second host, which reads a store without a configuration
// and so passes all calls on to the first one.
class GatewayForeignResponseOfPeer : public GatewayForeignResponse
{
protected:
  void SetUp() override
  {
    GatewayForeignResponse::SetUp();
    auto host = std::make_unique<GatewayHost>(GatewayHostSettings{
      this->folder, "host-forwards", this->emptyStore.Address() });
    this->store.PutKeyed("keyed.members", "host-forwards", MemberJson(*host));
    this->emptyStore.PutKeyed(
      "keyed.members", "host-0", MemberJson(*this->hosts[0]));
    host->Start();
    this->hosts.push_back(std::move(host));
    ASSERT_TRUE(this->Until([this] { return this->Look(1) == 200; }));
  }

  StoreStandin emptyStore{ this->io };
};

// Guards against endpoints that respond twice, the second time late: a client
// got the response to another request, or two responses as one body.
TEST_F(GatewayForeignResponse, ASecondResponseReachesNoClient)
{
  this->CallWithSecondResponses();
}

// Guards against the same where the host passes the call on to a peer.
TEST_F(GatewayForeignResponseOfPeer, ASecondResponseReachesNoClient)
{
  this->CallWithSecondResponses();
}

// Guards against a success that bears no digest of its endpoint, which the
// client took for the endpoint's.
TEST_F(GatewayForeignResponse, ASuccessWithoutADigestIsAFailure)
{
  for (const auto& framingRow : kFramings) {
    SCOPED_TRACE(framingRow.name);
    this->framing = framingRow.value;
    this->closes = true;
    this->layout = [this](const std::string& aId,
                          const std::string&,
                          const std::string& aBody) {
      return this->Head(aId, "", false) + this->Framed(aBody);
    };
    this->CallAndCheck();
  }
}

// Guards against heads that libcurl and the gateway read differently: what was
// passed on had another body than the endpoint's, or lacked its digest.
TEST_F(GatewayForeignResponse, AnOddHeadChangesNoResponse)
{
  const auto length = [](const std::string& aBody) {
    return std::to_string(aBody.size());
  };
  struct HeadRow
  {
    const char* name;
    // What follows the id and the digest.
    std::function<std::string(const std::string& aBody)> rest;
  };
  const HeadRow rows[] = {
    { "blank before the colon",
      [&](const std::string& aBody) {
        return "Content-Length : " + length(aBody) + "\r\n\r\n" + aBody +
               "stray";
      } },
    { "folded length",
      [&](const std::string& aBody) {
        return "Content-Length:\r\n " + length(aBody) + "\r\n\r\n" + aBody +
               "stray";
      } },
    { "folded coding",
      [](const std::string& aBody) {
        return "Transfer-Encoding:\r\n chunked\r\n\r\n" + Chunk(aBody) +
               "0\r\n\r\n";
      } },
    { "another coding behind chunks",
      [](const std::string& aBody) {
        return "Transfer-Encoding: chunked, gzip\r\n\r\n" + Chunk(aBody) +
               "0\r\n\r\n";
      } },
    { "another coding before chunks",
      [](const std::string& aBody) {
        return "Transfer-Encoding: gzip, chunked\r\n\r\n" +
               Chunk("packed " + aBody) + "0\r\n\r\n";
      } },
    { "a length beside chunks",
      [](const std::string& aBody) {
        return "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" +
               Chunk(aBody) + "0\r\n\r\n";
      } },
    { "the digest named by Connection",
      [&](const std::string& aBody) {
        return "Connection: X-Server-Seal, close\r\nContent-Length: " +
               length(aBody) + "\r\n\r\n" + aBody;
      } },
    { "the id named by Connection",
      [&](const std::string& aBody) {
        return "Connection: X-Request-Id, close\r\nContent-Length: " +
               length(aBody) + "\r\n\r\n" + aBody;
      } },
    { "a carriage return within the line of a header",
      [&](const std::string& aBody) {
        return "X-Odd: a\rContent-Length: 2\r\nContent-Length: " +
               length(aBody) + "\r\n\r\n" + aBody;
      } },
  };
  this->closes = true;
  for (const HeadRow& row : rows) {
    SCOPED_TRACE(row.name);
    this->layout = [&row](const std::string& aId,
                          const std::string& aDigest,
                          const std::string& aBody) {
      return "HTTP/1.1 200 X\r\nX-Request-Id: " + aId +
             "\r\nX-Server-Seal: " + aDigest + "\r\n" + row.rest(aBody);
    };
    this->CallAndCheck();
  }
}

} // namespace
} // namespace tanagerseam
