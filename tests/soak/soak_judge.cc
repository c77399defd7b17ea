#include "tests/soak/soak_judge.h"

#include <algorithm>
#include <set>

namespace tanagerseam::soak {

namespace {

struct CallTypeName
{
  CallType type;
  std::string_view name;
};

constexpr CallTypeName kCallTypes[] = {
  { CallType::kTurn, "ask" },
  { CallType::kLook, "look" },
  { CallType::kCharge, "charge" },
};

// Answers that promise that the call has not run and never will.
const std::set<int> kPromises = { 402, 408, 421, 429, 503 };

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

SoakJudge::SoakJudge(JudgeSettings aSettings)
  : settings(std::move(aSettings))
{
}

void
SoakJudge::Add(const char* aPromise, const Record& aRecord, std::string aDetail)
{
  this->broken.push_back(std::string(aPromise) + ": " +
                         std::string(NameOf(aRecord.call.type)) + " " +
                         aRecord.call.id + " of program " +
                         aRecord.call.program + ": " + std::move(aDetail));
}

void
SoakJudge::Report(const std::string& aBroken)
{
  this->broken.push_back(aBroken);
}

void
SoakJudge::Sent(SentCall aCall)
{
  const std::string id = aCall.id;
  this->calls[id].call = std::move(aCall);
}

void
SoakJudge::Withdrawn(const std::string& aKey, TimePoint aAt)
{
  this->withdrawnAt[aKey] = aAt;
}

void
SoakJudge::Ran(const std::string& aId,
               const std::string& aOrganisation,
               const std::string& aBody,
               TimePoint aAt)
{
  auto found = this->calls.find(aId);
  if (found == this->calls.end()) {
    this->broken.push_back("unasked: a run of " + aId + ", which none sent");
    return;
  }
  Record& record = found->second;
  record.ranAt.push_back(aAt);
  if (aBody != record.call.expectedBody) {
    this->Add("unasked",
              record,
              "body '" + aBody + "' instead of '" + record.call.expectedBody +
                "'");
  }
  if (aOrganisation != record.call.organisation) {
    this->Add("unasked", record, "ran for '" + aOrganisation + "'");
  }
  if (aOrganisation == this->settings.limited) {
    this->limitedRuns.push_back(aAt);
  }
  auto withdrawn = this->withdrawnAt.find(record.call.key);
  if (withdrawn != this->withdrawnAt.end() &&
      record.call.sentAt > withdrawn->second + this->settings.keyFreshness) {
    this->Add("revoked", record, "key " + record.call.key);
  }
}

void
SoakJudge::Made(const std::string& aId, const std::string& aText)
{
  this->calls[aId].made.push_back(aText);
}

void
SoakJudge::Answered(const std::string& aId,
                    int aStatus,
                    bool aWhole,
                    const std::string& aText)
{
  Record& record = this->calls[aId];
  record.status = aStatus;
  record.whole = aWhole;
  this->wholeAnswers += aStatus == 200 && aWhole ? 1 : 0;
  const auto& made = record.made;
  const bool own = std::find(made.begin(), made.end(), aText) != made.end();
  if (aStatus == 200 && aWhole && !own) {
    this->Add("mixed", record, "'" + aText + "'");
  }
  const auto previous = this->calls.find(record.call.previous);
  const bool known = previous != this->calls.end() &&
                     previous->second.status == 200 && previous->second.whole;
  if (aStatus == 404 && known) {
    this->Add("lost", record, "turn " + record.call.previous + " is unknown");
  }
}

void
SoakJudge::HandedOut(const std::string& aProgram, int64_t aTokens)
{
  this->programs[aProgram].handedOut += aTokens;
}

void
SoakJudge::Budget(const std::string& aProgram,
                  int64_t aTokens,
                  int64_t aTurnMost)
{
  this->programs[aProgram].budget = aTokens;
  this->programs[aProgram].turnMost = aTurnMost;
}

void
SoakJudge::CheckRuns(std::vector<std::string>& aBroken) const
{
  for (const auto& entry : this->calls) {
    const Record& record = entry.second;
    const std::string name =
      std::string(NameOf(record.call.type)) + " " + entry.first;
    const bool repeatable = record.call.type == CallType::kLook;
    if (!repeatable && record.ranAt.size() > 1) {
      aBroken.push_back("twice: " + name);
    }
    const bool promised = kPromises.count(record.status) > 0;
    if (promised && !record.ranAt.empty() && !repeatable) {
      aBroken.push_back("refused: " + name + " was answered " +
                        std::to_string(record.status) + " and ran");
    }
  }
}

void
SoakJudge::CheckBudgets(std::vector<std::string>& aBroken) const
{
  for (const auto& entry : this->programs) {
    const Spending& spending = entry.second;
    if (spending.handedOut > spending.budget + spending.turnMost) {
      aBroken.push_back("budget: program " + entry.first + " got " +
                        std::to_string(spending.handedOut) + " of " +
                        std::to_string(spending.budget));
    }
  }
}

void
SoakJudge::CheckQuota(std::vector<std::string>& aBroken) const
{
  const double seconds =
    std::chrono::duration<double>(this->settings.window).count();
  const double bound =
    (this->settings.ratePerSecond * seconds + this->settings.burst) *
      (1 + this->settings.overage) +
    this->settings.tolerance;
  size_t worst = 0;
  size_t first = 0;
  for (size_t last = 0; last < this->limitedRuns.size(); ++last) {
    while (this->limitedRuns[last] - this->limitedRuns[first] >=
           this->settings.window) {
      ++first;
    }
    worst = std::max(worst, last - first + 1);
  }
  if (static_cast<double>(worst) > bound) {
    aBroken.push_back("quota: " + std::to_string(worst) +
                      " runs in a window, bound " + std::to_string(bound));
  }
}

std::vector<std::string>
SoakJudge::Verdict() const
{
  std::vector<std::string> all = this->broken;
  this->CheckRuns(all);
  this->CheckBudgets(all);
  this->CheckQuota(all);
  return all;
}

} // namespace tanagerseam::soak
