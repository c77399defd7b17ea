#include "kernel/digest.h"

#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <stdexcept>
#include <vector>

namespace tanagerseam {

namespace {

std::string
ToHex(const unsigned char* aData, size_t aSize)
{
  static const char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(aSize * 2);
  for (size_t i = 0; i < aSize; ++i) {
    hex.push_back(kDigits[aData[i] >> 4]);
    hex.push_back(kDigits[aData[i] & 15]);
  }
  return hex;
}

} // namespace

std::string
Sha256Hex(std::string_view aText)
{
  unsigned char digest[SHA256_DIGEST_LENGTH];
  const auto* data = reinterpret_cast<const unsigned char*>(aText.data());
  SHA256(data, aText.size(), digest);
  return ToHex(digest, sizeof(digest));
}

uint64_t
StableHash(std::string_view aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

std::string
RandomHex(int aBytes)
{
  std::vector<unsigned char> bytes(static_cast<size_t>(aBytes));
  if (RAND_bytes(bytes.data(), aBytes) != 1) {
    throw std::runtime_error("the system's random source failed");
  }
  return ToHex(bytes.data(), bytes.size());
}

} // namespace tanagerseam
