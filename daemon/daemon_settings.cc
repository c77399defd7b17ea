#include "daemon/daemon_settings.h"

#include "settings/settings.h"

namespace tanagerseam {

namespace {

constexpr int64_t kMinute = 60000;
constexpr int64_t kDay = 86400000;
constexpr int64_t kMany = 1000000000;

Millis
ReadMillis(SectionReader& aReader,
           const std::string& aKey,
           Millis aDefault,
           int64_t aMin,
           int64_t aMax)
{
  return Millis(aReader.Integer(aKey, aDefault.count(), aMin, aMax));
}

std::string
RequiredAddress(SectionReader& aReader, const std::string& aKey)
{
  if (!aReader.Has(aKey)) {
    aReader.Report(aKey, "is missing");
  }
  return aReader.Address(aKey, "");
}

void
ReadDaemon(SectionReader& aReader, DaemonSettings& aOut)
{
  aOut.host = aReader.RequiredText("host");
  aOut.zone = aReader.RequiredText("zone");
  aOut.callerAddress = RequiredAddress(aReader, "caller_address");
  aOut.peerAddress = RequiredAddress(aReader, "peer_address");
  aOut.advertisedPeerAddress =
    aReader.Address("advertised_peer_address", aOut.peerAddress);
  aOut.adminAddress = RequiredAddress(aReader, "admin_address");
  aOut.seeds = aReader.List("seeds");
  aOut.logLevel = aReader.Choice(
    "log_level", aOut.logLevel, { "debug", "info", "warn", "error" });
  aOut.maxWorkers =
    size_t(aReader.Integer("max_workers", int64_t(aOut.maxWorkers), 8, 4096));
  aOut.maxBodyBytes = size_t(aReader.Integer(
    "max_body_bytes", int64_t(aOut.maxBodyBytes), 1024, 64 << 20));
  aOut.readTimeout =
    ReadMillis(aReader, "read_timeout_ms", aOut.readTimeout, 100, 10 * kMinute);
  aOut.callTimeout =
    ReadMillis(aReader, "call_timeout_ms", aOut.callTimeout, 100, kDay);
  aOut.drainNotice =
    ReadMillis(aReader, "drain_notice_ms", aOut.drainNotice, 0, 10 * kMinute);
  aOut.drainLimit =
    ReadMillis(aReader, "drain_limit_ms", aOut.drainLimit, 0, kDay);
}

void
ReadLog(SectionReader& aReader, DaemonSettings& aOut)
{
  aOut.logAddress = RequiredAddress(aReader, "address");
  aOut.logStream = aReader.Text("stream", aOut.logStream);
  aOut.logWriter.appendInterval = ReadMillis(
    aReader, "spacing_ms", aOut.logWriter.appendInterval, 1, kMinute);
  aOut.logWriter.burst =
    int(aReader.Integer("burst_appends", aOut.logWriter.burst, 1, 1000));
  aOut.logWriter.retryDelay = ReadMillis(
    aReader, "retry_pause_ms", aOut.logWriter.retryDelay, 1, kMinute);
  aOut.logWriter.maxQueuedRecords = size_t(aReader.Integer(
    "max_waiting", int64_t(aOut.logWriter.maxQueuedRecords), 100, 1000000));
  aOut.verdictTimeout =
    ReadMillis(aReader, "verdict_timeout_ms", aOut.verdictTimeout, 50, kMinute);
  aOut.snapshotEvery =
    aReader.Integer("snapshot_every", aOut.snapshotEvery, 100, kMany);
}

void
ReadLease(SectionReader& aReader, DaemonSettings& aOut)
{
  LeaseSettings& lease = aOut.lease;
  lease.duration =
    ReadMillis(aReader, "lease_ms", lease.duration, 100, 10 * kMinute);
  lease.margin =
    ReadMillis(aReader, "margin_ms", lease.margin, 10, 10 * kMinute);
  lease.renewInterval = ReadMillis(
    aReader, "renew_every_ms", lease.renewInterval, 20, 10 * kMinute);
  lease.settleTime =
    ReadMillis(aReader, "settle_ms", lease.settleTime, 0, 10 * kMinute);
  lease.maxOutage =
    ReadMillis(aReader, "max_outage_ms", lease.maxOutage, 1000, kDay);
  if (lease.renewInterval * 2 > lease.duration) {
    aReader.Report("renew_every_ms", "must be at most half of lease_ms");
  }
}

void
ReadLimits(SectionReader& aReader, DaemonSettings& aOut)
{
  aOut.limit.lendableFraction =
    aReader.Real("lendable_part", aOut.limit.lendableFraction, 0, 0.5);
  aOut.limit.loanTerm =
    ReadMillis(aReader, "loan_term_ms", aOut.limit.loanTerm, 100, kDay);
  aOut.limit.loanMargin =
    ReadMillis(aReader, "loan_margin_ms", aOut.limit.loanMargin, 10, kDay);
  aOut.limit.takeoverGrace =
    ReadMillis(aReader, "takeover_grace_ms", aOut.limit.takeoverGrace, 0, kDay);
  aOut.ratePolicy = aReader.Choice(
    "rate_policy", aOut.ratePolicy, Registry<RatePolicy>::Instance().Names());
  aOut.defaultBudgetTokens = aReader.Integer(
    "default_budget_tokens", aOut.defaultBudgetTokens, 1, kMany);
  aOut.defaultMaxTurns =
    aReader.Integer("default_max_turns", aOut.defaultMaxTurns, 1, 100000);
  aOut.defaultMaxTokens =
    aReader.Integer("default_max_tokens", aOut.defaultMaxTokens, 1, 1000000);
  aOut.maxProgramTime = ReadMillis(
    aReader, "max_program_time_ms", aOut.maxProgramTime, 1000, 30 * kDay);
  aOut.maxIdle =
    ReadMillis(aReader, "max_idle_ms", aOut.maxIdle, 100, 30 * kDay);
  aOut.retryShare = aReader.Real("retry_share", aOut.retryShare, 0, 1);
  aOut.retryMax = aReader.Real("retry_max", aOut.retryMax, 0, 10000);
}

void
ReadRoute(SectionReader& aReader, DaemonSettings& aOut)
{
  SchedulerSettings& route = aOut.scheduler;
  route.queuePolicy = aReader.Choice("queue_policy",
                                     route.queuePolicy,
                                     Registry<QueuePolicy>::Instance().Names());
  route.endpointPolicy =
    aReader.Choice("endpoint_policy",
                   route.endpointPolicy,
                   Registry<EndpointPolicy>::Instance().Names());
  route.maxWaiting = size_t(
    aReader.Integer("max_waiting", int64_t(route.maxWaiting), 1, 1000000));
  route.breakerFailures =
    int(aReader.Integer("breaker_failures", route.breakerFailures, 1, 1000));
  route.breakerPause = ReadMillis(
    aReader, "breaker_pause_ms", route.breakerPause, 10, 10 * kMinute);
  aOut.windDown =
    aReader.Choice("wind_down", aOut.windDown, { "cheaper", "prefill" });
  aOut.loadPollEvery =
    ReadMillis(aReader, "load_poll_ms", aOut.loadPollEvery, 20, kMinute);
}

using SectionParser = void (*)(SectionReader&, DaemonSettings&);

struct SectionRow
{
  const char* kind;
  bool required;
  SectionParser parse;
};

constexpr SectionRow kSections[] = {
  { "daemon", true, ReadDaemon }, { "log", true, ReadLog },
  { "lease", false, ReadLease },  { "limits", false, ReadLimits },
  { "route", false, ReadRoute },
};

const SectionRow*
FindRow(const std::string& aKind)
{
  for (const SectionRow& row : kSections) {
    if (aKind == row.kind) {
      return &row;
    }
  }
  return nullptr;
}

} // namespace

DaemonSettings
ParseDaemonSettings(const std::string& aPath, Findings& aFindings)
{
  DaemonSettings settings;
  const IniFile file = LoadIni(aPath, aFindings);
  std::set<std::string> seen;
  for (const IniSection& section : file.sections) {
    const SectionRow* row = FindRow(section.kind);
    if (row == nullptr || !section.name.empty()) {
      aFindings.Add({ file.name, section.line, section.kind },
                    "unknown section");
      continue;
    }
    if (!seen.insert(section.kind).second) {
      aFindings.Add({ file.name, section.line, section.kind },
                    "section given twice");
    }
    SectionReader reader(file.name, section, aFindings);
    row->parse(reader, settings);
    reader.RejectUnknown();
  }
  for (const SectionRow& row : kSections) {
    if (row.required && seen.count(row.kind) == 0) {
      aFindings.Add({ file.name, 0, row.kind }, "section is missing");
    }
  }
  return settings;
}

} // namespace tanagerseam
