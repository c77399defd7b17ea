// Incremental parser of server-sent events.
//
//   SseParser parser;
//   bool ok = parser.Feed(bytes, [](std::string_view aData) { return true; });
//
// Only the data and the id of an event are kept; comments and other fields are
// skipped. A line or event longer than kMaxEventBytes is an error, which bounds
// memory.
#ifndef TANAGERSEAM_ENDPOINT_SSE_PARSER_H_
#define TANAGERSEAM_ENDPOINT_SSE_PARSER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace tanagerseam {

// The number that an event's id is; unset if it is none.
std::optional<uint64_t>
ParseEventId(std::string_view aText);

class SseParser
{
public:
  static constexpr size_t kMaxEventBytes = 1u << 20;

  // Calls aOnEvent with the data of each complete event. False if aOnEvent
  // returned false or the size limit was exceeded.
  bool Feed(std::string_view aBytes,
            const std::function<bool(std::string_view)>& aOnEvent);
  bool TooLong() const { return this->tooLong; }
  // While aOnEvent runs: the id of its event; unset if it has none or one that
  // is no number.
  std::optional<uint64_t> EventId() const { return this->eventId; }
  // True if no event has begun since the last one ended.
  bool BetweenEvents() const
  {
    return this->partialLine.empty() && !this->eventOpen;
  }
  // True if the last line end is a carriage return whose line feed has not
  // come, in a stream whose lines end with both.
  bool WithinLineEnd() const { return this->afterReturn && this->usesCrLf; }
  // Bytes of the event that has not ended.
  size_t BufferedBytes() const
  {
    return this->partialLine.size() + this->data.size();
  }

private:
  bool ProcessLine(std::string_view aLine,
                   const std::function<bool(std::string_view)>& aOnEvent);
  bool EndEvent(const std::function<bool(std::string_view)>& aOnEvent);
  // False if the event is too long.
  bool AppendData(std::string_view aValue);

  // The incomplete last line.
  std::string partialLine;
  // The data lines of the current event so far.
  std::string data;
  bool hasData = false;
  std::optional<uint64_t> eventId;
  // A line of the current event has ended.
  bool eventOpen = false;
  // The last line ended with a carriage return: a line feed belongs to it.
  bool afterReturn = false;
  // Some line ended with a carriage return and a line feed.
  bool usesCrLf = false;
  bool tooLong = false;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_ENDPOINT_SSE_PARSER_H_
