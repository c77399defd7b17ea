// Dependencies that the services of one daemon share. Created once by Daemon
// and not changed while the services run.
//
//   OwnerLocation owner = FindOwner(context, ProgramKey(program));
//   if (owner.isSelf && context.mayActAsOwner(owner.slot)) { ... }
//
// Lock order, outermost first: the per-key lock of a program or ledger key, the
// scheduler of a model, the rate table, the journal. No lock is held while
// waiting for a peer, an endpoint or the log, except the per-key locks, which
// serialise the calls of a program.
#ifndef TANAGERSEAM_DAEMON_CONTEXT_H_
#define TANAGERSEAM_DAEMON_CONTEXT_H_

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "daemon/daemon_settings.h"
#include "daemon/journal.h"
#include "endpoint/endpoint.h"
#include "peer/peer.h"

namespace tanagerseam {

struct DaemonContext
{
  const DaemonSettings& settings;
  Journal& journal;
  PeerClient& peers;
  HttpClient& http;
  Metrics& metrics;
  // Whether this daemon may act as owner of the slot now: its lease is valid,
  // and the slot has been neither lost nor released.
  std::function<bool(int)> mayActAsOwner;
  // Replicates records of this daemon to other daemons, in other zones first,
  // while the log is down. True once enough of them store the records or the
  // log has them.
  std::function<bool(const std::vector<std::string>&)> replicate;
};

// A slot and the address of its owner.
struct OwnerLocation
{
  int slot = 0;
  // Empty if the slot has no known owner.
  std::string host;
  std::string peerAddress;
  int64_t epoch = 0;
  bool isSelf = false;
};

// The key that maps a program to its slot.
std::string
ProgramKey(const std::string& aProgram);

// The owner of the key's slot by the local replay, or if that shows none, by an
// owner hint from a peer. isSelf is set only by the local replay.
OwnerLocation
FindOwner(const DaemonContext& aContext, const std::string& aKey);

// The set of slots that the keys map to.
std::set<int>
SlotsOf(const DaemonContext& aContext, const std::vector<std::string>& aKeys);

// Checks the digest of a caller's API key against the current configuration.
// An empty digest is accepted: it stands for a route open to all. An empty
// aOrganisation matches every organisation.
std::optional<Refusal>
CheckApiKey(const DaemonContext& aContext,
            const std::string& aDigest,
            const std::string& aOrganisation);

// Whether the endpoint accepts no new requests now: it is marked as leaving, or
// its leave time has passed.
bool
IsLeaving(const Endpoint& aEndpoint);

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_CONTEXT_H_
