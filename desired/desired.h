// The configuration that operators apply: organisations with their rate limits,
// API keys, endpoints and routes.
//
// Usage:
//
//   Findings findings;
//   DesiredState state = ParseDesired({ "fleet.ini", "keys.ini" }, findings);
//   if (findings.Empty()) { Json text = ToJson(state); }
//
// All files together form one desired state, which replaces the previous one as
// a whole. The log stores it as JSON, with digests of API keys and never the
// keys themselves. Sections and their keys in the files:
//
//   [organisation stopa]     rate_per_s, burst, weight
//   [key stopa-web]          organisation, sha256
//   [endpoint engine-1]      kind (model_engine | plain), address, zone,
//                            models, capacity, checks_fencing, leaving,
//                            leaves_at (RFC 3339)
//   [route grooming]         endpoints, repeatable, open, timeout_ms
//
// docs/CONFIGURATION.md states units, defaults and limits.
#ifndef TANAGERSEAM_DESIRED_DESIRED_H_
#define TANAGERSEAM_DESIRED_DESIRED_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam {

using Json = nlohmann::json;

struct Organisation
{
  std::string name;
  // Rate limit and burst of requests, across all daemons.
  double ratePerSecond = 10;
  double burst = 20;
  // Fair-share weight: share of served tokens relative to other organisations.
  double weight = 1;
};

struct ApiKey
{
  std::string name;
  std::string organisation;
  // SHA-256 of the API key in lower-case hexadecimal.
  std::string digest;
};

enum class EndpointKind
{
  kModelEngine,
  kPlain,
};

// Returns the name of the kind as written in files and in the log.
std::string_view
EndpointKindName(EndpointKind aKind);

struct Endpoint
{
  std::string name;
  EndpointKind kind = EndpointKind::kPlain;
  // "IP:port" of an HTTP/1.1 server.
  std::string address;
  std::string zone;
  std::vector<std::string> models;
  // Number of concurrent requests that do not slow each other down.
  int capacity = 8;
  // Whether the endpoint rejects requests with a stale fencing token.
  bool checksFencing = false;
  // Time after which the endpoint gets no new requests, in milliseconds since
  // the Unix epoch; 0: no such time.
  int64_t leavesAtMillis = 0;
  // Set by an operator: the endpoint gets no new requests from now on.
  bool leaving = false;
};

struct Route
{
  std::string name;
  // Endpoints that serve "/v1/services/NAME/..."; the rest of the path is
  // forwarded to them.
  std::vector<std::string> endpoints;
  // False: a call needs an idempotency key and runs at most once.
  bool repeatable = true;
  // True: a call needs no API key.
  bool openToAll = false;
  int64_t timeoutMillis = 10000;
};

struct DesiredState
{
  std::map<std::string, Organisation> organisations;
  std::map<std::string, ApiKey> keys;
  std::map<std::string, Endpoint> endpoints;
  std::map<std::string, Route> routes;
  // Keys issued with "key issue" rather than in a file; apply keeps them.
  std::map<std::string, ApiKey> issuedKeys;
  // Names of keys that are no longer accepted, from files or issued.
  std::set<std::string> withdrawnKeys;
  // Digests that are no longer accepted, under whichever name.
  std::set<std::string> withdrawnDigests;

  // Returns the key with this digest, withdrawn or not; null if there is none.
  // Linear in the number of keys.
  const ApiKey* FindKey(const std::string& aDigest) const;
  // Whether the name or the digest of the key was withdrawn.
  bool IsWithdrawn(const ApiKey& aKey) const;
  // Withdraws the name and its digests; false if no key has the name.
  bool Withdraw(const std::string& aName);
  // Whether a key from a file or an issued key has this name.
  bool HasKeyNamed(const std::string& aName) const;
  // Whether any endpoint, leaving or not, serves the model.
  bool HasModel(const std::string& aModel) const;
};

// Parses all files as one desired state and adds the errors of all files to
// aFindings.
DesiredState
ParseDesired(const std::vector<std::string>& aPaths, Findings& aFindings);

// Parses pairs of a file name and its text.
DesiredState
ParseDesiredTexts(
  const std::vector<std::pair<std::string, std::string>>& aTexts,
  Findings& aFindings);

// Returns the form stored in the log: for each kind, an object from names to
// items, and the names and digests of withdrawn keys.
Json
ToJson(const DesiredState& aState);

// Refuses JSON that ToJson cannot have written.
Result<DesiredState>
DesiredFromJson(const Json& aJson);

// Of an organisation, key, endpoint or route, in characters.
constexpr size_t kMaxNameLength = 64;

// Whether the text consists of 1 to kMaxNameLength letters, digits, '.', '_'
// and '-'.
bool
IsName(const std::string& aText);

// Returns lines such as "+ [key new]" and
// "~ [organisation stopa] burst: 20.0 -> 30.0"; empty if the states are equal.
// Compares the names of withdrawn keys, not their digests.
std::vector<std::string>
DescribeDifference(const DesiredState& aOld, const DesiredState& aNew);

} // namespace tanagerseam

#endif // TANAGERSEAM_DESIRED_DESIRED_H_
