// The owner of a tenant's usage cap stands still for less than two seconds,
// others grant in its place, and it goes on with what it knew. See claim.txt.
#include "review/support-2/rig.h"

namespace {

constexpr int kDaemons = 9;
constexpr int kPerSecond = 50;
constexpr int kBurst = 50;
constexpr int64_t kWindowMillis = 5000;
// (per-s x window + burst) x (1 + overage) + tolerance
constexpr double kBound = (kPerSecond * 5.0 + kBurst) * (1 + 0.1) + 20;
constexpr int64_t kFreezeMillis = 1600;
// The tenant sends more than its cap for so long before and after.
constexpr int64_t kLoadBeforeMillis = 3200;
constexpr int64_t kLoadAfterMillis = 1500;
// Requests at the daemon that stands still, each on a channel of its own.
constexpr int kWaiting = 100;
// Between two requests at one of the other daemons.
constexpr int64_t kPauseMillis = 40;

// When a request was sent and when the server ran it.
class Runs
{
public:
  void Sent(const std::string& aId)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->sentAt[aId] = rig::SteadyMillis();
  }
  void Ran(const std::string& aId)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->runs.emplace_back(this->sentAt[aId], rig::SteadyMillis());
  }
  // The most requests that were both sent and run in one window.
  int Most()
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    int most = 0;
    for (const auto& first : this->runs) {
      const int64_t begin = first.first;
      most = std::max(
        most,
        static_cast<int>(std::count_if(
          this->runs.begin(), this->runs.end(), [begin](const auto& aRun) {
            return aRun.first >= begin && aRun.second < begin + kWindowMillis;
          })));
    }
    return most;
  }
  void Clear()
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->runs.clear();
  }

private:
  std::mutex mutex;
  std::map<std::string, int64_t> sentAt;
  std::vector<std::pair<int64_t, int64_t>> runs;
};

class Requester
{
public:
  Requester(Runs& aRuns, const rig::Daemon& aDaemon)
    : runs(aRuns)
    , daemon(aDaemon)
  {
  }
  // Sends one request on the channel that is kept; its status, 0 for none.
  int Send(const std::string& aId)
  {
    if (!this->channel) {
      this->channel = rig::Connect(this->daemon.front);
    }
    const rig::Headers headers = { { "X-Request-Id", aId },
                                   { "X-Deadline-Ms", "3000" },
                                   { "Authorization", "Bearer key" } };
    this->runs.Sent(aId);
    if (!this->channel || !this->channel->Write(
                            rig::RequestText("GET", "/look/1", headers, ""))) {
      this->channel.reset();
      return 0;
    }
    const rig::Response response = rig::ReadResponse(*this->channel, 4000);
    if (!response.complete) {
      this->channel.reset();
    }
    return response.status;
  }
  void Open() { this->channel = rig::Connect(this->daemon.front); }

private:
  Runs& runs;
  const rig::Daemon& daemon;
  std::unique_ptr<rig::Channel> channel;
};

// How often the daemon has asked another one for a call, by its metrics.
long
Asks(const rig::Daemon& aDaemon)
{
  const std::string text =
    rig::Ask(aDaemon.metrics, "GET", "/metrics", {}).body;
  const std::string name = "tanagerseam_quota_asks_total";
  long asks = 0;
  for (size_t at = text.find(name + "{"); at != std::string::npos;
       at = text.find(name + "{", at + 1)) {
    asks += std::atol(text.c_str() + text.find(' ', at));
  }
  return asks;
}

// The daemon that the others ask for the tenant's calls: the one that asks
// nobody for its own.
int
FindOwner(Runs& aRuns,
          const std::vector<std::unique_ptr<rig::Daemon>>& aDaemons)
{
  int owner = -1;
  for (int i = 0; i < kDaemons; ++i) {
    Requester requester(aRuns, *aDaemons[i]);
    const long before = Asks(*aDaemons[i]);
    for (int k = 0; k < 15; ++k) {
      requester.Send("look-" + std::to_string(i) + "-" + std::to_string(k));
    }
    if (Asks(*aDaemons[i]) == before) {
      owner = i;
    }
  }
  return owner;
}

int
Run(rig::Case& aCase)
{
  Runs runs;
  rig::Server server([&](rig::Channel& aChannel, const rig::Request& aRequest) {
    runs.Ran(aRequest.Id());
    return aChannel.Write(rig::Answer(aRequest, 200, "tracks"));
  });
  rig::Store store;
  store.Put(
    "keyed.op",
    "config",
    rig::Configuration(1,
                       { rig::Route("look", "idempotent", "seam-app", 3000) },
                       { { "club", "key", kPerSecond, kBurst } }));
  for (int i = 0; i < 4; ++i) {
    store.Put("keyed.servers",
              "i-" + std::to_string(i),
              rig::ServerEntry("seam-app", server.Address()));
  }
  std::vector<std::unique_ptr<rig::Daemon>> daemons;
  for (int i = 0; i < kDaemons; ++i) {
    const char* zones[] = { "zone-a", "zone-b", "zone-c" };
    daemons.push_back(std::make_unique<rig::Daemon>(
      aCase, "edge-" + std::to_string(i + 1), store, zones[i % 3]));
    daemons.back()->Start();
  }
  // Also until the daemons trust what they know of the cap.
  if (!rig::AwaitReady(daemons)) {
    return rig::kCouldNotRun;
  }
  rig::Sleep(3000);
  const int owner = FindOwner(runs, daemons);
  if (owner < 0) {
    RIG_RECORD("the owner of the cap was not found");
    return rig::kCouldNotRun;
  }
  RIG_RECORD("%s decides about the cap", daemons[owner]->name.c_str());
  // The tenant sends nothing for a while.
  rig::Sleep(6000);
  runs.Clear();

  std::vector<std::unique_ptr<Requester>> waiting;
  for (int i = 0; i < kWaiting; ++i) {
    waiting.push_back(std::make_unique<Requester>(runs, *daemons[owner]));
    waiting.back()->Open();
  }
  rig::Sleep(100);
  std::atomic<bool> loading{ true };
  std::atomic<int> served{ 0 };
  std::atomic<int> servedAfterFreeze{ 0 };
  std::atomic<int> refused{ 0 };
  std::vector<std::thread> threads;
  for (int i = 0; i < kDaemons; ++i) {
    if (i == owner) {
      continue;
    }
    threads.emplace_back([&, i] {
      Requester requester(runs, *daemons[i]);
      for (int k = 0; loading; ++k) {
        const int status = requester.Send("other-" + std::to_string(i) + "-" +
                                          std::to_string(k));
        ++(status == 200 ? served : refused);
        rig::Sleep(kPauseMillis);
      }
    });
  }
  rig::Sleep(kLoadBeforeMillis);
  if (aCase.disrupted) {
    daemons[owner]->Signal(SIGSTOP);
    RIG_RECORD("%s stands still", daemons[owner]->name.c_str());
  }
  const int64_t begin = rig::SteadyMillis();
  rig::Sleep(kFreezeMillis / 2);
  for (int i = 0; i < kWaiting; ++i) {
    threads.emplace_back([&, i] {
      const int status = waiting[i]->Send("waiting-" + std::to_string(i));
      ++(status == 200 ? servedAfterFreeze : refused);
    });
  }
  rig::Sleep(kFreezeMillis - kFreezeMillis / 2);
  if (aCase.disrupted) {
    daemons[owner]->Signal(SIGCONT);
    RIG_RECORD("%s goes on after %lld ms",
               daemons[owner]->name.c_str(),
               static_cast<long long>(rig::SteadyMillis() - begin));
  }
  rig::Sleep(kLoadAfterMillis);
  loading = false;
  for (std::thread& thread : threads) {
    thread.join();
  }
  const int most = runs.Most();
  RIG_RECORD("served by the other daemons %d, by the one that decides %d, "
             "refused %d",
             served.load(),
             servedAfterFreeze.load(),
             refused.load());
  const bool held = most <= kBound;
  RIG_RECORD("QUOTA %s: %d requests sent and run within %lld ms, the bound is "
             "%.1f",
             held ? "held" : "broken",
             most,
             static_cast<long long>(kWindowMillis),
             kBound);
  return held ? rig::kHeld : rig::kBroken;
}

} // namespace

int
main()
{
  rig::Case run("review/10");
  return Run(run);
}
