// Records that a host asks a peer to append: whatever the network loses or
// repeats, the peer appends a requested record once and the host gets its first
// answer.
#include <gtest/gtest.h>

#include <array>

#include "fleet/fleet.h"
#include "tests/support/free_port.h"

namespace tanagerseam {
namespace {

namespace net = restinio::asio_ns;

using testing_support::FreePort;

net::ip::udp::endpoint
Loopback(uint16_t aPort)
{
  return { net::ip::make_address("127.0.0.1"), aPort };
}

// Passes datagrams between a host and a peer, and loses some answers.
class LossyPath
{
public:
  LossyPath(net::io_context& aIo, uint16_t aPeerPort)
    : socket(aIo, Loopback(0))
    , peer(Loopback(aPeerPort))
  {
    this->Receive();
  }

  uint16_t Port() const { return this->socket.local_endpoint().port(); }

  int requests = 0;
  // Next answers of the peer that do not arrive.
  int lostAnswers = 0;

private:
  void Receive()
  {
    this->socket.async_receive_from(net::buffer(this->buffer),
                                    this->sender,
                                    [this](const auto& aError, size_t aLength) {
                                      if (!aError) {
                                        this->Pass(aLength);
                                        this->Receive();
                                      }
                                    });
  }

  void Pass(size_t aLength)
  {
    const auto data = net::buffer(this->buffer, aLength);
    if (this->sender != this->peer) {
      ++this->requests;
      this->host = this->sender;
      this->socket.send_to(data, this->peer);
    } else if (this->lostAnswers > 0) {
      --this->lostAnswers;
    } else {
      this->socket.send_to(data, this->host);
    }
  }

  net::ip::udp::socket socket;
  net::ip::udp::endpoint peer;
  net::ip::udp::endpoint host;
  net::ip::udp::endpoint sender;
  std::array<char, 65536> buffer{};
};

class AppendRecordTest : public ::testing::Test
{
protected:
  using Answer = std::function<void(PeerAppendAnswer)>;

  void SetUp() override
  {
    FleetHandlers handlers;
    handlers.onAppendRecord = [this](const PeerRecord& aRecord,
                                     Answer aAnswer) {
      this->appended.push_back(aRecord);
      this->answer = std::move(aAnswer);
      if (this->answersAtOnce) {
        this->answer({ PeerAppendStatus::kAppended, 41 });
      }
    };
    this->peer.SetHandlers(std::move(handlers));
    this->OpenHost(1000);
  }

  void OpenHost(uint64_t aStartTime)
  {
    this->host.reset();
    this->host = std::make_unique<FleetLink>(
      this->io,
      FleetLinkSettings{ "host", aStartTime, "127.0.0.1", this->hostPort });
    this->host->SetPeers({ { "peer", "127.0.0.1", this->path.Port() } });
  }

  uint64_t Append(const std::string& aData)
  {
    return this->host->AppendRecord("peer",
                                    { { "turns-3", 7 }, aData },
                                    Millis(300),
                                    [this](const PeerAppendAnswer& aAnswer) {
                                      this->answers.push_back(aAnswer);
                                    });
  }

  void RunFor(Millis aTime)
  {
    this->io.restart();
    this->io.run_for(aTime);
  }

  net::io_context io{ 1 };
  uint16_t peerPort = FreePort();
  uint16_t hostPort = FreePort();
  FleetLink peer{ io, { "peer", 1, "127.0.0.1", peerPort } };
  LossyPath path{ io, peerPort };
  std::unique_ptr<FleetLink> host;
  std::vector<PeerRecord> appended;
  std::vector<PeerAppendAnswer> answers;
  bool answersAtOnce = true;
  // Answers the last request.
  Answer answer;
};

TEST_F(AppendRecordTest, CarriesALargeRecordWhole)
{
  const std::string data(FleetLink::kMaxRecordBytes, '\xff');
  this->Append(data);
  this->RunFor(Millis(60));
  ASSERT_EQ(this->appended.size(), 1u);
  EXPECT_EQ(this->appended[0].partition.topic, "turns-3");
  EXPECT_EQ(this->appended[0].partition.number, 7);
  EXPECT_EQ(this->appended[0].data, data);
  ASSERT_EQ(this->answers.size(), 1u);
  EXPECT_EQ(this->answers[0].status, PeerAppendStatus::kAppended);
  EXPECT_EQ(this->answers[0].offset, 41);
  {
    SCOPED_TRACE("a larger one is not sent");
    this->Append(data + "x");
    this->RunFor(Millis(30));
    ASSERT_EQ(this->answers.size(), 2u);
    EXPECT_EQ(this->answers[1].status, PeerAppendStatus::kPeerSilent);
    EXPECT_EQ(this->path.requests, 1);
  }
}

// Guards against a peer that appends a record again for each retransmission.
TEST_F(AppendRecordTest, RepeatedRequestGetsTheFirstAnswer)
{
  this->answersAtOnce = false;
  this->Append("record");
  this->RunFor(Millis(150));
  EXPECT_GE(this->path.requests, 2);
  EXPECT_LE(this->path.requests, 3) << "40 and 120 ms after the first";
  EXPECT_EQ(this->appended.size(), 1u);
  EXPECT_TRUE(this->answers.empty());
  this->answer({ PeerAppendStatus::kFull, 0 });
  this->RunFor(Millis(30));
  ASSERT_EQ(this->answers.size(), 1u);
  EXPECT_EQ(this->answers[0].status, PeerAppendStatus::kFull);
}

TEST_F(AppendRecordTest, LostAnswerIsRepeated)
{
  this->path.lostAnswers = 2;
  this->Append("record");
  this->RunFor(Millis(250));
  EXPECT_EQ(this->appended.size(), 1u);
  ASSERT_EQ(this->answers.size(), 1u);
  EXPECT_EQ(this->answers[0].status, PeerAppendStatus::kAppended);
}

TEST_F(AppendRecordTest, SilentPeerAndCancelledRequest)
{
  this->answersAtOnce = false;
  this->Append("record");
  this->RunFor(Millis(350));
  ASSERT_EQ(this->answers.size(), 1u);
  EXPECT_EQ(this->answers[0].status, PeerAppendStatus::kPeerSilent);
  this->host->CancelAppend(this->Append("other"));
  const int requests = this->path.requests;
  this->RunFor(Millis(350));
  EXPECT_EQ(this->answers.size(), 1u);
  EXPECT_EQ(this->path.requests, requests);
}

// Guards against an answer to the host's former process that acknowledges
// another record of the new one, which begins its ids anew.
TEST_F(AppendRecordTest, LateAnswerToAnEarlierIncarnationIsIgnored)
{
  this->answersAtOnce = false;
  this->Append("of the former process");
  this->RunFor(Millis(20));
  const Answer late = this->answer;
  this->OpenHost(2000);
  this->Append("of the new process");
  this->RunFor(Millis(20));
  ASSERT_EQ(this->appended.size(), 2u);
  late({ PeerAppendStatus::kAppended, 41 });
  this->RunFor(Millis(100));
  EXPECT_TRUE(this->answers.empty());
}

} // namespace
} // namespace tanagerseam
