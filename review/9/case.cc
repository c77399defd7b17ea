// A server that ran a request fails it with 503, without saying that it did not
// run; the daemon passes the 503 on as its own promise. See claim.txt.
#include "review/support-2/rig.h"

namespace {

// One of seven fails two fifths of its requests.
constexpr int kServers = 7;
constexpr int kFailuresOfTen = 4;
constexpr int kPostings = 210;
constexpr int kRequesters = 6;
constexpr int kRetries = 2;

bool
IsPromise(int aStatus)
{
  return aStatus == 429 || aStatus == 503 || aStatus == 408 || aStatus == 421;
}

// What the servers have run, by request id and by posting.
class Ledger
{
public:
  void Post(const rig::Request& aRequest)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->ran.insert(aRequest.Id());
    ++this->bookings[aRequest.body];
  }
  bool Ran(const std::string& aId)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->ran.count(aId) > 0;
  }
  int BookedTwice()
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return static_cast<int>(std::count_if(
      this->bookings.begin(), this->bookings.end(), [](const auto& aEntry) {
        return aEntry.second > 1;
      }));
  }

private:
  std::mutex mutex;
  std::set<std::string> ran;
  std::map<std::string, int> bookings;
};

int
Run(rig::Case& aCase)
{
  Ledger ledger;
  std::atomic<int> atGreyServer{ 0 };
  std::vector<std::unique_ptr<rig::Server>> servers;
  rig::Store store;
  for (int i = 0; i < kServers; ++i) {
    const bool isGrey = aCase.disrupted && i == 0;
    servers.push_back(std::make_unique<rig::Server>(
      [&, isGrey](rig::Channel& aChannel, const rig::Request& aRequest) {
        ledger.Post(aRequest);
        rig::Sleep(25);
        if (isGrey && atGreyServer++ % 10 < kFailuresOfTen) {
          RIG_RECORD("server i-1 ran %s (%s) and answers 503",
                     aRequest.Id().c_str(),
                     aRequest.body.c_str());
          return aChannel.Write(rig::Answer(aRequest, 503, "failed"));
        }
        return aChannel.Write(rig::Answer(aRequest, 200, "charged"));
      }));
    store.Put("keyed.servers",
              "i-" + std::to_string(i + 1),
              rig::ServerEntry("seam-app", servers.back()->Address()));
  }
  store.Put("keyed.op",
            "config",
            rig::Configuration(
              1,
              { rig::Route("charge", "non_idempotent", "seam-app", 1200) },
              { { "club", "key" } }));
  std::vector<std::unique_ptr<rig::Daemon>> daemons;
  for (const char* name : { "edge-a-1", "edge-a-2", "edge-a-3" }) {
    daemons.push_back(std::make_unique<rig::Daemon>(aCase, name, store));
    daemons.back()->Start();
  }
  if (!rig::AwaitReady(daemons)) {
    return rig::kCouldNotRun;
  }
  std::atomic<int> next{ 0 };
  std::atomic<int> brokenPromises{ 0 };
  std::atomic<int> answered{ 0 };
  std::vector<std::thread> requesters;
  for (int r = 0; r < kRequesters; ++r) {
    requesters.emplace_back([&] {
      for (int k = next++; k < kPostings; k = next++) {
        const std::string posting = "charge-" + std::to_string(k);
        for (int attempt = 0; attempt <= kRetries; ++attempt) {
          const std::string id = posting + "." + std::to_string(attempt);
          const rig::Daemon& daemon =
            *daemons[static_cast<size_t>(k + attempt) % daemons.size()];
          const rig::Response response =
            rig::Ask(daemon.front,
                     "POST",
                     "/charge/1",
                     { { "X-Request-Id", id },
                       { "X-Affinity-Key", std::to_string(k) },
                       { "X-Deadline-Ms", "1200" },
                       { "Authorization", "Bearer key" } },
                     posting);
          answered += response.status == 200 ? 1 : 0;
          if (!IsPromise(response.status)) {
            break;
          }
          const bool ran = ledger.Ran(id);
          brokenPromises += ran ? 1 : 0;
          RIG_RECORD("answered %s: %d, which it %s; sent again",
                     id.c_str(),
                     response.status,
                     ran ? "has run" : "has not run");
          rig::Sleep(static_cast<int64_t>(
            1000 * std::atof(response.Header("Retry-After").c_str())));
        }
      }
    });
  }
  for (std::thread& requester : requesters) {
    requester.join();
  }
  const bool held = brokenPromises == 0;
  RIG_RECORD("REFUSED %s: %d of %d postings answered with success, %d requests "
             "answered with a promise had run, %d postings are booked twice",
             held ? "held" : "broken",
             answered.load(),
             kPostings,
             brokenPromises.load(),
             ledger.BookedTwice());
  return held ? rig::kHeld : rig::kBroken;
}

} // namespace

int
main()
{
  rig::Case run("review/9");
  return Run(run);
}
