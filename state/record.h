// Records of the log and their JSON form.
#ifndef TANAGERSEAM_STATE_RECORD_H_
#define TANAGERSEAM_STATE_RECORD_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam {

using Json = nlohmann::json;

// A daemon joins the cluster. This ends the previous incarnation of the same
// host: a host has one peer address, and only one process can listen on it.
struct MemberJoined
{
  std::string zone;
  // Each as "IP:port": for other daemons, for callers and for operators.
  std::string peerAddress;
  std::string callerAddress;
  std::string adminAddress;
  // Offset up to which the daemon had replayed the log. A join that does not
  // cover the join of the host's current incarnation is a delayed record of an
  // earlier process and is rejected. A rejected daemon continues its replay and
  // joins again.
  int64_t replayedOffset = -1;
};

// A daemon renews its lease.
struct MemberRenewed
{
  // Offset up to which the daemon had replayed the log when it wrote this
  // record; its membership view is the one at this offset.
  int64_t replayedOffset = -1;
  // The daemon is shutting down and should be assigned no more slots.
  bool draining = false;
  // Number of other members in its view when it wrote this record; -1 in
  // records that predate the field.
  int others = -1;
  // A promise is another member's commitment not to vote for this member's
  // expiry until a stated time; promises extend the lease while the log is
  // down. Of the others' promises, this many may be missing. Expiry takes one
  // vote more than this number.
  int sparePromises = 0;
};

// A daemon leaves the cluster voluntarily, which frees its slots.
struct MemberLeft
{};

// Failure detector's vote to expire a member: the author saw no renewal for
// longer than a lease. Rejected if the member has renewed since
// `observedRenewal`, or if the author is no longer a member. The member is
// removed once the votes outnumber its sparePromises.
struct MemberExpired
{
  std::string member;
  std::string memberIncarnation;
  // Offset of the member's newest renewal that the author has replayed.
  int64_t observedRenewal = 0;
  // The maximum outage time has passed, so no promise to the member can still
  // be in force: a single vote suffices.
  bool maxOutagePassed = false;
};

// An operator removes a member whose host is permanently gone and runs nothing
// any more. Rejected if the member has renewed since `observedRenewal`.
struct MemberRemoved
{
  std::string member;
  std::string memberIncarnation;
  int64_t observedRenewal = 0;
  std::string author;
};

struct SlotClaim
{
  int slot = 0;
  // Compare-and-set: the claim fails unless this is the slot's current epoch.
  int64_t expectedEpoch = 0;
};

// A member claims ownership of free slots; each claim succeeds or fails alone.
struct SlotsClaimed
{
  std::vector<SlotClaim> claims;
};

// A member gives up slots that it owns; others in the list are ignored.
struct SlotsReleased
{
  std::vector<int> slots;
  // Token bucket levels of the organisations in those slots, for the next
  // owner.
  std::map<std::string, double> levels;
};

// Replaces the configuration as a whole. Rejected unless `base` is the current
// version.
struct ConfigApplied
{
  int64_t base = 0;
  Json config;
  std::string author;
  int64_t wallMillis = 0;
};

// A program is created with its token budget.
struct ProgramOpened
{
  std::string program;
  std::string organisation;
  // Program whose budget this sub-agent's budget is reserved from; empty for a
  // top-level program.
  std::string parent;
  std::string urgency;
  int64_t budgetTokens = 0;
  int64_t maxTurns = 0;
  // Deadline as wall-clock time.
  int64_t endsAtMillis = 0;
  // Epoch of the program's slot under which the author owned it.
  int64_t epoch = 0;
};

// An attempt of a call is about to be dispatched; reserves its tokens.
struct CallStarted
{
  std::string program;
  int64_t call = 0;
  int64_t attempt = 0;
  int64_t epoch = 0;
  int64_t reservedTokens = 0;
  bool repeatable = true;
  std::string requestDigest;
};

// A call finished and becomes the next turn of the program's history.
struct CallFinished
{
  std::string program;
  int64_t call = 0;
  int64_t attempt = 0;
  std::string previousDigest;
  // "model", "service", or "unknown" for a service call without a response.
  std::string kind;
  // The caller's messages of this turn, as a JSON array; empty for services.
  std::string request;
  // Complete body of the response.
  std::string answer;
  // The assistant's message, as a JSON object; empty for services.
  std::string message;
  int httpStatus = 200;
  int64_t usedTokens = 0;
  std::string endpoint;
  // Content type of a service's response.
  std::string contentType;
};

// The newest attempt of a call did not run; releases its reservation.
struct CallVoided
{
  std::string program;
  int64_t call = 0;
  int64_t attempt = 0;
};

struct ProgramEnded
{
  std::string program;
  std::string reason;
};

// Intent record, written before a non-repeatable request is run.
struct RequestStarted
{
  // LedgerKey(organisation, route, idempotency key).
  std::string key;
  std::string requestDigest;
  int64_t epoch = 0;
};

// A started request finished; its response is kept for duplicate requests.
struct RequestFinished
{
  std::string key;
  int httpStatus = 0;
  std::string contentType;
  std::string body;
  // False if the response was too large to keep; body is then empty.
  bool bodyKept = true;
};

// A started request definitely did not run and may be started again. Accepted
// only from the owner that wrote the intent, and only while it owns the slot in
// the same epoch.
struct RequestVoided
{
  std::string key;
  int64_t epoch = 0;
};

// Complete state after the record at offset `covers`.
struct Snapshot
{
  int64_t covers = 0;
  Json state;
};

using RecordBody = std::variant<MemberJoined,
                                MemberRenewed,
                                MemberLeft,
                                MemberExpired,
                                MemberRemoved,
                                SlotsClaimed,
                                SlotsReleased,
                                ConfigApplied,
                                ProgramOpened,
                                CallStarted,
                                CallFinished,
                                CallVoided,
                                ProgramEnded,
                                RequestStarted,
                                RequestFinished,
                                RequestVoided,
                                Snapshot>;

// Writer and sequence number of a record. (host, incarnation, sequence) is
// unique and serves as deduplication key.
struct RecordHeader
{
  std::string host;
  std::string incarnation;
  uint64_t sequence = 0;
};

struct Record
{
  RecordHeader header;
  RecordBody body;
};

// Type name of a body as stored in the log, such as "call_started".
std::string
RecordTypeName(const RecordBody& aBody);

std::string
EncodeRecord(const Record& aRecord);

// Fails with kMalformedRequest if aText is not a valid encoded record.
Result<Record>
DecodeRecord(const std::string& aText);

// Ledger key: idempotency keys are scoped to an organisation and a route.
std::string
LedgerKey(const std::string& aOrganisation,
          const std::string& aRoute,
          const std::string& aIdempotencyKey);

} // namespace tanagerseam

#endif // TANAGERSEAM_STATE_RECORD_H_
