// Endpoints of the soak corrupt responses as named, and a RawEndpoint sends
// late bytes where the next response is expected.
#include <gtest/gtest.h>

#include "tests/soak/soak_response.h"
#include "tests/soak/soak_text.h"

namespace tanagerseam::soak {
namespace {

using testing_support::LateTime;
using testing_support::PresetResponse;
using testing_support::RawClient;
using testing_support::RawEndpoint;

const char kRequest[] = "GET /look/1 HTTP/1.1\r\nX-Request-Id: l-1\r\n\r\n";
const char kStreamRequest[] =
  "GET /ask/1 HTTP/1.1\r\nX-Request-Id: t-1\r\n\r\n";
const char kDigest[] = "tools-1.7";
constexpr Millis kTimeLimit(3000);

class SoakResponseTest : public ::testing::Test
{
protected:
  PresetResponse Corrupted(const char* aRequest,
                           ResponseFault aFault,
                           bool aWithoutId = false)
  {
    ResponseCorruption corruption;
    corruption.fault = aFault;
    corruption.withoutId = aWithoutId;
    return Corrupt(
      MakeResponse(aRequest, kDigest, this->random), corruption, this->random);
  }

  std::mt19937_64 random{ 1 };
};

TEST_F(SoakResponseTest, SoundResponsesAreWhole)
{
  for (const char* request : { kRequest, kStreamRequest }) {
    const EndpointResponse response =
      MakeResponse(request, kDigest, this->random);
    const PresetResponse preset = ToPreset(response);
    const std::string bytes = preset.bytes + preset.delayedBytes;
    EXPECT_TRUE(testing_support::IsCompleteResponse(bytes));
    EXPECT_EQ(ResponseLength(bytes), bytes.size());
    const std::string body = BodyOf(bytes);
    EXPECT_EQ(response.isStream ? DecodeChunks(body) : body, response.Text());
    EXPECT_EQ(HeaderOf(bytes, "X-Server-Seal"), kDigest);
    EXPECT_EQ(response.Produced().body, response.Text());
  }
}

TEST_F(SoakResponseTest, LateDuplicateRepeatsTheWholeResponse)
{
  const PresetResponse preset =
    this->Corrupted(kStreamRequest, ResponseFault::kLateDuplicate);
  EXPECT_EQ(preset.late.bytes, preset.bytes + preset.delayedBytes);
  EXPECT_EQ(preset.late.time, LateTime::kNextRequest);
  const PresetResponse unnamed =
    this->Corrupted(kRequest, ResponseFault::kIdleDuplicate, true);
  EXPECT_EQ(unnamed.late.time, LateTime::kIdle);
  EXPECT_EQ(HeaderOf(unnamed.late.bytes, "X-Request-Id"), "");
  EXPECT_EQ(BodyOf(unnamed.late.bytes), "done l-1");
}

TEST_F(SoakResponseTest, CutHeadNeverEndsAndIsClosedInOrder)
{
  for (int i = 0; i < 1000; ++i) {
    const PresetResponse preset =
      this->Corrupted(kRequest, ResponseFault::kHeadCut);
    ASSERT_FALSE(preset.bytes.empty());
    ASSERT_EQ(preset.bytes.find("\r\n\r\n"), std::string::npos);
    ASSERT_TRUE(preset.close && !preset.reset);
  }
}

TEST_F(SoakResponseTest, BodyWithoutLengthIsClosedWholeOrResetInTheMiddle)
{
  const PresetResponse whole =
    this->Corrupted(kRequest, ResponseFault::kNoLength);
  EXPECT_EQ(BodyOf(whole.bytes), "done l-1");
  EXPECT_EQ(HeaderOf(whole.bytes, "Content-Length"), "");
  EXPECT_TRUE(whole.close && !whole.reset);
  const PresetResponse part =
    this->Corrupted(kRequest, ResponseFault::kNoLengthReset);
  EXPECT_EQ(BodyOf(part.bytes), "done");
  EXPECT_TRUE(part.reset);
}

TEST_F(SoakResponseTest, StreamWithoutLengthIsCutWhereAnEventIsOpenOrNoneCame)
{
  const std::string first = EventText(1, "t-1-one");
  for (int i = 0; i < 1000; ++i) {
    const PresetResponse preset =
      this->Corrupted(kStreamRequest, ResponseFault::kNoLengthCut);
    const std::string body = BodyOf(preset.bytes);
    ASSERT_TRUE(preset.close && !preset.reset);
    ASSERT_EQ(HeaderOf(preset.bytes, "Transfer-Encoding"), "");
    ASSERT_NE(body, first);
    ASSERT_NE(body, first + EventText(2, "t-1-two"));
  }
  EXPECT_TRUE(this->Corrupted(kRequest, ResponseFault::kNoLengthCut).reset);
}

TEST_F(SoakResponseTest, EndlessResponseNeverClosesItsEvent)
{
  const PresetResponse preset =
    this->Corrupted(kStreamRequest, ResponseFault::kEndless);
  EXPECT_FALSE(preset.endless.empty());
  EXPECT_EQ(preset.endless.find('\n'), std::string::npos);
  EXPECT_FALSE(preset.close);
}

class LateBytesTest : public ::testing::Test
{
protected:
  std::string ReceivedAfter(size_t aLength)
  {
    const TimePoint end = BootNow() + kTimeLimit;
    while (this->client.Received().size() < aLength && BootNow() < end) {
      this->io.restart();
      this->io.run_for(Millis(2));
    }
    return this->client.Received();
  }

  void RunFor(Millis aTime)
  {
    this->io.restart();
    this->io.run_for(aTime);
  }

  restinio::asio_ns::io_context io{ 1 };
  testing_support::LateBytes late{ "late" };
  RawEndpoint endpoint{ this->io, [this](const std::string&) {
                         PresetResponse response{ "own." };
                         response.late = this->late;
                         return response;
                       } };
  RawClient client{ this->io,
                    static_cast<uint16_t>(
                      std::stoi(this->endpoint.Address().substr(10))) };
};

TEST_F(LateBytesTest, PrecedeTheNextResponse)
{
  for (const bool split : { false, true }) {
    SCOPED_TRACE(split);
    const std::string before = this->client.Received();
    this->late.split = split;
    this->client.Send(kRequest);
    this->ReceivedAfter(before.size() + (before.empty() ? 4 : 8));
    this->RunFor(Millis(50));
    EXPECT_EQ(this->client.Received(),
              before.empty() ? "own." : before + "lateown.");
  }
  this->client.Send(kRequest);
  EXPECT_EQ(this->ReceivedAfter(20), "own.lateown.lateown.");
}

TEST_F(LateBytesTest, ArriveWhileTheConnectionIsIdle)
{
  this->late.time = LateTime::kIdle;
  this->late.delay = Millis(20);
  this->late.split = true;
  this->client.Send(kRequest);
  EXPECT_EQ(this->ReceivedAfter(8), "own.late");
  this->client.Send(kRequest);
  EXPECT_EQ(this->ReceivedAfter(16), "own.lateown.late");
}

TEST_F(LateBytesTest, ArriveOnceIfTheNextRequestIsEarlier)
{
  this->late.time = LateTime::kIdle;
  this->late.delay = Millis(200);
  this->client.Send(kRequest);
  EXPECT_EQ(this->ReceivedAfter(4), "own.");
  this->client.Send(kRequest);
  EXPECT_EQ(this->ReceivedAfter(12), "own.lateown.");
  EXPECT_EQ(this->ReceivedAfter(16), "own.lateown.late");
  this->RunFor(Millis(300));
  EXPECT_EQ(this->client.Received().size(), 16U);
}

} // namespace
} // namespace tanagerseam::soak
