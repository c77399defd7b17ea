#include <algorithm>
#include <array>

#include "fleet/fleet.h"
#include "fleet/load_report_generated.h"

namespace tanagerseam {

namespace {

namespace asio = restinio::asio_ns;

constexpr size_t kMaxDatagram = 60u << 10;

} // namespace

std::string
EncodeReport(const HostReport& aReport)
{
  wire::LoadReportT table;
  table.host = aReport.host;
  table.started = aReport.started;
  table.sequence = aReport.sequence;
  for (const auto& entry : aReport.endpointCalls) {
    auto calls = std::make_unique<wire::EndpointCallsT>();
    calls->endpoint = entry.first;
    calls->calls = static_cast<uint16_t>(entry.second);
    table.endpoints.push_back(std::move(calls));
  }
  for (const auto& entry : aReport.demand) {
    auto demand = std::make_unique<wire::OrganisationDemandT>();
    demand->organisation = entry.first;
    demand->rate = static_cast<float>(entry.second);
    table.organisations.push_back(std::move(demand));
  }
  if (table.organisations.size() > LoadExchange::kMaxOrganisations) {
    std::sort(
      table.organisations.begin(),
      table.organisations.end(),
      [](const auto& aLeft, const auto& aRight) {
        return aLeft->rate > aRight->rate;
      });
    table.organisations.resize(LoadExchange::kMaxOrganisations);
  }
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::LoadReport::Pack(builder, &table));
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                     builder.GetSize());
}

std::optional<HostReport>
ParseReport(const std::string& aData)
{
  const auto* bytes = reinterpret_cast<const uint8_t*>(aData.data());
  flatbuffers::Verifier verifier(bytes, aData.size());
  if (!wire::VerifyLoadReportBuffer(verifier)) {
    return std::nullopt;
  }
  wire::LoadReportT table;
  wire::GetLoadReport(bytes)->UnPackTo(&table);
  HostReport report;
  report.host = table.host;
  report.started = table.started;
  report.sequence = table.sequence;
  for (const auto& entry : table.endpoints) {
    report.endpointCalls[entry->endpoint] = entry->calls;
  }
  for (const auto& entry : table.organisations) {
    report.demand[entry->organisation] = entry->rate;
  }
  return report;
}

struct LoadExchange::Impl
{
  explicit Impl(asio::io_context& aIo)
    : socket(aIo)
  {
  }

  void Receive()
  {
    this->socket.async_receive_from(
      asio::buffer(this->buffer),
      this->sender,
      [this](const asio::error_code& aError, size_t aLength) {
        if (aError == asio::error::operation_aborted) {
          return;
        }
        if (!aError) {
          this->Take(std::string(this->buffer.data(), aLength));
        }
        this->Receive();
      });
  }

  // Drops reports of an earlier start and those that were overtaken.
  void Take(const std::string& aData)
  {
    const auto report = ParseReport(aData);
    if (!report) {
      LogWarn("peer_report_unreadable",
              { { "from", this->sender.address().to_string() } });
      return;
    }
    auto& newest = this->newest[report->host];
    const std::pair<uint64_t, uint64_t> order(report->started,
                                              report->sequence);
    if (order <= newest) {
      return;
    }
    newest = order;
    if (this->onReport) {
      this->onReport(*report);
    }
  }

  asio::ip::udp::socket socket;
  asio::ip::udp::endpoint sender;
  std::array<char, kMaxDatagram> buffer{};
  std::function<void(const HostReport&)> onReport;
  std::vector<asio::ip::udp::endpoint> peers;
  size_t nextPeer = 0;
  uint64_t sequence = 0;
  std::unordered_map<std::string, std::pair<uint64_t, uint64_t>> newest;
};

LoadExchange::LoadExchange(asio::io_context& aIo,
                           const std::string& aIp,
                           uint16_t aPort)
  : impl(std::make_unique<Impl>(aIo))
{
  const asio::ip::udp::endpoint address(asio::ip::make_address(aIp), aPort);
  this->impl->socket.open(asio::ip::udp::v4());
  this->impl->socket.bind(address);
  this->impl->socket.non_blocking(true);
  this->impl->Receive();
}

LoadExchange::~LoadExchange() = default;

void
LoadExchange::OnReport(std::function<void(const HostReport&)> aOnReport)
{
  this->impl->onReport = std::move(aOnReport);
}

void
LoadExchange::SetPeers(std::vector<FleetMember> aPeers)
{
  this->impl->peers.clear();
  for (const FleetMember& peer : aPeers) {
    asio::error_code error;
    const auto ip = asio::ip::make_address(peer.ip, error);
    if (error) {
      LogWarn("peer_address_unreadable", { { "peer", peer.host } });
      continue;
    }
    this->impl->peers.emplace_back(ip, peer.port);
  }
}

void
LoadExchange::Send(HostReport aReport)
{
  Impl& self = *this->impl;
  aReport.sequence = ++self.sequence;
  const std::string data = EncodeReport(aReport);
  const size_t count = std::min(kFanOut, self.peers.size());
  for (size_t i = 0; i < count; ++i) {
    self.nextPeer = (self.nextPeer + 1) % self.peers.size();
    asio::error_code ignored;
    self.socket.send_to(
      asio::buffer(data), self.peers[self.nextPeer], 0, ignored);
  }
}

} // namespace tanagerseam
