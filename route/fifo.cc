// Queue policy "fifo": arrival order across all organisations. A baseline.
#include "route/waiting_calls.h"

namespace tanagerseam {

namespace {

class Fifo : public QueuePolicyBase
{
public:
  void Push(const DispatchRequest& aRequest, TimePoint aNow) override
  {
    this->Calls().Add(aRequest, aNow);
    this->idsBySequence.emplace(this->nextSequence, aRequest.id);
    this->sequenceById.emplace(aRequest.id, this->nextSequence);
    ++this->nextSequence;
  }

  std::vector<uint64_t> Order(size_t aLimit, TimePoint /*aNow*/) override
  {
    std::vector<uint64_t> order;
    for (const auto& entry : this->idsBySequence) {
      if (order.size() >= aLimit) {
        break;
      }
      order.push_back(entry.second);
    }
    return order;
  }

  void Remove(uint64_t aId) override
  {
    auto found = this->sequenceById.find(aId);
    if (found == this->sequenceById.end()) {
      return;
    }
    this->idsBySequence.erase(found->second);
    this->sequenceById.erase(found);
    this->Calls().Remove(aId);
  }

  void ChargeTokens(const std::string& /*aOrganisation*/,
                    double /*aWeight*/,
                    int64_t /*aTokens*/) override
  {
  }

private:
  uint64_t nextSequence = 0;
  std::map<uint64_t, uint64_t> idsBySequence;
  std::unordered_map<uint64_t, uint64_t> sequenceById;
};

const Registration<QueuePolicy> kRegistration("fifo", [] {
  return std::make_unique<Fifo>();
});

} // namespace

} // namespace tanagerseam
