#include "resumption/resumption.h"

namespace tanagerseam {

void
StreamOrigins::Put(uint64_t aStream, StreamOrigin aOrigin, TimePoint aNow)
{
  if (!this->origins.emplace(aStream, std::move(aOrigin)).second) {
    return;
  }
  this->arrivals.push_back({ aNow, aStream });
  this->Forget(aNow);
}

const StreamOrigin*
StreamOrigins::Find(uint64_t aStream, TimePoint aNow)
{
  this->Forget(aNow);
  auto found = this->origins.find(aStream);
  return found == this->origins.end() ? nullptr : &found->second;
}

void
StreamOrigins::Forget(TimePoint aNow)
{
  while (!this->arrivals.empty() &&
         (this->arrivals.size() > kMaxStreams ||
          aNow - this->arrivals.front().at > kStreamMemory)) {
    this->origins.erase(this->arrivals.front().stream);
    this->arrivals.pop_front();
  }
}

} // namespace tanagerseam
