// The daemon's membership in the fleet: lease, slot ownership, configuration
// from peers, snapshots, and during a log outage lease extensions and replicas.
//
//   ClusterLoop cluster(context, hooks);
//   cluster.PullConfigFromAllPeers();
//   cluster.Start();
//   if (cluster.MayAct(slot)) { act as owner of the slot }
//   cluster.Leave(timeout);
//
// During a log outage a lease is extended by grants of the peers, requested in
// rounds; on the wire a grant is called a promise, see OwnershipDecider.
//
// One thread runs OwnershipDecider every tick and submits the records that it
// returns; another does the work that may block on slow peers, so that they
// never delay the lease. cluster_outage.cc implements extensions and
// replication, cluster_config.cc the pull of configurations.
// Lock order: `mutex` guards the decider and is taken before the journal's.
#ifndef TANAGERSEAM_DAEMON_CLUSTER_LOOP_H_
#define TANAGERSEAM_DAEMON_CLUSTER_LOOP_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "daemon/context.h"
#include "daemon/replica_store.h"
#include "ownership/ownership.h"

namespace tanagerseam {

class ClusterLoop
{
public:
  struct Hooks
  {
    // Slots with work in progress, which must not be released.
    std::function<std::set<int>()> busySlots;
    // This daemon's claim of a slot took effect.
    std::function<void(int)> onSlotClaimed;
    // Rate levels by organisation, to hand over with a slot that is released.
    std::function<std::map<std::string, double>(int)> handOverLevels;
    // Periodic work, about once a second, on the background thread.
    std::function<void()> everySecond;
  };

  ClusterLoop(const DaemonContext& aContext, Hooks aHooks);
  ~ClusterLoop();

  // Pulls a newer configuration once from every known peer.
  void PullConfigFromAllPeers();
  void Start();
  // Releases all slots within aTimeout if the log works, gives up the lease,
  // appends MemberLeft and stops the threads.
  void Leave(Millis aTimeout);
  void Stop();

  bool LeaseValid() const;
  // Whether this daemon may act as owner of the slot now.
  bool MayAct(int aSlot) const;
  bool IsMember() const;
  // Stops claiming slots and releases idle ones to other members.
  void StartDraining();
  int OwnedSlots() const;

  // Replicates this daemon's records to two other members, in other zones
  // first. True if two hold them, or at least one does and all that answered
  // the newest extension round do.
  bool Replicate(const std::vector<std::string>& aTexts);

  // Handlers of peer requests.
  wire::PromiseAnswerT OnExtensionRequest(const wire::PromiseAskT& aAsk);
  bool OnReplicate(const wire::ReplicateAskT& aAsk);
  wire::ConfigAnswerT OnConfig(const wire::ConfigAskT& aAsk);

private:
  void Run();
  void Tick();
  void Join();
  void SubmitRecords(std::vector<RecordBody> aBodies);
  // The members to ask for a lease extension, and how many must grant it.
  struct ExtensionRound
  {
    struct Request
    {
      std::string address;
      std::unique_ptr<PeerStream> stream;
    };
    std::vector<std::string> addresses;
    size_t needed = 0;
  };

  ExtensionRound PlanExtensionRound() const;
  std::vector<ExtensionRound::Request> SendExtensionRequests(
    const std::vector<std::string>& aAddresses);
  void RunExtensionRound();
  // Members except those that did not answer in the newest extension round.
  std::vector<std::string> ResponsivePeers() const;
  bool ReplicateTo(const std::string& aPeer,
                   const std::vector<std::string>& aTexts);
  bool HasEnoughReplicas(const std::set<std::string>& aHolders) const;
  // Requests an extension round and waits, for a bounded time, for the end of
  // one that began after aSince.
  void AwaitExtensionRound(TimePoint aSince);
  void RunBackgroundTasks();
  // Pulls from a share of the peers, round robin.
  void PullConfigFromNextPeers();
  void PullConfigFrom(const std::string& aPeer);
  void AddSlotOwners(wire::ConfigAnswerT& aAnswer) const;
  void MaybeSnapshot();
  // Peer addresses of the other members, those in other zones first.
  std::vector<std::string> MemberPeers() const;
  // MemberPeers and then the seeds.
  std::vector<std::string> MemberAndSeedPeers() const;
  void OnApplied(const Record& aRecord, const RecordVerdict& aVerdict);

  const DaemonContext& context;
  const Hooks hooks;
  ReplicaStore replicas;
  mutable std::mutex mutex;
  std::unique_ptr<OwnershipDecider> decider;
  // Peer addresses that did not answer in the newest extension round of this
  // outage.
  std::set<std::string> unresponsivePeers;
  // Start of that round.
  TimePoint unresponsivePeersAsOf{};
  // An extension round is requested although the lease does not need one yet.
  std::atomic<bool> extensionRoundRequested{ false };
  // Passed on to the deciders of later incarnations; guarded by mutex.
  bool draining = false;
  // Sequence number of this incarnation's join record.
  uint64_t joinSequence = 0;
  // ClusterState rejected the join; the next tick joins under a new
  // incarnation.
  std::atomic<bool> joinRejected{ false };
  // The queue was full when the join was submitted; the next tick retries.
  bool joinRetryNeeded = false;
  std::atomic<bool> stopping{ false };
  std::atomic<bool> leaving{ false };
  std::atomic<int64_t> lastSnapshotOffset{ 0 };
  // When an append or read was last seen to fail.
  TimePoint lastLogFailure{};
  TimePoint lastExtensionRound{};
  size_t nextConfigPeer = 0;
  // Renewals, claims, releases and extension rounds; waits for peers only
  // within the bound of an extension round.
  std::thread ownershipThread;
  // Work that may block on unresponsive peers.
  std::thread backgroundThread;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_CLUSTER_LOOP_H_
