// A fleet of processes for one test: stand-ins of the platform, model engines
// and plain services, the daemons, and a fault proxy on the links between them.
//
// Usage:
//
//   FleetSettings settings;
//   settings.daemons = 3;
//   settings.services = 1;
//   settings.logLinks = true;
//   Fleet fleet(settings);
//   fleet.Start("[organisation stopa]\nrate_per_s = 50\n...");
//   HttpAnswer answer = fleet.Call(0, "POST", "/v1/services/r/x", {}, "{}");
//   fleet.SetFault("log-1", "cut");
//
// Names. Endpoints: "engine-I" and "service-I", whose sections Apply adds to
// the desired state. Links: "log-I" from daemon I to the log, "peer-I" from
// the other daemons to daemon I, "endpoint-NAME" from all daemons to an
// endpoint. Ports are chosen once, so a restarted daemon keeps its addresses.
// The destructor kills all processes.
#ifndef TANAGERSEAM_TESTS_SUPPORT_FLEET_H_
#define TANAGERSEAM_TESTS_SUPPORT_FLEET_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http/http.h"
#include "tests/support/child_process.h"

namespace tanagerseam::testing_support {

struct FleetSettings
{
  int daemons = 3;
  int engines = 0;
  int services = 1;
  // Daemon I, engine-I and service-I are in zone-(I % zones).
  int zones = 3;
  // Models that every engine serves, comma-separated.
  std::string models = "model-a";
  // Which links pass through the fault proxy.
  bool logLinks = false;
  bool peerLinks = false;
  bool endpointLinks = false;
  std::vector<std::string> platformFlags;
  std::vector<std::string> engineFlags;
  // Additional flags, by engine name.
  std::map<std::string, std::vector<std::string>> flagsByEngine;
  // Additional keys of an endpoint's section, by endpoint name.
  std::map<std::string, std::string> endpointKeys;
  std::string logLevel = "debug";
  // Additional keys of [daemon] and additional sections, for every daemon.
  std::string daemonKeys;
  std::string daemonSections;
};

class Fleet
{
public:
  explicit Fleet(FleetSettings aSettings);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts all processes, applies the desired state and waits until every
  // daemon is ready. Throws std::runtime_error, with the logs, if that fails.
  void Start(const std::string& aDesired);
  // Steps of Start.
  void StartStandins();
  void StartDaemon(int aIndex);
  bool WaitReady(int aIndex, Millis aLimit);
  // Applies this fleet's endpoints and aDesired, and waits until they are in
  // force; returns the exit code of `tanagerseam apply`.
  int Apply(const std::string& aDesired);
  // Sets additional keys of an endpoint's section, from the next desired-state
  // file on.
  void SetEndpointKeys(const std::string& aEndpoint, const std::string& aKeys)
  {
    this->settings.endpointKeys[aEndpoint] = aKeys;
  }
  // Writes a desired-state file with this fleet's endpoints and aDesired;
  // returns its path.
  std::string WriteDesiredFile(const std::string& aName,
                               const std::string& aDesired);
  // Runs the command-line tool; returns its exit code and sets aOutput.
  // Thread-safe.
  int RunTool(const std::vector<std::string>& aArguments, std::string& aOutput);
  // Kills every process.
  void StopAll();

  // Sends one request to a daemon's caller or admin address. On a transport
  // failure the status is 0 and the body holds the reason.
  HttpAnswer Call(int aDaemon,
                  const std::string& aMethod,
                  const std::string& aPath,
                  const HttpHeaders& aHeaders = {},
                  const std::string& aBody = "",
                  Millis aTimeout = Millis(30000));
  HttpAnswer Admin(int aDaemon, const std::string& aPath);

  // POST /control of the platform, for example {"mode":"down"}.
  void SetLogMode(const nlohmann::json& aControl);
  // POST /control of service-I, for example {"mode":"drop_after"}.
  void SetService(int aIndex, const nlohmann::json& aControl);
  void SetEngine(int aIndex, const nlohmann::json& aControl);
  // Sets a fault of one link; aMore may hold delay_ms, jitter_ms and seed.
  void SetFault(const std::string& aLink,
                const std::string& aKind,
                nlohmann::json aMore = nlohmann::json::object());
  // Traffic of each link, from the fault proxy's GET /stats.
  nlohmann::json LinkStats();
  nlohmann::json ServiceStats(int aIndex);
  std::string EngineRequests(int aIndex);
  nlohmann::json EngineStats(int aIndex);
  // Executions by idempotency key, over all services.
  std::map<std::string, int64_t> ExecutionCounts();
  // Arrival times of requests at services, in milliseconds of Now(), by path.
  std::map<std::string, std::vector<double>> ArrivalTimes();
  // Execution times at services, in milliseconds of Now(), by idempotency key.
  std::map<std::string, std::vector<double>> ExecutionTimes();
  // All requests that the endpoints received.
  std::string ReceivedRequests();
  // The text of all records that the log retains.
  std::string DumpLog();

  ChildProcess& Daemon(int aIndex) { return *this->daemons.at(aIndex).process; }
  ChildProcess& Platform() { return *this->platform.process; }
  ChildProcess& Engine(int aIndex) { return *this->engines.at(aIndex).process; }
  ChildProcess& Service(int aIndex)
  {
    return *this->services.at(aIndex).process;
  }
  // "IP:port" that bypasses the links.
  std::string CallerAddress(int aDaemon) const;
  std::string EngineAddress(int aIndex) const;
  std::string ServiceAddress(int aIndex) const;
  std::string LogAddress() const;
  // "IP:port" at which the daemons reach an endpoint, through its link if any.
  std::string LinkAddress(const std::string& aEndpoint) const;
  // The last 4000 bytes of each log, for the message of a failed test.
  std::string LogTails() const;

private:
  std::map<std::string, std::vector<double>> TimesByName(
    const std::string& aPath);
  struct Standin
  {
    std::string name;
    uint16_t port = 0;
    std::unique_ptr<ChildProcess> process;
  };
  struct DaemonProcess
  {
    uint16_t callerPort = 0;
    uint16_t peerPort = 0;
    uint16_t adminPort = 0;
    // Port at which the daemon reaches the log.
    uint16_t logPort = 0;
    // Port at which its peers reach the daemon.
    uint16_t advertisedPort = 0;
    std::unique_ptr<ChildProcess> process;
  };

  void StartStandin(Standin& aStandin,
                    const std::string& aProgram,
                    const std::vector<std::string>& aFlags);
  // Adds a fault proxy link to aTarget; returns the port that the link listens
  // on.
  uint16_t AddLink(const std::string& aName, uint16_t aTarget);
  std::string DaemonIni(int aIndex) const;
  std::string EndpointSections() const;
  std::string EndpointSection(const Standin& aStandin,
                              const std::string& aKind,
                              int aIndex) const;
  std::string WriteFile(const std::string& aName, const std::string& aText);
  std::string Zone(int aIndex) const;
  HttpAnswer Perform(const HttpCall& aCall);
  // Sends a request to a stand-in; throws std::runtime_error unless the status
  // is 200.
  HttpAnswer CallStandin(const Standin& aStandin,
                         const std::string& aPath,
                         const nlohmann::json* aBody = nullptr);

  FleetSettings settings;
  const std::string folder;
  HttpClient client;
  Standin platform;
  Standin proxy;
  std::vector<Standin> engines;
  std::vector<Standin> services;
  std::vector<DaemonProcess> daemons;
  // Port at which the daemons reach an endpoint, by endpoint name.
  std::map<std::string, uint16_t> endpointPorts;
  std::atomic<int> toolRuns{ 0 };
};

} // namespace tanagerseam::testing_support

#endif // TANAGERSEAM_TESTS_SUPPORT_FLEET_H_
