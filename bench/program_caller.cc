#include "bench/program_caller.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace tanagerseam::bench {

namespace {

using Json = nlohmann::json;

constexpr int kMaxAttempts = 6;
constexpr Millis kRetryDelay(150);
constexpr Millis kMinTimeout(1);
constexpr int kOk = 200;
constexpr int kFirstNonSuccess = 300;
constexpr int kUnavailable = 503;

const char*
KindOf(const HttpCall& aCall)
{
  if (aCall.method == "DELETE") {
    return "end";
  }
  const auto has = [&aCall](const char* aPath) {
    return aCall.url.find(aPath) != std::string::npos;
  };
  return has("/v1/services/") ? "service" : has("/v1/chat/") ? "model" : "open";
}

// Refusal name of a response that is not 2xx.
std::string
ReasonOf(const HttpAnswer& aAnswer)
{
  if (aAnswer.status == 0) {
    return "no_answer";
  }
  if (auto reason = FirstHeader(aAnswer.headers, "X-Refusal")) {
    return *reason;
  }
  return "status_" + std::to_string(aAnswer.status);
}

} // namespace

void
RunRecords::Add(const RequestRecord& aRecord)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->requests.push_back(aRecord);
}

void
RunRecords::Add(const ProgramRecord& aRecord)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->programs.push_back(aRecord);
}

std::vector<RequestRecord>
RunRecords::Requests() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->requests;
}

std::vector<ProgramRecord>
RunRecords::Programs() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->programs;
}

ProgramCaller::ProgramCaller(HttpClient& aClient,
                             const CallerConfig& aConfig,
                             RunRecords& aRecords,
                             size_t aOrganisation,
                             uint64_t aSeed)
  : client(aClient)
  , config(aConfig)
  , records(aRecords)
  , organisation(aOrganisation)
  , program(aRecords.NextProgramNumber())
  , random(aSeed)
{
}

void
ProgramCaller::Run(const ProgramPlan& aPlan,
                   TimePoint aArrival,
                   TimePoint aDeadline,
                   double aIdealMillis)
{
  this->deadline = aDeadline;
  this->lastAnswer = aArrival;
  ProgramRecord record;
  record.program = this->program;
  record.organisation = this->organisation;
  record.className = aPlan.className;
  record.urgency = aPlan.urgency;
  record.arrivedAt = aArrival;
  record.idealMillis = aIdealMillis;
  record.reason = this->RunPlan(aPlan, "");
  record.finished = record.reason.empty();
  const TimePoint end = record.finished ? this->lastAnswer : Now();
  record.latencyMillis = double(MillisBetween(aArrival, end));
  this->records.Add(record);
}

std::string
ProgramCaller::RunPlan(const ProgramPlan& aPlan, const std::string& aParent)
{
  Json open{ { "urgency", aPlan.urgency } };
  if (!aParent.empty()) {
    constexpr int kSubAgentTokenBudget = 60000;
    open["parent"] = aParent;
    open["budget_tokens"] = kSubAgentTokenBudget;
  }
  std::string answer;
  std::string refusal =
    this->Call("POST", "/v1/programs", {}, open.dump(), answer);
  if (!refusal.empty()) {
    return refusal;
  }
  const std::string program = Json::parse(answer).at("id");
  refusal = this->RunTurns(aPlan, program);
  const TimePoint end = this->lastAnswer;
  if (Now() < this->deadline) {
    this->Call("DELETE", "/v1/programs/" + program, {}, "", answer);
  }
  // The latency excludes the request that ends the program: the caller already
  // has its result.
  this->lastAnswer = end;
  return refusal;
}

std::string
ProgramCaller::RunTurns(const ProgramPlan& aPlan, const std::string& aProgram)
{
  int64_t number = 1;
  for (const PlannedTurn& turn : aPlan.turns) {
    std::string refusal = this->RunModelCall(aPlan, turn, aProgram, number);
    ++number;
    if (refusal.empty() && turn.hasToolCall) {
      std::string ignored;
      refusal = this->Call(
        "POST",
        "/v1/services/" + this->config.route + "/run/tool",
        { { "X-Program", aProgram }, { "X-Call", std::to_string(number) } },
        "{}",
        ignored);
      ++number;
    }
    if (refusal.empty() && turn.subAgent) {
      refusal = this->RunPlan(*turn.subAgent, aProgram);
    }
    if (!refusal.empty()) {
      return refusal;
    }
    std::this_thread::sleep_for(turn.pause);
  }
  return "";
}

std::string
ProgramCaller::RunModelCall(const ProgramPlan& aPlan,
                            const PlannedTurn& aTurn,
                            const std::string& aProgram,
                            int64_t aNumber)
{
  Json messages = Json::array();
  if (aNumber == 1 && !aPlan.parentPrompt.empty()) {
    messages.push_back(
      { { "role", "user" }, { "content", aPlan.parentPrompt } });
  }
  messages.push_back({ { "role", "user" }, { "content", aTurn.prompt } });
  const Json body{ { "model", this->config.model },
                   { "max_tokens", aTurn.completionTokens },
                   { "messages", std::move(messages) } };
  std::string answer;
  std::string refusal = this->Call(
    "POST",
    "/v1/chat/completions",
    { { "X-Program", aProgram }, { "X-Call", std::to_string(aNumber) } },
    body.dump(),
    answer);
  if (refusal.empty()) {
    this->records.AddNeededTokens(aTurn.promptTokens);
    this->records.AddModelCall();
  }
  return refusal;
}

std::string
ProgramCaller::Call(const std::string& aMethod,
                    const std::string& aPath,
                    const HttpHeaders& aHeaders,
                    const std::string& aBody,
                    std::string& aAnswer)
{
  HttpCall call;
  call.method = aMethod;
  call.headers = aHeaders;
  call.headers.push_back(
    { "Authorization", "Bearer " + this->config.keys.at(this->organisation) });
  call.headers.push_back({ "Content-Type", "application/json" });
  call.body = aBody;
  std::string reason;
  for (int attempt = 1; attempt <= kMaxAttempts; ++attempt) {
    if (Now() >= this->deadline) {
      return reason.empty() ? "bench_deadline" : reason;
    }
    const size_t daemonIndex = this->random() % this->config.daemons.size();
    call.url = "http://" + this->config.daemons[daemonIndex] + aPath;
    call.timeout =
      std::max(kMinTimeout, Millis(MillisBetween(Now(), this->deadline)));
    const HttpAnswer answer = this->CallOnce(call);
    if (answer.status >= kOk && answer.status < kFirstNonSuccess) {
      this->lastAnswer = Now();
      aAnswer = answer.body;
      return "";
    }
    reason = ReasonOf(answer);
    if (answer.status != 0 && answer.status != kUnavailable) {
      return reason;
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
  return reason;
}

HttpAnswer
ProgramCaller::CallOnce(const HttpCall& aCall)
{
  RequestRecord record;
  record.sentAt = Now();
  record.organisation = this->organisation;
  record.program = this->program;
  HttpOutcome outcome = this->client.Perform(aCall);
  HttpAnswer answer;
  if (auto* got = std::get_if<HttpAnswer>(&outcome)) {
    answer = std::move(*got);
  }
  record.duration = Millis(MillisBetween(record.sentAt, Now()));
  record.kind = KindOf(aCall);
  record.status = answer.status;
  if (answer.status < kOk || answer.status >= kFirstNonSuccess) {
    record.reason = ReasonOf(answer);
  }
  this->records.Add(record);
  return answer;
}

} // namespace tanagerseam::bench
