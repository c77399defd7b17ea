// Endpoints of the soak corrupt responses as named, and a RawEndpoint sends
// late bytes where the next response is expected.
#include <gtest/gtest.h>

#include <set>

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
  // The bytes of a response under a fault.
  PresetResponse Corrupted(const char* aRequest,
                           ResponseFault aFault,
                           bool aWithoutId = false)
  {
    ResponseCorruption corruption;
    corruption.fault = aFault;
    corruption.withoutId = aWithoutId;
    const EndpointResponse response =
      MakeResponse(aRequest, kDigest, this->random);
    return Corrupt(Intended(response, aFault), corruption, this->random);
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

TEST_F(SoakResponseTest, SuccessWithoutADigestIsElseWhole)
{
  for (const char* request : { kRequest, kStreamRequest }) {
    const PresetResponse preset =
      this->Corrupted(request, ResponseFault::kNoDigest);
    const std::string bytes = preset.bytes + preset.delayedBytes;
    EXPECT_TRUE(testing_support::IsCompleteResponse(bytes));
    EXPECT_EQ(testing_support::StatusOf(bytes), 200);
    EXPECT_EQ(bytes.find("Seal"), std::string::npos);
    EXPECT_FALSE(preset.close || preset.reset);
  }
}

TEST_F(SoakResponseTest, FailureBearsItsDigestAndComesAgainLate)
{
  {
    SCOPED_TRACE("what the judge is told");
    const EndpointResponse success =
      MakeResponse(kStreamRequest, kDigest, this->random);
    EXPECT_EQ(Intended(success, ResponseFault::kLost).status, 200);
    const ProducedResponse told =
      Intended(success, ResponseFault::kFailure).Produced();
    EXPECT_EQ(told.status, 500);
    EXPECT_EQ(told.digest, kDigest);
    EXPECT_EQ(told.body, "failed t-1");
  }
  const auto fail = [this](ResponseFault aFault, bool aWithoutId) {
    return this->Corrupted(kStreamRequest, aFault, aWithoutId);
  };
  {
    SCOPED_TRACE("once");
    const PresetResponse once = fail(ResponseFault::kFailure, false);
    const std::string bytes = once.bytes + once.delayedBytes;
    EXPECT_EQ(testing_support::StatusOf(bytes), 500);
    EXPECT_EQ(HeaderOf(bytes, "X-Server-Seal"), kDigest);
    EXPECT_EQ(BodyOf(bytes), "failed t-1");
    EXPECT_TRUE(testing_support::IsCompleteResponse(bytes));
    EXPECT_EQ(once.late.bytes, "");
  }
  {
    SCOPED_TRACE("again");
    const PresetResponse late =
      fail(ResponseFault::kFailureLateDuplicate, false);
    EXPECT_EQ(late.late.bytes, late.bytes + late.delayedBytes);
    EXPECT_EQ(late.late.time, LateTime::kNextRequest);
    const PresetResponse idle =
      fail(ResponseFault::kFailureIdleDuplicate, true);
    EXPECT_EQ(idle.late.time, LateTime::kIdle);
    EXPECT_EQ(testing_support::StatusOf(idle.late.bytes), 500);
    EXPECT_EQ(HeaderOf(idle.late.bytes, "X-Request-Id"), "");
  }
}

TEST_F(SoakResponseTest, BodyWithoutLengthGoesOnIntoASecondResponse)
{
  ResponseCorruption corruption{ ResponseFault::kNoLengthDoubled };
  for (const char* request : { kRequest, kStreamRequest }) {
    const EndpointResponse response =
      MakeResponse(request, kDigest, this->random);
    const PresetResponse sound = ToPreset(response);
    const std::string second = sound.bytes + sound.delayedBytes;
    corruption.split = false;
    const PresetResponse joined = Corrupt(response, corruption, this->random);
    EXPECT_EQ(BodyOf(joined.bytes), response.Text() + second);
    EXPECT_EQ(HeaderOf(joined.bytes, "Content-Length"), "");
    EXPECT_EQ(HeaderOf(joined.bytes, "Transfer-Encoding"), "");
    EXPECT_TRUE(joined.close && !joined.reset);
    corruption.split = true;
    const PresetResponse split = Corrupt(response, corruption, this->random);
    EXPECT_EQ(BodyOf(split.bytes), response.Text());
    EXPECT_EQ(split.delayedBytes, second);
    EXPECT_GT(split.delay, Millis(0));
    EXPECT_TRUE(split.close && !split.reset);
  }
}

TEST_F(SoakResponseTest, CutHeadWithAPauseSendsNothingMoreBeforeTheClose)
{
  for (int i = 0; i < 1000; ++i) {
    const PresetResponse preset =
      this->Corrupted(kRequest, ResponseFault::kHeadCutPause);
    ASSERT_FALSE(preset.bytes.empty());
    ASSERT_EQ(preset.bytes.find("\r\n\r\n"), std::string::npos);
    ASSERT_EQ(preset.delayedBytes, "");
    ASSERT_GT(preset.delay, Millis(0));
    ASSERT_TRUE(preset.close && !preset.reset);
  }
}

// Guards against a fault that no seed can draw, or whose name is missing.
TEST_F(SoakResponseTest, DrawsEachNewFaultAndSecondResponsesInAllForms)
{
  const std::vector<ResponseFault> faults = {
    ResponseFault::kNoDigest,
    ResponseFault::kFailure,
    ResponseFault::kFailureLateDuplicate,
    ResponseFault::kFailureIdleDuplicate,
    ResponseFault::kNoLengthDoubled,
    ResponseFault::kHeadCutPause,
  };
  std::set<std::string> names;
  for (int i = 0; i < 1000; ++i) {
    names.insert(DrawCorruption(faults, this->random).Name());
  }
  EXPECT_EQ(names.count("unknown"), 0U);
  EXPECT_EQ(names.count("failure"), 1U);
  EXPECT_EQ(names.count("no_digest_split"), 0U);
  for (const char* name : { "failure_late_duplicate",
                            "failure_idle_duplicate",
                            "no_length_doubled" }) {
    EXPECT_EQ(names.count(name), 1U);
    EXPECT_EQ(names.count(std::string(name) + "_split"), 1U);
    EXPECT_EQ(names.count(std::string(name) + "_without_id"), 1U);
  }
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
