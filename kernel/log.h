// Logs: one JSON object a line on standard output, by log4cplus.
//
//   ConfigureLog("info", "host-1");
//   LogInfo("member_joined", { { "host", "host-2" } });
//
// prints {"ts":...,"level":"INFO","host":"host-1","event":"member_joined",...}.
// Fields never hold keys or bodies: pass identifiers only.
//
// Writing never blocks: lines go into a buffer of kLogBufferBytes, and from
// there as far as the reader takes them. At most kLogLinesPerSecond lines below
// the level "warn" are taken. What is left out is counted, and a line
// "log_lines_dropped" says how many.
#ifndef TANAGERSEAM_KERNEL_LOG_H_
#define TANAGERSEAM_KERNEL_LOG_H_

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace tanagerseam {

constexpr size_t kLogBufferBytes = 256u << 10;
constexpr int kLogLinesPerSecond = 1000;

using LogFields = std::vector<std::pair<std::string, std::string>>;

// Sets level ("debug", "info", "warn", "error") and the host of every line.
void
ConfigureLog(const std::string& aLevel, const std::string& aHost);

// With aBuffered, lines below "warn" are written by FlushLog or once some KB
// have come together; else each line is written at once.
void
BufferLog(bool aBuffered);
// Writes what the reader takes now.
void
FlushLog();

void
LogDebug(const char* aEvent, const LogFields& aFields);
void
LogInfo(const char* aEvent, const LogFields& aFields);
void
LogWarn(const char* aEvent, const LogFields& aFields);
void
LogError(const char* aEvent, const LogFields& aFields);

} // namespace tanagerseam

#endif // TANAGERSEAM_KERNEL_LOG_H_
