#include "kernel/log.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>

#include "kernel/clock.h"

namespace tanagerseam {

namespace {

// Lines that come together before they are written in buffered mode, in bytes.
constexpr size_t kWriteBytes = 8192;

// Room for the line that counts what was left out.
constexpr size_t kNoticeBytes = 512;

std::string logHost;

// Writes to standard output without ever waiting for its reader. Lines are
// whole: one that does not fit into the buffer is dropped and counted.
class BoundedOutput
{
public:
  void Add(const std::string& aLine, bool aUrgent)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (!aUrgent && !this->TakePermit()) {
      ++this->dropped;
      return;
    }
    if (this->buffer.size() + aLine.size() + 1 > kLogBufferBytes) {
      ++this->dropped;
      return;
    }
    this->buffer += aLine;
    this->buffer.push_back('\n');
    if (aUrgent || !this->buffered || this->buffer.size() >= kWriteBytes) {
      this->Write();
    }
  }

  void SetBuffered(bool aBuffered)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->buffered = aBuffered;
  }

  void Flush()
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->Write();
  }

  // Lines left out since the last call; 0 while there is no room to say so.
  size_t TakeDropped()
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    const bool room = this->buffer.size() + kNoticeBytes <= kLogBufferBytes;
    return room ? std::exchange(this->dropped, 0) : 0;
  }

  void MakeNonBlocking()
  {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }

private:
  // A permit of this second, if one is left.
  bool TakePermit()
  {
    const int64_t second = WallMillis() / 1000;
    if (second != this->permitSecond) {
      this->permitSecond = second;
      this->permits = kLogLinesPerSecond;
    }
    return this->permits-- > 0;
  }

  void Write()
  {
    while (!this->buffer.empty()) {
      const ssize_t written =
        ::write(STDOUT_FILENO, this->buffer.data(), this->buffer.size());
      if (written < 0 && errno == EINTR) {
        continue;
      }
      if (written <= 0) {
        return;
      }
      this->buffer.erase(0, static_cast<size_t>(written));
    }
  }

  std::mutex mutex;
  std::string buffer;
  bool buffered = false;
  size_t dropped = 0;
  int64_t permitSecond = 0;
  int permits = 0;
};

BoundedOutput&
Output()
{
  static BoundedOutput output;
  return output;
}

// log4cplus gives the names.
// NOLINTBEGIN(readability-identifier-naming)
class BoundedAppender : public log4cplus::Appender
{
public:
  ~BoundedAppender() override { this->destructorImpl(); }
  void close() override { this->closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    Output().Add(aEvent.getMessage(),
                 aEvent.getLogLevel() >= log4cplus::WARN_LOG_LEVEL);
  }
};
// NOLINTEND(readability-identifier-naming)

// Lives until the process ends, as log4cplus asks.
log4cplus::Logger&
Root()
{
  static log4cplus::Initializer initializer;
  static log4cplus::Logger logger = log4cplus::Logger::getRoot();
  return logger;
}

void
Write(log4cplus::LogLevel aLevel, const char* aEvent, const LogFields& aFields)
{
  log4cplus::Logger& logger = Root();
  if (!logger.isEnabledFor(aLevel)) {
    return;
  }
  nlohmann::ordered_json line;
  line["ts"] = WallMillis();
  line["level"] = log4cplus::getLogLevelManager().toString(aLevel);
  line["host"] = logHost;
  line["event"] = aEvent;
  for (const auto& field : aFields) {
    line[field.first] = field.second;
  }
  using Handler = nlohmann::ordered_json::error_handler_t;
  logger.log(aLevel, line.dump(-1, ' ', false, Handler::replace));
}

} // namespace

void
ConfigureLog(const std::string& aLevel, const std::string& aHost)
{
  logHost = aHost;
  log4cplus::Logger& logger = Root();
  logger.removeAllAppenders();
  Output().MakeNonBlocking();
  log4cplus::SharedAppenderPtr appender(new BoundedAppender());
  logger.addAppender(appender);
  std::string upper;
  for (char letter : aLevel) {
    upper.push_back(static_cast<char>(toupper(letter)));
  }
  logger.setLogLevel(log4cplus::getLogLevelManager().fromString(upper));
}

void
BufferLog(bool aBuffered)
{
  Output().SetBuffered(aBuffered);
}

void
FlushLog()
{
  Output().Flush();
  const size_t dropped = Output().TakeDropped();
  if (dropped > 0) {
    LogWarn("log_lines_dropped", { { "lines", std::to_string(dropped) } });
  }
}

void
LogDebug(const char* aEvent, const LogFields& aFields)
{
  Write(log4cplus::DEBUG_LOG_LEVEL, aEvent, aFields);
}

void
LogInfo(const char* aEvent, const LogFields& aFields)
{
  Write(log4cplus::INFO_LOG_LEVEL, aEvent, aFields);
}

void
LogWarn(const char* aEvent, const LogFields& aFields)
{
  Write(log4cplus::WARN_LOG_LEVEL, aEvent, aFields);
}

void
LogError(const char* aEvent, const LogFields& aFields)
{
  Write(log4cplus::ERROR_LOG_LEVEL, aEvent, aFields);
}

} // namespace tanagerseam
