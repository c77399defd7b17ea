#include <algorithm>

#include "resumption/resumption.h"

namespace tanagerseam {

namespace {

// What an event takes beside its data.
constexpr size_t kEventOverhead = 96;

size_t
BytesOf(const StreamEvent& aEvent)
{
  return aEvent.data.size() + kEventOverhead;
}

StreamPart&
PartOf(std::vector<StreamPart>& aParts,
       uint64_t aAttempt,
       std::optional<uint64_t> aAfter)
{
  const auto found = std::find_if(
    aParts.begin(), aParts.end(), [aAttempt](const StreamPart& aPart) {
      return aPart.attempt == aAttempt;
    });
  if (found != aParts.end()) {
    return *found;
  }
  aParts.push_back({ aAttempt, aAfter, {} });
  return aParts.back();
}

bool
BeginsBefore(const StreamPart& aPart, uint64_t aEvent)
{
  return !aPart.after || *aPart.after < aEvent;
}

// The part that brought the client the event: the last one that begins before
// it. Null if that is not certain.
const StreamPart*
PartWith(const std::vector<StreamPart>& aParts, uint64_t aEvent)
{
  const StreamPart* last = nullptr;
  bool certain = true;
  for (const StreamPart& part : aParts) {
    if (!BeginsBefore(part, aEvent)) {
      continue;
    }
    // An unset value is less than any event.
    if (last == nullptr || last->after < part.after) {
      last = &part;
      certain = true;
    } else if (last->after == part.after) {
      certain = false;
    }
  }
  return certain ? last : nullptr;
}

// The data of the part's events up to aLastEvent; unset if one is missing.
std::optional<std::string>
TextOfPart(const StreamPart& aPart, uint64_t aLastEvent)
{
  std::string text;
  uint32_t position = 0;
  for (const auto& [known, event] : aPart.events) {
    if (known != position || event.id > aLastEvent) {
      return std::nullopt;
    }
    text += event.data + "\n";
    if (event.id == aLastEvent) {
      return text;
    }
    ++position;
  }
  return std::nullopt;
}

} // namespace

void
MergeParts(const std::vector<StreamPart>& aOther,
           std::vector<StreamPart>& aParts)
{
  for (const StreamPart& other : aOther) {
    StreamPart& part = PartOf(aParts, other.attempt, other.after);
    part.events.insert(other.events.begin(), other.events.end());
  }
}

std::optional<std::string>
TextUpTo(const std::vector<StreamPart>& aParts, uint64_t aLastEvent)
{
  std::string text;
  std::optional<uint64_t> last = aLastEvent;
  while (last) {
    const StreamPart* part = PartWith(aParts, *last);
    // Ids mostly begin with 1, and a client without events may say 0.
    const bool hasNone =
      *last == 0 && (part == nullptr || part->events.empty() ||
                     part->events.begin()->second.id > 0);
    if (hasNone) {
      return text;
    }
    const auto added =
      part == nullptr ? std::nullopt : TextOfPart(*part, *last);
    if (!added) {
      return std::nullopt;
    }
    text = *added + text;
    last = part->after;
  }
  return text;
}

void
StreamEvents::Put(uint64_t aStream, PlacedEvent aEvent, TimePoint aNow)
{
  const auto known = this->byStream.find(aStream);
  if (known == this->byStream.end()) {
    this->entries.push_back({ aStream });
    this->byStream[aStream] = std::prev(this->entries.end());
  } else {
    this->entries.splice(this->entries.end(), this->entries, known->second);
  }
  Entry& entry = this->entries.back();
  entry.lastPutAt = aNow;
  StreamPart& part = PartOf(entry.parts, aEvent.attempt, aEvent.after);
  const size_t added = BytesOf(aEvent.event);
  if (part.events.emplace(aEvent.position, std::move(aEvent.event)).second) {
    entry.bytes += added;
    this->bytes += added;
  }
  this->Forget(aNow);
}

std::vector<StreamPart>
StreamEvents::Find(uint64_t aStream, uint64_t aLastEvent, TimePoint aNow)
{
  this->Forget(aNow);
  std::vector<StreamPart> parts;
  const auto known = this->byStream.find(aStream);
  if (known == this->byStream.end()) {
    return parts;
  }
  for (const StreamPart& part : known->second->parts) {
    if (!BeginsBefore(part, aLastEvent)) {
      continue;
    }
    parts.push_back({ part.attempt, part.after, {} });
    for (const auto& [position, event] : part.events) {
      if (event.id <= aLastEvent) {
        parts.back().events.emplace(position, event);
      }
    }
  }
  return parts;
}

void
StreamEvents::Forget(TimePoint aNow)
{
  while (!this->entries.empty()) {
    const Entry& oldest = this->entries.front();
    if (this->bytes <= kMaxBytes && aNow - oldest.lastPutAt <= kEventMemory) {
      return;
    }
    this->bytes -= oldest.bytes;
    this->byStream.erase(oldest.stream);
    this->entries.pop_front();
  }
}

} // namespace tanagerseam
