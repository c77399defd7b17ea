#include "recordlog/recordlog.h"

namespace tanagerseam {

namespace {

struct LogFaultName
{
  LogFault fault;
  std::string_view name;
};

constexpr LogFaultName kLogFaults[] = {
  { LogFault::kNoAnswer, "no_answer" },
  { LogFault::kUnavailable, "unavailable" },
  { LogFault::kFull, "full" },
  { LogFault::kRejected, "rejected" },
};

} // namespace

std::string_view
NameOf(LogFault aFault)
{
  for (const LogFaultName& row : kLogFaults) {
    if (row.fault == aFault) {
      return row.name;
    }
  }
  return "unknown";
}

std::string
KeyedData(const std::string& aKey, const std::string& aValue)
{
  return std::string(1, static_cast<char>(aKey.size())) + aKey + aValue;
}

std::optional<KeyedPair>
ParseKeyedData(const std::string& aData)
{
  if (aData.empty()) {
    return std::nullopt;
  }
  const size_t length = static_cast<unsigned char>(aData[0]);
  if (aData.size() < 1 + length) {
    return std::nullopt;
  }
  return KeyedPair{ aData.substr(1, length), aData.substr(1 + length) };
}

} // namespace tanagerseam
