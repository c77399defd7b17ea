#include "fleet/report_wire.h"

#include <algorithm>

namespace tanagerseam {

namespace {

// docs/design/contention.md, part 2.
constexpr size_t kMaxOrganisationWork = 64;

// The newest announcements, at most aMax of them.
template<typename Announcement>
std::vector<Announcement>
Newest(std::vector<Announcement> aAnnouncements, size_t aMax)
{
  if (aAnnouncements.size() > aMax) {
    std::sort(aAnnouncements.begin(),
              aAnnouncements.end(),
              [](const auto& aLeft, const auto& aRight) {
                return aLeft.announcedAtMillis > aRight.announcedAtMillis;
              });
    aAnnouncements.resize(aMax);
  }
  return aAnnouncements;
}

void
QuarantineToWire(const QuarantineReport& aReport,
                 fleetwire::LoadReportT& aTable)
{
  for (const BrokenCall& broken : aReport.broken) {
    auto entry = std::make_unique<fleetwire::BrokenCallT>();
    entry->call = broken.call;
    entry->endpoint = broken.endpoint;
    entry->sent = broken.sentAtMillis;
    entry->broken = broken.brokenAtMillis;
    aTable.broken_calls.push_back(std::move(entry));
  }
  for (const ClearedCall& cleared : aReport.cleared) {
    auto entry = std::make_unique<fleetwire::ClearedCallT>();
    entry->call = cleared.call;
    entry->sent = cleared.sentAtMillis;
    aTable.cleared_calls.push_back(std::move(entry));
  }
  for (const DownEndpoint& down : aReport.down) {
    auto entry = std::make_unique<fleetwire::DownEndpointT>();
    entry->endpoint = down.endpoint;
    entry->seen = down.seenAtMillis;
    aTable.down_endpoints.push_back(std::move(entry));
  }
}

QuarantineReport
QuarantineFromWire(const fleetwire::LoadReportT& aTable)
{
  QuarantineReport report;
  for (const auto& entry : aTable.broken_calls) {
    report.broken.push_back(
      { entry->call, entry->endpoint, entry->sent, entry->broken });
  }
  for (const auto& entry : aTable.cleared_calls) {
    report.cleared.push_back({ entry->call, entry->sent });
  }
  for (const auto& entry : aTable.down_endpoints) {
    report.down.push_back({ entry->endpoint, entry->seen });
  }
  return report;
}

void
ColdToWire(std::vector<ColdReport> aReports, fleetwire::LoadReportT& aTable)
{
  std::sort(aReports.begin(),
            aReports.end(),
            [](const ColdReport& aLeft, const ColdReport& aRight) {
              return aLeft.coldLeft > aRight.coldLeft;
            });
  aReports.resize(std::min(aReports.size(), FleetLink::kMaxReportedCold));
  for (const ColdReport& report : aReports) {
    auto entry = std::make_unique<fleetwire::ColdEndpointT>();
    entry->id = report.id;
    entry->started = report.startedAtMillis;
    entry->left_ms = static_cast<uint32_t>(report.coldLeft.count());
    aTable.cold_endpoints.push_back(std::move(entry));
  }
}

void
WorkToWire(const EndpointWorks& aWorks, fleetwire::LoadReportT& aTable)
{
  for (const auto& entry : aWorks) {
    aTable.work.emplace_back(entry.first, entry.second);
  }
  if (aTable.work.size() > FleetLink::kMaxReportedWork) {
    std::sort(aTable.work.begin(),
              aTable.work.end(),
              [](const auto& aLeft, const auto& aRight) {
                return aLeft.work_ms() > aRight.work_ms();
              });
    aTable.work.resize(FleetLink::kMaxReportedWork);
  }
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
  table.lost_services = aReport.lostServices;
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
  for (const LeavingEndpoint& leaving :
       Newest(aReport.leavingEndpoints, FleetLink::kMaxReportedLeaving)) {
    auto entry = std::make_unique<fleetwire::LeavingEndpointT>();
    entry->id = leaving.id;
    entry->started = leaving.startedAtMillis;
    entry->announced = leaving.announcedAtMillis;
    table.leaving.push_back(std::move(entry));
  }
  for (const EndpointRateLimit& limit :
       Newest(aReport.rateLimits, FleetLink::kMaxReportedRateLimits)) {
    auto entry = std::make_unique<fleetwire::RateLimitT>();
    entry->id = limit.id;
    entry->started = limit.startedAtMillis;
    entry->announced = limit.announcedAtMillis;
    entry->unlimited = !limit.callsPerSecond;
    entry->calls_per_second = limit.callsPerSecond.value_or(0);
    table.rate_limits.push_back(std::move(entry));
  }
  QuarantineToWire(aReport.quarantine, table);
  for (const ZoneEvacuation& evacuation : aReport.evacuations) {
    auto entry = std::make_unique<fleetwire::ZoneEvacuationT>();
    entry->zone = evacuation.zone;
    entry->evacuated = evacuation.evacuated;
    entry->position = evacuation.position;
    table.evacuations.push_back(std::move(entry));
  }
  ColdToWire(aReport.coldEndpoints, table);
  WorkToWire(aReport.work, table);
  for (const OrganisationShare& share : aReport.organisationWork) {
    table.organisation_work.emplace_back(share.organisation, share.workMillis);
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
  report.lostServices = table.lost_services;
  for (const auto& entry : table.leaving) {
    report.leavingEndpoints.push_back(
      { entry->id, entry->started, entry->announced });
  }
  report.quarantine = QuarantineFromWire(table);
  for (const auto& entry : table.rate_limits) {
    EndpointRateLimit limit;
    limit.id = entry->id;
    limit.startedAtMillis = entry->started;
    limit.announcedAtMillis = entry->announced;
    if (!entry->unlimited) {
      limit.callsPerSecond = entry->calls_per_second;
    }
    report.rateLimits.push_back(std::move(limit));
  }
  for (const auto& entry : table.evacuations) {
    report.evacuations.push_back(
      { entry->zone, entry->evacuated, entry->position });
  }
  for (const auto& entry : table.cold_endpoints) {
    report.coldEndpoints.push_back(
      { entry->id, entry->started, Millis(entry->left_ms) });
  }
  // More entries than any build sends are not read, to bound the memory.
  const size_t shares =
    std::min(table.organisation_work.size(), kMaxOrganisationWork);
  for (size_t i = 0; i < shares; ++i) {
    const auto& entry = table.organisation_work[i];
    report.organisationWork.push_back(
      { entry.organisation(), entry.work_ms() });
  }
  for (const auto& entry : table.endpoints) {
    report.endpointLoads[entry.endpoint()] = entry.calls();
  }
  for (const auto& entry : table.work) {
    report.work[entry.endpoint()] = entry.work_ms();
  }
  for (const auto& entry : table.organisations) {
    report.quotaReports[entry.organisation()] = {
      entry.demand(), entry.admitted(), entry.begun(), entry.promised()
    };
  }
  return report;
}

} // namespace tanagerseam
