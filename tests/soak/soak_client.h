// A client of a soak: runs one program after the other, each a line of turns
// with tool calls between them, and keeps its connection until it is closed.
//
//   SoakClient client(io, fleet, judge, "club", 7);
//   client.Step(now);   // a few times in ten milliseconds
#ifndef TANAGERSEAM_TESTS_SOAK_SOAK_CLIENT_H_
#define TANAGERSEAM_TESTS_SOAK_SOAK_CLIENT_H_

#include <memory>
#include <random>
#include <string>

#include "tests/soak/soak_fleet.h"

namespace tanagerseam::soak {

class SoakClient
{
public:
  static constexpr int kTurns = 4;
  static constexpr int64_t kTokensOfEvent = 10;
  static constexpr int64_t kTurnMost = 20;
  // Enough for a program whose turns fail now and then.
  static constexpr int64_t kBudget = 200;
  // A program that loops takes turns until its budget is spent.
  static constexpr double kLoopingPart = 0.1;
  // Part of the calls that the client leaves before they are answered.
  static constexpr double kLeavingPart = 0.03;
  static constexpr Millis kDeadline{ 1500 };

  SoakClient(restinio::asio_ns::io_context& aIo,
             SoakFleet& aFleet,
             SoakJudge& aJudge,
             std::string aOrganisation,
             uint64_t aSeed);

  void Step(TimePoint aNow);
  // Programs that came to their end since the last call.
  int TakeCompleted();

private:
  void BeginProgram();
  void Send(TimePoint aNow);
  std::string Request(const SentCall& aCall) const;
  void Connect();
  void OnAnswer(TimePoint aNow);
  void OnWhole(int aStatus, TimePoint aNow);
  // Same step again, after a pause.
  void Retry(TimePoint aNow, Millis aPause);
  void Advance(TimePoint aNow);
  void EndProgram(TimePoint aNow);
  void CountEvents(const std::string& aText);

  restinio::asio_ns::io_context& io;
  SoakFleet& fleet;
  SoakJudge& judge;
  std::string organisation;
  std::mt19937_64 random;
  std::unique_ptr<testing_support::RawClient> connection;
  // Bytes of the connection that belong to former answers.
  size_t consumed = 0;
  SentCall call;
  bool waiting = false;
  bool leaves = false;
  TimePoint nextAt{};
  // The program under way.
  int programs = 0;
  int attempts = 0;
  int step = 0;
  int tries = 0;
  bool looping = false;
  std::string previous;
  std::string chain;
  int completed = 0;
};

} // namespace tanagerseam::soak

#endif // TANAGERSEAM_TESTS_SOAK_SOAK_CLIENT_H_
