// Settings of a gateway whose default depends on another one.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include <unistd.h>

#include "daemon/gateway_settings.h"

namespace tanagerseam {
namespace {

GatewayProcessSettings
Parse(const std::string& aExtraKeys)
{
  const auto path = std::filesystem::temp_directory_path() /
                    ("gateway-settings-" + std::to_string(getpid()) + ".ini");
  std::ofstream(path) << "[gateway]\nhost = h\nzone = z\n"
                         "call_address = 127.0.0.1:1\n"
                         "ready_address = 127.0.0.1:2\n"
                         "metrics_address = 127.0.0.1:3\n"
                         "exchange_address = 127.0.0.1:4\n"
                      << aExtraKeys
                      << "[platform]\nstore_address = 127.0.0.1:5\n";
  Findings findings;
  const auto settings = ParseGatewaySettings(path.string(), findings);
  EXPECT_TRUE(findings.Empty()) << findings.Text();
  std::filesystem::remove(path);
  return settings;
}

TEST(GatewaySettingsTest, RecordRelayFollowsContentionUnlessItIsSet)
{
  EXPECT_FALSE(RelaysRecords(Parse("")));
  EXPECT_TRUE(RelaysRecords(Parse("contention = true\n")));
  EXPECT_TRUE(RelaysRecords(Parse("record_relay = true\n")));
  EXPECT_FALSE(
    RelaysRecords(Parse("contention = true\nrecord_relay = false\n")));
}

} // namespace
} // namespace tanagerseam
