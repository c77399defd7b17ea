#include "daemon/gateway_settings.h"

#include <cmath>

#include "settings/settings.h"

namespace tanagerseam {

namespace {

constexpr int64_t kLongestMillis = 600000;
constexpr int64_t kMostParts = 10000;
// As a part of a cap.
constexpr double kMostOverage = 10;
// In calls.
constexpr double kMostTolerance = 1000000;

std::string
AddressOf(SectionReader& aReader, const std::string& aKey)
{
  if (!aReader.Has(aKey)) {
    aReader.Report(aKey, "is missing");
  }
  return aReader.Address(aKey, "");
}

Millis
MillisOf(SectionReader& aReader, const std::string& aKey, Millis aDefault)
{
  return Millis(aReader.Integer(aKey, aDefault.count(), 0, kLongestMillis));
}

// A time that the file names in seconds, with fractions.
Millis
SecondsOf(SectionReader& aReader,
          const std::string& aKey,
          Millis aDefault,
          double aLeastSeconds)
{
  const double seconds =
    aReader.Real(aKey,
                 std::chrono::duration<double>(aDefault).count(),
                 aLeastSeconds,
                 std::chrono::duration<double>(Millis(kLongestMillis)).count());
  return Millis(std::llround(seconds * 1000));
}

QuotaSlack
ReadQuotaSlack(SectionReader& aReader)
{
  QuotaSlack slack;
  slack.window = SecondsOf(aReader, "quota_window_s", slack.window, 0);
  slack.overage = aReader.Real("quota_overage", slack.overage, 0, kMostOverage);
  slack.tolerance =
    aReader.Real("quota_tolerance", slack.tolerance, 0, kMostTolerance);
  return slack;
}

void
ReadGateway(SectionReader& aReader, GatewayProcessSettings& aOut)
{
  aOut.host = aReader.RequiredText("host");
  aOut.zone = aReader.RequiredText("zone");
  aOut.callAddress = AddressOf(aReader, "call_address");
  aOut.readyAddress = AddressOf(aReader, "ready_address");
  aOut.metricsAddress = AddressOf(aReader, "metrics_address");
  aOut.exchangeAddress = AddressOf(aReader, "exchange_address");
  aOut.logLevel = aReader.Choice(
    "log_level", aOut.logLevel, { "debug", "info", "warn", "error" });
  aOut.freshStart = aReader.Flag("fresh_start", aOut.freshStart);
  aOut.keyFreshness = MillisOf(aReader, "key_freshness_ms", aOut.keyFreshness);
  aOut.shutdownNotice =
    MillisOf(aReader, "shutdown_notice_ms", aOut.shutdownNotice);
  aOut.shutdownLimit =
    SecondsOf(aReader, "shutdown_limit_s", aOut.shutdownLimit, 0.1);
  aOut.quotaSlack = ReadQuotaSlack(aReader);
}

void
ReadPlatform(SectionReader& aReader, GatewayProcessSettings& aOut)
{
  aOut.storeAddress = AddressOf(aReader, "store_address");
  aOut.storeParts = static_cast<int>(
    aReader.Integer("store_parts", aOut.storeParts, 1, kMostParts));
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
    } else if (section.kind == "platform") {
      hasPlatform = true;
      ReadPlatform(reader, settings);
    } else {
      aFindings.Add({ file.name, section.line, section.kind },
                    "is no section of a gateway's settings");
    }
    reader.RejectUnknown();
  }
  if (!hasPlatform) {
    aFindings.Add({ file.name, 0, "platform" }, "is missing");
  }
  return settings;
}

} // namespace tanagerseam
