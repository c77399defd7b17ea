#include "call/call.h"

#include "kernel/digest.h"

namespace tanagerseam {

namespace {

constexpr size_t kDigestDigits = 16;

} // namespace

std::string
CallDigest(const ServiceCall& aCall, const std::string& aOrganisation)
{
  std::string text;
  for (const std::string* part :
       { &aOrganisation, &aCall.method, &aCall.host, &aCall.target }) {
    text += std::to_string(part->size()) + ":" + *part;
  }
  return Sha256Hex(text + aCall.body).substr(0, kDigestDigits);
}

} // namespace tanagerseam
