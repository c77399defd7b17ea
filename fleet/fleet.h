// What hosts of the fleet tell and ask each other.
//
//   FleetLink link(io, { "host-1", started, "10.0.0.1", 7780 });
//   link.SetHandlers(handlers);
//   link.SetPeers(members);
//   link.SendReport(report);
//   uint64_t reservation = link.Reserve("host-2", request, wait, done);
//   link.Settle("host-2", reservation, 144);
//
// Messages are FlatBuffers in single datagrams. A lost report is superseded by
// the next one; a lost question is asked again until its answer is of no more
// use, and its receiver answers a repetition as it answered first. No
// connection can go silent. Nothing here is needed for a decision to be safe,
// only for it to be good and cheap.
//
// A report goes to at most kFanOut peers, each time to the next ones, so its
// cost does not grow with the fleet; each peer hears a host every
// (peers / kFanOut) reports.
#ifndef TANAGERSEAM_FLEET_FLEET_H_
#define TANAGERSEAM_FLEET_FLEET_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <restinio/asio_include.hpp>

#include "dispatch/dispatch.h"
#include "kernel/kernel.h"
#include "quota/quota.h"

namespace tanagerseam {

struct FleetMember
{
  std::string host;
  std::string ip;
  uint16_t port = 0;
};

struct HostReport
{
  std::string host;
  // Milliseconds since the epoch at which the process started.
  uint64_t started = 0;
  uint64_t sequence = 0;
  EndpointLoads endpointCalls;
  QuotaReports organisations;
  // The host can't reach the platform's store, or is about to stop.
  bool storeLost = false;
  // It can judge and serve calls.
  bool ready = false;
  // Where it takes calls, as IP:PORT.
  std::string callAddress;
};

// Tokens of a program's budget that a turn may need.
struct TokenRequest
{
  std::string program;
  std::string organisation;
  // The turn goes on from another one: its program has certainly begun.
  bool continues = false;
  int64_t budget = 0;
  int64_t most = 0;
};

enum class ReserveVerdict
{
  kReserved,
  kSpent,
  // The program's host can't tell.
  kUnknown,
  // The organisation's quota holds no new program now.
  kOverQuota,
  // No answer came; the tokens may have been set aside.
  kNoAnswer,
};

struct ReserveAnswer
{
  ReserveVerdict verdict = ReserveVerdict::kUnknown;
  // It is the first turn of its program.
  bool begins = false;
};

struct FleetHandlers
{
  std::function<void(const HostReport&)> onReport;
  // Answers by calling the function that it is given, once.
  std::function<
    void(const TokenRequest&, Millis, std::function<void(ReserveAnswer)>)>
    onReserve;
  // The end of a reservation that was answered kReserved, and the tokens that
  // were handed out. A host that starts anew has used all it had reserved.
  std::function<void(const TokenRequest&, int64_t aUsed)> onSettle;
};

struct FleetLinkSettings
{
  std::string host;
  uint64_t started = 0;
  std::string ip;
  uint16_t port = 0;
};

class FleetLink
{
public:
  static constexpr size_t kFanOut = 16;
  // Larger reports leave out organisations with the least demand.
  static constexpr size_t kMaxOrganisations = 64;
  // A question without an answer is asked again after this time.
  static constexpr Millis kAskAgainAfter{ 12 };
  // A settlement is repeated so often.
  static constexpr int kSettleTries = 8;

  FleetLink(restinio::asio_ns::io_context& aIo, FleetLinkSettings aSettings);
  ~FleetLink();
  FleetLink(const FleetLink&) = delete;
  FleetLink& operator=(const FleetLink&) = delete;

  void SetHandlers(FleetHandlers aHandlers);
  // The other hosts.
  void SetPeers(std::vector<FleetMember> aPeers);
  void SendReport(HostReport aReport);
  // Asks aHost; answers kNoAnswer after aWait, and for a host that is no peer.
  // Each reservation answered kReserved or kNoAnswer is to be settled.
  uint64_t Reserve(const std::string& aHost,
                   const TokenRequest& aRequest,
                   Millis aWait,
                   std::function<void(ReserveAnswer)> aDone);
  // Harmless for a reservation that never reached aHost.
  void Settle(const std::string& aHost, uint64_t aReservation, int64_t aUsed);
  bool IsPeer(const std::string& aHost) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_FLEET_FLEET_H_
