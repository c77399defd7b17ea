#include "call/call.h"

#include "kernel/digest.h"

namespace tanagerseam {

namespace {

constexpr size_t kDigestDigits = 16;

// Unambiguous: each part stands behind its length.
std::string
PathOf(const ServiceCall& aCall, const std::string& aOrganisation)
{
  std::string text;
  for (const std::string* part :
       { &aOrganisation, &aCall.method, &aCall.host, &aCall.target }) {
    text += std::to_string(part->size()) + ":" + *part;
  }
  return text;
}

} // namespace

std::string
CallDigest(const ServiceCall& aCall, const std::string& aOrganisation)
{
  return Sha256Hex(PathOf(aCall, aOrganisation) + aCall.body)
    .substr(0, kDigestDigits);
}

std::string
CallPathDigest(const ServiceCall& aCall, const std::string& aOrganisation)
{
  return Sha256Hex(PathOf(aCall, aOrganisation)).substr(0, kDigestDigits);
}

} // namespace tanagerseam
