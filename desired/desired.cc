#include "desired/desired.h"

#include <algorithm>
#include <array>

namespace tanagerseam {

namespace {

constexpr std::array<std::string_view, 2> kEndpointKindNames = {
  "model_engine",
  "plain",
};

bool
IsNameCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '.' ||
         aCharacter == '_' || aCharacter == '-';
}

const ApiKey*
FindKeyByDigest(const std::map<std::string, ApiKey>& aKeys,
                const std::string& aDigest)
{
  for (const auto& entry : aKeys) {
    if (entry.second.digest == aDigest) {
      return &entry.second;
    }
  }
  return nullptr;
}

} // namespace

std::string_view
EndpointKindName(EndpointKind aKind)
{
  return kEndpointKindNames[static_cast<size_t>(aKind)];
}

bool
IsName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(aText.begin(), aText.end(), IsNameCharacter);
}

const ApiKey*
DesiredState::FindKey(const std::string& aDigest) const
{
  const ApiKey* found = FindKeyByDigest(this->keys, aDigest);
  return found != nullptr ? found : FindKeyByDigest(this->issuedKeys, aDigest);
}

bool
DesiredState::IsWithdrawn(const ApiKey& aKey) const
{
  return this->withdrawnKeys.count(aKey.name) != 0 ||
         this->withdrawnDigests.count(aKey.digest) != 0;
}

bool
DesiredState::Withdraw(const std::string& aName)
{
  if (!this->HasKeyNamed(aName)) {
    return false;
  }
  for (const auto* list : { &this->keys, &this->issuedKeys }) {
    auto key = list->find(aName);
    if (key != list->end()) {
      this->withdrawnDigests.insert(key->second.digest);
    }
  }
  this->withdrawnKeys.insert(aName);
  return true;
}

bool
DesiredState::HasKeyNamed(const std::string& aName) const
{
  return this->keys.count(aName) != 0 || this->issuedKeys.count(aName) != 0;
}

bool
DesiredState::HasModel(const std::string& aModel) const
{
  for (const auto& entry : this->endpoints) {
    const auto& models = entry.second.models;
    if (std::find(models.begin(), models.end(), aModel) != models.end()) {
      return true;
    }
  }
  return false;
}

} // namespace tanagerseam
