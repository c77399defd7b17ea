// A caller of programs and of services, who judges what it gets.
//
//   ProgramClient caller(fleet, "key-of-stopa");
//   Story story = caller.Open(0);
//   caller.AnswerTurn(story, 1, "first", 8);   // until it is answered
//   caller.ExpectHistory(story, 2);            // as daemon 2 tells it
//
// The judge of an answer is the engine stand-in's text, recomputed from the
// turns that were answered so far.
#ifndef TANAGERSEAM_TESTS_SUPPORT_PROGRAM_CLIENT_H_
#define TANAGERSEAM_TESTS_SUPPORT_PROGRAM_CLIENT_H_

#include <gtest/gtest.h>

#include <functional>
#include <future>
#include <string>
#include <thread>

#include "eventlog/eventlog.h"
#include "state/state.h"
#include "tests/standins/engine_text.h"
#include "tests/support/fleet.h"

namespace tanagerseam::testing_support {

// Leases short enough for many takeovers in one test.
constexpr const char* kShortLease = "[lease]\nlease_ms = 1000\nmargin_ms = 250"
                                    "\nrenew_every_ms = 200\nsettle_ms = 300\n";
// Longer than a lease with its margin, and a check on it.
constexpr Millis kPastLease(2500);
// Calls that must get through once the faults are over.
constexpr Millis kCalm(20000);

// What a test does to a daemon.
enum class Act
{
  kNone,
  kKill,
  kPause,
};

// A program, and the turns that its caller got answered.
struct Story
{
  std::string id;
  nlohmann::json messages = nlohmann::json::array();
  int64_t answered = 0;
};

// An answer of a model call, whole or in pieces.
struct ModelText
{
  std::string text;
  // It came with the end that marks a whole answer.
  bool whole = false;
  std::string refused;
  std::string ran;
};

inline bool
WaitUntil(const std::function<bool()>& aDone,
          Millis aLimit,
          Millis aEvery = Millis(20))
{
  const TimePoint end = Now() + aLimit;
  while (!aDone()) {
    if (Now() > end) {
      return false;
    }
    std::this_thread::sleep_for(aEvery);
  }
  return true;
}

inline int
CountOf(const std::string& aText, const std::string& aPart)
{
  int count = 0;
  for (size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + aPart.size())) {
    ++count;
  }
  return count;
}

inline std::string
HeaderOf(const HttpAnswer& aAnswer, const char* aName)
{
  return FirstHeader(aAnswer.headers, aName).value_or("");
}

class ProgramClient
{
public:
  ProgramClient(Fleet& aFleet, std::string aKey)
    : fleet(aFleet)
    , key(std::move(aKey))
  {
  }

  Story Open(int aDaemon,
             const nlohmann::json& aBody = nlohmann::json::object())
  {
    Story story;
    const HttpAnswer answer =
      this->Send(aDaemon, "POST", "/v1/programs", {}, aBody.dump(), kCalm);
    if (answer.status != 201) {
      throw std::runtime_error("open: " + answer.body + this->fleet.Logs());
    }
    story.id = nlohmann::json::parse(answer.body).at("id");
    return story;
  }

  HttpAnswer Send(int aDaemon,
                  const std::string& aMethod,
                  const std::string& aPath,
                  HttpHeaders aHeaders,
                  const std::string& aBody,
                  Millis aTimeout)
  {
    aHeaders.emplace_back("Authorization", "Bearer " + this->key);
    aHeaders.emplace_back("Content-Type", "application/json");
    aHeaders.emplace_back("X-Timeout-Ms", std::to_string(aTimeout.count()));
    return this->fleet.Call(
      aDaemon, aMethod, aPath, aHeaders, aBody, aTimeout + Millis(3000));
  }

  HttpAnswer Ask(int aDaemon,
                 const std::string& aProgram,
                 int64_t aCall,
                 const std::string& aText,
                 int64_t aTokens,
                 bool aStream = false,
                 Millis aTimeout = kCalm)
  {
    const nlohmann::json body{ { "model", "model-a" },
                               { "max_tokens", aTokens },
                               { "stream", aStream },
                               { "messages", { Said("user", aText) } } };
    return this->Send(
      aDaemon,
      "POST",
      "/v1/chat/completions",
      { { "X-Program", aProgram }, { "X-Call", std::to_string(aCall) } },
      body.dump(),
      aTimeout);
  }

  // What a service answers; aKey is the idempotency key.
  HttpAnswer Run(int aDaemon, const std::string& aKey, Millis aTimeout = kCalm)
  {
    return this->Send(aDaemon,
                      "POST",
                      "/v1/services/groom/run/track",
                      { { "Idempotency-Key", aKey } },
                      "{}",
                      aTimeout);
  }

  static nlohmann::json Said(const std::string& aRole, const std::string& aText)
  {
    return { { "role", aRole }, { "content", aText } };
  }

  // The engine's text for the next turn of a story.
  static std::string Expected(const Story& aStory,
                              const std::string& aText,
                              int64_t aTokens)
  {
    nlohmann::json messages = aStory.messages;
    messages.push_back(Said("user", aText));
    return standin::ResponseText(
      standin::ResponseSeed(standin::HashMessages(messages)), aTokens);
  }

  static ModelText Read(const HttpAnswer& aAnswer, bool aStream)
  {
    ModelText read;
    if (aAnswer.status != 200) {
      read.refused = HeaderOf(aAnswer, "X-Refusal");
      read.ran = HeaderOf(aAnswer, "X-Ran");
      return read;
    }
    if (!aStream) {
      const auto json = nlohmann::json::parse(aAnswer.body);
      read.text = json.at("choices").at(0).at("message").at("content");
      read.whole = true;
      return read;
    }
    std::istringstream lines(aAnswer.body);
    for (std::string line; std::getline(lines, line);) {
      if (line.rfind("data: ", 0) != 0) {
        continue;
      }
      const std::string data = line.substr(6);
      const auto json = nlohmann::json::parse(data, nullptr, false);
      if (data == "[DONE]") {
        read.whole = true;
      } else if (json.contains("error")) {
        read.refused = json["error"].value("code", "error");
        read.ran = json["error"].value("ran", "");
      } else if (json.contains("choices")) {
        read.text +=
          json["choices"][0]["delta"].value("content", std::string());
      }
    }
    return read;
  }

  // Status and body of a refusal, but for the request's identifier.
  static std::string RefusalOf(const HttpAnswer& aAnswer)
  {
    auto json = nlohmann::json::parse(aAnswer.body);
    if (json.contains("error")) {
      json["error"].erase("request_id");
    }
    return std::to_string(aAnswer.status) + json.dump();
  }

  // Checks a first answer: whole and its own, or refused; never a mixture.
  static void ExpectTruthful(const ModelText& aRead,
                             const std::string& aExpected)
  {
    if (aRead.whole) {
      EXPECT_EQ(aRead.text, aExpected);
      EXPECT_EQ(aRead.refused, "");
    } else {
      EXPECT_EQ(aExpected.compare(0, aRead.text.size(), aRead.text), 0)
        << "got " << aRead.text << " of " << aExpected;
    }
  }

  // Asks until the turn is answered, through aDaemon; then it is history.
  void AnswerTurn(Story& aStory,
                  int aDaemon,
                  const std::string& aText,
                  int64_t aTokens,
                  bool aStream = false)
  {
    const std::string expected = Expected(aStory, aText, aTokens);
    HttpAnswer answer;
    WaitUntil(
      [&] {
        answer = this->Ask(
          aDaemon, aStory.id, aStory.answered + 1, aText, aTokens, aStream);
        return Read(answer, aStream).whole;
      },
      kCalm,
      Millis(200));
    ASSERT_TRUE(Read(answer, aStream).whole) << answer.body;
    EXPECT_EQ(Read(answer, aStream).text, expected);
    Remember(aStory, aText, expected);
  }

  // Takes a turn into the story that was answered.
  static void Remember(Story& aStory,
                       const std::string& aText,
                       const std::string& aAnswer)
  {
    aStory.messages.push_back(Said("user", aText));
    aStory.messages.push_back(Said("assistant", aAnswer));
    ++aStory.answered;
  }

  nlohmann::json Look(const std::string& aProgram, int aDaemon)
  {
    const HttpAnswer answer =
      this->Send(aDaemon, "GET", "/v1/programs/" + aProgram, {}, "", kCalm);
    EXPECT_EQ(answer.status, 200) << answer.body;
    return nlohmann::json::parse(answer.body, nullptr, false);
  }

  void ExpectHistory(const Story& aStory, int aDaemon)
  {
    const auto look = this->Look(aStory.id, aDaemon);
    EXPECT_EQ(look.value("messages", nlohmann::json()), aStory.messages)
      << "program " << aStory.id;
    EXPECT_EQ(look.value("next_call", int64_t(0)), aStory.answered + 1);
  }

  // The daemon that owns a slot by the log, or -1.
  int OwnerOf(const std::string& aSlotKey)
  {
    HttpLogService log(this->fleet.LogAddress(), "tanagerseam", this->client);
    auto replayed = Replay(log, kSlotCount, Millis(5000));
    const auto* state = std::get_if<ClusterState>(&replayed);
    if (state == nullptr) {
      return -1;
    }
    const Slot& slot = state->Slots()[size_t(state->SlotOf(aSlotKey))];
    return slot.owner.empty() ? -1 : std::stoi(slot.owner.substr(5));
  }
  int OwnerOfProgram(const std::string& aProgram)
  {
    return this->OwnerOf("program/" + aProgram);
  }

  // The engine's own count of the tokens it generated, and those of the prompts
  // that it was sent. A stream that is resumed goes on with its prompt.
  int64_t EngineTokens(int aEngine)
  {
    const auto get = [&](const char* aPath) {
      HttpCall call;
      call.url = "http://" + this->fleet.EngineAddress(aEngine) + aPath;
      return std::get<HttpAnswer>(this->client.Perform(call)).body;
    };
    int64_t tokens =
      nlohmann::json::parse(get("/stats")).at("generated_tokens");
    std::istringstream lines(get("/seen"));
    bool resumed = false;
    for (std::string line; std::getline(lines, line);) {
      resumed = resumed || line.rfind("X-Resume-From", 0) == 0;
      if (line.rfind("POST ", 0) == 0) {
        resumed = false;
      } else if (!resumed && line.rfind("{", 0) == 0) {
        const auto body = nlohmann::json::parse(line);
        const auto messages = body.value("messages", nlohmann::json::array());
        for (const auto& link : standin::HashMessages(messages)) {
          tokens += link.tokens;
        }
      }
    }
    return tokens;
  }

private:
  Fleet& fleet;
  const std::string key;
  HttpClient client;
};

} // namespace tanagerseam::testing_support

#endif // TANAGERSEAM_TESTS_SUPPORT_PROGRAM_CLIENT_H_
