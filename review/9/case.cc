// A heartbeat that the store executes late makes a server that is draining
// count as ready again. See claim.txt.
#include "review/support-2/rig.h"

namespace {

constexpr int kServers = 7;
constexpr int kDaemons = 3;
constexpr int kRequesters = 35;
constexpr int64_t kWorkMillis = 250;
constexpr int64_t kPauseMillis = 30;
constexpr int64_t kHeartbeatMillis = 1200;
constexpr int64_t kDrainMillis = 2000;
// Times since the heartbeat that got no answer. It is executed within the 6 s
// of the pages; the store is stable again 3 s after it.
constexpr int64_t kDrainingAt = 3100;
constexpr int64_t kExecutedAt = 5550;
constexpr int64_t kExitAt = 6650;
constexpr int64_t kEndAt = 9000;

// A server of the application, with a thread that writes its entry.
class AppServer
{
public:
  using OnRequest = std::function<void(const AppServer&, const rig::Request&)>;

  AppServer(rig::Store& aStore, std::string aId, OnRequest aOnRequest)
    : id(std::move(aId))
    , store(aStore)
    , onRequest(std::move(aOnRequest))
    , server(std::make_unique<rig::Server>(
        [this](rig::Channel& aChannel, const rig::Request& aRequest) {
          this->onRequest(*this, aRequest);
          rig::Sleep(kWorkMillis);
          return aChannel.Write(rig::Answer(aRequest, 200, "logged"));
        }))
  {
    this->Write();
  }
  // The next heartbeat; it says what the server does now.
  void Write()
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->server) {
      this->store.Put("keyed.servers", this->id, this->NextEntry());
    }
  }
  // A heartbeat that the store will execute later.
  std::string WriteWithoutAnswer()
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->NextEntry();
  }
  // Reports that it drains; true is the store's ack.
  void Drain()
  {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->state = "draining";
    }
    this->Write();
  }
  void Exit()
  {
    std::unique_ptr<rig::Server> ended;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      ended = std::move(this->server);
      this->store.Put("keyed.servers", this->id, "");
    }
  }

  const std::string id;

private:
  std::string NextEntry()
  {
    return rig::ServerEntry("seam-app",
                            this->server->Address(),
                            this->state,
                            "zone-a",
                            ++this->sequence,
                            this->born);
  }

  rig::Store& store;
  OnRequest onRequest;
  const int64_t born = rig::WallMillis();
  std::mutex mutex;
  std::unique_ptr<rig::Server> server;
  std::string state = "ready";
  int sequence = 0;
};

int
Run(rig::Case& aCase)
{
  rig::Store store;
  std::mutex mutex;
  std::map<std::string, int64_t> sentAt;
  std::atomic<int64_t> drainingAt{ 0 };
  std::atomic<int> late{ 0 };
  const auto onRequest = [&](const AppServer& aServer,
                             const rig::Request& aRequest) {
    if (aServer.id != "i-1" || drainingAt == 0) {
      return;
    }
    const std::lock_guard<std::mutex> lock(mutex);
    const int64_t sent = sentAt[aRequest.Id()] - drainingAt;
    if (sent > kDrainMillis) {
      ++late;
      RIG_RECORD("i-1 gets %s, sent %lld ms after the ack of its draining",
                 aRequest.Id().c_str(),
                 static_cast<long long>(sent));
    }
  };
  std::vector<std::unique_ptr<AppServer>> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<AppServer>(
      store, "i-" + std::to_string(i + 1), onRequest));
  }
  store.Put("keyed.op",
            "config",
            rig::Configuration(
              1,
              { rig::Route("log", "non_idempotent", "seam-app", 2000) },
              { { "club", "key" } }));
  std::atomic<bool> beating{ true };
  std::thread heartbeats([&] {
    for (int64_t i = 0; beating; ++i) {
      // The first server writes on its own below.
      for (size_t k = 1; k < servers.size() && i % 4 == 0; ++k) {
        servers[k]->Write();
      }
      rig::Sleep(kHeartbeatMillis / 4);
    }
  });
  std::vector<std::unique_ptr<rig::Daemon>> daemons;
  for (int i = 0; i < kDaemons; ++i) {
    daemons.push_back(std::make_unique<rig::Daemon>(
      aCase, "edge-" + std::to_string(i + 1), store));
    daemons.back()->Start();
  }
  int result = rig::kCouldNotRun;
  if (rig::AwaitReady(daemons)) {
    std::atomic<bool> loading{ true };
    std::atomic<int> next{ 0 };
    std::atomic<int> served{ 0 };
    std::atomic<int> lost{ 0 };
    std::vector<std::thread> requesters;
    for (int r = 0; r < kRequesters; ++r) {
      requesters.emplace_back([&, r] {
        while (loading) {
          const std::string id = "run-" + std::to_string(next++);
          {
            const std::lock_guard<std::mutex> lock(mutex);
            sentAt[id] = rig::SteadyMillis();
          }
          const rig::Response response =
            rig::Ask(daemons[static_cast<size_t>(r % kDaemons)]->front,
                     "POST",
                     "/log/1",
                     { { "X-Request-Id", id },
                       { "X-Deadline-Ms", "2000" },
                       { "Authorization", "Bearer key" } },
                     "a grooming run");
          if (response.status == 200) {
            ++served;
          } else {
            ++lost;
            RIG_RECORD("answered %s: %d", id.c_str(), response.status);
          }
          rig::Sleep(kPauseMillis);
        }
      });
    }
    const int64_t begin = rig::SteadyMillis();
    const auto at = [begin](int64_t aTime) {
      rig::Sleep(std::max<int64_t>(0, begin + aTime - rig::SteadyMillis()));
    };
    AppServer& leaver = *servers.front();
    const std::string unanswered = leaver.WriteWithoutAnswer();
    RIG_RECORD("a heartbeat of i-1 gets no answer: %s", unanswered.c_str());
    for (int64_t beat = kHeartbeatMillis; beat < kDrainingAt;
         beat += kHeartbeatMillis) {
      at(beat);
      leaver.Write();
    }
    at(kDrainingAt);
    leaver.Drain();
    drainingAt = rig::SteadyMillis();
    RIG_RECORD("the store acknowledges that i-1 is draining");
    for (int64_t beat = kDrainingAt + kHeartbeatMillis; beat < kExecutedAt;
         beat += kHeartbeatMillis) {
      at(beat);
      leaver.Write();
    }
    at(kExecutedAt);
    if (aCase.disrupted) {
      store.Put("keyed.servers", "i-1", unanswered);
      RIG_RECORD("the store executes the heartbeat that got no answer");
    }
    at(kExitAt);
    RIG_RECORD("i-1 exits");
    leaver.Exit();
    at(kEndAt);
    loading = false;
    for (std::thread& requester : requesters) {
      requester.join();
    }
    const bool held = late == 0;
    RIG_RECORD("DRAIN %s: %d requests reached i-1 that were sent more than "
               "%lld ms after the ack; %d served, %d without a success",
               held ? "held" : "broken",
               late.load(),
               static_cast<long long>(kDrainMillis),
               served.load(),
               lost.load());
    result = held ? rig::kHeld : rig::kBroken;
  }
  beating = false;
  heartbeats.join();
  return result;
}

} // namespace

int
main()
{
  rig::Case run("review/9");
  return Run(run);
}
