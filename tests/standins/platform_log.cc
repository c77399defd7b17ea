#include "tests/standins/platform_log.h"

#include <algorithm>

namespace tanagerseam::standin {

namespace {

constexpr size_t kMaxPageBytes = 4u << 20;
constexpr Millis kAppendRateWindow(1000);

} // namespace

LogStore::LogStore(LogLimits aLimits)
  : limits(aLimits)
{
}

bool
LogStore::AdmitAppend(TimePoint aNow)
{
  if (this->limits.appendsPerSecond == 0) {
    return true;
  }
  std::lock_guard<std::mutex> lock(this->mutex);
  while (!this->recentAppends.empty() &&
         aNow - this->recentAppends.front() >= kAppendRateWindow) {
    this->recentAppends.pop_front();
  }
  if (this->recentAppends.size() >= this->limits.appendsPerSecond) {
    return false;
  }
  this->recentAppends.push_back(aNow);
  return true;
}

int64_t
LogStore::Append(const std::string& aStream,
                 const std::vector<std::string>& aTexts,
                 TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  Stream& stream = this->streams[aStream];
  const int64_t first = stream.end;
  for (const std::string& text : aTexts) {
    stream.records.push_back({ stream.end++, text, aNow });
  }
  this->ApplyRetention(stream, aNow);
  this->appended.notify_all();
  return first;
}

StoredPage
LogStore::Read(const std::string& aStream, int64_t aFrom, Millis aWait)
{
  std::unique_lock<std::mutex> lock(this->mutex);
  Stream& stream = this->streams[aStream];
  this->appended.wait_for(
    lock, aWait, [&stream, aFrom] { return stream.end > aFrom; });
  this->ApplyRetention(stream, Now());
  StoredPage page;
  page.first = stream.First();
  page.end = stream.end;
  size_t bytes = 0;
  const int64_t start = std::max(aFrom, page.first);
  for (int64_t offset = start; offset < page.end; ++offset) {
    const StoredRecord& record = stream.records[size_t(offset - page.first)];
    bytes += record.text.size();
    // The first record is returned whatever its size, so that readers progress.
    if (bytes > kMaxPageBytes && !page.records.empty()) {
      break;
    }
    page.records.push_back(record);
  }
  return page;
}

std::string
LogStore::AllText(const std::string& aStream)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::string text;
  for (const StoredRecord& record : this->streams[aStream].records) {
    text += record.text + "\n";
  }
  return text;
}

void
LogStore::ApplyRetention(Stream& aStream, TimePoint aNow) const
{
  auto tooOld = [this, aNow](const StoredRecord& aRecord) {
    return this->limits.retainAge.count() > 0 &&
           aNow - aRecord.writtenAt > this->limits.retainAge;
  };
  auto tooMany = [this, &aStream] {
    return this->limits.retainRecords > 0 &&
           aStream.records.size() > this->limits.retainRecords;
  };
  while (!aStream.records.empty() &&
         (tooMany() || tooOld(aStream.records.front()))) {
    aStream.records.pop_front();
  }
}

} // namespace tanagerseam::standin
