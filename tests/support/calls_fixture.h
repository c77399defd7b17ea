// Fixture of tests that inject faults into one call of a program: a fleet with
// fault proxies, the daemon that owns the program, and two other daemons.
//
//   TEST_F(CallsTest, CompletesTurnAfterOwnerIsKilled)
//   {
//     this->NewProgram();
//     this->fleet.Daemon(this->owner).Kill();
//     this->caller.CompleteTurn(this->transcript, this->other, "next", 6);
//   }
#ifndef TANAGERSEAM_TESTS_SUPPORT_CALLS_FIXTURE_H_
#define TANAGERSEAM_TESTS_SUPPORT_CALLS_FIXTURE_H_

#include <gtest/gtest.h>

#include <iostream>

#include "tests/support/program_client.h"

namespace tanagerseam::testing_support {

const std::string kKey = "key-of-stopa";
const std::string kOtherKey = "key-of-mljeko";
constexpr int kDaemons = 3;
// Several lease renewals.
constexpr Millis kJoinSettleTime(1000);
constexpr int64_t kShortAnswerTokens = 6;
// An answer of this many tokens takes about a second.
constexpr int64_t kLongAnswerTokens = 50;

inline std::string
Desired()
{
  std::string text;
  for (const auto& [name, key] :
       { std::pair{ "stopa", kKey }, std::pair{ "mljeko", kOtherKey } }) {
    text += std::string("[organisation ") + name +
            "]\nrate_per_s = 1000\nburst = 1000\n[key " + name +
            "]\norganisation = " + name + "\nsha256 = " + Sha256Hex(key) + "\n";
  }
  return text + "[route groom]\nendpoints = service-0\nrepeatable = false\n";
}

inline FleetSettings
Settings()
{
  FleetSettings settings;
  settings.daemons = kDaemons;
  settings.engines = 2;
  settings.logLinks = true;
  settings.peerLinks = true;
  settings.daemonSections = kShortLease;
  settings.engineFlags = { "--decode_ms_per_token=15" };
  return settings;
}

const char* const kProcessFaultNames[] = { "", "owner killed", "owner paused" };

// Calls enter at daemon `entry`, which does not own the program; `other` is the
// third daemon.
class CallsTest : public ::testing::Test
{
protected:
  explicit CallsTest(const FleetSettings& aSettings = Settings())
    : fleet(aSettings)
    , caller(fleet, kKey)
  {
    this->fleet.Start(Desired());
    // If a member dies before it has renewed with the other members' joins in
    // its replay, they do not expire it, since its lease may be extended by
    // promises of others. These tests do not cover that case.
    std::this_thread::sleep_for(kJoinSettleTime);
  }

  ~CallsTest() override
  {
    if (HasFailure()) {
      std::cerr << this->fleet.LogTails();
    }
  }

  void NewProgram()
  {
    this->transcript = this->caller.OpenProgram(0);
    this->owner = this->caller.OwnerOfProgram(this->transcript.id);
    ASSERT_GE(this->owner, 0);
    this->entry = (this->owner + 1) % kDaemons;
    this->other = (this->owner + 2) % kDaemons;
    this->caller.CompleteTurn(
      this->transcript, this->entry, "first turn", kShortAnswerTokens);
  }

  std::string OwnerLink(const char* aKind) const
  {
    return aKind + std::to_string(this->owner);
  }

  void SetEngines(const nlohmann::json& aControl)
  {
    this->fleet.SetEngine(0, aControl);
    this->fleet.SetEngine(1, aControl);
  }

  void ClearFaults()
  {
    this->fleet.SetLogMode({ { "mode", "up" } });
    this->SetEngines(
      { { "delay_ms", 0 }, { "drop_share", 0 }, { "cross_share", 0 } });
    for (int i = 0; i < kDaemons; ++i) {
      this->fleet.SetFault("log-" + std::to_string(i), "none");
      this->fleet.SetFault("peer-" + std::to_string(i), "none");
    }
  }

  // Whether an endpoint has received a request of this program with aText.
  bool RequestReceived(const std::string& aText)
  {
    return CountOccurrences(this->fleet.ReceivedRequests(),
                            aText + " of " + this->transcript.id) > 0;
  }

  // Whether the log holds the start of call 2.
  bool CallStartLogged()
  {
    std::istringstream lines(this->fleet.DumpLog());
    for (std::string line; std::getline(lines, line);) {
      if (CountOccurrences(line, this->transcript.id) > 0 &&
          CountOccurrences(line, "call_started") > 0 &&
          CountOccurrences(line, "\"call\":2") > 0) {
        return true;
      }
    }
    return false;
  }

  std::future<HttpAnswer> CallModelAsync(const std::string& aText,
                                         int64_t aTokens,
                                         bool aStream,
                                         Millis aTimeout = Millis(15000))
  {
    return std::async(std::launch::async, [=] {
      return this->caller.CallModel(this->entry,
                                    this->transcript.id,
                                    this->transcript.answered + 1,
                                    aText,
                                    aTokens,
                                    aStream,
                                    aTimeout);
    });
  }

  // Run after a fault during turn 2. If the turn was answered, it must be in
  // the history. Repeating it must give the same answer, and a third turn must
  // build on exactly the two turns before it.
  void ExpectConversationContinues(const std::string& aText,
                                   int64_t aTokens,
                                   bool aStream,
                                   bool aAnswered)
  {
    Transcript before = this->transcript;
    if (aAnswered) {
      ProgramClient::AppendTurn(
        this->transcript,
        aText,
        ProgramClient::ExpectedAnswer(this->transcript, aText, aTokens));
      this->caller.ExpectHistory(this->transcript, this->other);
    }
    this->caller.CompleteTurn(before, this->other, aText, aTokens, aStream);
    this->transcript = before;
    this->caller.CompleteTurn(
      this->transcript, this->entry, "third turn", kShortAnswerTokens);
    this->caller.ExpectHistory(this->transcript, this->other);
    this->transcripts.push_back(this->transcript);
  }

  Fleet fleet;
  ProgramClient caller;
  Transcript transcript;
  std::vector<Transcript> transcripts;
  int owner = 0;
  int entry = 0;
  int other = 0;
};

} // namespace tanagerseam::testing_support

#endif // TANAGERSEAM_TESTS_SUPPORT_CALLS_FIXTURE_H_
