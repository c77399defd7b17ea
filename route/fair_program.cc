// Queue policy "fair_program".
//
// Across organisations: start-time fair queueing. An organisation's virtual
// time is the tokens served to it divided by its weight; the organisation with
// the least virtual time is served next. An organisation that becomes active
// (has a waiting call again) is raised to at least the minimum virtual time of
// the active ones, so that it accrues no credit while idle.
//
// Within an organisation: urgency class, then least tokens served to the
// program, with aging. All calls age at the same rate, so the relative order of
// two calls never changes and they can be kept in an ordered map: the key is
// the arrival time plus a penalty for the class and for the tokens served to
// the program. Only calls that arrive less than the largest penalty later can
// overtake a call.
//
// Complexity: Push, Remove, ChargeTokens O(log organisations + log calls);
// Order O(limit x log organisations).
#include <algorithm>
#include <queue>
#include <tuple>

#include "route/waiting_calls.h"

namespace tanagerseam {

namespace {

// Penalty of a class relative to the next more urgent one.
constexpr Millis kPenaltyPerUrgencyClass{ 30000 };
// Penalty for the tokens served to the program. Its maximum is below
// kPenaltyPerUrgencyClass, so that the class decides between calls that arrive
// at the same time.
constexpr int64_t kServedTokensPerPenaltyMilli = 2;
constexpr Millis kMaxServicePenalty{ 25000 };
constexpr double kMinWeight = 0.001;

// Sort key within an organisation.
struct Rank
{
  // Arrival time plus penalty.
  TimePoint effectiveArrival;
  // Breaks ties by order of arrival.
  uint64_t sequence = 0;

  bool operator<(const Rank& aOther) const
  {
    return std::tie(this->effectiveArrival, this->sequence) <
           std::tie(aOther.effectiveArrival, aOther.sequence);
  }
};

struct Organisation
{
  double virtualTime = 0;
  double weight = 1;
  // Ids of the waiting calls.
  std::map<Rank, uint64_t> calls;
};

Millis
RankPenalty(const DispatchRequest& aRequest)
{
  const Millis urgencyPenalty =
    kPenaltyPerUrgencyClass * static_cast<int>(aRequest.urgency);
  const Millis servicePenalty{ aRequest.programServedTokens /
                               kServedTokensPerPenaltyMilli };
  return urgencyPenalty +
         std::clamp(servicePenalty, Millis{ 0 }, kMaxServicePenalty);
}

double
VirtualCost(int64_t aTokens, double aWeight)
{
  return static_cast<double>(aTokens) / std::max(aWeight, kMinWeight);
}

// Position of Order within the waiting calls of one organisation. virtualTime
// includes the calls before `next`, as if they were granted.
struct Cursor
{
  double virtualTime = 0;
  const std::string* name = nullptr;
  const Organisation* organisation = nullptr;
  std::map<Rank, uint64_t>::const_iterator next;

  bool operator>(const Cursor& aOther) const
  {
    return std::tie(this->virtualTime, *this->name) >
           std::tie(aOther.virtualTime, *aOther.name);
  }
};

class FairProgram : public QueuePolicyBase
{
public:
  void Push(const DispatchRequest& aRequest, TimePoint aNow) override
  {
    Organisation& organisation = this->organisations[aRequest.organisation];
    organisation.weight = aRequest.weight;
    if (organisation.calls.empty()) {
      organisation.virtualTime =
        std::max(organisation.virtualTime, this->MinActiveVirtualTime());
      this->active.emplace(organisation.virtualTime, aRequest.organisation);
    }
    const Rank rank{ aNow + RankPenalty(aRequest), this->nextSequence };
    ++this->nextSequence;
    organisation.calls.emplace(rank, aRequest.id);
    this->ranks.emplace(aRequest.id, rank);
    this->Calls().Add(aRequest, aNow);
  }

  std::vector<uint64_t> Order(size_t aLimit, TimePoint /*aNow*/) override
  {
    // Lazy k-way merge of the organisations, as if each call in the order were
    // granted and charged. An organisation enters the merge when its virtual
    // time is less than the minimum in the merge. On a tie it stays out, since
    // otherwise all organisations with equal virtual time would enter at once.
    std::vector<uint64_t> order;
    std::priority_queue<Cursor, std::vector<Cursor>, std::greater<>> merging;
    auto nextActive = this->active.begin();
    while (order.size() < aLimit) {
      const bool shouldEnter =
        nextActive != this->active.end() &&
        (merging.empty() || nextActive->first < merging.top().virtualTime);
      if (shouldEnter) {
        merging.push(this->MakeCursor(nextActive->second));
        ++nextActive;
        continue;
      }
      if (merging.empty()) {
        break;
      }
      Cursor cursor = merging.top();
      merging.pop();
      const uint64_t id = cursor.next->second;
      order.push_back(id);
      ++cursor.next;
      if (cursor.next != cursor.organisation->calls.end()) {
        cursor.virtualTime += VirtualCost(EstimatedTokens(*this->Find(id)),
                                          cursor.organisation->weight);
        merging.push(cursor);
      }
    }
    return order;
  }

  void Remove(uint64_t aId) override
  {
    const DispatchRequest* call = this->Find(aId);
    if (call == nullptr) {
      return;
    }
    const std::string& name = call->organisation;
    Organisation& organisation = this->organisations.at(name);
    organisation.calls.erase(this->ranks.at(aId));
    if (organisation.calls.empty()) {
      this->active.erase({ organisation.virtualTime, name });
      this->maxIdledVirtualTime =
        std::max(this->maxIdledVirtualTime, organisation.virtualTime);
    }
    this->ranks.erase(aId);
    this->Calls().Remove(aId);
  }

  void ChargeTokens(const std::string& aOrganisation,
                    double aWeight,
                    int64_t aTokens) override
  {
    Organisation& organisation = this->organisations[aOrganisation];
    const bool isActive = !organisation.calls.empty();
    if (isActive) {
      this->active.erase({ organisation.virtualTime, aOrganisation });
    }
    organisation.virtualTime += VirtualCost(aTokens, aWeight);
    if (isActive) {
      this->active.emplace(organisation.virtualTime, aOrganisation);
    }
  }

private:
  // Minimum virtual time of the active organisations; if there are none, the
  // maximum at which any organisation became idle.
  double MinActiveVirtualTime() const
  {
    return this->active.empty() ? this->maxIdledVirtualTime
                                : this->active.begin()->first;
  }

  Cursor MakeCursor(const std::string& aName) const
  {
    auto found = this->organisations.find(aName);
    const Organisation& organisation = found->second;
    return Cursor{ organisation.virtualTime,
                   &found->first,
                   &organisation,
                   organisation.calls.begin() };
  }

  std::unordered_map<uint64_t, Rank> ranks;
  uint64_t nextSequence = 0;
  std::unordered_map<std::string, Organisation> organisations;
  // Organisations with waiting calls, by virtual time.
  std::set<std::pair<double, std::string>> active;
  double maxIdledVirtualTime = 0;
};

const Registration<QueuePolicy> kRegistration("fair_program", [] {
  return std::make_unique<FairProgram>();
});

} // namespace

} // namespace tanagerseam
