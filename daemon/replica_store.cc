#include "daemon/replica_store.h"

#include <algorithm>

namespace tanagerseam {

namespace {

constexpr size_t kMaxStoredRecords = 100000;

} // namespace

ReplicaStore::HeaderKey
ReplicaStore::KeyOf(const RecordHeader& aHeader)
{
  return { aHeader.host, aHeader.incarnation, aHeader.sequence };
}

ReplicaStore::ReplicaStore(Journal& aJournal)
  : journal(aJournal)
{
}

bool
ReplicaStore::Store(const std::vector<std::string>& aTexts)
{
  std::vector<StoredRecord> decoded;
  for (const std::string& text : aTexts) {
    Result<Record> record = DecodeRecord(text);
    if (!IsOk(record)) {
      return false;
    }
    decoded.push_back({ std::get<Record>(record).header, text, false });
  }
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->records.size() + decoded.size() > kMaxStoredRecords) {
    return false;
  }
  for (StoredRecord& entry : decoded) {
    if (this->storedKeys.insert(KeyOf(entry.header)).second) {
      this->records.push_back(std::move(entry));
    }
  }
  return true;
}

void
ReplicaStore::RelayIfLogAvailable()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->records.empty() && !this->journal.LogFailing()) {
    this->RelayLocked();
  }
}

bool
ReplicaStore::RelayAll()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->RelayLocked();
}

bool
ReplicaStore::RelayLocked()
{
  const auto isInLog = [this](const StoredRecord& aRecord) {
    const bool inLog = this->journal.HasSeen(aRecord.header);
    if (inLog) {
      this->storedKeys.erase(KeyOf(aRecord.header));
    }
    return inLog;
  };
  this->records.erase(
    std::remove_if(this->records.begin(), this->records.end(), isInLog),
    this->records.end());
  bool allRelayed = true;
  for (StoredRecord& entry : this->records) {
    entry.relayed = entry.relayed || this->journal.SubmitEncoded(entry.text);
    allRelayed = allRelayed && entry.relayed;
  }
  return allRelayed;
}

size_t
ReplicaStore::Size() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->records.size();
}

} // namespace tanagerseam
