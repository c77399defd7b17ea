#include "daemon/gateway_settings.h"

#include <cmath>

#include "platform/platform.h"
#include "settings/settings.h"

namespace tanagerseam {

namespace {

// One body of the largest size, as it is held twice and sent once, must fit
// into the two thirds that requests may take.
constexpr int64_t kMinHeldBytes = 20LL << 20;
constexpr int64_t kMaxHeldBytes = 1LL << 40;
constexpr int64_t kMaxDurationMillis = 600000;
constexpr Millis kMaxStoreRetention(31536000000);
constexpr int64_t kMaxStorePartitions = 10000;
// Fraction of the cap.
constexpr double kMaxOverage = 10;
constexpr double kMaxToleranceCalls = 1000000;

struct PlacementModeName
{
  PlacementMode mode;
  std::string_view name;
};

constexpr PlacementModeName kPlacementModeNames[] = {
  { PlacementMode::kAuto, "auto" },
  { PlacementMode::kBasic, "basic" },
  { PlacementMode::kAdaptive, "adaptive" },
};

std::string
RequiredAddress(SectionReader& aReader, const std::string& aKey)
{
  if (!aReader.Has(aKey)) {
    aReader.Report(aKey, "the key is missing");
  }
  return aReader.Address(aKey, "");
}

Millis
ReadMillis(SectionReader& aReader, const std::string& aKey, Millis aDefault)
{
  return Millis(aReader.Integer(aKey, aDefault.count(), 0, kMaxDurationMillis));
}

// A duration given in seconds, with fractions.
Millis
ReadSeconds(SectionReader& aReader,
            const std::string& aKey,
            Millis aDefault,
            double aMinSeconds,
            Millis aMax = Millis(kMaxDurationMillis))
{
  const double seconds =
    aReader.Real(aKey,
                 std::chrono::duration<double>(aDefault).count(),
                 aMinSeconds,
                 std::chrono::duration<double>(aMax).count());
  return Millis(std::llround(seconds * 1000));
}

PlacementMode
ReadPlacement(SectionReader& aReader)
{
  std::vector<std::string> names;
  for (const PlacementModeName& row : kPlacementModeNames) {
    names.emplace_back(row.name);
  }
  const std::string name = aReader.Choice("placement", "auto", names);
  for (const PlacementModeName& row : kPlacementModeNames) {
    if (row.name == name) {
      return row.mode;
    }
  }
  return PlacementMode::kAuto;
}

// The bound on a cold endpoint's calls in one second is
// rate x cold_overage + cold_tolerance.
QuotaSlack
ReadColdSlack(SectionReader& aReader)
{
  QuotaSlack slack{ Millis(1000), 0, 0 };
  slack.overage = aReader.Real("cold_overage", 1, 1, 1 + kMaxOverage) - 1;
  slack.tolerance =
    aReader.Real("cold_tolerance", slack.tolerance, 0, kMaxToleranceCalls);
  return slack;
}

QuotaSlack
ReadQuotaSlack(SectionReader& aReader)
{
  QuotaSlack slack;
  slack.window = ReadSeconds(aReader, "quota_window_s", slack.window, 0);
  slack.overage = aReader.Real("quota_overage", slack.overage, 0, kMaxOverage);
  slack.tolerance =
    aReader.Real("quota_tolerance", slack.tolerance, 0, kMaxToleranceCalls);
  return slack;
}

void
ReadGateway(SectionReader& aReader, GatewayProcessSettings& aSettings)
{
  aSettings.host = aReader.RequiredText("host");
  aSettings.zone = aReader.RequiredText("zone");
  aSettings.callAddress = RequiredAddress(aReader, "call_address");
  aSettings.readyAddress = RequiredAddress(aReader, "ready_address");
  aSettings.metricsAddress = RequiredAddress(aReader, "metrics_address");
  aSettings.exchangeAddress = RequiredAddress(aReader, "exchange_address");
  aSettings.logLevel = aReader.Choice(
    "log_level", aSettings.logLevel, { "debug", "info", "warn", "error" });
  aSettings.freshStart = aReader.Flag("fresh_start", aSettings.freshStart);
  aSettings.keyFreshness =
    ReadMillis(aReader, "key_freshness_ms", aSettings.keyFreshness);
  aSettings.shutdownNotice =
    ReadMillis(aReader, "shutdown_notice_ms", aSettings.shutdownNotice);
  aSettings.shutdownLimit =
    ReadSeconds(aReader, "shutdown_limit_s", aSettings.shutdownLimit, 0.1);
  aSettings.quotaSlack = ReadQuotaSlack(aReader);
  aSettings.coldSlack = ReadColdSlack(aReader);
  aSettings.placement = ReadPlacement(aReader);
  aSettings.contention = aReader.Flag("contention", aSettings.contention);
  if (aReader.Has("record_relay")) {
    aSettings.recordRelay = aReader.Flag("record_relay", false);
  }
  aSettings.maxHeldBytes = static_cast<size_t>(
    aReader.Integer("max_held_bytes",
                    static_cast<int64_t>(aSettings.maxHeldBytes),
                    kMinHeldBytes,
                    kMaxHeldBytes));
}

void
ReadPlatform(SectionReader& aReader, GatewayProcessSettings& aSettings)
{
  aSettings.storeAddress = RequiredAddress(aReader, "store_address");
  if (StatesContention(aReader.List("contracts"))) {
    aSettings.contention = true;
  }
  aSettings.storePartitions = static_cast<int>(aReader.Integer(
    "store_parts", aSettings.storePartitions, 1, kMaxStorePartitions));
  aSettings.storeRetention = ReadSeconds(aReader,
                                         "store_retention_s",
                                         aSettings.storeRetention,
                                         1,
                                         kMaxStoreRetention);
}

} // namespace

bool
HasGatewaySection(const std::string& aPath)
{
  Findings ignored;
  for (const IniSection& section : LoadIni(aPath, ignored).sections) {
    if (section.kind == "gateway") {
      return true;
    }
  }
  return false;
}

GatewayProcessSettings
ParseGatewaySettings(const std::string& aPath, Findings& aFindings)
{
  GatewayProcessSettings settings;
  const IniFile file = LoadIni(aPath, aFindings);
  bool hasPlatform = false;
  for (const IniSection& section : file.sections) {
    SectionReader reader(file.name, section, aFindings);
    if (section.kind == "gateway") {
      ReadGateway(reader, settings);
    } else if (section.kind == "zones") {
      for (const IniValue& value : section.values) {
        settings.regionByZone[value.key] = reader.RequiredText(value.key);
      }
    } else if (section.kind == "platform") {
      hasPlatform = true;
      ReadPlatform(reader, settings);
    } else {
      aFindings.Add({ file.name, section.line, section.kind },
                    "unknown section in the settings of a gateway");
    }
    reader.RejectUnknown();
  }
  if (!hasPlatform) {
    aFindings.Add({ file.name, 0, "platform" }, "section is missing");
  }
  return settings;
}

} // namespace tanagerseam
