#include "bench/deployment.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>
#include <sstream>

namespace tanagerseam::bench {

namespace {

using testing_support::Fleet;
using testing_support::FleetSettings;

constexpr const char* kModel = "bench-model";
constexpr const char* kRoute = "tools";
// Burst of an organisation, in seconds of its rate.
constexpr double kBurstSeconds = 4;
constexpr double kMinBurst = 30;
// Index of utime among the fields of /proc/PID/stat after the process name; the
// first of them, state, has index 0.
constexpr int kUserTimeField = 11;

std::string
ApiKeyOf(const OrganisationShare& aOrganisation)
{
  return std::string("bench-key-of-") + aOrganisation.name;
}

FleetSettings
SettingsOf(const RunSettings& aRun)
{
  FleetSettings fleet;
  fleet.daemons = aRun.workload->daemons;
  fleet.engines = aRun.workload->engines;
  fleet.services = aRun.workload->services;
  fleet.models = kModel;
  fleet.logLevel = "warn";
  fleet.engineFlags = {
    "--slots=" + std::to_string(aRun.engineSlots),
    "--knee=" + std::to_string(aRun.engineSlots),
    "--prefill_ms_per_token=" +
      std::to_string(aRun.engineTimes.prefillMillisPerToken),
    "--decode_ms_per_token=" +
      std::to_string(aRun.engineTimes.decodeMillisPerToken),
    "--time_scale=" + std::to_string(aRun.timeScale),
    "--cache_tokens=" + std::to_string(aRun.cacheCapacityTokens),
  };
  for (int i = 0; i < fleet.engines; ++i) {
    fleet.endpointKeys["engine-" + std::to_string(i)] =
      "capacity = " + std::to_string(aRun.engineSlots);
  }
  fleet.daemonSections = "[route]\nqueue_policy = " + aRun.policies.queue +
                         "\nendpoint_policy = " + aRun.policies.endpoint +
                         "\n[limits]\nrate_policy = " + aRun.policies.rate +
                         "\n";
  return fleet;
}

// User plus system CPU time of a process, in clock ticks; 0 if it has exited.
int64_t
ProcessCpuTicks(pid_t aId)
{
  std::ifstream file("/proc/" + std::to_string(aId) + "/stat");
  std::string text;
  std::getline(file, text);
  const size_t nameEnd = text.rfind(')');
  if (nameEnd == std::string::npos) {
    return 0;
  }
  std::istringstream fields(text.substr(nameEnd + 1));
  std::string skipped;
  for (int i = 0; i < kUserTimeField; ++i) {
    fields >> skipped;
  }
  int64_t user = 0;
  int64_t system = 0;
  fields >> user >> system;
  return user + system;
}

} // namespace

RateLimit
RateLimitOf(const RunSettings& aRun, size_t aOrganisation)
{
  const Workload& workload = *aRun.workload;
  const double mean = aRun.nominalProgramsPerSecond *
                      workload.organisations.at(aOrganisation).share *
                      MeanRequestsPerProgram(workload);
  const double rate = mean * aRun.rateMargin;
  return { rate, std::max(kMinBurst, rate * kBurstSeconds) };
}

Deployment::Deployment(const RunSettings& aSettings)
  : settings(aSettings)
  , fleet(std::make_unique<Fleet>(SettingsOf(aSettings)))
{
}

void
Deployment::Start()
{
  this->fleet->Start(this->BaseConfigText());
}

std::string
Deployment::BaseConfigText() const
{
  const Workload& workload = *this->settings.workload;
  std::ostringstream text;
  for (size_t i = 0; i < workload.organisations.size(); ++i) {
    const OrganisationShare& organisation = workload.organisations[i];
    const RateLimit limit = RateLimitOf(this->settings, i);
    text << "[organisation " << organisation.name
         << "]\nrate_per_s = " << limit.ratePerSecond
         << "\nburst = " << limit.burst << "\nweight = " << organisation.share
         << "\n[key key-" << organisation.name
         << "]\norganisation = " << organisation.name
         << "\nsha256 = " << Sha256Hex(ApiKeyOf(organisation)) << "\n";
  }
  text << "[route " << kRoute << "]\nendpoints = ";
  for (int i = 0; i < workload.services; ++i) {
    text << (i > 0 ? ", " : "") << "service-" << i;
  }
  text << "\nrepeatable = false\n";
  return text.str();
}

CallerConfig
Deployment::MakeCallerConfig() const
{
  CallerConfig config;
  for (int i = 0; i < this->settings.workload->daemons; ++i) {
    config.daemons.push_back(this->fleet->CallerAddress(i));
  }
  config.model = kModel;
  config.route = kRoute;
  for (const OrganisationShare& organisation :
       this->settings.workload->organisations) {
    config.keys.push_back(ApiKeyOf(organisation));
  }
  return config;
}

EngineTotals
Deployment::ReadEngineTotals()
{
  EngineTotals totals;
  for (int i = 0; i < this->settings.workload->engines; ++i) {
    HttpCall call;
    call.url = "http://" + this->fleet->EngineAddress(i) + "/stats";
    const HttpOutcome outcome = this->client.Perform(call);
    const auto* answer = std::get_if<HttpAnswer>(&outcome);
    if (answer == nullptr) {
      continue;
    }
    const auto json = nlohmann::json::parse(answer->body);
    totals.prefilled += json.at("prefilled_tokens").get<int64_t>();
    totals.cached += json.at("cached_tokens").get<int64_t>();
    totals.generated += json.at("generated_tokens").get<int64_t>();
  }
  return totals;
}

std::map<std::string, double>
Deployment::SumMetricByLabel(const std::string& aName)
{
  // Sample line: NAME{LABEL="VALUE"} NUMBER
  const std::regex line(aName + "\\{[a-z]+=\"([^\"]*)\"\\} (\\S+)");
  std::map<std::string, double> sums;
  for (int i = 0; i < this->settings.workload->daemons; ++i) {
    const HttpAnswer page = this->fleet->Admin(i, "/metrics");
    for (std::sregex_iterator it(page.body.begin(), page.body.end(), line), end;
         it != end;
         ++it) {
      sums[(*it)[1]] += std::stod((*it)[2]);
    }
  }
  return sums;
}

double
Deployment::DaemonCpuSeconds()
{
  int64_t ticks = 0;
  for (int i = 0; i < this->settings.workload->daemons; ++i) {
    ticks += ProcessCpuTicks(this->fleet->Daemon(i).Id());
  }
  return double(ticks) / double(sysconf(_SC_CLK_TCK));
}

void
Deployment::InjectFault(Fault aFault, int aRound, Millis aInterval)
{
  switch (aFault) {
    case Fault::kNone:
      return;
    case Fault::kEngineFrozen:
      this->fleet->SetEngine(aRound % this->settings.workload->engines,
                             { { "freeze_ms", aInterval.count() } });
      return;
    case Fault::kDaemonKilled:
      if (aRound == 0) {
        this->fleet->Daemon(0).Kill();
      }
      return;
    case Fault::kEndpointLeaving:
      this->ApplyLeavingEndpoint(aRound % this->settings.workload->engines);
      return;
  }
}

std::string
Deployment::EngineConfigSection(int aIndex, bool aLeaving) const
{
  const std::string name = "engine-" + std::to_string(aIndex);
  return "[endpoint " + name +
         "]\nkind = model_engine\naddress = " + this->fleet->LinkAddress(name) +
         "\nmodels = " + kModel +
         "\ncapacity = " + std::to_string(this->settings.engineSlots) +
         "\nleaving = " + (aLeaving ? "true" : "false") + "\n";
}

void
Deployment::ApplyLeavingEndpoint(int aLeavingIndex)
{
  std::string text = this->BaseConfigText();
  for (int i = 0; i < this->settings.workload->engines; ++i) {
    text += this->EngineConfigSection(i, i == aLeavingIndex);
  }
  for (int i = 0; i < this->settings.workload->services; ++i) {
    const std::string name = "service-" + std::to_string(i);
    text += "[endpoint " + name +
            "]\nkind = plain\naddress = " + this->fleet->LinkAddress(name) +
            "\n";
  }
  const auto path = std::filesystem::temp_directory_path() /
                    ("tanagerseam-bench-" + std::to_string(getpid()) + ".ini");
  std::ofstream(path) << text;
  std::string output;
  const int exitCode = this->fleet->RunTool(
    { "apply", path.string(), "--log=" + this->fleet->LogAddress(), "--wait" },
    output);
  std::filesystem::remove(path);
  if (exitCode != 0) {
    throw std::runtime_error("tanagerseam apply failed: " + output);
  }
}

MachineCpuTicks
ReadMachineCpuTicks()
{
  std::ifstream file("/proc/stat");
  std::string name;
  file >> name;
  MachineCpuTicks ticks;
  // Order: user, nice, system, idle, iowait, irq, softirq, steal.
  constexpr int kFields = 8;
  constexpr int kIdle = 3;
  constexpr int kIoWait = 4;
  for (int i = 0; i < kFields; ++i) {
    int64_t value = 0;
    file >> value;
    ticks.total += value;
    ticks.busy += i == kIdle || i == kIoWait ? 0 : value;
  }
  return ticks;
}

} // namespace tanagerseam::bench
