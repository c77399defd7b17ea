// Assigns model calls to endpoints, through the daemon that owns the model.
//
// Usage, for each attempt of a model call:
//
//   Result<DispatchGrant> grant = dispatch.Acquire(model, request, cancelled);
//   ...  // send the call to the granted endpoint
//   dispatch.Release(std::get<DispatchGrant>(grant), usedTokens, result);
//
// The owner of the slot "model/NAME" runs the only Scheduler of that model, so
// all calls of the fleet wait in one queue and its count of calls in flight is
// exact. The queue is soft state: it is not logged or replicated. If the owner
// does not respond, the requesting daemon selects an endpoint itself, so the
// loss of an owner costs fairness and load balancing for a while, but no call.
#ifndef TANAGERSEAM_DAEMON_DISPATCH_SERVICE_H_
#define TANAGERSEAM_DAEMON_DISPATCH_SERVICE_H_

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "daemon/context.h"
#include "daemon/engine_memory.h"
#include "daemon/wind_down.h"
#include "route/route.h"

namespace tanagerseam {

// Permission to send one call to one endpoint; must be passed to Release.
struct DispatchGrant
{
  std::string model;
  std::string endpoint;
  // 0: selected without the owner.
  uint64_t id = 0;
  // Empty: granted by this daemon.
  std::string ownerAddress;
};

class DispatchService
{
public:
  explicit DispatchService(const DaemonContext& aContext);
  ~DispatchService();

  // Blocks until an endpoint is granted, the call is refused or cancelled, or
  // aRequest.deadline passes.
  Result<DispatchGrant> Acquire(const std::string& aModel,
                                const DispatchRequest& aRequest,
                                const std::function<bool()>& aCancelled);
  // Returns a grant to the owner that gave it.
  void Release(const DispatchGrant& aGrant,
               int64_t aUsedTokens,
               DispatchResult aResult);

  // Acquire and Release at the owner of the model, also called for requests of
  // other daemons. aRequester is the host that asks for the grant.
  Result<DispatchGrant> AcquireAsOwner(const std::string& aModel,
                                       DispatchRequest aRequest,
                                       const std::string& aRequester,
                                       const std::function<bool()>& aCancelled);
  void ReleaseAsOwner(const std::string& aModel,
                      uint64_t aGrantId,
                      int64_t aUsedTokens,
                      DispatchResult aResult);

  // Slots of models with waiting or granted calls. They must not move to
  // another owner, which would start without the count of calls in flight.
  std::set<int> BusySlots();

  void Start();
  void Stop();

private:
  // A waiting or granted call.
  struct CallEntry
  {
    std::string requester;
    // Of the requester when the call was queued; empty if it was no member.
    std::string incarnation;
    bool granted = false;
    std::string endpoint;
    std::optional<RefusalReason> refused;
    TimePoint since;
  };
  // Guarded by its own mutex.
  struct ModelQueue
  {
    std::mutex mutex;
    std::condition_variable changed;
    std::unique_ptr<Scheduler> scheduler;
    std::map<uint64_t, CallEntry> calls;
    int64_t configVersion = -1;
    // Of the model's slot; constant once the queue is visible to other threads.
    int64_t epoch = 0;
  };

  // A release that its owner has not confirmed.
  struct PendingRelease
  {
    DispatchGrant grant;
    int64_t usedTokens = 0;
    DispatchResult result = DispatchResult::kOk;
    TimePoint since;
  };

  // False if the owner did not respond.
  bool SendRelease(const PendingRelease& aRelease);
  // Resends failed releases. Drops those older than twice the call time-out:
  // by then their owner has reclaimed the grant.
  void RetryReleases();
  std::map<std::string, std::shared_ptr<ModelQueue>> Queues();
  // The model's queue. A queue of an earlier epoch is replaced by an empty one,
  // and its grants are dropped.
  std::shared_ptr<ModelQueue> FindOrCreateQueue(const std::string& aModel,
                                                int64_t aEpoch);
  // Passes the configured endpoints of the model to its scheduler.
  void UpdateEndpoints(const std::string& aModel, ModelQueue& aQueue);
  // Takes new grants and expired calls from the scheduler and wakes the threads
  // that wait for them.
  void DeliverDecisions(ModelQueue& aQueue);
  std::string IncarnationOf(const std::string& aHost) const;
  // Finishes as cancelled the granted calls whose requester has restarted or
  // left, and those older than twice the call time-out.
  void ReclaimLostGrants(ModelQueue& aQueue);
  // Both return std::nullopt and leave aRefusal empty if the owner changed or
  // did not respond, so that the request can be retried, or on cancellation.
  std::optional<DispatchGrant> AcquireLocally(
    const std::string& aModel,
    const DispatchRequest& aRequest,
    const std::function<bool()>& aCancelled,
    std::optional<Refusal>& aRefusal);
  std::optional<DispatchGrant> AcquireFromOwner(
    const std::string& aModel,
    const OwnerLocation& aOwner,
    const DispatchRequest& aRequest,
    const std::function<bool()>& aCancelled,
    std::optional<Refusal>& aRefusal);
  // Without the owner: the warm endpoint if usable, otherwise one selected by a
  // hash of program and model.
  Result<DispatchGrant> PickWithoutOwner(const std::string& aModel,
                                         const DispatchRequest& aRequest);
  void RunQueueTimer();
  void RunLoadPolling();
  // Fetches the load reports of all endpoints that serve owned models.
  void PollLoads();
  // Orders the engine to drop the cached prefixes of finished programs.
  void ReleaseFinishedPrograms(const Endpoint& aEndpoint,
                               const std::vector<std::string>& aHeldPrograms);

  const DaemonContext& context;
  std::mutex mutex;
  std::map<std::string, std::shared_ptr<ModelQueue>> queues;
  std::vector<PendingRelease> failedReleases;
  // Starts at a random number, so that a release of a grant from before a
  // restart does not match a grant of the new process.
  std::atomic<uint64_t> nextId;
  std::atomic<bool> stopping{ false };
  // Used by the load polling thread only.
  CacheReleasePolicy cacheReleases;
  PrefixMigrator windDown;
  std::thread queueTimer;
  std::thread loadPoller;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_DISPATCH_SERVICE_H_
