// What the operator has configured, and which endpoints there are.
//
//   Catalog catalog(std::move(content));
//   const RouteEntry* route = catalog.FindRoute("reports.example",
//   "/ask/42?x=1"); const OrganisationEntry* who =
//   catalog.FindOrganisation("key-1");
//
//   EndpointTable endpoints;
//   endpoints.Put(entry, now);
//   endpoints.Remove("i-17", now);
//   for (const EndpointEntry* endpoint : endpoints.Usable("drafting", now)) {
//   ... }
//
// A Catalog never changes: a new version is a new Catalog. Looking a route up
// costs one map lookup for each segment of the path.
//
// EndpointTable outlives outages of the registry. An entry that is removed
// while the registry is away, or within `returnGrace` of its return, stays
// usable until that grace has passed: live endpoints are back by then. The same
// holds when most entries lapse within kLapseWindow without having drained:
// endpoints that run could not refresh them. The first one that is back shows
// that they can again.
#ifndef TANAGERSEAM_CATALOG_CATALOG_H_
#define TANAGERSEAM_CATALOG_CATALOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam {

// What may be repeated.
enum class CallKind
{
  kIdempotent,
  // Runs at most once.
  kNonIdempotent,
  // A series of events.
  kStream,
};

struct CallKindRow
{
  CallKind kind;
  std::string_view name;
};

std::string_view
NameOf(CallKind aKind);

struct RouteTarget
{
  std::string service;
  double weight = 1;
};

struct RouteEntry
{
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string pathPrefix;
  CallKind kind = CallKind::kNonIdempotent;
  std::vector<RouteTarget> targets;
  // The longest time that a caller is kept waiting.
  Millis timeout{ 30000 };
  // An answer within this time is in time.
  Millis latencyObjective{ 1000 };
  // Endpoints to which one call may be sent.
  int maxAttempts = 1;
  // 0 is served first.
  int priority = 0;
  // Turns are kept, and later ones carry only their new input.
  bool keepsHistory = false;
  Millis historyRetention{ 60000 };
  // No key is asked for.
  bool open = false;
  // A stream that broke may be resumed at another endpoint.
  bool resumable = false;
};

struct ServiceEntry
{
  std::string name;
  // Tokens in one event of a stream; 0 for plain services.
  int tokensPerEvent = 0;
};

struct OrganisationEntry
{
  std::string name;
  std::vector<std::string> keys;
  // Goes before the route's priority.
  std::optional<int> priority;
  // Calls a second over the whole fleet; 0 means no limit.
  double ratePerSecond = 0;
  double burst = 0;
};

struct InputLimits
{
  size_t headerBytes = 16384;
  size_t bodyBytes = 4u << 20;
};

struct CatalogContent
{
  int64_t version = 0;
  std::vector<RouteEntry> routes;
  std::vector<ServiceEntry> services;
  std::vector<OrganisationEntry> organisations;
  InputLimits limits;
};

class Catalog
{
public:
  explicit Catalog(CatalogContent aContent);
  Catalog(const Catalog&) = delete;
  Catalog& operator=(const Catalog&) = delete;

  int64_t Version() const { return this->content.version; }
  const InputLimits& Limits() const { return this->content.limits; }
  const std::vector<OrganisationEntry>& Organisations() const
  {
    return this->content.organisations;
  }
  const std::vector<ServiceEntry>& Services() const
  {
    return this->content.services;
  }
  // The route of the host with the longest prefix that begins the target's
  // path; nullptr if there is none.
  const RouteEntry* FindRoute(const std::string& aHost,
                              std::string_view aTarget) const;
  const OrganisationEntry* FindOrganisation(const std::string& aKey) const;
  const ServiceEntry* FindService(const std::string& aName) const;
  // True if keys are in use at all.
  bool AsksForKeys() const { return !this->content.organisations.empty(); }

private:
  using RoutesByPrefix = std::unordered_map<std::string, size_t>;

  CatalogContent content;
  std::unordered_map<std::string, RoutesByPrefix> routesByHost;
  std::unordered_map<std::string, size_t> organisationsByKey;
  std::unordered_map<std::string, size_t> servicesByName;
};

// The service for one call, drawn by the weights with aDraw in [0, 1).
const std::string&
ChooseService(const RouteEntry& aRoute, double aDraw);

struct EndpointEntry
{
  std::string id;
  std::string service;
  // "IP:port".
  std::string address;
  std::string zone;
  // Calls that it runs at once.
  int slots = 1;
  bool draining = false;
};

class EndpointTable
{
public:
  // Grace after the registry's return before a removal is believed.
  explicit EndpointTable(Millis aReturnGrace = Millis(2200))
    : returnGrace(aReturnGrace)
  {
  }

  static constexpr Millis kLapseWindow{ 3000 };
  // Fewer removals are believed, whatever part of all they are.
  static constexpr size_t kLeastLapses = 3;
  // Lapsed entries of which none is back for so long are gone.
  static constexpr Millis kLongestLapse{ 15000 };

  void Put(EndpointEntry aEndpoint, TimePoint aNow);
  void Remove(const std::string& aId, TimePoint aNow);
  // The registry did not answer, or answers again.
  void RegistryLost();
  void RegistryBack(TimePoint aNow);
  // Drops what was removed and whose grace has passed; their ids.
  std::vector<std::string> Expire(TimePoint aNow);
  // The endpoints of a service that take new calls.
  std::vector<const EndpointEntry*> Usable(const std::string& aService) const;
  // Also entries that are no longer usable, for kLapseWindow.
  const EndpointEntry* Find(const std::string& aId) const;
  bool IsUsable(const std::string& aId) const;

private:
  struct Entry
  {
    EndpointEntry endpoint;
    // Removed by the registry; and whether that is believed.
    bool removed = false;
    bool believed = false;
    TimePoint removedAt{};

    bool Usable() const
    {
      return !this->endpoint.draining && !(this->removed && this->believed);
    }
  };

  bool Trusts(TimePoint aNow) const;
  // Notices that most entries lapsed, and takes their removals back.
  void LookForLapse(TimePoint aNow);

  Millis returnGrace;
  std::map<std::string, Entry> entries;
  bool lost = false;
  // Most entries lapsed since then, and none is back; unset otherwise.
  TimePoint lapsedAt{};
  // No removal is believed before.
  TimePoint trustRemovalsFrom{};
};

} // namespace tanagerseam

#endif // TANAGERSEAM_CATALOG_CATALOG_H_
