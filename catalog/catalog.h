// Operator configuration (routes, services, organisations) and the table of
// registered endpoints.
//
//   Catalog catalog(std::move(content));
//   const RouteEntry* route =
//     catalog.FindRoute("reports.example", "/ask/42?x=1");
//   const OrganisationEntry* organisation =
//     catalog.FindOrganisation("key-1");
//
//   EndpointEntryOrder order;
//   if (!order.Take(entry, now)) { ... an older entry, executed late }
//   EndpointTable endpoints;
//   endpoints.Put(entry, now);
//   endpoints.Remove("i-17", now);
//   endpoints.MarkLeaving({ "i-18", startedAt, WallMillis() }, now);
//   endpoints.SetZoneEvacuated("zone-a", true);
//   for (const EndpointEntry* endpoint : endpoints.Usable("drafting")) { ... }
//
// A Catalog is immutable: a new configuration version is a new Catalog. A route
// lookup costs one hash map lookup per path segment.
//
// EndpointTable tolerates registry outages. An endpoint that is removed during
// an outage, or within `recoveryGrace` of its end, stays usable until that
// grace has passed, since live endpoints register again within it. The same
// holds for a mass expiry: if at least half of the entries, and at least
// kMinMassExpiryEntries, are removed within kMassExpiryWindow without having
// drained, this is taken for running endpoints that could not refresh their
// entries. The grace then starts when the first of them registers again.
//
// An endpoint also announces its shutdown in its responses. From then on it is
// not usable, whatever the registry says of this incarnation: its entry may be
// older than the announcement, or never say that it drains. Only an incarnation
// that started after the announcement is usable again.
#ifndef TANAGERSEAM_CATALOG_CATALOG_H_
#define TANAGERSEAM_CATALOG_CATALOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam {

// Whether and how a call may be retried.
enum class CallKind
{
  kIdempotent,
  // Executed at most once.
  kNonIdempotent,
  // The response is a stream of events.
  kStream,
};

struct CallKindName
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
  // Starts and ends with a slash.
  std::string pathPrefix;
  CallKind kind = CallKind::kNonIdempotent;
  std::vector<RouteTarget> targets;
  // Maximum time that a caller waits.
  Millis timeout{ 30000 };
  // Target latency: a response within this time meets the objective.
  Millis latencyObjective{ 1000 };
  // Number of endpoints to which one call may be sent.
  int maxAttempts = 1;
  // 0 is the highest priority.
  int priority = 0;
  // Turns are stored, and later turns send only their new input.
  bool retainsHistory = false;
  Millis historyRetention{ 60000 };
  // Calls need no API key.
  bool allowsAnonymous = false;
  // A broken stream may be resumed on another endpoint.
  bool resumable = false;
  // Regions that calls may be sent to; empty for any.
  std::vector<std::string> allowedRegions;
};

struct ServiceEntry
{
  std::string name;
  // Tokens per stream event; 0 for services that do not stream tokens.
  int tokensPerEvent = 0;
  // Tokens that the memory of one endpoint holds, of running calls and cached
  // prompts; 0 if unknown.
  int64_t cacheTokens = 0;
  // An endpoint that has just started is cold for this long, and takes so many
  // calls per second from all hosts together; 0 for no limit. Below 0 if the
  // configuration is invalid: what held before holds on.
  Millis coldTime{ 0 };
  double coldCallsPerSecond = 0;
};

struct OrganisationEntry
{
  std::string name;
  std::vector<std::string> keys;
  // Overrides the priority of the route.
  std::optional<int> priority;
  // Limit in calls per second over the whole fleet; 0 for no limit.
  double ratePerSecond = 0;
  double burst = 0;
  // Regions that its calls may be sent to; empty for any.
  std::vector<std::string> allowedRegions;
};

struct InputLimits
{
  size_t maxHeaderBytes = 16384;
  size_t maxBodyBytes = 4u << 20;
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
  const std::vector<RouteEntry>& Routes() const { return this->content.routes; }
  const std::vector<ServiceEntry>& Services() const
  {
    return this->content.services;
  }
  // The route of aHost with the longest prefix of the path of aTarget; nullptr
  // if none matches.
  const RouteEntry* FindRoute(const std::string& aHost,
                              std::string_view aTarget) const;
  const OrganisationEntry* FindOrganisation(const std::string& aKey) const;
  const ServiceEntry* FindService(const std::string& aName) const;
  // Of all event streams; the default of a route if there are none.
  Millis LongestHistoryRetention() const;
  // True if at least one organisation is configured.
  bool RequiresKeys() const { return !this->content.organisations.empty(); }

private:
  using RoutesByPrefix = std::unordered_map<std::string, size_t>;

  CatalogContent content;
  std::unordered_map<std::string, RoutesByPrefix> routesByHost;
  std::unordered_map<std::string, size_t> organisationsByKey;
  std::unordered_map<std::string, size_t> servicesByName;
};

// True if the routes lead to the same services.
bool
HaveSameTargets(const RouteEntry& aLeft, const RouteEntry& aRight);

// Picks a target service with probability proportional to its weight; aDraw is
// a uniform random number in [0, 1).
const std::string&
ChooseService(const RouteEntry& aRoute, double aDraw);

struct EndpointEntry
{
  std::string id;
  std::string service;
  // "IP:port".
  std::string address;
  std::string zone;
  // Of its software.
  std::string version;
  // Number of calls that it runs concurrently.
  int slots = 1;
  bool draining = false;
  // Start of this incarnation, in milliseconds since the epoch; 0 if unknown.
  int64_t startedAtMillis = 0;
  // Grows with each entry of an incarnation; unset if unknown.
  std::optional<int64_t> sequence;
  // For how much longer it is cold, as of when the entry was written.
  Millis coldLeft{ 0 };
};

// Tells an endpoint's newest entry from earlier ones that the registry executed
// after it: a write without an answer may take effect seconds later.
//
// An entry of an earlier incarnation is outdated, and so is one of the same
// incarnation with a lower sequence. Where the sequences are equal, or one is
// missing, only an entry that takes back draining is outdated: an incarnation
// that drains ends. An unknown start counts as the earliest; where neither is
// known, no entry is outdated, since the sequence may have begun anew.
class EndpointEntryOrder
{
public:
  // Late writes are executed within seconds.
  static constexpr Millis kMemory{ 600000 };

  // Takes aEntry as the newest of its endpoint; false if it is outdated.
  bool Take(const EndpointEntry& aEntry, TimePoint aNow);
  // Number of endpoints that are remembered.
  size_t Size() const { return this->newest.size(); }

private:
  struct Newest
  {
    int64_t startedAtMillis = 0;
    std::optional<int64_t> sequence;
    bool draining = false;
    TimePoint takenAt{};
  };

  static bool IsOutdated(const EndpointEntry& aEntry, const Newest& aNewest);
  void Forget(TimePoint aNow);

  // By endpoint id, also of endpoints that have left the registry.
  std::unordered_map<std::string, Newest> newest;
  TimePoint forgetAt{};
};

// An endpoint's announcement that it is about to shut down.
struct LeavingEndpoint
{
  std::string id;
  // Start of the incarnation that made it, as far as known; see EndpointEntry.
  int64_t startedAtMillis = 0;
  // When it was received, in milliseconds since the epoch.
  int64_t announcedAtMillis = 0;
};

// True if the entry is of an incarnation that started after the endpoint made
// an announcement; aStartedAtMillis is the start of the incarnation that made
// it, as far as known.
bool
StartedAfter(const EndpointEntry& aEndpoint,
             int64_t aStartedAtMillis,
             int64_t aAnnouncedAtMillis);

// What an endpoint said last about the rate of calls that it takes.
struct EndpointRateLimit
{
  std::string id;
  // Start of the incarnation that said it, as far as known; see EndpointEntry.
  int64_t startedAtMillis = 0;
  // Calls per second from all hosts together; unset if it takes any rate.
  std::optional<double> callsPerSecond;
  // When it was said, in milliseconds since the epoch.
  int64_t announcedAtMillis = 0;
};

// The rate limits that endpoints name in their responses.
//
// A limit holds until a response without one to a request that was sent after
// the limit was received; responses overtake each other, so one to an earlier
// request says nothing. A new incarnation has no limit.
class EndpointRateLimits
{
public:
  // Withdrawn limits are reported to peers for this long.
  static constexpr Millis kWithdrawalMemory{ 10000 };

  // A response of an endpoint to a request sent at aSentAtMillis, which names
  // aCallsPerSecond or no limit. True if the limit in force changes.
  bool OnResponse(const EndpointRateLimit& aAnnouncement,
                  int64_t aSentAtMillis);
  // Another host has heard aAnnouncement; aEntry is the registry's entry.
  // Nothing is recorded without an entry: hosts would keep telling each other
  // of an endpoint that is gone. True if the limit in force changes.
  bool OnPeerReport(const EndpointRateLimit& aAnnouncement,
                    const EndpointEntry* aEntry);
  // The registry's current entry. True if the limit in force changes.
  bool OnEntry(const EndpointEntry& aEndpoint);
  void Forget(const std::string& aId) { this->announcements.erase(aId); }
  // The limit in force, in calls per second.
  std::optional<double> Find(const std::string& aId) const;
  // Number of endpoints with a limit.
  size_t Count() const;
  // To be reported to peers: limits in force and recent withdrawals.
  std::vector<EndpointRateLimit> Announcements(int64_t aNowMillis) const;

private:
  bool Replace(const EndpointRateLimit& aAnnouncement);

  // By endpoint id.
  std::map<std::string, EndpointRateLimit> announcements;
};

class EndpointTable
{
public:
  // aRecoveryGrace: time after the registry recovers in which endpoints can
  // register again before their removal takes effect.
  explicit EndpointTable(Millis aRecoveryGrace = Millis(2200))
    : recoveryGrace(aRecoveryGrace)
  {
  }

  static constexpr Millis kMassExpiryWindow{ 3000 };
  // Fewer removals are no mass expiry, whatever share of the entries they are.
  static constexpr size_t kMinMassExpiryEntries = 3;
  // An announcement is forgotten this long after it was last heard, if the
  // endpoint has no entry.
  static constexpr Millis kLeavingMemory{ 600000 };
  // A mass expiry ends after this time if no endpoint registers again.
  static constexpr Millis kMaxMassExpiryTime{ 15000 };

  void Put(EndpointEntry aEndpoint, TimePoint aNow);
  void Remove(const std::string& aId, TimePoint aNow);
  // Call these when the registry stops responding and when it responds again.
  void OnRegistryLost();
  void OnRegistryRecovered(TimePoint aNow);
  // Records an announcement, from a response or from another host. True if an
  // endpoint that was usable is no longer.
  bool MarkLeaving(const LeavingEndpoint& aAnnouncement, TimePoint aNow);
  // The announcements of endpoints that have an entry.
  std::vector<LeavingEndpoint> Leaving() const;
  // Endpoints of an evacuated zone are not usable.
  void SetZoneEvacuated(const std::string& aZone, bool aEvacuated);
  bool IsZoneEvacuated(const std::string& aZone) const
  {
    return this->evacuatedZones.count(aZone) > 0;
  }
  // Erases removed entries whose grace or kMassExpiryWindow has passed and
  // returns their ids.
  std::vector<std::string> PurgeRemoved(TimePoint aNow);
  // The endpoints of a service that accept new calls.
  std::vector<const EndpointEntry*> Usable(const std::string& aService) const;
  // Also those that are not usable; see Find.
  std::vector<const EndpointEntry*> All(const std::string& aService) const;
  // Also finds entries that are not usable: draining and leaving ones, and
  // removed ones until they are purged.
  const EndpointEntry* Find(const std::string& aId) const;
  bool IsUsable(const std::string& aId) const;

private:
  struct Entry
  {
    EndpointEntry endpoint;
    // Removed by the registry.
    bool removed = false;
    // The removal has taken effect; otherwise the entry is still usable.
    bool removalConfirmed = false;
    TimePoint removedAt{};
  };

  struct Announcement
  {
    LeavingEndpoint leaving;
    TimePoint heardAt{};
  };

  bool IsUsable(const Entry& aEntry) const;
  void ForgetAnnouncements(TimePoint aNow);
  // False during a registry outage, a mass expiry and the grace after either.
  bool AcceptsRemovals(TimePoint aNow) const;
  // On a mass expiry, revokes the recent removals.
  void DetectMassExpiry(TimePoint aNow);

  Millis recoveryGrace;
  std::set<std::string> evacuatedZones;
  std::map<std::string, Entry> entries;
  // By endpoint id.
  std::map<std::string, Announcement> announcements;
  bool registryLost = false;
  // Last removal of a mass expiry from which no endpoint has registered again;
  // unset otherwise.
  TimePoint massExpiryAt{};
  // Removals before this time are not confirmed.
  TimePoint acceptRemovalsFrom{};
};

} // namespace tanagerseam

#endif // TANAGERSEAM_CATALOG_CATALOG_H_
