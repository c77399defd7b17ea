// The stand-ins do what the tests that rely on them assume. Real processes
// throughout, and no daemon.
#include <gtest/gtest.h>

#include <algorithm>
#include <future>
#include <iostream>
#include <thread>

#include "eventlog/eventlog.h"
#include "tests/support/fleet.h"
#include "tests/support/free_port.h"

namespace tanagerseam::testing_support {
namespace {

class Standins : public ::testing::Test
{
protected:
  void Start(FleetSettings aSettings)
  {
    aSettings.daemons = 0;
    this->fleet = std::make_unique<Fleet>(aSettings);
    this->fleet->StartStandins();
    this->log = std::make_unique<HttpLogService>(
      this->fleet->LogAddress(), "tanagerseam", this->client);
  }

  void TearDown() override
  {
    if (HasFailure() && this->fleet) {
      std::cerr << this->fleet->LogTails();
    }
  }

  // The first offset, or -1 if the log gave no answer.
  int64_t Append(const std::vector<std::string>& aTexts)
  {
    auto outcome = this->log->Append(aTexts);
    auto* offset = std::get_if<int64_t>(&outcome);
    return offset ? *offset : -1;
  }

  LogPage Read(int64_t aFrom, Millis aWait = Millis(0))
  {
    auto outcome = this->log->Read(aFrom, aWait);
    auto* page = std::get_if<LogPage>(&outcome);
    EXPECT_NE(page, nullptr);
    return page ? *page : LogPage();
  }

  std::vector<std::string> Texts(int64_t aFrom)
  {
    std::vector<std::string> texts;
    for (const LogEntry& entry : this->Read(aFrom).entries) {
      texts.push_back(entry.text);
    }
    return texts;
  }

  // Status of a call to a service, 0 without an answer.
  int Run(const std::string& aAddress,
          const std::string& aKey,
          Millis aTimeout = Millis(400))
  {
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + aAddress + "/run/groom";
    call.headers = { { "Idempotency-Key", aKey } };
    call.body = "{\"run\":1}";
    call.timeout = aTimeout;
    call.freshConnection = true;
    this->outcome = this->client.Perform(call);
    auto* answer = std::get_if<HttpAnswer>(&this->outcome);
    return answer ? answer->status : 0;
  }

  int64_t CountOccurrences(const std::string& aKey)
  {
    return this->fleet->ExecutionCounts()[aKey];
  }

  // Waits until the key was executed aCount times.
  bool WaitForCount(const std::string& aKey, int64_t aCount)
  {
    const TimePoint start = Now();
    while (this->CountOccurrences(aKey) != aCount) {
      if (Now() - start > Millis(5000)) {
        return false;
      }
      std::this_thread::sleep_for(Millis(10));
    }
    return true;
  }

  HttpClient client;
  HttpOutcome outcome;
  std::unique_ptr<Fleet> fleet;
  std::unique_ptr<HttpLogService> log;
};

using Strings = std::vector<std::string>;

TEST_F(Standins, TheLogKeepsOffsetsAndAnswersLongPolls)
{
  this->Start({});
  {
    SCOPED_TRACE("records of one append are next to each other");
    EXPECT_EQ(this->Append({ "a", "b" }), 0);
    EXPECT_EQ(this->Append({ "c" }), 2);
    const LogPage page = this->Read(1);
    ASSERT_EQ(page.entries.size(), 2u);
    EXPECT_EQ(page.entries[0].offset, 1);
    EXPECT_EQ(page.entries[1].text, "c");
    EXPECT_EQ(page.firstOffset, 0);
    EXPECT_EQ(page.endOffset, 3);
  }
  {
    SCOPED_TRACE("a long poll without records ends at its limit");
    const TimePoint start = Now();
    EXPECT_TRUE(this->Read(3, Millis(300)).entries.empty());
    EXPECT_GE(MillisBetween(start, Now()), 300);
  }
  {
    SCOPED_TRACE("a long poll ends when a record comes");
    const TimePoint start = Now();
    auto page = std::async(std::launch::async,
                           [this] { return this->Read(3, Millis(10000)); });
    std::this_thread::sleep_for(Millis(100));
    EXPECT_EQ(this->Append({ "d" }), 3);
    EXPECT_EQ(page.get().entries.at(0).text, "d");
    EXPECT_LT(MillisBetween(start, Now()), 5000);
  }
}

TEST_F(Standins, TheLogForgetsAndCapsAppends)
{
  FleetSettings settings;
  settings.platformFlags = { "--retain_records=3", "--appends_per_second=4" };
  this->Start(settings);
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(this->Append({ std::to_string(i) }), i);
  }
  {
    SCOPED_TRACE("over the cap, an append is refused and has no effect");
    EXPECT_EQ(this->Append({ "4" }), -1);
    EXPECT_EQ(this->Read(0).endOffset, 4);
  }
  {
    SCOPED_TRACE("a page says which offset is the oldest kept");
    EXPECT_EQ(this->Read(0).firstOffset, 1);
    EXPECT_EQ(this->Texts(0), Strings({ "1", "2", "3" }));
  }
  {
    SCOPED_TRACE("the cap is over a second later");
    std::this_thread::sleep_for(Millis(1100));
    EXPECT_EQ(this->Append({ "4" }), 4);
  }
}

TEST_F(Standins, TheLogForgetsByAge)
{
  FleetSettings settings;
  settings.platformFlags = { "--retain_ms=200" };
  this->Start(settings);
  EXPECT_EQ(this->Append({ "old" }), 0);
  std::this_thread::sleep_for(Millis(300));
  const LogPage page = this->Read(0);
  EXPECT_TRUE(page.entries.empty());
  EXPECT_EQ(page.firstOffset, 1);
  EXPECT_EQ(page.endOffset, 1);
}

TEST_F(Standins, TheLogFailsOnRequest)
{
  this->Start({});
  {
    SCOPED_TRACE("an append whose answer is lost has taken effect");
    this->fleet->SetLogMode({ { "mode", "lose_answers" } });
    EXPECT_EQ(this->Append({ "lost" }), -1);
    this->fleet->SetLogMode({ { "mode", "up" } });
    EXPECT_EQ(this->Texts(0), Strings({ "lost" }));
  }
  {
    SCOPED_TRACE("the answers lost depend on the seed only");
    std::vector<bool> rounds[2];
    for (auto& lost : rounds) {
      this->fleet->SetLogMode(
        { { "mode", "lose_answers" }, { "lose_share", 0.5 }, { "seed", 7 } });
      for (int i = 0; i < 20; ++i) {
        lost.push_back(this->Append({ "x" }) < 0);
      }
    }
    EXPECT_EQ(rounds[0], rounds[1]);
    const auto count = std::count(rounds[0].begin(), rounds[0].end(), true);
    EXPECT_GT(count, 0);
    EXPECT_LT(count, 20);
  }
  {
    SCOPED_TRACE("a log that is down refuses, and nothing takes effect");
    this->fleet->SetLogMode({ { "mode", "up" } });
    const int64_t end = this->Read(0).endOffset;
    this->fleet->SetLogMode({ { "mode", "down" } });
    EXPECT_EQ(this->Append({ "refused" }), -1);
    auto read = this->log->Read(0, Millis(0));
    EXPECT_TRUE(std::holds_alternative<LogFailure>(read));
    this->fleet->SetLogMode({ { "mode", "up" } });
    EXPECT_EQ(this->Read(0).endOffset, end);
  }
  {
    SCOPED_TRACE("faults may concern one host only");
    this->fleet->SetLogMode({ { "mode", "down" }, { "for_host", "host-1" } });
    EXPECT_EQ(this->Append({ R"({"host":"host-1"})" }), -1);
    EXPECT_GE(this->Append({ R"({"host":"host-2"})" }), 0);
  }
}

TEST_F(Standins, TheServiceCountsExecutions)
{
  this->Start({});
  const std::string address = this->fleet->ServiceAddress(0);
  EXPECT_EQ(this->Run(address, "k1"), 200);
  EXPECT_EQ(this->Run(address, "k1"), 200);
  EXPECT_EQ(this->Run(address, "k2"), 200);
  EXPECT_EQ(this->CountOccurrences("k1"), 2);
  EXPECT_EQ(this->CountOccurrences("k2"), 1);
  EXPECT_NE(this->fleet->ReceivedRequests().find("{\"run\":1}"),
            std::string::npos);

  this->fleet->SetService(0, { { "mode", "drop_before" } });
  EXPECT_EQ(this->Run(address, "before"), 504);
  EXPECT_EQ(this->CountOccurrences("before"), 0);

  this->fleet->SetService(0, { { "mode", "drop_after" } });
  EXPECT_EQ(this->Run(address, "after"), 0);
  EXPECT_EQ(this->CountOccurrences("after"), 1);

  this->fleet->SetService(0, { { "mode", "hang" } });
  EXPECT_EQ(this->Run(address, "hang"), 0);
  EXPECT_EQ(this->CountOccurrences("hang"), 0);

  this->fleet->SetService(0, { { "mode", "status" }, { "status", 429 } });
  EXPECT_EQ(this->Run(address, "status"), 429);
  EXPECT_EQ(this->CountOccurrences("status"), 0);
}

TEST_F(Standins, TheProxyCutsDelaysAndStops)
{
  FleetSettings settings;
  settings.endpointLinks = true;
  this->Start(settings);
  const std::string name = "endpoint-service-0";
  const std::string address = this->fleet->LinkAddress("service-0");
  EXPECT_EQ(this->Run(address, "none"), 200);
  {
    SCOPED_TRACE("a cut link refuses, so the request was not sent");
    this->fleet->SetFault(name, "cut");
    EXPECT_EQ(this->Run(address, "cut"), 0);
    EXPECT_FALSE(std::get<TransportFailure>(this->outcome).sent);
    this->fleet->SetFault(name, "none");
    EXPECT_EQ(this->Run(address, "healed"), 200);
    EXPECT_EQ(this->CountOccurrences("cut"), 0);
  }
  {
    SCOPED_TRACE("delay counts in both directions");
    this->fleet->SetFault(
      name, "delay", { { "delay_ms", 60 }, { "jitter_ms", 10 } });
    const TimePoint start = Now();
    EXPECT_EQ(this->Run(address, "delay", Millis(5000)), 200);
    EXPECT_GE(MillisBetween(start, Now()), 120);
  }
  {
    SCOPED_TRACE("one way up: executed, and the answer does not come");
    this->fleet->SetFault(name, "one_way_up");
    EXPECT_EQ(this->Run(address, "up"), 0);
    EXPECT_EQ(this->CountOccurrences("up"), 1);
  }
  {
    SCOPED_TRACE("one way down: what was sent arrives once the link heals");
    this->fleet->SetFault(name, "one_way_down");
    EXPECT_EQ(this->Run(address, "down"), 0);
    EXPECT_EQ(this->CountOccurrences("down"), 0);
    this->fleet->SetFault(name, "none");
    EXPECT_TRUE(this->WaitForCount("down", 1));
  }
  {
    SCOPED_TRACE("answers dropped: executed, and the answer is gone");
    this->fleet->SetFault(name, "drop_answers");
    EXPECT_EQ(this->Run(address, "drop"), 0);
    EXPECT_EQ(this->CountOccurrences("drop"), 1);
  }
  {
    SCOPED_TRACE("half open: never executed, also not later");
    this->fleet->SetFault(name, "half_open");
    EXPECT_EQ(this->Run(address, "half"), 0);
    this->fleet->SetFault(name, "none");
    EXPECT_EQ(this->Run(address, "last"), 200);
    EXPECT_EQ(this->CountOccurrences("half"), 0);
  }
  {
    SCOPED_TRACE("frozen: the call goes on where it stopped");
    this->fleet->SetFault(name, "freeze");
    auto status = std::async(std::launch::async, [&] {
      return this->Run(address, "frozen", Millis(10000));
    });
    std::this_thread::sleep_for(Millis(200));
    EXPECT_EQ(this->CountOccurrences("frozen"), 0);
    this->fleet->SetFault(name, "none");
    EXPECT_EQ(status.get(), 200);
  }
}

TEST_F(Standins, TheEngineAnswersBehindItsLink)
{
  FleetSettings settings;
  settings.engines = 1;
  settings.endpointLinks = true;
  settings.engineFlags = { "--time_scale=0.01" };
  this->Start(settings);
  HttpCall call;
  call.method = "POST";
  call.url =
    "http://" + this->fleet->LinkAddress("engine-0") + "/v1/chat/completions";
  call.headers = { { "Content-Type", "application/json" } };
  call.body = R"({"model":"model-a","max_tokens":4,)"
              R"("messages":[{"role":"user","content":"tracks tonight"}]})";
  this->outcome = this->client.Perform(call);
  ASSERT_TRUE(std::holds_alternative<HttpAnswer>(this->outcome));
  EXPECT_EQ(std::get<HttpAnswer>(this->outcome).status, 200);
  EXPECT_NE(this->fleet->ReceivedRequests().find("tracks tonight"),
            std::string::npos);
}

TEST_F(Standins, ProcessesArePausedKilledAndWaitedFor)
{
  this->Start({});
  const std::string address = this->fleet->ServiceAddress(0);
  ChildProcess& service = this->fleet->Service(0);
  service.Pause();
  EXPECT_EQ(this->Run(address, "paused"), 0);
  service.Continue();
  EXPECT_TRUE(this->WaitForCount("paused", 1));
  service.Terminate();
  EXPECT_EQ(service.Wait(Millis(5000)), 0);
  this->fleet->Platform().Kill();
  EXPECT_EQ(this->fleet->Platform().Wait(Millis(0)), 128 + 9);
}

} // namespace
} // namespace tanagerseam::testing_support
