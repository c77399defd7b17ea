// What hosts of the fleet tell each other: their load and what is asked of
// them.
//
//   LoadExchange exchange(io, "10.0.0.1", 7780);
//   exchange.OnReport([](const HostReport& aReport) { ... });
//   exchange.SetPeers(members);
//   exchange.Send(report);
//
// Reports are FlatBuffers in single datagrams. A lost report is superseded by
// the next one, and no connection can go silent; nothing here is needed for a
// decision to be safe, only for it to be good.
//
// A report goes to at most kFanOut peers, each time to the next ones, so the
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

#include "kernel/kernel.h"

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
  // Calls under way, by endpoint.
  std::unordered_map<std::string, int> endpointCalls;
  // Calls a second that are asked, by organisation.
  std::unordered_map<std::string, double> demand;
};

std::string
EncodeReport(const HostReport& aReport);
// Nothing for bytes that are no report.
std::optional<HostReport>
ParseReport(const std::string& aData);

class LoadExchange
{
public:
  static constexpr size_t kFanOut = 16;
  // Larger reports leave out organisations with the least demand.
  static constexpr size_t kMaxOrganisations = 64;

  LoadExchange(restinio::asio_ns::io_context& aIo,
               const std::string& aIp,
               uint16_t aPort);
  ~LoadExchange();
  LoadExchange(const LoadExchange&) = delete;
  LoadExchange& operator=(const LoadExchange&) = delete;

  void OnReport(std::function<void(const HostReport&)> aOnReport);
  // The other hosts.
  void SetPeers(std::vector<FleetMember> aPeers);
  void Send(HostReport aReport);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_FLEET_FLEET_H_
