#include "catalog/catalog.h"

#include <algorithm>
#include <numeric>

namespace tanagerseam {

namespace {

constexpr CallKindName kCallKinds[] = {
  { CallKind::kIdempotent, "idempotent" },
  { CallKind::kNonIdempotent, "non_idempotent" },
  { CallKind::kStream, "stream" },
};

} // namespace

std::string_view
NameOf(CallKind aKind)
{
  for (const CallKindName& row : kCallKinds) {
    if (row.kind == aKind) {
      return row.name;
    }
  }
  return "unknown";
}

Catalog::Catalog(CatalogContent aContent)
  : content(std::move(aContent))
{
  for (size_t i = 0; i < this->content.routes.size(); ++i) {
    const RouteEntry& route = this->content.routes[i];
    this->routesByHost[route.host].emplace(route.pathPrefix, i);
  }
  for (size_t i = 0; i < this->content.organisations.size(); ++i) {
    for (const std::string& key : this->content.organisations[i].keys) {
      this->organisationsByKey.emplace(key, i);
    }
  }
  for (size_t i = 0; i < this->content.services.size(); ++i) {
    this->servicesByName.emplace(this->content.services[i].name, i);
  }
}

const RouteEntry*
Catalog::FindRoute(const std::string& aHost, std::string_view aTarget) const
{
  auto host = this->routesByHost.find(aHost);
  if (host == this->routesByHost.end()) {
    return nullptr;
  }
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    const auto found =
      host->second.find(std::string(path.substr(0, slash + 1)));
    if (found != host->second.end()) {
      return &this->content.routes[found->second];
    }
    slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
  }
  return nullptr;
}

const OrganisationEntry*
Catalog::FindOrganisation(const std::string& aKey) const
{
  auto found = this->organisationsByKey.find(aKey);
  return found == this->organisationsByKey.end()
           ? nullptr
           : &this->content.organisations[found->second];
}

Millis
Catalog::LongestHistoryRetention() const
{
  Millis longest(0);
  for (const RouteEntry& route : this->content.routes) {
    if (route.kind == CallKind::kStream) {
      longest = std::max(longest, route.historyRetention);
    }
  }
  return longest == Millis(0) ? RouteEntry{}.historyRetention : longest;
}

const ServiceEntry*
Catalog::FindService(const std::string& aName) const
{
  auto found = this->servicesByName.find(aName);
  return found == this->servicesByName.end()
           ? nullptr
           : &this->content.services[found->second];
}

bool
HaveSameTargets(const RouteEntry& aLeft, const RouteEntry& aRight)
{
  return std::is_permutation(
    aLeft.targets.begin(),
    aLeft.targets.end(),
    aRight.targets.begin(),
    aRight.targets.end(),
    [](const RouteTarget& aOne, const RouteTarget& aOther) {
      return aOne.service == aOther.service;
    });
}

const std::string&
ChooseService(const RouteEntry& aRoute, double aDraw)
{
  const double total =
    std::accumulate(aRoute.targets.begin(),
                    aRoute.targets.end(),
                    0.0,
                    [](double aSum, const RouteTarget& aTarget) {
                      return aSum + aTarget.weight;
                    });
  double left = aDraw * total;
  for (const RouteTarget& target : aRoute.targets) {
    left -= target.weight;
    if (left < 0) {
      return target.service;
    }
  }
  return aRoute.targets.back().service;
}

} // namespace tanagerseam
