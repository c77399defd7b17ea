#include "bench/report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "bench/plot.h"

namespace tanagerseam::bench {

namespace {

// In the order of the table rows.
const std::vector<std::string> kMeasureNames = {
  "latency_p50_ms",     "latency_p95_ms",     "latency_p99_ms",
  "urgent_p50_ms",      "urgent_p95_ms",      "urgent_p99_ms",
  "normal_p95_ms",      "background_p95_ms",  "wasted_tokens",
  "wasted_per_needed",  "worst_served",       "entitled_share",
  "wrongful_share",     "unfinished_share",   "programs",
  "model_calls_per_s",  "requests_per_cpu_s", "machine_busy",
  "moved_per_needed",   "evicted_per_needed", "sub_agent_per_needed",
  "queue_ms",           "start_record_ms",    "engine_ms",
  "finish_record_ms",   "open_request_ms",    "model_request_ms",
  "service_request_ms", "end_request_ms",     "ideal_p95_ms",
};

std::string
FormatNumber(double aValue)
{
  std::ostringstream text;
  const double magnitude = std::abs(aValue);
  text.precision(magnitude >= 100 ? 0 : magnitude >= 1 ? 2 : 4);
  text << std::fixed << aValue;
  return text.str();
}

std::string
FormatSpread(const Spread& aSpread)
{
  return FormatNumber(aSpread.median) + " (" + FormatNumber(aSpread.minimum) +
         " to " + FormatNumber(aSpread.maximum) + ")";
}

nlohmann::json
SpreadJson(const Spread& aSpread)
{
  return { { "median", aSpread.median },
           { "least", aSpread.minimum },
           { "most", aSpread.maximum } };
}

std::string
TargetLine(const std::string& aWhat,
           const std::string& aTarget,
           const Spread& aSpread,
           bool aMet)
{
  return aWhat + ": target " + aTarget + ", measured " + FormatSpread(aSpread) +
         (aMet ? ": met\n" : ": MISSED\n");
}

} // namespace

double
QuantileOf(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  return aValues[size_t(aShare * double(aValues.size() - 1))];
}

Measures
MeasuresOf(const RunResult& aResult)
{
  Measures out;
  const std::vector<std::pair<std::string, double>> shares = {
    { "_p50_ms", 0.5 }, { "_p95_ms", 0.95 }, { "_p99_ms", 0.99 }
  };
  for (const auto& [name, share] : shares) {
    out["latency" + name] = QuantileOf(aResult.latencies, share);
    for (const auto& [urgency, values] : aResult.latenciesByUrgency) {
      out[urgency + name] = QuantileOf(values, share);
    }
  }
  out["ideal_p95_ms"] = QuantileOf(aResult.idealLatencies, 0.95);
  const int64_t wasted = aResult.prefilledTokens - aResult.neededTokens;
  out["wasted_tokens"] = double(std::max<int64_t>(0, wasted));
  out["wasted_per_needed"] =
    double(wasted) / double(std::max<int64_t>(1, aResult.neededTokens));
  for (const auto& [cause, tokens] : aResult.prefilledByCause) {
    out[cause + "_per_needed"] =
      tokens / double(std::max<int64_t>(1, aResult.neededTokens));
  }
  for (const auto& [kind, millis] : aResult.meanRequestMillis) {
    out[kind + "_request_ms"] = millis;
  }
  for (const auto& [part, millis] : aResult.meanCallPartMillis) {
    out[part + "_ms"] = millis;
  }
  out["worst_served"] = aResult.worstServedShare;
  out["entitled_share"] = aResult.entitledShare;
  out["wrongful_share"] = double(aResult.wrongfulRefusals) /
                          double(std::max<int64_t>(1, aResult.requests));
  out["unfinished_share"] =
    double(aResult.unfinished) / double(std::max<int64_t>(1, aResult.programs));
  out["programs"] = double(aResult.programs);
  out["model_calls_per_s"] = aResult.modelCallsPerSecond;
  out["requests_per_cpu_s"] = aResult.requestsPerCpuSecond;
  out["machine_busy"] = aResult.machineBusy;
  return out;
}

Spread
SpreadOf(const std::vector<double>& aValues)
{
  if (aValues.empty()) {
    return {};
  }
  const auto [minimum, maximum] =
    std::minmax_element(aValues.begin(), aValues.end());
  return { QuantileOf(aValues, 0.5), *minimum, *maximum };
}

void
Report::Add(Run aRun)
{
  this->runs.push_back(std::move(aRun));
}

void
Report::SetField(const std::string& aName, nlohmann::json aValue)
{
  this->topLevelFields[aName] = std::move(aValue);
}

std::vector<std::pair<std::string, std::string>>
Report::WorkloadScenarios() const
{
  std::vector<std::pair<std::string, std::string>> groups;
  for (const Run& run : this->runs) {
    const std::pair<std::string, std::string> group{ run.workload,
                                                     run.scenario };
    if (std::find(groups.begin(), groups.end(), group) == groups.end()) {
      groups.push_back(group);
    }
  }
  return groups;
}

std::vector<std::string>
Report::PoliciesOf(const std::string& aWorkload,
                   const std::string& aScenario) const
{
  std::vector<std::string> names;
  for (const Run& run : this->runs) {
    const bool isNew =
      std::find(names.begin(), names.end(), run.policy) == names.end();
    if (run.workload == aWorkload && run.scenario == aScenario && isNew) {
      names.push_back(run.policy);
    }
  }
  return names;
}

std::vector<double>
Report::ValuesOf(const std::string& aWorkload,
                 const std::string& aScenario,
                 const std::string& aPolicy,
                 const std::string& aMeasure) const
{
  std::vector<double> values;
  for (const Run& run : this->runs) {
    const auto found = run.measures.find(aMeasure);
    if (run.workload == aWorkload && run.scenario == aScenario &&
        run.policy == aPolicy && found != run.measures.end()) {
      values.push_back(found->second);
    }
  }
  return values;
}

Report::PolicySpreads
Report::SpreadsOf(const std::string& aWorkload,
                  const std::string& aScenario,
                  const std::string& aMeasure) const
{
  PolicySpreads spreads;
  for (const std::string& policy : this->PoliciesOf(aWorkload, aScenario)) {
    spreads.emplace_back(
      policy, SpreadOf(this->ValuesOf(aWorkload, aScenario, policy, aMeasure)));
  }
  return spreads;
}

Spread
Report::RatioOf(const std::string& aWorkload,
                const std::string& aScenario,
                const std::string& aMeasure,
                const std::string& aPolicy,
                const std::string& aBase) const
{
  const auto values = this->ValuesOf(aWorkload, aScenario, aPolicy, aMeasure);
  const auto base = this->ValuesOf(aWorkload, aScenario, aBase, aMeasure);
  std::vector<double> ratios;
  for (size_t i = 0; i < std::min(values.size(), base.size()); ++i) {
    if (base[i] > 0) {
      ratios.push_back(values[i] / base[i]);
    }
  }
  return SpreadOf(ratios);
}

std::string
Report::TargetsText() const
{
  constexpr double kMinLatencyRatio = 2;
  constexpr double kMaxWasteRatio = 0.25;
  constexpr double kMinServedShare = 0.95;
  constexpr double kMaxWrongfulShareOnKill = 0.001;
  std::string text;
  for (const auto& [workload, scenario] : this->WorkloadScenarios()) {
    const std::string where = workload + " " + scenario + ": ";
    const auto policies = this->PoliciesOf(workload, scenario);
    const auto has = [&policies](const std::string& aName) {
      return std::find(policies.begin(), policies.end(), aName) !=
             policies.end();
    };
    if (scenario == "load" && has("ours") && has("least_load")) {
      const Spread ratio = this->RatioOf(
        workload, scenario, "latency_p95_ms", "least_load", "ours");
      text += TargetLine(where + "latency p95, least_load over ours",
                         ">= 2",
                         ratio,
                         ratio.median >= kMinLatencyRatio);
    }
    if (scenario == "load" && has("ours") && has("round_robin")) {
      const Spread ratio = this->RatioOf(
        workload, scenario, "wasted_tokens", "ours", "round_robin");
      text += TargetLine(where + "wasted prefill tokens, ours over round_robin",
                         "<= 0.25",
                         ratio,
                         ratio.median <= kMaxWasteRatio);
    }
    if (!has("ours")) {
      continue;
    }
    if (scenario == "fairness") {
      const Spread served =
        SpreadOf(this->ValuesOf(workload, scenario, "ours", "worst_served"));
      text += TargetLine(where + "worst-served organisation",
                         ">= 0.95",
                         served,
                         served.minimum >= kMinServedShare);
    }
    const bool isKill = scenario == "kill";
    const Spread wrongful =
      SpreadOf(this->ValuesOf(workload, scenario, "ours", "wrongful_share"));
    text += TargetLine(where + "wrongful refusals",
                       isKill ? "< 0.001" : "0",
                       wrongful,
                       isKill ? wrongful.maximum < kMaxWrongfulShareOnKill
                              : wrongful.maximum == 0);
  }
  return text;
}

std::string
Report::Text() const
{
  std::ostringstream text;
  for (const auto& [workload, scenario] : this->WorkloadScenarios()) {
    text << "\n## " << workload << ", " << scenario << "\n\n| measure |";
    const auto policies = this->PoliciesOf(workload, scenario);
    for (const std::string& policy : policies) {
      text << " " << policy << " |";
    }
    text << "\n|---|";
    for (size_t i = 0; i < policies.size(); ++i) {
      text << "---|";
    }
    text << "\n";
    for (const std::string& measure : kMeasureNames) {
      text << "| " << measure << " |";
      for (const auto& [policy, spread] :
           this->SpreadsOf(workload, scenario, measure)) {
        text << " " << FormatSpread(spread) << " |";
      }
      text << "\n";
    }
  }
  text << "\n## targets\n\n" << this->TargetsText();
  return text.str();
}

void
Report::Write(const std::string& aFolder) const
{
  std::filesystem::create_directories(aFolder);
  nlohmann::json json = this->topLevelFields;
  json["runs"] = nlohmann::json::array();
  for (const Run& run : this->runs) {
    json["runs"].push_back({ { "workload", run.workload },
                             { "scenario", run.scenario },
                             { "policy", run.policy },
                             { "seed", run.seed },
                             { "measures", run.measures },
                             { "unfinished_reasons", run.unfinishedReasons },
                             { "wrongful_reasons", run.wrongfulReasons } });
  }
  json["spreads"] = nlohmann::json::object();
  for (const auto& [workload, scenario] : this->WorkloadScenarios()) {
    for (const std::string& measure : kMeasureNames) {
      const auto spreads = this->SpreadsOf(workload, scenario, measure);
      std::vector<PlotBar> bars;
      for (const auto& [policy, spread] : spreads) {
        json["spreads"][workload][scenario][measure][policy] =
          SpreadJson(spread);
        bars.push_back(
          { policy, spread.median, spread.minimum, spread.maximum });
      }
      std::string name = workload;
      name.append("-").append(scenario).append("-").append(measure);
      std::ofstream(aFolder + "/" + name + ".svg")
        << PlotSvg(workload + ", " + scenario + ": " + measure, bars);
    }
  }
  json["targets"] = this->TargetsText();
  std::ofstream(aFolder + "/results.json") << json.dump(2) << "\n";
}

} // namespace tanagerseam::bench
