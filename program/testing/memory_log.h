// A record log in memory for tests: answers through an Asio loop, and
// misbehaves when told to.
#ifndef TANAGERSEAM_PROGRAM_TESTING_MEMORY_LOG_H_
#define TANAGERSEAM_PROGRAM_TESTING_MEMORY_LOG_H_

#include <map>
#include <memory>
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
      this->Later([aDone] { aDone(LogFault::kUnavailable); });
      return;
    }
    auto& records = this->partitions[aPartition];
    records.push_back(std::move(aRecord));
    const int64_t offset = static_cast<int64_t>(records.size()) - 1;
    if (this->lostAnswers > 0) {
      --this->lostAnswers;
      this->After(aTimeout, [aDone] { aDone(LogFault::kNoAnswer); });
      return;
    }
    this->Later([aDone, offset] { aDone(Appended{ offset }); });
  }

  void Read(const LogPartition& aPartition,
            int64_t aFrom,
            Millis,
            std::function<void(const ReadResult&)> aDone) override
  {
    ++this->reads;
    if (this->down || this->IsDown(aPartition)) {
      this->Later([aDone] { aDone(LogFault::kUnavailable); });
      return;
    }
    ReadRecords page;
    const auto& records = this->partitions[aPartition];
    page.end = static_cast<int64_t>(records.size());
    for (int64_t i = aFrom; i < page.end; ++i) {
      page.records.push_back({ i, records[static_cast<size_t>(i)] });
    }
    this->Later([aDone, page] { aDone(page); });
  }

  int appends = 0;
  int reads = 0;
  bool down = false;
  // Partitions that do nothing.
  std::vector<LogPartition> downPartitions;
  // Appends that take effect and are not answered.
  int lostAnswers = 0;

private:
  bool IsDown(const LogPartition& aPartition) const
  {
    for (const LogPartition& down : this->downPartitions) {
      if (!(down < aPartition) && !(aPartition < down)) {
        return true;
      }
    }
    return false;
  }

  void Later(std::function<void()> aTask)
  {
    restinio::asio_ns::post(this->io, std::move(aTask));
  }

  void After(Millis aTime, std::function<void()> aTask)
  {
    auto timer =
      std::make_shared<restinio::asio_ns::steady_timer>(this->io, aTime);
    timer->async_wait([timer, aTask](const auto&) { aTask(); });
  }

  restinio::asio_ns::io_context& io;
  std::map<LogPartition, std::vector<std::string>> partitions;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_PROGRAM_TESTING_MEMORY_LOG_H_
