// Gateways as real processes before engines whose streams end early: what a
// client gets has no gap, repeats nothing, and looks whole only if it is.
#include "tests/support/gateway_fleet.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

constexpr int kEvents = 4;
// Between two pieces of a stream, so that they are read one by one.
constexpr Millis kPieceGap(15);

// What marks the end of a stream's body.
enum class Framing
{
  kChunks,
  kClose,
};

// Where a stream ends.
enum class Cut
{
  kWhole,
  kBeforeFirstEvent,
  kWithinFirstLine,
  kWithinEvent,
  kBeforeEmptyLine,
  kWithinCrLf,
  kBehindComment,
  kBehindEvent,
};

struct CutRow
{
  Cut cut;
  const char* name;
  // What is sent of the stream, in two pieces.
  std::string first;
  std::string second;
};

std::string
EventBytes(int aId)
{
  const std::string id = std::to_string(aId);
  return "id: " + id + "\ndata: event " + id + "\n\n";
}

std::string
EventsUpTo(int aLast)
{
  std::string events;
  for (int id = 1; id <= aLast; ++id) {
    events += EventBytes(id);
  }
  return events;
}

std::vector<CutRow>
CutTable()
{
  const std::string two = EventsUpTo(2);
  const std::string crLf = "id: 1\r\ndata: event 1\r\n\r";
  return {
    { Cut::kWhole, "whole", two, EventBytes(3) + EventBytes(4) },
    { Cut::kBeforeFirstEvent, "before the first event", "", "" },
    { Cut::kWithinFirstLine, "within the first line", "", "i" },
    { Cut::kWithinEvent, "within an event", two, "id: 3\nda" },
    { Cut::kBeforeEmptyLine, "before the empty line", two, "id: 3\ndata: x\n" },
    { Cut::kWithinCrLf, "within CR LF", crLf, "" },
    { Cut::kBehindComment, "behind a comment", two, ": comment\n" },
    { Cut::kBehindEvent, "behind an event", two, "" },
  };
}

// What a client has of a stream.
struct ReceivedStream
{
  bool complete = false;
  std::vector<int> ids;
};

// The ids of the whole events in aBytes.
std::vector<int>
IdsOf(const std::string& aBytes)
{
  std::vector<int> ids;
  for (size_t at = aBytes.find("id: "); at != std::string::npos;
       at = aBytes.find("id: ", at + 1)) {
    const size_t end = aBytes.find("\n\n", at);
    if (end == std::string::npos) {
      break;
    }
    ids.push_back(std::stoi(aBytes.substr(at + 4)));
  }
  return ids;
}

class GatewayStreamOrder : public GatewayFleet
{
protected:
  GatewayStreamOrder()
    : GatewayFleet(2, [this](const std::string& aRequest) {
      return this->Stream(aRequest);
    })
  {
  }

  PresetResponse Stream(const std::string& aRequest) const
  {
    if (aRequest.find("/follow/") == std::string::npos) {
      return AnswerAs(aRequest);
    }
    const bool chunks = this->framing == Framing::kChunks;
    const auto framed = [chunks](const std::string& aBytes) {
      return chunks && !aBytes.empty() ? Chunk(aBytes) : aBytes;
    };
    PresetResponse response;
    response.bytes = SuccessHead(aRequest) +
                     "Content-Type: text/event-stream\r\n" +
                     (chunks ? "Transfer-Encoding: chunked\r\n" : "") + "\r\n" +
                     framed(this->row.first);
    response.delay = kPieceGap;
    response.delayedBytes = framed(this->row.second);
    if (chunks && this->row.cut == Cut::kWhole) {
      response.delayedBytes += "0\r\n\r\n";
    }
    response.close = true;
    response.reset = this->reset;
    return response;
  }

  // What a client receives until the response is complete or breaks.
  std::string FollowBytes(size_t aHost)
  {
    RawClient client(this->io, this->hosts[aHost]->callPort);
    client.Send("POST /follow/1 HTTP/1.1\r\nHost: reports.example\r\n"
                "X-Request-Id: f" +
                std::to_string(this->nextId++) +
                "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n"
                "Content-Length: 5\r\n\r\ninput");
    this->Until(
      [&client] {
        return IsCompleteResponse(client.Received()) || client.Closed();
      },
      Millis(3000));
    return client.Received();
  }

  ReceivedStream Follow(size_t aHost)
  {
    const std::string bytes = this->FollowBytes(aHost);
    ReceivedStream received;
    received.complete = StatusOf(bytes) == 200 && IsCompleteResponse(bytes);
    received.ids = IdsOf(bytes);
    return received;
  }

  // The ids that are in the stream's whole events.
  size_t WholeEvents() const
  {
    return IdsOf(this->row.first + this->row.second).size();
  }

  // How a stream that ends in this way reaches a client.
  ReceivedStream FollowCut(const CutRow& aRow, Framing aFraming, bool aReset)
  {
    this->row = aRow;
    this->framing = aFraming;
    this->reset = aReset;
    return this->Follow(static_cast<size_t>(this->nextId) % 2);
  }

  CutRow row{ Cut::kWhole, "", "", "" };
  Framing framing = Framing::kChunks;
  bool reset = false;
};

// Guards against rule ORDER: a stream that its endpoint broke off, at whichever
// byte, reached its client as a complete one.
TEST_F(GatewayStreamOrder, NoStreamThatWasCutLooksWhole)
{
  for (const CutRow& cutRow : CutTable()) {
    for (const Framing how : { Framing::kChunks, Framing::kClose }) {
      for (const bool byReset : { false, true }) {
        const bool orderly = how == Framing::kClose && !byReset;
        if (cutRow.cut == Cut::kBehindEvent && orderly) {
          continue;
        }
        SCOPED_TRACE(std::string(cutRow.name) +
                     (how == Framing::kChunks ? ", chunks" : ", close") +
                     (byReset ? ", reset" : ""));
        const ReceivedStream received = this->FollowCut(cutRow, how, byReset);
        const bool whole =
          cutRow.cut == Cut::kWhole && (how == Framing::kChunks || !byReset);
        EXPECT_EQ(received.complete, whole);
        for (size_t i = 0; i < received.ids.size(); ++i) {
          EXPECT_EQ(received.ids[i], static_cast<int>(i) + 1);
        }
        if (!byReset && cutRow.cut != Cut::kWithinCrLf) {
          EXPECT_EQ(received.ids.size(), this->WholeEvents());
        }
      }
    }
  }
}

// Guards against rule ORDER where no byte tells: an engine that crashes behind
// an event ends a stream without a length as one that is whole does.
TEST_F(GatewayStreamOrder, NoStreamWhoseEngineCrashedLooksWhole)
{
  this->row = { Cut::kBehindEvent, "", EventsUpTo(2), "" };
  this->framing = Framing::kClose;
  RawEndpoint crashing(this->io, [this](const std::string& aRequest) {
    PresetResponse response = this->Stream(aRequest);
    response.crash = true;
    return response;
  });
  this->Register("e-1", "engines", this->endpoint.Address(), "draining");
  this->Register("e-2", "engines", crashing.Address());
  // The hosts read the registry about once a second.
  this->RunFor(Millis(2000));
  const ReceivedStream received = this->Follow(0);
  EXPECT_FALSE(received.complete);
  EXPECT_EQ(received.ids, (std::vector<int>{ 1, 2 }));
}

// Guards against rule MIXED: a stream broke off, the next engine answered with
// an error, and the client found that in the middle of its stream.
TEST_F(GatewayStreamOrder, AnErrorOfAnotherEngineIsNoPartOfABrokenStream)
{
  const std::string error = "the error of another engine";
  RawEndpoint failing(this->io, [&error](const std::string& aRequest) {
    return PresetResponse{ "HTTP/1.1 500 Failed\r\nX-Request-Id: " +
                           IdOf(aRequest) +
                           "\r\nX-Server-Seal: seal\r\nContent-Length: " +
                           std::to_string(error.size()) + "\r\n\r\n" + error };
  });
  this->Register("e-2", "engines", failing.Address());
  // The hosts read the registry about once a second.
  this->RunFor(Millis(2000));
  int broken = 0;
  for (const CutRow& cutRow : CutTable()) {
    for (const Framing how : { Framing::kChunks, Framing::kClose }) {
      SCOPED_TRACE(cutRow.name);
      this->row = cutRow;
      this->framing = how;
      this->reset = true;
      const std::string bytes =
        this->FollowBytes(static_cast<size_t>(broken) % 2);
      const bool isError = StatusOf(bytes) == 500;
      const bool hasOneHead = bytes.rfind("HTTP/1.1") == 0;
      EXPECT_TRUE(bytes.empty() || hasOneHead);
      EXPECT_EQ(bytes.find(error) != std::string::npos, isError);
      broken += StatusOf(bytes) == 200 && !IsCompleteResponse(bytes) ? 1 : 0;
    }
  }
  EXPECT_GT(broken, 2) << "streams that began before the error";
}

} // namespace
} // namespace tanagerseam
