// Hashes and random identifiers, over OpenSSL and xxHash.
#ifndef TANAGERSEAM_KERNEL_DIGEST_H_
#define TANAGERSEAM_KERNEL_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace tanagerseam {

// SHA-256 in lower-case hexadecimal, 64 characters. For keys and histories.
std::string
Sha256Hex(std::string_view aText);

// XXH3, 64 bits, same value on every host. For placement, never for secrets.
uint64_t
StableHash(std::string_view aText);

// aBytes random bytes of the operating system in hexadecimal.
std::string
RandomHex(int aBytes);

} // namespace tanagerseam

#endif // TANAGERSEAM_KERNEL_DIGEST_H_
