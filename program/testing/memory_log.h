// In-memory record log for tests: calls back on an Asio loop and injects
// configured faults.
//
//   MemoryLog log(io);
//   log.lostAcks = 1;
#ifndef TANAGERSEAM_PROGRAM_TESTING_MEMORY_LOG_H_
#define TANAGERSEAM_PROGRAM_TESTING_MEMORY_LOG_H_

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <restinio/asio_include.hpp>

#include "recordlog/recordlog.h"

namespace tanagerseam {

class MemoryLog : public RecordLog
{
public:
  explicit MemoryLog(restinio::asio_ns::io_context& aIo)
    : io(aIo)
  {
  }

  void Append(const LogPartition& aPartition,
              std::string aRecord,
              Millis aTimeout,
              std::function<void(const AppendResult&)> aDone) override
  {
    ++this->appends;
    if (this->down || this->IsDown(aPartition)) {
      this->Post([aDone] { aDone(LogFault::kUnavailable); });
      return;
    }
    auto& records = this->partitions[aPartition];
    records.push_back(std::move(aRecord));
    this->writtenAt[aPartition].push_back(BootNow());
    const int64_t offset = static_cast<int64_t>(records.size()) - 1;
    if (this->lostAcks > 0) {
      --this->lostAcks;
      this->down = this->down || this->downAfterLostAcks;
      this->PostAfter(aTimeout, [aDone] { aDone(LogFault::kNoAnswer); });
      return;
    }
    this->Post([aDone, offset] { aDone(Appended{ offset }); });
  }

  void AppendAll(const LogPartition& aPartition,
                 const std::vector<std::string>& aRecords,
                 Millis aTimeout,
                 std::function<void(const AppendResult&)> aDone) override
  {
    for (size_t i = 0; i + 1 < aRecords.size(); ++i) {
      this->Append(
        aPartition, aRecords[i], aTimeout, [](const AppendResult&) {});
    }
    this->Append(aPartition, aRecords.back(), aTimeout, std::move(aDone));
  }

  void ReadNewest(const LogPartition& aPartition,
                  const std::string& aAfterKey,
                  Millis,
                  std::function<void(const NewestResult&)> aDone) override
  {
    ++this->newestReads;
    if (this->down || this->IsDown(aPartition)) {
      this->Post([aDone] { aDone(LogFault::kUnavailable); });
      return;
    }
    NewestPage page;
    for (const auto& entry : this->Newest(aPartition)) {
      if (page.records.size() >= this->maxKeysOfAPage) {
        page.more = true;
        break;
      }
      if (entry.first > aAfterKey) {
        page.records.push_back({ entry.first, entry.second, 0 });
      }
    }
    this->Post([aDone, page] { aDone(page); });
  }

  // The newest values of the keys of a partition.
  std::map<std::string, std::string> Newest(const LogPartition& aPartition)
  {
    std::map<std::string, std::string> newest;
    for (const std::string& record : this->partitions[aPartition]) {
      const KeyedPair pair = ParseKeyedData(record).value();
      if (pair.value.empty()) {
        newest.erase(pair.key);
      } else {
        newest[pair.key] = pair.value;
      }
    }
    return newest;
  }

  void Read(const LogPartition& aPartition,
            int64_t aFrom,
            Millis,
            std::function<void(const ReadResult&)> aDone) override
  {
    ++this->reads;
    if (this->down || this->IsDown(aPartition)) {
      this->Post([aDone] { aDone(LogFault::kUnavailable); });
      return;
    }
    this->ExpireOld(aPartition);
    RecordPage page;
    const auto& records = this->partitions[aPartition];
    page.end = static_cast<int64_t>(records.size());
    page.first = this->firstOffsets[aPartition];
    const bool cutShort = this->pagesCutShort > 0;
    this->pagesCutShort -= cutShort ? 1 : 0;
    for (int64_t i = std::max(aFrom, page.first); i < page.end && !cutShort;
         ++i) {
      page.records.push_back({ i, records[static_cast<size_t>(i)] });
    }
    this->Post([aDone, page] { aDone(page); });
  }

  // The records that were written by now can't be read any more, but for the
  // newest aKept of each partition.
  void Expire(int64_t aKept = 0)
  {
    for (const auto& entry : this->partitions) {
      const auto end = static_cast<int64_t>(entry.second.size());
      int64_t& first = this->firstOffsets[entry.first];
      first = std::max(first, end - aKept);
    }
  }

  // The same for one partition.
  void ExpirePartition(const LogPartition& aPartition)
  {
    this->firstOffsets[aPartition] =
      static_cast<int64_t>(this->partitions[aPartition].size());
  }

  // Of the oldest record that could be read last.
  int64_t FirstOffset(const LogPartition& aPartition)
  {
    return this->firstOffsets[aPartition];
  }

  int appends = 0;
  int reads = 0;
  int newestReads = 0;
  size_t maxKeysOfAPage = 500;
  bool down = false;
  // Partitions whose appends and reads fail with kUnavailable.
  std::vector<LogPartition> unavailablePartitions;
  // Number of next appends that take effect but are never acknowledged.
  int lostAcks = 0;
  // The log is down from the first of them on.
  bool downAfterLostAcks = false;
  // Number of next pages that hold none of their records.
  int pagesCutShort = 0;
  // Records that are older can't be read any more.
  std::optional<Millis> retention;

private:
  void ExpireOld(const LogPartition& aPartition)
  {
    if (!this->retention) {
      return;
    }
    const auto& times = this->writtenAt[aPartition];
    int64_t& first = this->firstOffsets[aPartition];
    const TimePoint oldest = BootNow() - *this->retention;
    while (first < static_cast<int64_t>(times.size()) &&
           times[static_cast<size_t>(first)] < oldest) {
      ++first;
    }
  }

  bool IsDown(const LogPartition& aPartition) const
  {
    for (const LogPartition& down : this->unavailablePartitions) {
      if (!(down < aPartition) && !(aPartition < down)) {
        return true;
      }
    }
    return false;
  }

  void Post(std::function<void()> aTask)
  {
    restinio::asio_ns::post(this->io, std::move(aTask));
  }

  void PostAfter(Millis aDelay, std::function<void()> aTask)
  {
    auto timer =
      std::make_shared<restinio::asio_ns::steady_timer>(this->io, aDelay);
    timer->async_wait([timer, aTask](const auto&) { aTask(); });
  }

  restinio::asio_ns::io_context& io;
  std::map<LogPartition, std::vector<std::string>> partitions;
  std::map<LogPartition, std::vector<TimePoint>> writtenAt;
  // Of the oldest record that can be read.
  std::map<LogPartition, int64_t> firstOffsets;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_PROGRAM_TESTING_MEMORY_LOG_H_
