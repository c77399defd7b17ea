#include "fleet/report_wire.h"

#include <algorithm>

namespace tanagerseam {

namespace {

std::vector<LeavingEndpoint>
NewestLeaving(const HostReport& aReport)
{
  std::vector<LeavingEndpoint> leaving = aReport.leavingEndpoints;
  if (leaving.size() > FleetLink::kMaxReportedLeaving) {
    std::sort(leaving.begin(),
              leaving.end(),
              [](const auto& aLeft, const auto& aRight) {
                return aLeft.announcedAtMillis > aRight.announcedAtMillis;
              });
    leaving.resize(FleetLink::kMaxReportedLeaving);
  }
  return leaving;
}

} // namespace

fleetwire::LoadReportT
ReportToWire(const HostReport& aReport)
{
  fleetwire::LoadReportT table;
  table.sequence = aReport.sequence;
  table.store_lost = aReport.storeUnavailable;
  table.ready = aReport.ready;
  table.call_address = aReport.callAddress;
  for (const auto& entry : aReport.endpointLoads) {
    table.endpoints.emplace_back(entry.first,
                                 static_cast<uint16_t>(entry.second));
  }
  for (const auto& entry : aReport.quotaReports) {
    const QuotaReport& quotaReport = entry.second;
    table.organisations.emplace_back(entry.first,
                                     quotaReport.admittedCalls,
                                     quotaReport.admittedPrograms,
                                     quotaReport.reservedCalls,
                                     static_cast<float>(quotaReport.demand));
  }
  for (const LeavingEndpoint& leaving : NewestLeaving(aReport)) {
    auto entry = std::make_unique<fleetwire::LeavingEndpointT>();
    entry->id = leaving.id;
    entry->started = leaving.startedAtMillis;
    entry->announced = leaving.announcedAtMillis;
    table.leaving.push_back(std::move(entry));
  }
  if (table.organisations.size() > FleetLink::kMaxReportedOrganisations) {
    std::sort(table.organisations.begin(),
              table.organisations.end(),
              [](const auto& aLeft, const auto& aRight) {
                return aLeft.demand() > aRight.demand();
              });
    table.organisations.resize(FleetLink::kMaxReportedOrganisations);
  }
  return table;
}

HostReport
ReportFromWire(const fleetwire::DatagramT& aDatagram)
{
  const fleetwire::LoadReportT& table = *aDatagram.body.AsLoadReport();
  HostReport report;
  report.host = aDatagram.host;
  report.startTime = aDatagram.started;
  report.sequence = table.sequence;
  report.storeUnavailable = table.store_lost;
  report.ready = table.ready;
  report.callAddress = table.call_address;
  for (const auto& entry : table.leaving) {
    report.leavingEndpoints.push_back(
      { entry->id, entry->started, entry->announced });
  }
  for (const auto& entry : table.endpoints) {
    report.endpointLoads[entry.endpoint()] = entry.calls();
  }
  for (const auto& entry : table.organisations) {
    report.quotaReports[entry.organisation()] = {
      entry.demand(), entry.admitted(), entry.begun(), entry.promised()
    };
  }
  return report;
}

} // namespace tanagerseam
