// The calls that have no final response yet. Private to this library.
//
//   class CallFlow : public ActiveCall
//   {
//     ActiveCallEntry entry{ activeCalls, *this };
//   };
//   activeCalls->EndAll();    // when the process exits
//
// Entries share the set: the event loop holds calls that may be destroyed after
// the gateway.
#ifndef TANAGERSEAM_GATEWAY_ACTIVE_CALLS_H_
#define TANAGERSEAM_GATEWAY_ACTIVE_CALLS_H_

#include <memory>
#include <set>
#include <vector>

namespace tanagerseam {

class ActiveCall
{
public:
  virtual ~ActiveCall() = default;
  // The process exits: gives the client a final response if none has begun.
  virtual void EndAtExit() = 0;
};

class ActiveCalls
{
public:
  size_t Count() const { return this->calls.size(); }

  void EndAll()
  {
    const std::vector<ActiveCall*> all(this->calls.begin(), this->calls.end());
    for (ActiveCall* call : all) {
      // The end of one call may destroy others.
      if (this->calls.count(call) > 0) {
        call->EndAtExit();
      }
    }
  }

private:
  friend class ActiveCallEntry;

  std::set<ActiveCall*> calls;
};

// Keeps a call in the set for as long as the entry exists.
class ActiveCallEntry
{
public:
  ActiveCallEntry(std::shared_ptr<ActiveCalls> aCalls, ActiveCall& aCall)
    : calls(std::move(aCalls))
    , call(&aCall)
  {
    this->calls->calls.insert(this->call);
  }
  ~ActiveCallEntry() { this->calls->calls.erase(this->call); }
  ActiveCallEntry(const ActiveCallEntry&) = delete;
  ActiveCallEntry& operator=(const ActiveCallEntry&) = delete;

private:
  const std::shared_ptr<ActiveCalls> calls;
  ActiveCall* const call;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_ACTIVE_CALLS_H_
