#include "tests/support/fleet.h"

#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "tests/support/free_port.h"

namespace tanagerseam::testing_support {

namespace {

constexpr Millis kStartLimit(10000);
constexpr Millis kReadyLimit(20000);
constexpr Millis kToolLimit(30000);
constexpr Millis kPollEvery(20);
// If set in the environment, the folder with settings and logs is kept.
constexpr const char* kKeepVariable = "TANAGERSEAM_KEEP_LOGS";

std::string
MakeFolder()
{
  std::string path =
    (std::filesystem::temp_directory_path() / "tanagerseam-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("mkdtemp failed for the fleet's temporary folder");
  }
  return path;
}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace

Fleet::Fleet(FleetSettings aSettings)
  : settings(std::move(aSettings))
  , folder(MakeFolder())
{
  this->platform = { "platform", FreePort(), nullptr };
  this->proxy = { "faultproxy", FreePort(), nullptr };
  for (int i = 0; i < this->settings.engines; ++i) {
    this->engines.push_back(
      { "engine-" + std::to_string(i), FreePort(), nullptr });
  }
  for (int i = 0; i < this->settings.services; ++i) {
    this->services.push_back(
      { "service-" + std::to_string(i), FreePort(), nullptr });
  }
  for (int i = 0; i < this->settings.daemons; ++i) {
    DaemonProcess parts;
    parts.callerPort = FreePort();
    parts.peerPort = FreePort();
    parts.adminPort = FreePort();
    parts.logPort = this->platform.port;
    parts.advertisedPort = parts.peerPort;
    this->daemons.push_back(std::move(parts));
  }
}

Fleet::~Fleet()
{
  this->StopAll();
  if (getenv(kKeepVariable) == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }
}

void
Fleet::Start(const std::string& aDesired)
{
  this->StartStandins();
  for (int i = 0; i < this->settings.daemons; ++i) {
    this->StartDaemon(i);
  }
  const int exitCode = this->Apply(aDesired);
  if (exitCode != 0) {
    throw std::runtime_error("tanagerseam apply failed with exit code " +
                             std::to_string(exitCode) + "\n" +
                             this->LogTails());
  }
  for (int i = 0; i < this->settings.daemons; ++i) {
    if (!this->WaitReady(i, kReadyLimit)) {
      throw std::runtime_error("daemon " + std::to_string(i) +
                               " was not ready within 20 s, or exited\n" +
                               this->LogTails());
    }
  }
}

void
Fleet::StartStandins()
{
  this->StartStandin(
    this->platform, "standin-platform", this->settings.platformFlags);
  this->StartStandin(this->proxy, "standin-faultproxy", {});
  for (Standin& engine : this->engines) {
    std::vector<std::string> flags = this->settings.engineFlags;
    flags.push_back("--name=" + engine.name);
    const auto own = this->settings.flagsByEngine.find(engine.name);
    if (own != this->settings.flagsByEngine.end()) {
      flags.insert(flags.end(), own->second.begin(), own->second.end());
    }
    this->StartStandin(engine, "standin-engine", flags);
    this->endpointPorts[engine.name] = engine.port;
  }
  for (Standin& service : this->services) {
    this->StartStandin(service, "standin-service", {});
    this->endpointPorts[service.name] = service.port;
  }
  for (auto& [name, port] : this->endpointPorts) {
    if (this->settings.endpointLinks) {
      port = this->AddLink("endpoint-" + name, port);
    }
  }
  for (size_t i = 0; i < this->daemons.size(); ++i) {
    DaemonProcess& parts = this->daemons[i];
    if (this->settings.logLinks) {
      parts.logPort =
        this->AddLink("log-" + std::to_string(i), this->platform.port);
    }
    if (this->settings.peerLinks) {
      parts.advertisedPort =
        this->AddLink("peer-" + std::to_string(i), parts.peerPort);
    }
  }
}

void
Fleet::StartStandin(Standin& aStandin,
                    const std::string& aProgram,
                    const std::vector<std::string>& aFlags)
{
  std::vector<std::string> arguments = aFlags;
  arguments.push_back("--address=127.0.0.1");
  arguments.push_back("--port=" + std::to_string(aStandin.port));
  aStandin.process = std::make_unique<ChildProcess>(
    aProgram, arguments, this->folder + "/" + aStandin.name + ".log");
  HttpCall call;
  call.url = "http://" + LoopbackAddress(aStandin.port) + "/stats";
  const TimePoint start = Now();
  while (this->Perform(call).status == 0) {
    if (!aStandin.process->Running() || Now() - start > kStartLimit) {
      throw std::runtime_error(
        aStandin.name +
        " did not answer /stats within 10 s of its start, or exited\n" +
        this->LogTails());
    }
    std::this_thread::sleep_for(kPollEvery);
  }
}

uint16_t
Fleet::AddLink(const std::string& aName, uint16_t aTarget)
{
  const uint16_t port = FreePort();
  const nlohmann::json link = { { "name", aName },
                                { "listen", port },
                                { "target", LoopbackAddress(aTarget) } };
  this->CallStandin(this->proxy, "/links", &link);
  return port;
}

void
Fleet::StartDaemon(int aIndex)
{
  const std::string name = "daemon-" + std::to_string(aIndex);
  const std::string ini = this->WriteFile(name + ".ini", DaemonIni(aIndex));
  // The old process must end before the new one binds its ports.
  this->daemons.at(aIndex).process.reset();
  this->daemons.at(aIndex).process =
    std::make_unique<ChildProcess>("tanagerseamd",
                                   std::vector<std::string>{ "--config", ini },
                                   this->folder + "/" + name + ".log");
}

bool
Fleet::WaitReady(int aIndex, Millis aLimit)
{
  const TimePoint start = Now();
  while (this->Admin(aIndex, "/ready").status != 200) {
    if (!this->Daemon(aIndex).Running() || Now() - start > aLimit) {
      return false;
    }
    std::this_thread::sleep_for(kPollEvery);
  }
  return true;
}

int
Fleet::Apply(const std::string& aDesired)
{
  const std::string file = this->WriteDesiredFile("desired.ini", aDesired);
  std::string output;
  return this->RunTool(
    { "apply", file, "--log=" + this->LogAddress(), "--wait" }, output);
}

int
Fleet::RunTool(const std::vector<std::string>& aArguments, std::string& aOutput)
{
  const std::string log =
    this->folder + "/tool-" + std::to_string(this->toolRuns++) + ".log";
  ChildProcess tool("tanagerseam", aArguments, log);
  const auto exitCode = tool.Wait(kToolLimit);
  aOutput = ReadFile(log);
  if (!exitCode) {
    throw std::runtime_error("tanagerseam did not exit within 30 s\n" +
                             aOutput);
  }
  return *exitCode;
}

void
Fleet::StopAll()
{
  for (DaemonProcess& daemon : this->daemons) {
    daemon.process.reset();
  }
  for (auto* standins : { &this->engines, &this->services }) {
    for (Standin& standin : *standins) {
      standin.process.reset();
    }
  }
  this->proxy.process.reset();
  this->platform.process.reset();
}

HttpAnswer
Fleet::Perform(const HttpCall& aCall)
{
  HttpOutcome outcome = this->client.Perform(aCall);
  if (auto* answer = std::get_if<HttpAnswer>(&outcome)) {
    return std::move(*answer);
  }
  HttpAnswer none;
  none.body = std::get<TransportFailure>(outcome).detail;
  return none;
}

HttpAnswer
Fleet::Call(int aDaemon,
            const std::string& aMethod,
            const std::string& aPath,
            const HttpHeaders& aHeaders,
            const std::string& aBody,
            Millis aTimeout)
{
  HttpCall call;
  call.method = aMethod;
  call.url = "http://" + this->CallerAddress(aDaemon) + aPath;
  call.headers = aHeaders;
  call.body = aBody;
  call.timeout = aTimeout;
  // A fresh connection keeps libcurl from retrying: tests count executions.
  call.freshConnection = true;
  return this->Perform(call);
}

HttpAnswer
Fleet::Admin(int aDaemon, const std::string& aPath)
{
  HttpCall call;
  call.url =
    "http://" + LoopbackAddress(this->daemons.at(aDaemon).adminPort) + aPath;
  call.timeout = Millis(5000);
  call.freshConnection = true;
  return this->Perform(call);
}

std::string
Fleet::CallerAddress(int aDaemon) const
{
  return LoopbackAddress(this->daemons.at(aDaemon).callerPort);
}

std::string
Fleet::EngineAddress(int aIndex) const
{
  return LoopbackAddress(this->engines.at(aIndex).port);
}

std::string
Fleet::ServiceAddress(int aIndex) const
{
  return LoopbackAddress(this->services.at(aIndex).port);
}

std::string
Fleet::LogAddress() const
{
  return LoopbackAddress(this->platform.port);
}

std::string
Fleet::LinkAddress(const std::string& aEndpoint) const
{
  return LoopbackAddress(this->endpointPorts.at(aEndpoint));
}

std::string
Fleet::LogTails() const
{
  std::string text;
  for (const auto& entry : std::filesystem::directory_iterator(this->folder)) {
    if (entry.path().extension() == ".log") {
      const std::string content = ReadFile(entry.path().string());
      constexpr size_t kTailBytes = 4000;
      const size_t skip =
        content.size() > kTailBytes ? content.size() - kTailBytes : 0;
      text += "== " + entry.path().filename().string() + "\n" +
              content.substr(skip) + "\n";
    }
  }
  return text;
}

} // namespace tanagerseam::testing_support
