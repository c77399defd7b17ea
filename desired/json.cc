// Converts the desired state from and to JSON, and compares two states.
//
// DesiredFromJson validates by round trip: JSON is accepted only if writing the
// state read from it gives equal JSON. This one comparison rejects unknown
// fields and numbers that do not fit; for missing fields, the JSON library
// throws.
#include "desired/desired.h"

#include <array>

namespace tanagerseam {

void
to_json(Json& aJson, EndpointKind aKind)
{
  aJson = std::string(EndpointKindName(aKind));
}

void
from_json(const Json& aJson, EndpointKind& aKind)
{
  const bool engine = aJson == Json(EndpointKind::kModelEngine);
  aKind = engine ? EndpointKind::kModelEngine : EndpointKind::kPlain;
}

// Without the name, which is the item's key in the enclosing object.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Organisation, ratePerSecond, burst, weight)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ApiKey, organisation, digest)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Endpoint,
                                   kind,
                                   address,
                                   zone,
                                   models,
                                   capacity,
                                   checksFencing,
                                   leavesAtMillis,
                                   leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Route,
                                   endpoints,
                                   repeatable,
                                   openToAll,
                                   timeoutMillis)

namespace {

constexpr const char* kWithdrawnKeysField = "withdrawnKeys";
constexpr const char* kWithdrawnDigestsField = "withdrawnDigests";

struct SectionNames
{
  // In JSON.
  const char* json;
  // In the output of DescribeDifference.
  const char* header;
};

constexpr std::array<SectionNames, 5> kSections = { {
  { "organisations", "organisation" },
  { "keys", "key" },
  { "endpoints", "endpoint" },
  { "routes", "route" },
  { "issuedKeys", "issued key" },
} };

template<typename Item>
Json
JsonObjectOf(const std::map<std::string, Item>& aItems)
{
  Json json = Json::object();
  for (const auto& entry : aItems) {
    json[entry.first] = entry.second;
  }
  return json;
}

template<typename Item>
std::map<std::string, Item>
ItemsFromJson(const Json& aJson)
{
  std::map<std::string, Item> items;
  for (const auto& entry : aJson.items()) {
    Item item = entry.value().template get<Item>();
    item.name = entry.key();
    items[entry.key()] = item;
  }
  return items;
}

DesiredState
StateFromJson(const Json& aJson)
{
  DesiredState state;
  state.organisations = ItemsFromJson<Organisation>(aJson.at("organisations"));
  state.keys = ItemsFromJson<ApiKey>(aJson.at("keys"));
  state.endpoints = ItemsFromJson<Endpoint>(aJson.at("endpoints"));
  state.routes = ItemsFromJson<Route>(aJson.at("routes"));
  state.issuedKeys = ItemsFromJson<ApiKey>(aJson.at("issuedKeys"));
  state.withdrawnKeys =
    aJson.at(kWithdrawnKeysField).get<std::set<std::string>>();
  state.withdrawnDigests =
    aJson.at(kWithdrawnDigestsField).get<std::set<std::string>>();
  return state;
}

std::string
FormatValue(const Json& aValue)
{
  if (aValue.is_string()) {
    return aValue.get<std::string>();
  }
  return aValue.dump();
}

// Adds a line for each changed field of an item that is in both states.
void
DescribeFields(const std::string& aHeader,
               const Json& aOld,
               const Json& aNew,
               std::vector<std::string>& aLines)
{
  for (const auto& field : aNew.items()) {
    const Json& before = aOld.at(field.key());
    if (before == field.value()) {
      continue;
    }
    aLines.push_back("~ [" + aHeader + "] " + field.key() + ": " +
                     FormatValue(before) + " -> " + FormatValue(field.value()));
  }
}

void
DescribeSection(const SectionNames& aName,
                const Json& aOld,
                const Json& aNew,
                std::vector<std::string>& aLines)
{
  const Json& before = aOld.at(aName.json);
  const Json& after = aNew.at(aName.json);
  for (const auto& entry : before.items()) {
    if (!after.contains(entry.key())) {
      aLines.push_back(std::string("- [") + aName.header + " " + entry.key() +
                       "]");
    }
  }
  for (const auto& entry : after.items()) {
    const std::string header = std::string(aName.header) + " " + entry.key();
    if (!before.contains(entry.key())) {
      aLines.push_back("+ [" + header + "]");
      continue;
    }
    DescribeFields(header, before.at(entry.key()), entry.value(), aLines);
  }
}

void
DescribeWithdrawn(const DesiredState& aOld,
                  const DesiredState& aNew,
                  std::vector<std::string>& aLines)
{
  for (const std::string& name : aOld.withdrawnKeys) {
    if (aNew.withdrawnKeys.count(name) == 0) {
      aLines.push_back("- [withdrawn key " + name + "]");
    }
  }
  for (const std::string& name : aNew.withdrawnKeys) {
    if (aOld.withdrawnKeys.count(name) == 0) {
      aLines.push_back("+ [withdrawn key " + name + "]");
    }
  }
}

} // namespace

Json
ToJson(const DesiredState& aState)
{
  Json json;
  json["organisations"] = JsonObjectOf(aState.organisations);
  json["keys"] = JsonObjectOf(aState.keys);
  json["endpoints"] = JsonObjectOf(aState.endpoints);
  json["routes"] = JsonObjectOf(aState.routes);
  json["issuedKeys"] = JsonObjectOf(aState.issuedKeys);
  json[kWithdrawnKeysField] = aState.withdrawnKeys;
  json[kWithdrawnDigestsField] = aState.withdrawnDigests;
  return json;
}

Result<DesiredState>
DesiredFromJson(const Json& aJson)
{
  try {
    DesiredState state = StateFromJson(aJson);
    if (ToJson(state) == aJson) {
      return state;
    }
    return MakeRefusal(
      RefusalReason::kMalformedRequest,
      "invalid desired state: unknown fields or invalid values");
  } catch (const Json::exception& error) {
    return MakeRefusal(RefusalReason::kMalformedRequest,
                       std::string("invalid desired state: ") + error.what());
  }
}

std::vector<std::string>
DescribeDifference(const DesiredState& aOld, const DesiredState& aNew)
{
  const Json before = ToJson(aOld);
  const Json after = ToJson(aNew);
  std::vector<std::string> lines;
  for (const SectionNames& name : kSections) {
    DescribeSection(name, before, after, lines);
  }
  DescribeWithdrawn(aOld, aNew, lines);
  return lines;
}

} // namespace tanagerseam
