// Messages and records of the build before, as the bytes that it wrote; see
// record_messages.cc.
//
//   const std::string report = Recorded("load_report");
#ifndef TANAGERSEAM_TESTS_UPGRADE_RECORDED_H_
#define TANAGERSEAM_TESTS_UPGRADE_RECORDED_H_

#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

namespace tanagerseam::upgrade {

// The earlier turns of the turn "turn-2" exceed what a record inlines.
constexpr size_t kLongTurnBytes = 65u << 10;

inline std::string
Recorded(const std::string& aName)
{
  std::ifstream file(std::string(TANAGERSEAM_RECORDED_MESSAGES) + "/" + aName +
                       ".bin",
                     std::ios::binary);
  std::string bytes((std::istreambuf_iterator<char>(file)), {});
  if (bytes.empty()) {
    throw std::runtime_error("no recorded message " + aName);
  }
  return bytes;
}

} // namespace tanagerseam::upgrade

#endif // TANAGERSEAM_TESTS_UPGRADE_RECORDED_H_
