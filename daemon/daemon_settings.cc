#include "daemon/daemon_settings.h"

#include "settings/settings.h"

namespace tanagerseam {

namespace {

constexpr int64_t kMinuteMillis = 60000;
constexpr int64_t kDayMillis = 86400000;
constexpr int64_t kMaxCount = 1000000000;

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
    aReader.Report(aKey, "the key is missing");
  }
  return aReader.Address(aKey, "");
}

void
ReadDaemon(SectionReader& aReader, DaemonSettings& aSettings)
{
  aSettings.host = aReader.RequiredText("host");
  aSettings.zone = aReader.RequiredText("zone");
  aSettings.callerAddress = RequiredAddress(aReader, "caller_address");
  aSettings.peerAddress = RequiredAddress(aReader, "peer_address");
  aSettings.advertisedPeerAddress =
    aReader.Address("advertised_peer_address", aSettings.peerAddress);
  aSettings.adminAddress = RequiredAddress(aReader, "admin_address");
  aSettings.seeds = aReader.List("seeds");
  aSettings.logLevel = aReader.Choice(
    "log_level", aSettings.logLevel, { "debug", "info", "warn", "error" });
  aSettings.maxWorkers = size_t(
    aReader.Integer("max_workers", int64_t(aSettings.maxWorkers), 8, 4096));
  aSettings.maxBodyBytes = size_t(aReader.Integer(
    "max_body_bytes", int64_t(aSettings.maxBodyBytes), 1024, 64 << 20));
  aSettings.readTimeout = ReadMillis(
    aReader, "read_timeout_ms", aSettings.readTimeout, 100, 10 * kMinuteMillis);
  aSettings.defaultCallTimeout = ReadMillis(
    aReader, "call_timeout_ms", aSettings.defaultCallTimeout, 100, kDayMillis);
  aSettings.drainNotice = ReadMillis(
    aReader, "drain_notice_ms", aSettings.drainNotice, 0, 10 * kMinuteMillis);
  aSettings.drainLimit =
    ReadMillis(aReader, "drain_limit_ms", aSettings.drainLimit, 0, kDayMillis);
}

void
ReadLog(SectionReader& aReader, DaemonSettings& aSettings)
{
  aSettings.logAddress = RequiredAddress(aReader, "address");
  aSettings.logStream = aReader.Text("stream", aSettings.logStream);
  aSettings.logWriter.appendInterval =
    ReadMillis(aReader,
               "spacing_ms",
               aSettings.logWriter.appendInterval,
               1,
               kMinuteMillis);
  aSettings.logWriter.burst =
    int(aReader.Integer("burst_appends", aSettings.logWriter.burst, 1, 1000));
  aSettings.logWriter.retryDelay = ReadMillis(aReader,
                                              "retry_pause_ms",
                                              aSettings.logWriter.retryDelay,
                                              1,
                                              kMinuteMillis);
  aSettings.logWriter.maxQueuedRecords =
    size_t(aReader.Integer("max_waiting",
                           int64_t(aSettings.logWriter.maxQueuedRecords),
                           100,
                           1000000));
  aSettings.verdictTimeout = ReadMillis(
    aReader, "verdict_timeout_ms", aSettings.verdictTimeout, 50, kMinuteMillis);
  aSettings.snapshotInterval = aReader.Integer(
    "snapshot_every", aSettings.snapshotInterval, 100, kMaxCount);
}

void
ReadLease(SectionReader& aReader, DaemonSettings& aSettings)
{
  LeaseSettings& lease = aSettings.lease;
  lease.duration =
    ReadMillis(aReader, "lease_ms", lease.duration, 100, 10 * kMinuteMillis);
  lease.margin =
    ReadMillis(aReader, "margin_ms", lease.margin, 10, 10 * kMinuteMillis);
  lease.renewInterval = ReadMillis(
    aReader, "renew_every_ms", lease.renewInterval, 20, 10 * kMinuteMillis);
  lease.settleTime =
    ReadMillis(aReader, "settle_ms", lease.settleTime, 0, 10 * kMinuteMillis);
  lease.maxOutage =
    ReadMillis(aReader, "max_outage_ms", lease.maxOutage, 1000, kDayMillis);
  if (lease.renewInterval * 2 > lease.duration) {
    aReader.Report("renew_every_ms", "must be at most half of lease_ms");
  }
}

void
ReadLimits(SectionReader& aReader, DaemonSettings& aSettings)
{
  aSettings.limit.lendableFraction =
    aReader.Real("lendable_part", aSettings.limit.lendableFraction, 0, 0.5);
  aSettings.limit.loanTerm = ReadMillis(
    aReader, "loan_term_ms", aSettings.limit.loanTerm, 100, kDayMillis);
  aSettings.limit.loanMargin = ReadMillis(
    aReader, "loan_margin_ms", aSettings.limit.loanMargin, 10, kDayMillis);
  aSettings.limit.takeoverGrace = ReadMillis(
    aReader, "takeover_grace_ms", aSettings.limit.takeoverGrace, 0, kDayMillis);
  aSettings.ratePolicy =
    aReader.Choice("rate_policy",
                   aSettings.ratePolicy,
                   Registry<RatePolicy>::Instance().Names());
  aSettings.defaultBudgetTokens = aReader.Integer(
    "default_budget_tokens", aSettings.defaultBudgetTokens, 1, kMaxCount);
  aSettings.defaultMaxTurns =
    aReader.Integer("default_max_turns", aSettings.defaultMaxTurns, 1, 100000);
  aSettings.defaultMaxTokens = aReader.Integer(
    "default_max_tokens", aSettings.defaultMaxTokens, 1, 1000000);
  aSettings.maxProgramTime = ReadMillis(aReader,
                                        "max_program_time_ms",
                                        aSettings.maxProgramTime,
                                        1000,
                                        30 * kDayMillis);
  aSettings.maxIdleTime = ReadMillis(
    aReader, "max_idle_ms", aSettings.maxIdleTime, 100, 30 * kDayMillis);
  aSettings.retryBudgetShare =
    aReader.Real("retry_share", aSettings.retryBudgetShare, 0, 1);
  aSettings.retryBudgetMax =
    aReader.Real("retry_max", aSettings.retryBudgetMax, 0, 10000);
}

void
ReadRoute(SectionReader& aReader, DaemonSettings& aSettings)
{
  SchedulerSettings& route = aSettings.scheduler;
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
    aReader, "breaker_pause_ms", route.breakerPause, 10, 10 * kMinuteMillis);
  aSettings.windDown =
    aReader.Choice("wind_down", aSettings.windDown, { "cheaper", "prefill" });
  aSettings.loadPollInterval = ReadMillis(
    aReader, "load_poll_ms", aSettings.loadPollInterval, 20, kMinuteMillis);
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
FindSection(const std::string& aKind)
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
    const SectionRow* row = FindSection(section.kind);
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
