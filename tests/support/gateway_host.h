// A gateway process, and builders for the JSON documents that it reads from the
// users' store: the configuration and the endpoint entries.
//
//   GatewayHost host({ folder, "host-0", store.Address() });
//   host.Start();
//   RawClient client(io, host.callPort);
#ifndef TANAGERSEAM_TESTS_SUPPORT_GATEWAY_HOST_H_
#define TANAGERSEAM_TESTS_SUPPORT_GATEWAY_HOST_H_

#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "tests/support/child_process.h"
#include "tests/support/free_port.h"

namespace tanagerseam::testing_support {

struct GatewayHostSettings
{
  std::filesystem::path folder;
  std::string name;
  std::string storeAddress;
  Millis keyFreshness{ 2000 };
  Millis shutdownNotice{ 300 };
  std::string zone = "zone-a";
  // Unset: not in the settings.
  std::optional<Millis> storeRetention;
};

class GatewayHost
{
public:
  explicit GatewayHost(GatewayHostSettings aSettings)
    : settings(std::move(aSettings))
    , iniPath((settings.folder / (settings.name + ".ini")).string())
  {
  }

  // Starts the gateway. Only the first start sets fresh_start, since only then
  // does the whole fleet start.
  void Start()
  {
    this->WriteSettings();
    this->startedBefore = true;
    this->process = std::make_unique<ChildProcess>(
      ProgramPath("tanagerseamd"),
      std::vector<std::string>{ "--config=" + this->iniPath },
      (this->settings.folder / (this->settings.name + ".log")).string());
  }

  const uint16_t callPort = FreePort();
  const uint16_t readyPort = FreePort();
  const uint16_t exchangePort = FreePort();
  std::unique_ptr<ChildProcess> process;

private:
  void WriteSettings() const
  {
    std::ofstream file(this->iniPath);
    file << "[gateway]\nhost = " << this->settings.name
         << "\nzone = " << this->settings.zone << "\n"
         << "call_address = " << LoopbackAddress(this->callPort) << "\n"
         << "ready_address = " << LoopbackAddress(this->readyPort) << "\n"
         << "metrics_address = " << LoopbackAddress(this->metricsPort) << "\n"
         << "exchange_address = " << LoopbackAddress(this->exchangePort) << "\n"
         << "fresh_start = " << (this->startedBefore ? "false" : "true") << "\n"
         << "shutdown_notice_ms = " << this->settings.shutdownNotice.count()
         << "\nkey_freshness_ms = " << this->settings.keyFreshness.count()
         << "\nquota_window_s = 5\nquota_overage = 0.1\nquota_tolerance = 20\n"
         << "[platform]\nstore_address = " << this->settings.storeAddress
         << "\n";
    if (this->settings.storeRetention) {
      const std::chrono::duration<double> seconds =
        *this->settings.storeRetention;
      file << "store_retention_s = " << seconds.count() << "\n";
    }
  }

  GatewayHostSettings settings;
  std::string iniPath;
  const uint16_t metricsPort = FreePort();
  bool startedBefore = false;
};

// An organisation's entry in the configuration: its API key and rate limit.
struct OrganisationConfig
{
  std::string name;
  std::string key;
  int ratePerSecond = 500;
  int burst = 500;
};

// A configuration with four routes: /ask/ streams and retains history, /follow/
// streams and is resumable, /look/ is idempotent and /charge/ is
// non-idempotent.
inline std::string
ConfigurationJson(int aVersion,
                  const std::vector<OrganisationConfig>& aOrganisations,
                  Millis aTimeout = Millis(2000))
{
  const auto route =
    [aTimeout](const char* aName, const char* aKind, const char* aService) {
      return nlohmann::json{ { "name", aName },
                             { "host", "reports.example" },
                             { "path-prefix", "/" + std::string(aName) + "/" },
                             { "kind", aKind },
                             { "timeout-ms", aTimeout.count() },
                             { "service", aService },
                             { "max-attempts", 2 } };
    };
  nlohmann::json turn = route("ask", "streaming", "engines");
  turn["max-attempts"] = 1;
  turn["retain-history"] = true;
  turn["retention-s"] = 60.0;
  nlohmann::json resumable = route("follow", "streaming", "engines");
  resumable["max-attempts"] = 1;
  resumable["resumable"] = true;
  nlohmann::json organisations = nlohmann::json::array();
  for (const OrganisationConfig& entry : aOrganisations) {
    organisations.push_back({ { "name", entry.name },
                              { "api-keys", { entry.key } },
                              { "per-s", entry.ratePerSecond },
                              { "burst", entry.burst } });
  }
  const nlohmann::json content = {
    { "version", aVersion },
    { "routes",
      { turn,
        resumable,
        route("look", "idempotent", "tools"),
        route("charge", "non_idempotent", "tools") } },
    { "services",
      { { { "name", "engines" }, { "engine", { { "event-tokens", 10 } } } },
        { { "name", "tools" } } } },
    { "tenants", organisations }
  };
  return content.dump();
}

// An endpoint's entry in the users' store.
inline std::string
EndpointJson(const std::string& aService,
             const std::string& aAddress,
             const std::string& aState,
             const std::string& aVersion = "v1",
             const std::string& aZone = "zone-a")
{
  const nlohmann::json entry = {
    { "service", aService }, { "address", aAddress }, { "zone", aZone },
    { "version", aVersion }, { "slots", 8 },          { "state", aState },
    { "cold-left-ms", 0 },   { "sequence", 1 }
  };
  return entry.dump();
}

// A host's entry in the users' store, as the host announces itself.
inline std::string
MemberJson(const GatewayHost& aHost)
{
  const nlohmann::json entry = { { "address",
                                   LoopbackAddress(aHost.exchangePort) },
                                 { "zone", "zone-a" },
                                 { "started", 1 } };
  return entry.dump();
}

} // namespace tanagerseam::testing_support

#endif // TANAGERSEAM_TESTS_SUPPORT_GATEWAY_HOST_H_
