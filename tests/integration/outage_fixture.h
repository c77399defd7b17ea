// A fleet with programs under way, for tests that take the log away.
#ifndef TANAGERSEAM_TESTS_INTEGRATION_OUTAGE_FIXTURE_H_
#define TANAGERSEAM_TESTS_INTEGRATION_OUTAGE_FIXTURE_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

#include "kernel/kernel.h"
#include "tests/support/fleet.h"
#include "tests/support/program_client.h"

namespace tanagerseam::testing_support {

using Json = nlohmann::json;

inline const std::string kKey = "key-of-stopa";
inline const std::string kSmallKey = "key-of-small";
constexpr Millis kReturnLimit(5000);
constexpr Millis kQuiet(2000);
constexpr Millis kSettleLimit(15000);
constexpr int kPrograms = 6;
constexpr int kSmallRate = 5;
constexpr int kSmallBurst = 10;

inline std::string
Desired()
{
  return "[organisation stopa]\nrate_per_s = 500\nburst = 1000\n"
         "[key web]\norganisation = stopa\nsha256 = " +
         Sha256Hex(kKey) +
         "\n[organisation small]\nrate_per_s = " + std::to_string(kSmallRate) +
         "\nburst = " + std::to_string(kSmallBurst) +
         "\n[key small]\norganisation = small\nsha256 = " +
         Sha256Hex(kSmallKey) +
         "\n[route groom]\nendpoints = service-0\nrepeatable = false\n";
}

inline HttpHeaders
Headers(const std::string& aKey = kKey)
{
  return { { "Authorization", "Bearer " + aKey },
           { "Content-Type", "application/json" },
           { "X-Timeout-Ms", "6000" } };
}

inline std::string
HeaderOf(const HttpAnswer& aAnswer, const std::string& aName)
{
  const auto values = HeaderValues(aAnswer.headers, aName);
  return values.empty() ? "" : values[0];
}

inline int64_t
MillisSince(TimePoint aStart)
{
  return MillisBetween(aStart, Now());
}

class OutageFleet : public testing::Test
{
protected:
  explicit OutageFleet(FleetSettings aSettings = Settings())
    : fleet(std::move(aSettings))
  {
    this->fleet.Start(Desired());
    this->WaitSettled();
    for (int i = 0; i < kPrograms; ++i) {
      this->programs.push_back(this->Open(i % 3));
      this->answered.push_back(0);
      EXPECT_EQ(this->Turn(i, 0).status, 200);
    }
  }

  ~OutageFleet() override
  {
    if (HasFailure()) {
      std::cerr << this->fleet.LogTails();
    }
  }

  static FleetSettings Settings()
  {
    FleetSettings settings;
    settings.engines = 2;
    settings.logLinks = true;
    return settings;
  }

  // Waits until no slot has changed hands for a while.
  void WaitSettled()
  {
    const TimePoint start = Now();
    TimePoint last = start;
    size_t claims = 0;
    while (MillisBetween(last, Now()) < kQuiet.count() &&
           MillisSince(start) < kSettleLimit.count()) {
      const size_t now = this->Logged("slots_claimed").size();
      last = now == claims ? last : Now();
      claims = now;
      std::this_thread::sleep_for(Millis(50));
    }
    EXPECT_LT(MillisSince(start), kSettleLimit.count());
  }

  std::string Open(int aDaemon)
  {
    const HttpAnswer answer =
      this->fleet.Call(aDaemon, "POST", "/v1/programs", Headers(), "{}");
    EXPECT_EQ(answer.status, 201) << answer.body;
    return Json::parse(answer.body, nullptr, false).value("id", "");
  }

  // The next turn of a program through a daemon.
  HttpAnswer Turn(int aProgram, int aDaemon)
  {
    const size_t index = size_t(aProgram);
    HttpHeaders headers = Headers();
    headers.emplace_back("X-Program", this->programs[index]);
    headers.emplace_back("X-Call", std::to_string(this->answered[index] + 1));
    const std::string body = R"({"model":"model-a","max_tokens":4,"messages":[)"
                             R"({"role":"user","content":")" +
                             this->programs[index] + " " + this->prompt +
                             std::to_string(this->answered[index]) + "\"}]}";
    HttpAnswer answer = this->fleet.Call(
      aDaemon, "POST", "/v1/chat/completions", headers, body, Millis(8000));
    this->answered[index] += answer.status == 200 ? 1 : 0;
    return answer;
  }

  HttpAnswer Groom(int aDaemon, const std::string& aIdempotencyKey)
  {
    HttpHeaders headers = Headers();
    headers.emplace_back("Idempotency-Key", aIdempotencyKey);
    return this->fleet.Call(
      aDaemon, "POST", "/v1/services/groom/run/x", headers, "{}");
  }

  // Waits until a call that may not be repeated is served again.
  void ExpectNormalAgain(int aDaemon)
  {
    const TimePoint start = Now();
    int tries = 0;
    while (this->Groom(aDaemon, "back-" + std::to_string(tries)).status !=
             200 &&
           MillisSince(start) < kReturnLimit.count()) {
      ++tries;
      std::this_thread::sleep_for(Millis(50));
    }
    const int64_t took = MillisSince(start);
    EXPECT_LT(took, kReturnLimit.count());
    std::cerr << "normal again at daemon " << aDaemon << " after " << took
              << " ms\n";
  }

  // The turns that one daemon shows, or nothing.
  std::optional<size_t> TurnsAt(int aProgram, int aDaemon)
  {
    const HttpAnswer answer =
      this->fleet.Call(aDaemon,
                       "GET",
                       "/v1/programs/" + this->programs[size_t(aProgram)],
                       Headers());
    if (answer.status != 200) {
      return std::nullopt;
    }
    return Json::parse(answer.body).at("turns").size();
  }

  void ExpectAllTurns(int aDaemon)
  {
    for (int i = 0; i < kPrograms; ++i) {
      SCOPED_TRACE("program " + std::to_string(i));
      const auto turns = this->TurnsAt(i, aDaemon);
      ASSERT_TRUE(turns.has_value());
      EXPECT_EQ(*turns, this->answered[size_t(i)]);
    }
  }

  // Records of one type that the log holds, in order.
  std::vector<Json> Logged(const std::string& aType)
  {
    std::vector<Json> found;
    std::istringstream dump(this->fleet.DumpLog());
    std::string line;
    while (std::getline(dump, line)) {
      const Json record = Json::parse(line, nullptr, false);
      if (record.is_object() && record.value("type", "") == aType) {
        found.push_back(record);
      }
    }
    return found;
  }

  // The newest turn of each program that the log holds. Turns must stand in it
  // in their order.
  std::map<std::string, size_t> LastTurnsInLog()
  {
    std::map<std::string, size_t> last;
    for (const Json& record : this->Logged("call_finished")) {
      const Json& body = record.at("body");
      const auto call = body.at("call").get<size_t>();
      size_t& known = last[body.at("program").get<std::string>()];
      // A second copy is dropped by every reader.
      EXPECT_LE(call, known + 1);
      known = std::max(known, call);
    }
    return last;
  }

  bool AllTurnsInLog()
  {
    const auto last = this->LastTurnsInLog();
    for (int i = 0; i < kPrograms; ++i) {
      const auto found = last.find(this->programs[size_t(i)]);
      if (found == last.end() || found->second != this->answered[size_t(i)]) {
        return false;
      }
    }
    return true;
  }

  // Every program's turns stand in the log in their order. The log gets the
  // turns that were answered without it once it is back.
  void ExpectOrderInLog()
  {
    WaitUntil([this] { return this->AllTurnsInLog(); }, kReturnLimit);
    auto last = this->LastTurnsInLog();
    for (int i = 0; i < kPrograms; ++i) {
      EXPECT_EQ(last[this->programs[size_t(i)]], this->answered[size_t(i)]);
    }
  }

  // The daemon that owns a program: the one whose record started its newest
  // call.
  int OwnerOf(int aProgram)
  {
    std::string host;
    for (const Json& record : this->Logged("call_started")) {
      if (record.at("body").at("program") == this->programs[size_t(aProgram)]) {
        host = record.at("host").get<std::string>();
      }
    }
    return host.empty() ? -1 : host.back() - '0';
  }

  Fleet fleet;
  std::string prompt = "turn ";
  std::vector<std::string> programs;
  std::vector<size_t> answered;
};

} // namespace tanagerseam::testing_support

#endif // TANAGERSEAM_TESTS_INTEGRATION_OUTAGE_FIXTURE_H_
