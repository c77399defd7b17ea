// Builds the desired state from INI sections.
//
// Two passes: the first reads every section of every file, the second checks
// references once all names are known. Neither stops at a finding, so one run
// reports all errors.
#include "desired/desired.h"

#include <absl/time/time.h>

#include "settings/settings.h"

namespace tanagerseam {

namespace {

constexpr double kMinRate = 0.001;
constexpr double kMaxRate = 1e6;
constexpr double kMinWeight = 0.001;
constexpr double kMaxWeight = 1000;
constexpr int64_t kMaxCapacity = 4096;
constexpr int64_t kMaxTimeoutMillis = 600000;
constexpr size_t kDigestHexDigits = 64;

bool
IsDigest(const std::string& aText)
{
  return aText.size() == kDigestHexDigits &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

class DesiredParser
{
public:
  explicit DesiredParser(Findings& aFindings)
    : findings(aFindings)
  {
  }

  void Add(const IniFile& aFile)
  {
    for (const IniSection& section : aFile.sections) {
      this->AddSection(aFile.name, section);
    }
  }

  DesiredState Finish()
  {
    this->CheckKeys();
    this->CheckAddresses();
    this->CheckRoutes();
    return std::move(this->state);
  }

private:
  void AddSection(const std::string& aFile, const IniSection& aSection)
  {
    using Parse = void (DesiredParser::*)(const std::string&, SectionReader&);
    static const std::map<std::string, Parse> kParsers = {
      { "organisation", &DesiredParser::AddOrganisation },
      { "key", &DesiredParser::AddKey },
      { "endpoint", &DesiredParser::AddEndpoint },
      { "route", &DesiredParser::AddRoute },
    };
    const Place place{ aFile, aSection.line, SectionHeader(aSection) };
    auto parser = kParsers.find(aSection.kind);
    if (parser == kParsers.end()) {
      this->findings.Add(place,
                         "unknown section; must be organisation, "
                         "key, endpoint or route");
      return;
    }
    if (!IsName(aSection.name)) {
      this->findings.Add(place,
                         "the section needs a name of at most " +
                           std::to_string(kMaxNameLength) +
                           " letters, digits, '.', '_' or '-'");
      return;
    }
    auto added = this->sectionPlaces.emplace(SectionHeader(aSection), place);
    if (!added.second) {
      const Place& first = added.first->second;
      this->findings.Add(place,
                         "duplicate section; first defined at " + first.file +
                           ":" + std::to_string(first.line));
      return;
    }
    SectionReader reader(aFile, aSection, this->findings);
    (this->*parser->second)(aSection.name, reader);
    reader.RejectUnknown();
    this->RecordKeyLines(aSection);
  }

  void AddOrganisation(const std::string& aName, SectionReader& aReader)
  {
    Organisation organisation;
    organisation.name = aName;
    organisation.ratePerSecond = aReader.Real(
      "rate_per_s", organisation.ratePerSecond, kMinRate, kMaxRate);
    organisation.burst = aReader.Real("burst", organisation.burst, 1, kMaxRate);
    organisation.weight =
      aReader.Real("weight", organisation.weight, kMinWeight, kMaxWeight);
    this->state.organisations[aName] = organisation;
  }

  void AddKey(const std::string& aName, SectionReader& aReader)
  {
    ApiKey key;
    key.name = aName;
    key.organisation = aReader.RequiredText("organisation");
    key.digest = aReader.RequiredText("sha256");
    if (!key.digest.empty() && !IsDigest(key.digest)) {
      aReader.Report("sha256", "must be 64 lower-case hexadecimal digits");
      key.digest.clear();
    }
    this->state.keys[aName] = key;
  }

  void AddEndpoint(const std::string& aName, SectionReader& aReader)
  {
    Endpoint endpoint;
    endpoint.name = aName;
    aReader.RequiredText("kind");
    const std::string engine(EndpointKindName(EndpointKind::kModelEngine));
    const std::string plain(EndpointKindName(EndpointKind::kPlain));
    const std::string kind = aReader.Choice("kind", plain, { engine, plain });
    endpoint.kind =
      kind == engine ? EndpointKind::kModelEngine : EndpointKind::kPlain;
    if (!aReader.RequiredText("address").empty()) {
      endpoint.address = aReader.Address("address", "");
    }
    endpoint.zone = aReader.Text("zone", "");
    endpoint.models = aReader.List("models");
    endpoint.capacity =
      int(aReader.Integer("capacity", endpoint.capacity, 1, kMaxCapacity));
    endpoint.checksFencing = aReader.Flag("checks_fencing", false);
    endpoint.leaving = aReader.Flag("leaving", false);
    endpoint.leavesAtMillis = this->ReadLeavesAt(aReader);
    this->CheckModels(endpoint, aReader);
    this->state.endpoints[aName] = endpoint;
  }

  void CheckModels(const Endpoint& aEndpoint, SectionReader& aReader)
  {
    const bool isEngine = aEndpoint.kind == EndpointKind::kModelEngine;
    if (isEngine && aEndpoint.models.empty()) {
      aReader.Report("models", "a model_engine needs at least one model");
    }
    if (!isEngine && !aEndpoint.models.empty()) {
      aReader.Report("models", "a plain endpoint has no models");
    }
    const std::set<std::string> distinct(aEndpoint.models.begin(),
                                         aEndpoint.models.end());
    if (distinct.size() != aEndpoint.models.size()) {
      aReader.Report("models", "duplicate model");
    }
  }

  int64_t ReadLeavesAt(SectionReader& aReader)
  {
    if (!aReader.Has("leaves_at")) {
      return 0;
    }
    const std::string text = aReader.Text("leaves_at", "");
    absl::Time time;
    std::string error;
    const bool parsed =
      absl::ParseTime(absl::RFC3339_full, text, &time, &error);
    if (!parsed || time <= absl::UnixEpoch() ||
        time == absl::InfiniteFuture()) {
      aReader.Report(
        "leaves_at",
        "must be an RFC 3339 time such as 2027-03-31T22:00:00+02:00");
      return 0;
    }
    return absl::ToUnixMillis(time);
  }

  void AddRoute(const std::string& aName, SectionReader& aReader)
  {
    Route route;
    route.name = aName;
    route.endpoints = aReader.List("endpoints");
    if (route.endpoints.empty()) {
      aReader.Report("endpoints", "the route needs at least one endpoint");
    }
    route.repeatable = aReader.Flag("repeatable", route.repeatable);
    route.openToAll = aReader.Flag("open", route.openToAll);
    route.timeoutMillis =
      aReader.Integer("timeout_ms", route.timeoutMillis, 1, kMaxTimeoutMillis);
    this->state.routes[aName] = route;
  }

  void CheckKeys()
  {
    std::map<std::string, std::string> nameOfDigest;
    for (const auto& entry : this->state.keys) {
      const ApiKey& key = entry.second;
      const std::string header = "key " + key.name;
      if (!key.organisation.empty() &&
          this->state.organisations.count(key.organisation) == 0) {
        this->Report(
          header, "organisation", "unknown organisation " + key.organisation);
      }
      auto added = nameOfDigest.emplace(key.digest, key.name);
      if (!key.digest.empty() && !added.second) {
        this->Report(header,
                     "sha256",
                     "key " + added.first->second + " has the same digest");
      }
    }
  }

  void CheckAddresses()
  {
    std::map<std::string, std::string> nameOfAddress;
    for (const auto& entry : this->state.endpoints) {
      const Endpoint& endpoint = entry.second;
      auto added = nameOfAddress.emplace(endpoint.address, endpoint.name);
      if (!endpoint.address.empty() && !added.second) {
        this->Report("endpoint " + endpoint.name,
                     "address",
                     "endpoint " + added.first->second +
                       " has the same address");
      }
    }
  }

  void CheckRoutes()
  {
    for (const auto& entry : this->state.routes) {
      std::set<std::string> seen;
      for (const std::string& name : entry.second.endpoints) {
        if (!seen.insert(name).second) {
          this->Report("route " + entry.first,
                       "endpoints",
                       "endpoint " + name + " is listed twice");
        }
        this->CheckRouteEndpoint("route " + entry.first, name);
      }
    }
  }

  void CheckRouteEndpoint(const std::string& aHeader, const std::string& aName)
  {
    auto found = this->state.endpoints.find(aName);
    if (found == this->state.endpoints.end()) {
      this->Report(aHeader, "endpoints", "unknown endpoint " + aName);
      return;
    }
    if (found->second.kind != EndpointKind::kPlain) {
      this->Report(
        aHeader, "endpoints", "endpoint " + aName + " is not a plain endpoint");
    }
  }

  void RecordKeyLines(const IniSection& aSection)
  {
    for (const IniValue& value : aSection.values) {
      this->keyLines.emplace(SectionHeader(aSection) + "." + value.key,
                             value.line);
    }
  }

  // Adds a finding at the line of the key, or of the section if it is absent,
  // for a section read in the first pass.
  void Report(const std::string& aHeader,
              const std::string& aKey,
              const std::string& aMessage)
  {
    Place place = this->sectionPlaces[aHeader];
    place.key = aHeader + "." + aKey;
    auto line = this->keyLines.find(place.key);
    place.line = line == this->keyLines.end() ? place.line : line->second;
    this->findings.Add(place, aMessage);
  }

  Findings& findings;
  DesiredState state;
  // By "kind name".
  std::map<std::string, Place> sectionPlaces;
  // By "kind name.key".
  std::map<std::string, int> keyLines;
};

} // namespace

DesiredState
ParseDesired(const std::vector<std::string>& aPaths, Findings& aFindings)
{
  DesiredParser parser(aFindings);
  for (const std::string& path : aPaths) {
    parser.Add(LoadIni(path, aFindings));
  }
  return parser.Finish();
}

DesiredState
ParseDesiredTexts(
  const std::vector<std::pair<std::string, std::string>>& aTexts,
  Findings& aFindings)
{
  DesiredParser parser(aFindings);
  for (const auto& text : aTexts) {
    parser.Add(ParseIni(text.first, text.second, aFindings));
  }
  return parser.Finish();
}

} // namespace tanagerseam
