// Fault injection into a fleet's stand-ins, and reading their statistics.
#include "tests/support/fleet.h"

#include <algorithm>
#include <stdexcept>

#include "tests/support/free_port.h"

namespace tanagerseam::testing_support {

HttpAnswer
Fleet::CallStandin(const Standin& aStandin,
                   const std::string& aPath,
                   const nlohmann::json* aBody)
{
  HttpCall call;
  call.url = "http://" + LoopbackAddress(aStandin.port) + aPath;
  if (aBody != nullptr) {
    call.method = "POST";
    call.body = aBody->dump();
  }
  HttpAnswer answer = this->Perform(call);
  if (answer.status != 200) {
    throw std::runtime_error(aStandin.name + " " + aPath + ": " +
                             std::to_string(answer.status) + " " + answer.body);
  }
  return answer;
}

void
Fleet::SetLogMode(const nlohmann::json& aControl)
{
  this->CallStandin(this->platform, "/control", &aControl);
}

void
Fleet::SetService(int aIndex, const nlohmann::json& aControl)
{
  this->CallStandin(this->services.at(aIndex), "/control", &aControl);
}

void
Fleet::SetEngine(int aIndex, const nlohmann::json& aControl)
{
  this->CallStandin(this->engines.at(aIndex), "/control", &aControl);
}

void
Fleet::SetFault(const std::string& aLink,
                const std::string& aKind,
                nlohmann::json aMore)
{
  aMore["link"] = aLink;
  aMore["kind"] = aKind;
  this->CallStandin(this->proxy, "/fault", &aMore);
}

nlohmann::json
Fleet::LinkStats()
{
  return nlohmann::json::parse(this->CallStandin(this->proxy, "/stats").body);
}

nlohmann::json
Fleet::ServiceStats(int aIndex)
{
  return nlohmann::json::parse(
    this->CallStandin(this->services.at(aIndex), "/stats").body);
}

std::string
Fleet::EngineRequests(int aIndex)
{
  return this->CallStandin(this->engines.at(aIndex), "/seen").body;
}

nlohmann::json
Fleet::EngineStats(int aIndex)
{
  return nlohmann::json::parse(
    this->CallStandin(this->engines.at(aIndex), "/stats").body);
}

std::map<std::string, int64_t>
Fleet::ExecutionCounts()
{
  std::map<std::string, int64_t> sum;
  for (const Standin& service : this->services) {
    const auto json =
      nlohmann::json::parse(this->CallStandin(service, "/counts").body);
    for (const auto& [key, count] : json.items()) {
      sum[key] += count.get<int64_t>();
    }
  }
  return sum;
}

std::map<std::string, std::vector<double>>
Fleet::ArrivalTimes()
{
  return this->TimesByName("/arrivals");
}

std::map<std::string, std::vector<double>>
Fleet::ExecutionTimes()
{
  return this->TimesByName("/executions");
}

std::map<std::string, std::vector<double>>
Fleet::TimesByName(const std::string& aPath)
{
  std::map<std::string, std::vector<double>> all;
  for (const Standin& service : this->services) {
    const auto json =
      nlohmann::json::parse(this->CallStandin(service, aPath).body);
    for (const auto& [name, times] : json.items()) {
      for (const double time : times.get<std::vector<double>>()) {
        all[name].push_back(time);
      }
    }
  }
  for (auto& entry : all) {
    std::sort(entry.second.begin(), entry.second.end());
  }
  return all;
}

std::string
Fleet::ReceivedRequests()
{
  std::string text;
  for (const auto* standins : { &this->engines, &this->services }) {
    for (const Standin& standin : *standins) {
      text += this->CallStandin(standin, "/seen").body;
    }
  }
  return text;
}

std::string
Fleet::DumpLog()
{
  return this->CallStandin(this->platform, "/log/tanagerseam/dump").body;
}

} // namespace tanagerseam::testing_support
