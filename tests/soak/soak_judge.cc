#include "tests/soak/soak_judge.h"

#include <algorithm>

#include "tests/soak/soak_text.h"

namespace tanagerseam::soak {

namespace {

struct CallTypeName
{
  CallType type;
  std::string_view name;
};

constexpr CallTypeName kCallTypes[] = {
  { CallType::kTurn, "ask" },
  { CallType::kLookup, "look" },
  { CallType::kCharge, "charge" },
};

// Statuses that guarantee that the call was not and will not be executed.
const std::set<int> kNotExecutedStatuses = { 402, 408, 421, 429, 503 };

// Longest part of a response that a violation shows.
constexpr size_t kMaxShownBytes = 160;

// aBytes in quotes, on one line.
std::string
Quoted(const std::string& aBytes)
{
  std::string text = "'";
  for (char byte : aBytes) {
    text += byte == '\r' ? "\\r" : byte == '\n' ? "\\n" : std::string(1, byte);
  }
  return text + "'";
}

// The same, shortened.
std::string
Shown(const std::string& aBytes)
{
  return Quoted(aBytes.substr(0, kMaxShownBytes)) +
         (aBytes.size() > kMaxShownBytes ? "..." : "");
}

bool
IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

bool
IsFinalStatus(int aStatus)
{
  return aStatus >= 200 && aStatus < 600;
}

// What is wrong with a response whose digest an endpoint gave, with aProduced;
// empty if nothing is.
std::string
DifferenceFrom(const ProducedResponse& aProduced,
               const ReceivedResponse& aReceived)
{
  if (aReceived.status != aProduced.status) {
    return "status " + std::to_string(aReceived.status) +
           " where the endpoint gave " + std::to_string(aProduced.status) +
           ", digest " + aReceived.digest;
  }
  const bool completeSuccess =
    aReceived.complete && IsSuccess(aReceived.status);
  if (completeSuccess && aReceived.body != aProduced.body) {
    return "not the body of digest " + aReceived.digest + ": " +
           Shown(aReceived.body);
  }
  return "";
}

// What is wrong with a response to a call for which endpoints produced
// aProduced; empty if nothing is.
std::string
FaultOf(const ReceivedResponse& aReceived,
        const std::vector<ProducedResponse>& aProduced)
{
  if (aReceived.complete && !IsFinalStatus(aReceived.status)) {
    return "complete with status " + std::to_string(aReceived.status);
  }
  if (aReceived.digest.empty()) {
    return aReceived.complete && IsSuccess(aReceived.status)
             ? "a success without a digest: " + Shown(aReceived.body)
             : "";
  }
  const auto given = std::find_if(aProduced.begin(),
                                  aProduced.end(),
                                  [&aReceived](const ProducedResponse& aOne) {
                                    return aOne.digest == aReceived.digest;
                                  });
  return given == aProduced.end()
           ? "digest " + aReceived.digest +
               ", which no endpoint gave to this call: " + Shown(aReceived.body)
           : DifferenceFrom(*given, aReceived);
}

} // namespace

std::string_view
NameOf(CallType aType)
{
  for (const CallTypeName& row : kCallTypes) {
    if (row.type == aType) {
      return row.name;
    }
  }
  return "unknown";
}

size_t
MaxEndpoints(CallType aType)
{
  // As the configuration of the fleet says.
  return aType == CallType::kTurn ? 1 : 2;
}

SoakChecker::SoakChecker(CheckerSettings aSettings)
  : settings(std::move(aSettings))
{
}

void
SoakChecker::AddViolation(const char* aInvariant,
                          const CallRecord& aRecord,
                          std::string aDetail)
{
  this->violations.push_back(std::string(aInvariant) + ": " +
                             std::string(NameOf(aRecord.call.type)) + " " +
                             aRecord.call.id + " of program " +
                             aRecord.call.program + ": " + std::move(aDetail));
}

void
SoakChecker::ReportViolation(const std::string& aViolation)
{
  this->violations.push_back(aViolation);
}

void
SoakChecker::OnCallSent(SentCall aCall)
{
  const std::string id = aCall.id;
  this->calls[id].call = std::move(aCall);
}

void
SoakChecker::OnKeyWithdrawn(const std::string& aKey, TimePoint aAt)
{
  this->withdrawnAt[aKey] = aAt;
}

void
SoakChecker::OnCallExecuted(const ExecutedCall& aExecuted)
{
  auto found = this->calls.find(aExecuted.id);
  if (found == this->calls.end()) {
    this->violations.push_back("wrong_request: executed " + aExecuted.id +
                               ", which no client sent");
    return;
  }
  CallRecord& record = found->second;
  record.executions.push_back(aExecuted);
  if (aExecuted.body != record.call.expectedBody) {
    this->AddViolation("wrong_request",
                       record,
                       "body '" + aExecuted.body + "' instead of '" +
                         record.call.expectedBody + "'");
  }
  if (aExecuted.organisation != record.call.organisation) {
    this->AddViolation("wrong_request",
                       record,
                       "executed for organisation '" + aExecuted.organisation +
                         "'");
  }
  if (aExecuted.organisation == this->settings.limitedOrganisation) {
    this->limitedExecutions.push_back(aExecuted.at);
  }
  auto withdrawn = this->withdrawnAt.find(record.call.key);
  if (withdrawn != this->withdrawnAt.end() &&
      record.call.sentAt > withdrawn->second + this->settings.keyFreshness) {
    this->AddViolation("withdrawn_key",
                       record,
                       "executed with withdrawn key " + record.call.key);
  }
}

void
SoakChecker::OnRequestArrived(const std::string& aEndpoint, TimePoint aAt)
{
  this->endpoints[aEndpoint].requestsAt.push_back(aAt);
}

void
SoakChecker::OnEndpointAdded(const std::string& aEndpoint,
                             const std::string& aZone)
{
  this->endpoints[aEndpoint].zone = aZone;
}

void
SoakChecker::OnEndpointCutOff(const std::string& aEndpoint, TimePoint aAt)
{
  this->endpoints[aEndpoint].cutOff.push_back({ aAt });
}

void
SoakChecker::OnEndpointRestored(const std::string& aEndpoint, TimePoint aAt)
{
  for (TimeSpan& span : this->endpoints[aEndpoint].cutOff) {
    span.to = std::min(span.to, aAt);
  }
}

std::set<std::string>
SoakChecker::SoundEndpoints(const CallRecord& aRecord) const
{
  const TimePoint from = aRecord.call.sentAt;
  const TimePoint to = from + aRecord.call.deadline;
  std::set<std::string> sound;
  for (const ExecutedCall& executed : aRecord.executions) {
    const auto endpoint = this->endpoints.find(executed.endpoint);
    const bool wasCutOff =
      endpoint != this->endpoints.end() &&
      std::any_of(endpoint->second.cutOff.begin(),
                  endpoint->second.cutOff.end(),
                  [from, to](const TimeSpan& aSpan) {
                    return aSpan.from <= to && aSpan.to >= from;
                  });
    if (!wasCutOff) {
      sound.insert(executed.endpoint);
    }
  }
  return sound;
}

void
SoakChecker::CheckAttempts(std::vector<std::string>& aViolations) const
{
  size_t requests = 0;
  std::string last;
  for (const auto& entry : this->calls) {
    const CallRecord& record = entry.second;
    const size_t endpointCount = this->SoundEndpoints(record).size();
    if (endpointCount > MaxEndpoints(record.call.type)) {
      ++requests;
      last = std::string(NameOf(record.call.type)) + " " + entry.first +
             " by " + std::to_string(endpointCount);
    }
  }
  if (requests > kToleratedRequests) {
    aViolations.push_back("attempts: " + std::to_string(requests) +
                          " requests executed by too many endpoints, such as " +
                          last);
  }
}

bool
SoakChecker::IsDeadlineTooLong(const CallRecord& aRecord,
                               const ExecutedCall& aExecuted)
{
  if (!aExecuted.deadline) {
    return true;
  }
  if (*aExecuted.deadline > aRecord.call.deadline + kDeadlineSlack) {
    return true;
  }
  const ExecutedCall& first = aRecord.executions.front();
  const TimePoint clientEnd = aRecord.call.sentAt + aRecord.call.deadline;
  const TimePoint firstEnd =
    first.deadline ? first.at + *first.deadline : clientEnd;
  const TimePoint end = aExecuted.at + *aExecuted.deadline;
  return aExecuted.at > first.at + kDeadlineSlack &&
         end > std::max(firstEnd, clientEnd) + kDeadlineSlack;
}

void
SoakChecker::CheckDeadlines(std::vector<std::string>& aViolations) const
{
  size_t requests = 0;
  size_t tooLong = 0;
  for (const auto& entry : this->calls) {
    for (const ExecutedCall& executed : entry.second.executions) {
      ++requests;
      tooLong += IsDeadlineTooLong(entry.second, executed) ? 1 : 0;
    }
  }
  const double most =
    kToleratedDeadlineFraction * static_cast<double>(requests);
  if (tooLong > kToleratedDeadlines && static_cast<double>(tooLong) > most) {
    aViolations.push_back("deadline: " + std::to_string(tooLong) + " of " +
                          std::to_string(requests) +
                          " requests named more time than was left");
  }
}

void
SoakChecker::OnZoneEvacuated(const std::string& aZone, TimePoint aAt)
{
  this->evacuations[aZone].push_back({ aAt });
}

void
SoakChecker::OnEvacuationEnded(const std::string& aZone, TimePoint aAt)
{
  this->evacuations[aZone].back().to = aAt;
}

// One violation for each endpoint and evacuation, with the latest request.
void
SoakChecker::CheckEvacuations(std::vector<std::string>& aViolations) const
{
  for (const auto& entry : this->endpoints) {
    const auto evacuated = this->evacuations.find(entry.second.zone);
    if (evacuated == this->evacuations.end()) {
      continue;
    }
    for (const TimeSpan& evacuation : evacuated->second) {
      int late = 0;
      Millis latest(0);
      for (const TimePoint at : entry.second.requestsAt) {
        if (at > evacuation.from + kEvacuationLimit && at < evacuation.to) {
          ++late;
          latest = std::chrono::duration_cast<Millis>(at - evacuation.from);
        }
      }
      if (late > 0) {
        aViolations.push_back(
          "evacuated_zone: " + entry.first + " of " + entry.second.zone +
          " got " + std::to_string(late) + " requests, the latest " +
          std::to_string(latest.count()) + " ms after the record");
      }
    }
  }
}

void
SoakChecker::OnRateNamed(const std::string& aEndpoint,
                         double aCallsPerSecond,
                         TimePoint aAt)
{
  std::vector<RateSpell>& spells = this->endpoints[aEndpoint].spells;
  if (spells.empty() || spells.back().callsPerSecond != aCallsPerSecond) {
    spells.push_back({ aCallsPerSecond, aAt, aAt });
  }
  spells.back().lastAt = aAt;
}

void
SoakChecker::CheckRates(std::vector<std::string>& aViolations) const
{
  for (const auto& entry : this->endpoints) {
    const std::vector<TimePoint>& requests = entry.second.requestsAt;
    for (const RateSpell& spell : entry.second.spells) {
      const double seconds = std::chrono::duration<double>(kRateWindow).count();
      const double bound =
        kRateFactor * spell.callsPerSecond * seconds + kRateTolerance;
      auto last = requests.begin();
      for (auto first = requests.begin(); first != requests.end(); ++first) {
        const TimePoint end = std::min(*first + kRateWindow, spell.lastAt);
        while (last != requests.end() && *last < end) {
          ++last;
        }
        const bool binds =
          *first >= spell.firstAt + kRateAdaptation && *first <= spell.lastAt;
        if (binds && static_cast<double>(last - first) > bound) {
          aViolations.push_back("rate_limit: " + entry.first + " got " +
                                std::to_string(last - first) +
                                " requests in a window, bound " +
                                std::to_string(bound));
          break;
        }
      }
    }
  }
}

void
SoakChecker::OnResponseProduced(ProducedResponse aResponse)
{
  const std::string id = aResponse.id;
  this->calls[id].produced.push_back(std::move(aResponse));
}

bool
SoakChecker::OnBytesReceived(const std::string& aId, const std::string& aBytes)
{
  const CallRecord& record = this->calls[aId];
  const std::string answeredId =
    IsHeadComplete(aBytes) ? HeaderOf(aBytes, "X-Request-Id") : "";
  const size_t length = ResponseLength(aBytes);
  std::string fault;
  if (!MayStartResponse(aBytes)) {
    fault = "no HTTP response: " + Shown(aBytes);
  } else if (!answeredId.empty() && answeredId != aId) {
    fault = "the response to " + answeredId;
  } else if (length < aBytes.size()) {
    fault = "more after the response: " + Shown(aBytes.substr(length));
  }
  if (!fault.empty()) {
    this->AddViolation("wrong_response", record, fault);
  }
  return fault.empty();
}

void
SoakChecker::OnBytesWithoutCall(const std::string& aProgram,
                                const std::string& aBytes)
{
  this->ReportViolation("wrong_response: program " + aProgram +
                        " received without a call: " + Shown(aBytes));
}

bool
SoakChecker::OnResponseReceived(const ReceivedResponse& aResponse)
{
  CallRecord& record = this->calls[aResponse.id];
  record.status = aResponse.status;
  record.complete = aResponse.complete;
  this->completeResponses +=
    aResponse.status == 200 && aResponse.complete ? 1 : 0;
  const std::string fault = FaultOf(aResponse, record.produced);
  if (!fault.empty()) {
    this->AddViolation(
      "wrong_response", record, fault + ", as " + Quoted(aResponse.bytes));
  }
  this->CheckPreviousTurn(record);
  return fault.empty();
}

void
SoakChecker::CheckPreviousTurn(const CallRecord& aRecord)
{
  const std::string& previousId = aRecord.call.previousTurn;
  const auto previous = this->calls.find(previousId);
  const bool completed = previous != this->calls.end() &&
                         previous->second.status == 200 &&
                         previous->second.complete;
  if (aRecord.status == 404 && completed) {
    this->AddViolation("lost_turn",
                       aRecord,
                       "previous turn " + previousId +
                         " was completed, but got status 404");
  }
}

void
SoakChecker::OnTokensReceived(const std::string& aProgram, int64_t aTokens)
{
  this->programs[aProgram].receivedTokens += aTokens;
}

void
SoakChecker::SetBudget(const std::string& aProgram,
                       int64_t aTokens,
                       int64_t aMaxTurnTokens)
{
  this->programs[aProgram].budgetTokens = aTokens;
  this->programs[aProgram].maxTurnTokens = aMaxTurnTokens;
}

void
SoakChecker::CheckExecutions(std::vector<std::string>& aViolations) const
{
  for (const auto& entry : this->calls) {
    const CallRecord& record = entry.second;
    const std::string name =
      std::string(NameOf(record.call.type)) + " " + entry.first;
    const bool idempotent = record.call.type == CallType::kLookup;
    if (!idempotent && record.executions.size() > 1) {
      aViolations.push_back("duplicate_execution: " + name);
    }
    const bool reportedNotExecuted =
      kNotExecutedStatuses.count(record.status) > 0;
    if (reportedNotExecuted && !record.executions.empty() && !idempotent) {
      aViolations.push_back("executed_after_refusal: " + name + " got status " +
                            std::to_string(record.status) +
                            " and was executed");
    }
  }
}

void
SoakChecker::CheckBudgets(std::vector<std::string>& aViolations) const
{
  for (const auto& entry : this->programs) {
    const ProgramTokens& tokens = entry.second;
    if (tokens.receivedTokens > tokens.budgetTokens + tokens.maxTurnTokens) {
      aViolations.push_back("budget: program " + entry.first + " received " +
                            std::to_string(tokens.receivedTokens) +
                            " tokens with a budget of " +
                            std::to_string(tokens.budgetTokens));
    }
  }
}

void
SoakChecker::CheckQuota(std::vector<std::string>& aViolations) const
{
  const double seconds =
    std::chrono::duration<double>(this->settings.quotaWindow).count();
  const double bound =
    (this->settings.ratePerSecond * seconds + this->settings.burst) *
      (1 + this->settings.overageFraction) +
    this->settings.toleranceExecutions;
  size_t maxExecutions = 0;
  size_t first = 0;
  for (size_t last = 0; last < this->limitedExecutions.size(); ++last) {
    while (this->limitedExecutions[last] - this->limitedExecutions[first] >=
           this->settings.quotaWindow) {
      ++first;
    }
    maxExecutions = std::max(maxExecutions, last - first + 1);
  }
  if (static_cast<double>(maxExecutions) > bound) {
    aViolations.push_back("quota: " + std::to_string(maxExecutions) +
                          " runs in a window, bound " + std::to_string(bound));
  }
}

std::vector<std::string>
SoakChecker::Violations() const
{
  std::vector<std::string> all = this->violations;
  this->CheckExecutions(all);
  this->CheckBudgets(all);
  this->CheckQuota(all);
  this->CheckRates(all);
  this->CheckEvacuations(all);
  this->CheckAttempts(all);
  this->CheckDeadlines(all);
  return all;
}

} // namespace tanagerseam::soak
