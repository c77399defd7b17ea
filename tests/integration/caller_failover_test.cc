// One of three daemons is killed between two turns of a program. The program
// goes on through another daemon with its whole history, and ends.
#include <gtest/gtest.h>

#include <iostream>
#include <thread>

#include "kernel/kernel.h"
#include "tests/support/fleet.h"

namespace tanagerseam::testing_support {
namespace {

using Json = nlohmann::json;

const std::string kKey = "key-of-stopa";
constexpr int kDaemons = 3;
constexpr Millis kTakeoverLimit(15000);

HttpHeaders
Headers(const std::string& aProgram, int aCall)
{
  HttpHeaders headers = { { "Authorization", "Bearer " + kKey },
                          { "Content-Type", "application/json" } };
  if (!aProgram.empty()) {
    headers.emplace_back("X-Program", aProgram);
    headers.emplace_back("X-Call", std::to_string(aCall));
  }
  return headers;
}

std::string
Ask(const std::string& aText)
{
  return Json{
    { "model", "model-a" },
    { "max_tokens", 8 },
    { "messages", { { { "role", "user" }, { "content", aText } } } }
  }.dump();
}

// Repeats a call while its refusal says that it did not run or may be repeated
// by number.
HttpAnswer
CallUntilServed(Fleet& aFleet,
                int aDaemon,
                const std::string& aPath,
                const HttpHeaders& aHeaders,
                const std::string& aBody)
{
  const TimePoint end = Now() + kTakeoverLimit;
  HttpAnswer answer;
  do {
    answer = aFleet.Call(aDaemon, "POST", aPath, aHeaders, aBody);
    if (answer.status == 200) {
      break;
    }
    std::this_thread::sleep_for(Millis(100));
  } while (Now() < end);
  return answer;
}

// Every daemon is killed in its turn, so that the owner is among them.
TEST(CallerFailover, AProgramSurvivesTheKillOfAnyDaemon)
{
  FleetSettings settings;
  settings.daemons = kDaemons;
  settings.engines = 1;
  Fleet fleet(settings);
  fleet.Start("[organisation stopa]\nrate_per_s = 1000\nburst = 1000\n"
              "[key web]\norganisation = stopa\nsha256 = " +
              Sha256Hex(kKey) +
              "\n[route groom]\nendpoints = service-0\nrepeatable = false\n");
  for (int killed = 0; killed < kDaemons; ++killed) {
    SCOPED_TRACE("daemon " + std::to_string(killed) + " is killed");
    const int other = (killed + 1) % kDaemons;
    const std::string chat = "/v1/chat/completions";
    const std::string tool = "/v1/services/groom/run/log";
    const HttpAnswer opened =
      fleet.Call(killed, "POST", "/v1/programs", Headers("", 0), "{}");
    ASSERT_EQ(opened.status, 201) << opened.body;
    const std::string id = Json::parse(opened.body)["id"];
    const HttpAnswer first =
      fleet.Call(killed, "POST", chat, Headers(id, 1), Ask("first question"));
    ASSERT_EQ(first.status, 200) << first.body;
    const HttpAnswer logged =
      fleet.Call(killed, "POST", tool, Headers(id, 2), R"({"crew":4})");
    ASSERT_EQ(logged.status, 200) << logged.body;

    fleet.Daemon(killed).Kill();

    // The caller does not know whether its last call arrived: it repeats it.
    const HttpAnswer again =
      CallUntilServed(fleet, other, tool, Headers(id, 2), R"({"crew":4})");
    EXPECT_EQ(again.status, 200) << again.body;
    EXPECT_EQ(again.body, logged.body);
    const HttpAnswer third = CallUntilServed(
      fleet, other, chat, Headers(id, 3), Ask("second question"));
    EXPECT_EQ(third.status, 200) << third.body;

    const HttpAnswer look =
      fleet.Call(other, "GET", "/v1/programs/" + id, Headers("", 0));
    ASSERT_EQ(look.status, 200) << look.body;
    const Json program = Json::parse(look.body);
    EXPECT_EQ(program["turns"].size(), 3u) << look.body;
    const Json& messages = program["messages"];
    ASSERT_EQ(messages.size(), 4u) << look.body;
    EXPECT_EQ(messages[0]["content"], "first question");
    EXPECT_EQ(messages[1]["content"],
              Json::parse(first.body)["choices"][0]["message"]["content"]);
    EXPECT_EQ(messages[2]["content"], "second question");
    EXPECT_EQ(messages[3]["content"],
              Json::parse(third.body)["choices"][0]["message"]["content"]);
    const std::string key = "call/" + id + "/2";
    int64_t executions = 0;
    for (const auto& entry : fleet.ExecutionCounts()) {
      executions +=
        entry.first.find(id) == std::string::npos ? 0 : entry.second;
    }
    EXPECT_EQ(executions, 1) << key;
    const HttpAnswer ended =
      fleet.Call(other, "DELETE", "/v1/programs/" + id, Headers("", 0));
    EXPECT_EQ(ended.status, 200) << ended.body;

    fleet.StartDaemon(killed);
    EXPECT_TRUE(fleet.WaitReady(killed, kTakeoverLimit));
  }
  if (::testing::Test::HasFailure()) {
    std::cerr << fleet.LogTails();
  }
}

} // namespace
} // namespace tanagerseam::testing_support
