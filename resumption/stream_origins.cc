#include "resumption/resumption.h"

namespace tanagerseam {

void
StreamOrigins::Put(uint64_t aStream, StreamOrigin aOrigin, TimePoint aNow)
{
  const auto put = this->origins.emplace(aStream, Entry{ std::move(aOrigin) });
  Entry& entry = put.first->second;
  if (entry.putAt == aNow) {
    return;
  }
  entry.putAt = aNow;
  this->arrivals.push_back({ aNow, aStream });
  this->Forget(aNow);
}

const StreamOrigin*
StreamOrigins::Find(uint64_t aStream, TimePoint aNow)
{
  this->Forget(aNow);
  auto found = this->origins.find(aStream);
  return found == this->origins.end() ? nullptr : &found->second.origin;
}

void
StreamOrigins::Forget(TimePoint aNow)
{
  while (!this->arrivals.empty() &&
         (this->arrivals.size() > kMaxStreams ||
          aNow - this->arrivals.front().at > kStreamMemory)) {
    const Arrival& oldest = this->arrivals.front();
    const auto found = this->origins.find(oldest.stream);
    if (found != this->origins.end() && found->second.putAt == oldest.at) {
      this->origins.erase(found);
    }
    this->arrivals.pop_front();
  }
}

} // namespace tanagerseam
