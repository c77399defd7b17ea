// A small deployment: a store, servers, and gateways as separate processes.
//
//   Deployment deployment({ 3, Millis(20000) }, "record.txt");
//   Server& engine = deployment.AddServer("engines", "engine-1", answer);
//   deployment.Configure(routes, services, tenants);
//   deployment.StartGateways();
//   Reply reply = deployment.Ask(0, request);
//
// Gateways are started as in deploy/system.toml, with the settings of
// deploy/settings.ini. All processes end with the object.
#ifndef TANAGERSEAM_REVIEW_SUPPORT_3_DEPLOYMENT_H_
#define TANAGERSEAM_REVIEW_SUPPORT_3_DEPLOYMENT_H_

#include <sys/types.h>

#include <atomic>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "review/support-3/net.h"
#include "review/support-3/store.h"

namespace review {

// Writes lines with the time since the start; several threads may write.
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Line(const std::string& aText);

private:
  const TimePoint startedAt;
  std::mutex mutex;
  std::ofstream file;
};

class Server;

// What a server does with a request, which has been written to the record.
using Work = std::function<
  void(Server& aServer, const HttpMessage& aRequest, Socket& aSocket)>;

// A server of a service. It writes its entry in the store at its start and each
// 1.2 s (heartbeat-ms), runs each request that names it, and answers 421 to
// others.
class Server
{
public:
  Server(Store& aStore,
         Record& aRecord,
         std::string aService,
         std::string aId,
         std::string aZone,
         Work aWork);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  const std::string& Id() const { return this->id; }
  // Writes the server's entry; aState is "ready" or "draining".
  void Announce(const std::string& aState);
  void RemoveEntry();
  // Breaks all connections and refuses new ones for aDown; then the server
  // starts again under its id and announces itself.
  void Crash(Millis aDown) { this->Crash(aDown, this->Version()); }
  // The same, and it comes back with this version of its software.
  void Crash(Millis aDown, const std::string& aNextVersion);
  std::string Version();
  // Counts the starts: work that was begun in an earlier one is lost.
  int Incarnation() const { return this->incarnation; }
  TimePoint BackAt();
  // How many requests this server has begun to run.
  int Runs() const { return this->runs; }

private:
  void Accept();
  void StartAgain();
  void Beat();
  void Serve(Socket aSocket);

  Store& store;
  Record& record;
  const std::string service;
  const std::string id;
  const std::string zone;
  const Work work;
  std::mutex mutex;
  Listener listener;
  // Guarded by the mutex.
  std::string version = "v1";
  std::string nextVersion = "v1";
  std::string state = "ready";
  TimePoint backAt{};
  std::atomic<int64_t> bornMillis;
  std::atomic<int> sequence{ 0 };
  std::atomic<int> runs{ 0 };
  // Connections of an earlier incarnation end.
  std::atomic<int> incarnation{ 0 };
  std::atomic<int64_t> downUntilMillis{ 0 };
  std::atomic<bool> stopping{ false };
  std::thread acceptor;
  std::vector<std::thread> connections;
};

// The head of a success of a server.
std::string
SuccessHead(const HttpMessage& aRequest);

// A whole plain answer.
std::string
PlainAnswer(const HttpMessage& aRequest, const std::string& aBody);

// A whole stream of events with ids from 1, in chunks.
std::string
StreamAnswer(const HttpMessage& aRequest,
             const std::vector<std::string>& aData);

struct Reply
{
  // 0: no answer.
  int status = 0;
  bool whole = false;
  std::string body;
};

struct DeploymentSettings
{
  size_t gateways = 3;
  // `retention-s` under `platform` in the settings.
  Millis storeRetention{ 300000 };
};

class Deployment
{
public:
  Deployment(DeploymentSettings aSettings, const std::string& aRecordPath);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  Record& Log() { return this->record; }
  Store& Platform() { return this->store; }
  Server& AddServer(const std::string& aService,
                    const std::string& aId,
                    const std::string& aZone,
                    Work aWork);
  // Writes a configuration with the next version.
  void Configure(const nlohmann::json& aRoutes,
                 const nlohmann::json& aServices,
                 const nlohmann::json& aTenants);
  // False if they aren't all ready in time.
  bool StartGateways();
  // SIGKILL, then a new start after aDown as the platform does it.
  bool KillAndRestart(size_t aGateway, Millis aDown);
  // The same with all gateways at once.
  bool KillAllAndRestart(Millis aDown);
  void Pause(size_t aGateway);
  void Continue(size_t aGateway);
  // Sends the request on a new connection and waits for the answer.
  Reply Ask(size_t aGateway,
            const std::string& aRequest,
            Millis aLimit = Millis(5000));
  // The same with all of the answer.
  HttpMessage Exchange(size_t aGateway,
                       const std::string& aRequest,
                       Millis aLimit);
  uint16_t CallPort(size_t aGateway) const;
  // True as the platform asks it.
  bool IsReady(size_t aGateway);

private:
  struct Gateway
  {
    std::string name;
    std::string zone;
    uint16_t callPort = 0;
    uint16_t readyPort = 0;
    uint16_t metricsPort = 0;
    uint16_t exchangePort = 0;
    pid_t process = -1;
  };

  bool StartAtNewPorts();
  void Start(Gateway& aGateway, bool aFirst);
  static void Kill(Gateway& aGateway);
  bool AwaitReady(size_t aGateway, Millis aLimit);
  std::string SettingsText(const Gateway& aGateway, bool aFirst) const;

  const DeploymentSettings settings;
  std::string folder;
  Record record;
  Store store;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<Gateway> gateways;
  int version = 0;
};

// True unless TROUBLE=0 is set.
bool
WithTrouble();

void
Sleep(Millis aTime);

} // namespace review

#endif // TANAGERSEAM_REVIEW_SUPPORT_3_DEPLOYMENT_H_
