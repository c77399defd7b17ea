// The configuration of a small deployment, and how a case begins.
#ifndef TANAGERSEAM_REVIEW_SUPPORT_SITE_H_
#define TANAGERSEAM_REVIEW_SUPPORT_SITE_H_

#include <cstdlib>
#include <string>

#include <nlohmann/json.hpp>

namespace review {

// Exit codes of a case.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;

constexpr int kTokensPerEvent = 10;

// False with TROUBLE=0: the case then does the same without the disruption.
inline bool
HasTrouble()
{
  const char* text = getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

struct RouteSettings
{
  std::string name;
  std::string kind;
  std::string service;
  int timeoutMillis = 4000;
  // Seconds; 0: the route keeps no history.
  double historyRetention = 0;
  bool resumable = false;
};

inline nlohmann::json
RouteJson(const RouteSettings& aRoute)
{
  return { { "name", aRoute.name },
           { "host", "reports.example" },
           { "path-prefix", "/" + aRoute.name + "/" },
           { "kind", aRoute.kind },
           { "timeout-ms", aRoute.timeoutMillis },
           { "target-latency-ms", 200 },
           { "priority", 0 },
           { "service", aRoute.service },
           { "max-attempts", 1 },
           { "retain-history", aRoute.historyRetention > 0 },
           { "retention-s", aRoute.historyRetention },
           { "no-auth", false },
           { "sticky", false },
           { "resumable", aRoute.resumable } };
}

inline nlohmann::json
TenantJson(const std::string& aName, const std::string& aKey)
{
  return { { "name", aName },
           { "api-keys", nlohmann::json::array({ aKey }) },
           { "per-s", 212 },
           { "burst", 212 } };
}

inline std::string
ConfigurationText(const nlohmann::json& aRoutes)
{
  const nlohmann::json content = {
    { "version", 1 },
    { "routes", aRoutes },
    { "services",
      { { { "name", "engines" },
          { "health-path", "/health" },
          { "max-conns", 150 },
          { "protocol", "h1" },
          { "tls", false },
          { "engine", { { "event-tokens", kTokensPerEvent } } } },
        { { "name", "tools" },
          { "health-path", "/health" },
          { "max-conns", 96 },
          { "protocol", "h1" },
          { "tls", false } } } },
    { "limits",
      { { "header-bytes", 16384 },
        { "body-bytes", 4194304 },
        { "header-timeout-ms", 3000 },
        { "idle-timeout-ms", 15000 } } },
    { "tenants",
      nlohmann::json::array(
        { TenantJson("org-1", "key-1"), TenantJson("org-2", "key-2") }) }
  };
  return content.dump();
}

} // namespace review

#endif // TANAGERSEAM_REVIEW_SUPPORT_SITE_H_
