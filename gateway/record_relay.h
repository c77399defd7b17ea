// Writes the records of turns to the store's log, through a peer where this
// host can't. Private to this library; see docs/design/record-relay.md.
//
//   RecordRelay relay(io, log, peers, settings, metrics);
//   relay.Append(write, allowedRegions, [](const AppendResult& aResult) {
//     ...
//   });
//
// This host tries until the deadline. While its log is unavailable, or once it
// has not answered for kDirectTimeout, up to kMaxPeers peers are asked beside
// that, one after the other. The first acknowledgement counts. So a record may
// be in the log several times, always under its turn's id. A peer gets the
// short form of the record.
#ifndef TANAGERSEAM_GATEWAY_RECORD_RELAY_H_
#define TANAGERSEAM_GATEWAY_RECORD_RELAY_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <restinio/asio_include.hpp>

#include "fleet/fleet.h"
#include "program/program.h"
#include "zones/zones.h"

namespace tanagerseam {

// Peers that append records for this host.
class RecordPeers
{
public:
  virtual ~RecordPeers() = default;
  // The hosts in the allowed regions that say that they reach the store, in the
  // order in which to ask them.
  virtual std::vector<std::string> ReachingStore(const RegionSet& aAllowed) = 0;
  // As FleetLink::AppendRecord and FleetLink::CancelAppend. Calls aDone after
  // it has returned.
  virtual uint64_t Append(
    const std::string& aHost,
    const PeerRecord& aRecord,
    Millis aWait,
    std::function<void(const PeerAppendAnswer&)> aDone) = 0;
  virtual void Cancel(uint64_t aRequest) = 0;
};

struct RecordRelaySettings
{
  // False: peers are not asked. Their requests are served all the same.
  bool asksPeers = false;
  // Whether the record is one that a peer may have appended here.
  std::function<bool(const LogPartition&, const std::string&)> accepts;
};

class RecordRelay
{
public:
  static constexpr Millis kDirectTimeout{ 300 };
  static constexpr size_t kMaxPeers = 3;
  // A peer that has not answered for this long is not given up, but the next
  // one is asked, too.
  static constexpr Millis kPeerTimeout{ 300 };
  // How long a host waits for the store when it appends a record for a peer. It
  // tries once: while the store is slow, retries on four hosts would write each
  // record up to twenty times.
  static constexpr Millis kMaxAppendTime{ 2000 };
  // Each holds a copy of a record of up to 59 KiB, so either takes 4 MB at
  // most.
  static constexpr size_t kMaxRequests = 64;
  static constexpr size_t kMaxAppendsForPeers = 64;

  using Callback = std::function<void(const AppendResult&)>;

  RecordRelay(restinio::asio_ns::io_context& aIo,
              RetryingLog& aLog,
              RecordPeers& aPeers,
              RecordRelaySettings aSettings,
              Metrics& aMetrics);

  // Calls aDone once. A fault means that neither this host nor a peer had an
  // acknowledgement before the deadline, or that the record is invalid.
  void Append(TurnWrite aWrite, RegionSet aAllowed, Callback aDone);
  // Appends a record of a peer. Never asks a further peer.
  void AppendForPeer(const PeerRecord& aRecord,
                     std::function<void(PeerAppendAnswer)> aDone);

private:
  struct Task;
  using TaskPtr = std::shared_ptr<Task>;

  void AskAfter(const TaskPtr& aTask, Millis aDelay);
  // Asks a peer that has not been asked yet, if there is one.
  void AskNextPeer(const TaskPtr& aTask);
  // The peer to ask next; empty if there is none now.
  std::string NextPeer(const Task& aTask);
  void Ask(const TaskPtr& aTask, const std::string& aHost);
  void OnAnswer(const TaskPtr& aTask,
                const std::string& aHost,
                const PeerAppendAnswer& aAnswer);
  // Leaves the record to this host's own log.
  void StopAsking(const TaskPtr& aTask, const char* aCause);
  // aPeer is empty if this host's own log answered.
  void End(const TaskPtr& aTask,
           const AppendResult& aResult,
           const std::string& aPeer);
  void CountRelayed(const std::string& aResult);

  restinio::asio_ns::io_context& io;
  RetryingLog& log;
  RecordPeers& peers;
  RecordRelaySettings settings;
  Metrics& metrics;
  size_t openRequests = 0;
  size_t appendsForPeers = 0;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_RECORD_RELAY_H_
