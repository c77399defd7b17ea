// Test client for programs and services that checks the answers it receives.
//
//   ProgramClient caller(fleet, "key-of-stopa");
//   Transcript transcript = caller.OpenProgram(0);
//   caller.CompleteTurn(transcript, 1, "first", 8);  // retries on failure
//   caller.ExpectHistory(transcript, 2);             // read via daemon 2
//
// Expected answers are recomputed from the turns answered so far, with the text
// generator of the engine stand-in.
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

// Daemon settings with short leases, so that one test can run many takeovers.
constexpr const char* kShortLease = "[lease]\nlease_ms = 1000\nmargin_ms = 250"
                                    "\nrenew_every_ms = 200\nsettle_ms = 300\n";
// Exceeds a lease of kShortLease, its margin and one expiry check.
constexpr Millis kAfterLeaseExpiry(2500);
// Time limit of a call that must succeed once all faults are cleared.
constexpr Millis kRecoveryTimeout(20000);

// Fault injected into a daemon process.
enum class ProcessFault
{
  kNone,
  kKill,
  kPause,
};

// A program's identifier and its message history, as expected from the answers
// that the caller received.
struct Transcript
{
  std::string id;
  nlohmann::json messages = nlohmann::json::array();
  int64_t answered = 0;
};

// Parsed response to a model call, streamed or not.
struct ModelAnswer
{
  std::string text;
  // The response is not a stream, or its stream ended with [DONE].
  bool complete = false;
  std::string refusal;
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
CountOccurrences(const std::string& aText, const std::string& aPart)
{
  int count = 0;
  for (size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + aPart.size())) {
    ++count;
  }
  return count;
}

inline std::string
HeaderValue(const HttpAnswer& aAnswer, const char* aName)
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

  Transcript OpenProgram(int aDaemon,
                         const nlohmann::json& aBody = nlohmann::json::object())
  {
    Transcript transcript;
    const HttpAnswer answer = this->Send(
      aDaemon, "POST", "/v1/programs", {}, aBody.dump(), kRecoveryTimeout);
    if (answer.status != 201) {
      throw std::runtime_error("opening a program failed: " + answer.body +
                               this->fleet.LogTails());
    }
    transcript.id = nlohmann::json::parse(answer.body).at("id");
    return transcript;
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

  HttpAnswer CallModel(int aDaemon,
                       const std::string& aProgram,
                       int64_t aCall,
                       const std::string& aText,
                       int64_t aTokens,
                       bool aStream = false,
                       Millis aTimeout = kRecoveryTimeout)
  {
    const nlohmann::json body{ { "model", "model-a" },
                               { "max_tokens", aTokens },
                               { "stream", aStream },
                               { "messages", { ChatMessage("user", aText) } } };
    return this->Send(
      aDaemon,
      "POST",
      "/v1/chat/completions",
      { { "X-Program", aProgram }, { "X-Call", std::to_string(aCall) } },
      body.dump(),
      aTimeout);
  }

  // Calls the service of route groom; aKey is the idempotency key.
  HttpAnswer RunService(int aDaemon,
                        const std::string& aKey,
                        Millis aTimeout = kRecoveryTimeout)
  {
    return this->Send(aDaemon,
                      "POST",
                      "/v1/services/groom/run/track",
                      { { "Idempotency-Key", aKey } },
                      "{}",
                      aTimeout);
  }

  static nlohmann::json ChatMessage(const std::string& aRole,
                                    const std::string& aText)
  {
    return { { "role", aRole }, { "content", aText } };
  }

  // The text that the engine generates for the next turn.
  static std::string ExpectedAnswer(const Transcript& aTranscript,
                                    const std::string& aText,
                                    int64_t aTokens)
  {
    nlohmann::json messages = aTranscript.messages;
    messages.push_back(ChatMessage("user", aText));
    return standin::ResponseText(
      standin::ResponseSeed(standin::HashMessages(messages)), aTokens);
  }

  static ModelAnswer ParseAnswer(const HttpAnswer& aAnswer, bool aStream)
  {
    ModelAnswer read;
    if (aAnswer.status != 200) {
      read.refusal = HeaderValue(aAnswer, "X-Refusal");
      read.ran = HeaderValue(aAnswer, "X-Ran");
      return read;
    }
    if (!aStream) {
      const auto json = nlohmann::json::parse(aAnswer.body);
      read.text = json.at("choices").at(0).at("message").at("content");
      read.complete = true;
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
        read.complete = true;
      } else if (json.contains("error")) {
        read.refusal = json["error"].value("code", "error");
        read.ran = json["error"].value("ran", "");
      } else if (json.contains("choices")) {
        read.text +=
          json["choices"][0]["delta"].value("content", std::string());
      }
    }
    return read;
  }

  // Status and body of a refusal, without the request identifier.
  static std::string ComparableRefusal(const HttpAnswer& aAnswer)
  {
    auto json = nlohmann::json::parse(aAnswer.body);
    if (json.contains("error")) {
      json["error"].erase("request_id");
    }
    return std::to_string(aAnswer.status) + json.dump();
  }

  // Checks the response to a first attempt: a complete answer must equal
  // aExpected and carry no refusal, an incomplete one must hold a prefix of it.
  static void ExpectCompleteOrPrefix(const ModelAnswer& aRead,
                                     const std::string& aExpected)
  {
    if (aRead.complete) {
      EXPECT_EQ(aRead.text, aExpected);
      EXPECT_EQ(aRead.refusal, "");
    } else {
      EXPECT_EQ(aExpected.compare(0, aRead.text.size(), aRead.text), 0)
        << "got " << aRead.text << " of " << aExpected;
    }
  }

  // Repeats the turn's call through aDaemon every 200 ms, for at most
  // kRecoveryTimeout, until it gets a complete answer; checks the answer and
  // appends the turn to aTranscript.
  void CompleteTurn(Transcript& aTranscript,
                    int aDaemon,
                    const std::string& aText,
                    int64_t aTokens,
                    bool aStream = false)
  {
    const std::string expected = ExpectedAnswer(aTranscript, aText, aTokens);
    HttpAnswer answer;
    WaitUntil(
      [&] {
        answer = this->CallModel(aDaemon,
                                 aTranscript.id,
                                 aTranscript.answered + 1,
                                 aText,
                                 aTokens,
                                 aStream);
        return ParseAnswer(answer, aStream).complete;
      },
      kRecoveryTimeout,
      Millis(200));
    ASSERT_TRUE(ParseAnswer(answer, aStream).complete) << answer.body;
    EXPECT_EQ(ParseAnswer(answer, aStream).text, expected);
    AppendTurn(aTranscript, aText, expected);
  }

  static void AppendTurn(Transcript& aTranscript,
                         const std::string& aText,
                         const std::string& aAnswer)
  {
    aTranscript.messages.push_back(ChatMessage("user", aText));
    aTranscript.messages.push_back(ChatMessage("assistant", aAnswer));
    ++aTranscript.answered;
  }

  nlohmann::json GetProgram(const std::string& aProgram, int aDaemon)
  {
    const HttpAnswer answer = this->Send(
      aDaemon, "GET", "/v1/programs/" + aProgram, {}, "", kRecoveryTimeout);
    EXPECT_EQ(answer.status, 200) << answer.body;
    return nlohmann::json::parse(answer.body, nullptr, false);
  }

  void ExpectHistory(const Transcript& aTranscript, int aDaemon)
  {
    const auto look = this->GetProgram(aTranscript.id, aDaemon);
    EXPECT_EQ(look.value("messages", nlohmann::json()), aTranscript.messages)
      << "program " << aTranscript.id;
    EXPECT_EQ(look.value("next_call", int64_t(0)), aTranscript.answered + 1);
  }

  // The index of the daemon that owns the slot of aSlotKey, from a replay of
  // the log; -1 if the replay failed or the slot has no owner.
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

  // Tokens that the engine reports as generated, plus the tokens of the prompts
  // that it received. The prompt of a request that resumes a stream
  // (X-Resume-From) is not counted again.
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
