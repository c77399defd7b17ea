// Configuration under faults: 100 changes by two racing operators while daemons
// are killed, started and cut off from the log.
//
// Judge: every daemon's GET /status, polled fast for the whole run.
// - No daemon ever shows a lower version than it did before, over restarts.
// - Five seconds after a version was accepted every daemon that answers, and
// has
//   been up for five seconds, shows it.
#include <gtest/gtest.h>

#include <iostream>
#include <mutex>
#include <random>
#include <thread>

#include "desired/desired.h"
#include "kernel/kernel.h"
#include "tests/support/fleet.h"

namespace tanagerseam::testing_support {
namespace {

constexpr int kDaemons = 4;
// Daemon 3 joins late.
constexpr int kFirstDaemons = 3;
constexpr int kRounds = 50;
constexpr Millis kTarget(5000);
constexpr Millis kBetweenRounds(150);
constexpr Millis kPollEvery(20);
constexpr Millis kReadyLimit(30000);
constexpr int kExitConflict = 3;
const std::string kKey = "key-of-stopa";

std::string
Desired(int aRate)
{
  return "[organisation stopa]\nrate_per_s = " + std::to_string(aRate) +
         "\nburst = 1000\n[key web]\norganisation = stopa\nsha256 = " +
         Sha256Hex(kKey) + "\n[route groom]\nendpoints = service-0\n";
}

// Polls every daemon's version and keeps what it saw.
class VersionWatch
{
public:
  explicit VersionWatch(Fleet& aFleet)
    : fleet(aFleet)
  {
    for (int i = 0; i < kDaemons; ++i) {
      this->threads.emplace_back([this, i] { this->Run(i); });
    }
  }
  ~VersionWatch() { this->Stop(); }

  void Stop()
  {
    this->stopping = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
  }

  // A daemon is started or killed; what it shows counts again after kTarget.
  void NoteChange(int aDaemon)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->changedAt[aDaemon] = Now();
  }

  void NoteAccepted(int64_t aVersion)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->acceptedAt.emplace(aVersion, Now());
  }

  int64_t Shown(int aDaemon)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->highest[aDaemon];
  }

  // What was wrong, one line each.
  std::vector<std::string> Findings()
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->findings;
  }
  int64_t Polls() const { return this->polls; }
  int64_t SlowestMillis()
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->slowest;
  }

private:
  void Run(int aDaemon)
  {
    while (!this->stopping) {
      const TimePoint askedAt = Now();
      const HttpAnswer answer = this->fleet.Admin(aDaemon, "/status");
      if (answer.status == 200) {
        const auto json = nlohmann::json::parse(answer.body);
        this->Take(aDaemon, json.at("config_version"), askedAt);
      }
      std::this_thread::sleep_for(kPollEvery);
    }
  }

  void Take(int aDaemon, int64_t aVersion, TimePoint aAskedAt)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    ++this->polls;
    int64_t& top = this->highest[aDaemon];
    if (aVersion < top) {
      this->Find(aDaemon, aVersion, "was " + std::to_string(top));
    }
    this->NoteSpread(aDaemon, top, aVersion);
    top = std::max(top, aVersion);
    if (aAskedAt - this->changedAt[aDaemon] < kTarget) {
      return;
    }
    for (const auto& accepted : this->acceptedAt) {
      if (aVersion < accepted.first && aAskedAt - accepted.second > kTarget) {
        this->Find(aDaemon,
                   aVersion,
                   "version " + std::to_string(accepted.first) +
                     " was accepted long ago");
        return;
      }
    }
  }

  // Needs the mutex.
  void NoteSpread(int aDaemon, int64_t aBefore, int64_t aNow)
  {
    for (int64_t i = aBefore + 1; i <= aNow; ++i) {
      auto accepted = this->acceptedAt.find(i);
      if (accepted != this->acceptedAt.end() &&
          accepted->second > this->changedAt[aDaemon]) {
        this->slowest =
          std::max(this->slowest, MillisBetween(accepted->second, Now()));
      }
    }
  }

  // Needs the mutex.
  void Find(int aDaemon, int64_t aVersion, const std::string& aWhat)
  {
    constexpr size_t kMaxFindings = 20;
    if (this->findings.size() < kMaxFindings) {
      this->findings.push_back("daemon " + std::to_string(aDaemon) +
                               " shows version " + std::to_string(aVersion) +
                               ": " + aWhat);
    }
  }

  Fleet& fleet;
  std::atomic<bool> stopping{ false };
  std::atomic<int64_t> polls{ 0 };
  std::mutex mutex;
  std::map<int, int64_t> highest;
  std::map<int, TimePoint> changedAt;
  std::map<int64_t, TimePoint> acceptedAt;
  std::vector<std::string> findings;
  int64_t slowest = 0;
  std::vector<std::thread> threads;
};

struct ToolRun
{
  int exitCode = -1;
  nlohmann::json json;
};

ToolRun
RunJson(Fleet& aFleet, std::vector<std::string> aArguments)
{
  aArguments.push_back("--log=" + aFleet.LogAddress());
  aArguments.push_back("--json");
  ToolRun run;
  std::string output;
  run.exitCode = aFleet.RunTool(aArguments, output);
  run.json = nlohmann::json::parse(output, nullptr, false);
  EXPECT_FALSE(run.json.is_discarded()) << output;
  return run;
}

class FleetConfig : public ::testing::Test
{
protected:
  static FleetSettings Settings()
  {
    FleetSettings settings;
    settings.daemons = kDaemons;
    settings.logLinks = true;
    settings.platformFlags = { "--retain_records=250" };
    // Continues [log].
    settings.daemonSections =
      "snapshot_every = 100\n"
      "[lease]\nlease_ms = 1000\nmargin_ms = 250\nrenew_every_ms = 200\n";
    return settings;
  }

  void SetUp() override
  {
    this->fleet.StartStandins();
    for (int i = 0; i < kFirstDaemons; ++i) {
      this->fleet.StartDaemon(i);
    }
    ASSERT_EQ(this->fleet.Apply(Desired(1)), 0) << this->fleet.LogTails();
    for (int i = 0; i < kFirstDaemons; ++i) {
      ASSERT_TRUE(this->fleet.WaitReady(i, kReadyLimit))
        << this->fleet.LogTails();
    }
  }

  void TearDown() override
  {
    if (HasFailure()) {
      std::cerr << this->fleet.LogTails();
    }
  }

  void Restart(int aDaemon, VersionWatch& aWatch)
  {
    aWatch.NoteChange(aDaemon);
    this->fleet.Daemon(aDaemon).Kill();
    this->fleet.StartDaemon(aDaemon);
    EXPECT_TRUE(this->fleet.WaitReady(aDaemon, kReadyLimit));
    aWatch.NoteChange(aDaemon);
  }

  // Two operators replace the same version; one wins, the other is told.
  int64_t Race(int64_t aBase, int aRound, VersionWatch& aWatch)
  {
    const std::vector<std::string> names{ "anna", "boris" };
    std::vector<ToolRun> runs(names.size());
    std::vector<std::thread> threads;
    for (size_t i = 0; i < names.size(); ++i) {
      const std::string file = this->fleet.WriteDesiredFile(
        names[i] + ".ini", Desired(1000 + aRound * 2 + int(i)));
      threads.emplace_back([this, &runs, &names, i, file, aBase] {
        runs[i] = RunJson(this->fleet,
                          { "apply",
                            file,
                            "--base=" + std::to_string(aBase),
                            "--operator=" + names[i] });
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    const size_t winner = runs[0].exitCode == 0 ? 0 : 1;
    const ToolRun& lost = runs[1 - winner];
    EXPECT_EQ(runs[winner].exitCode, 0) << runs[winner].json;
    EXPECT_EQ(lost.exitCode, kExitConflict) << lost.json;
    EXPECT_EQ(lost.json.value("author", ""), names[winner]) << lost.json;
    EXPECT_FALSE(lost.json.value("difference", nlohmann::json::array()).empty())
      << lost.json;
    const int64_t version = runs[winner].json.value("version", int64_t(-1));
    EXPECT_EQ(version, aBase + 1);
    aWatch.NoteAccepted(version);
    return version;
  }

  // A change that may be made on any base.
  int64_t IssueOrWithdraw(int aRound, VersionWatch& aWatch)
  {
    const std::string name = "issued-" + std::to_string(aRound / 2);
    const ToolRun run =
      aRound % 2 == 0
        ? RunJson(this->fleet, { "key", "issue", "stopa", "--name=" + name })
        : RunJson(this->fleet, { "key", "withdraw", name });
    EXPECT_EQ(run.exitCode, 0) << run.json;
    const int64_t version = run.json.value("version", int64_t(-1));
    aWatch.NoteAccepted(version);
    return version;
  }

  // Kills, starts and cuts off one daemon after another until told to stop.
  void Disturb(const std::atomic<bool>& aStop, VersionWatch& aWatch)
  {
    // One daemon lives on its peers alone for longer than the target.
    this->fleet.SetFault("log-2", "half_open");
    std::this_thread::sleep_for(kTarget + Millis(2500));
    this->fleet.SetFault("log-2", "none");
    std::mt19937_64 random(7);
    while (!aStop) {
      const int victim = int(random() % kFirstDaemons);
      if (random() % 2 == 0) {
        this->Restart(victim, aWatch);
        continue;
      }
      const std::string link = "log-" + std::to_string(victim);
      this->fleet.SetFault(link, random() % 2 == 0 ? "cut" : "half_open");
      std::this_thread::sleep_for(Millis(1500 + int64_t(random() % 1500)));
      this->fleet.SetFault(link, "none");
    }
  }

  static void ExpectNoFindings(VersionWatch& aWatch)
  {
    for (const std::string& finding : aWatch.Findings()) {
      ADD_FAILURE() << finding;
    }
  }

  Fleet fleet{ Settings() };
};

TEST_F(FleetConfig, NeverFallsAndSpreadsWithinFiveSeconds)
{
  const HttpAnswer opened =
    this->fleet.Call(0,
                     "POST",
                     "/v1/programs",
                     { { "Authorization", "Bearer " + kKey },
                       { "Content-Type", "application/json" } },
                     "{}");
  ASSERT_EQ(opened.status, 201) << opened.body;
  const std::string program = nlohmann::json::parse(opened.body).at("id");
  VersionWatch watch(this->fleet);
  int64_t version = 1;
  {
    SCOPED_TRACE("100 changes under faults");
    std::atomic<bool> done{ false };
    std::thread operators([&] {
      for (int round = 0; round < kRounds; ++round) {
        version = this->Race(version, round, watch);
        version = this->IssueOrWithdraw(round, watch);
        std::this_thread::sleep_for(kBetweenRounds);
      }
      done = true;
    });
    // A daemon lives as long as the thread that started it.
    this->Disturb(done, watch);
    operators.join();
    EXPECT_EQ(version, 1 + 2 * kRounds);
  }
  {
    SCOPED_TRACE("restarts with the log down");
    std::this_thread::sleep_for(kTarget);
    this->fleet.SetLogMode({ { "mode", "down" } });
    // Of the seeds of daemon 1 only the last one in the list answers.
    this->fleet.Daemon(0).Kill();
    this->Restart(1, watch);
    EXPECT_EQ(watch.Shown(1), version);
    this->Restart(0, watch);
    this->fleet.SetLogMode({ { "mode", "up" } });
  }
  {
    SCOPED_TRACE("a fresh daemon after the first records are forgotten");
    EXPECT_EQ(this->fleet.DumpLog().find("rate_per_s\":1.0,"),
              std::string::npos);
    watch.NoteChange(3);
    this->fleet.StartDaemon(3);
    EXPECT_TRUE(this->fleet.WaitReady(3, kReadyLimit));
    const HttpAnswer seen =
      this->fleet.Call(3,
                       "GET",
                       "/v1/programs/" + program,
                       { { "Authorization", "Bearer " + kKey } });
    EXPECT_EQ(seen.status, 200) << seen.body;
    std::this_thread::sleep_for(kPollEvery * 10);
    EXPECT_EQ(watch.Shown(3), version);
  }
  watch.Stop();
  std::cout << "versions " << version << ", polls " << watch.Polls()
            << ", slowest seen after its acceptance " << watch.SlowestMillis()
            << " ms\n";
  ExpectNoFindings(watch);
}

} // namespace
} // namespace tanagerseam::testing_support
