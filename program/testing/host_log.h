// One host's way to a record log that several hosts share in a test.
//
//   HostLog hostLog(io, memoryLog);
//   hostLog.lost = true;
#ifndef TANAGERSEAM_PROGRAM_TESTING_HOST_LOG_H_
#define TANAGERSEAM_PROGRAM_TESTING_HOST_LOG_H_

#include <algorithm>
#include <memory>
#include <string>

#include <restinio/asio_include.hpp>

#include "recordlog/recordlog.h"

namespace tanagerseam {

class HostLog : public RecordLog
{
public:
  HostLog(restinio::asio_ns::io_context& aIo, RecordLog& aStore)
    : io(aIo)
    , store(aStore)
  {
  }

  void Append(const LogPartition& aPartition,
              std::string aRecord,
              Millis aTimeout,
              std::function<void(const AppendResult&)> aDone) override
  {
    ++this->appends;
    if (this->lost) {
      this->After(aTimeout, [aDone] { aDone(LogFault::kNoAnswer); });
      return;
    }
    // The store appends at once, and its answer arrives later.
    const Millis delay = std::min(this->delay, aTimeout);
    const bool late = delay < this->delay;
    this->store.Append(aPartition,
                       std::move(aRecord),
                       aTimeout,
                       [this, delay, late, aDone](const AppendResult& aResult) {
                         this->After(delay, [late, aDone, aResult] {
                           aDone(late ? LogFault::kNoAnswer : aResult);
                         });
                       });
  }

  void AppendAll(const LogPartition& aPartition,
                 const std::vector<std::string>& aRecords,
                 Millis aTimeout,
                 std::function<void(const AppendResult&)> aDone) override
  {
    if (this->lost) {
      this->After(aTimeout, [aDone] { aDone(LogFault::kNoAnswer); });
      return;
    }
    this->store.AppendAll(aPartition, aRecords, aTimeout, std::move(aDone));
  }

  void ReadNewest(const LogPartition& aPartition,
                  const std::string& aAfterKey,
                  Millis aTimeout,
                  std::function<void(const NewestResult&)> aDone) override
  {
    if (this->lost) {
      this->After(aTimeout, [aDone] { aDone(LogFault::kNoAnswer); });
      return;
    }
    this->store.ReadNewest(aPartition, aAfterKey, aTimeout, std::move(aDone));
  }

  void Read(const LogPartition& aPartition,
            int64_t aFrom,
            Millis aTimeout,
            std::function<void(const ReadResult&)> aDone) override
  {
    if (this->lost) {
      this->After(aTimeout, [aDone] { aDone(LogFault::kNoAnswer); });
      return;
    }
    this->store.Read(aPartition, aFrom, aTimeout, std::move(aDone));
  }

  int appends = 0;
  // Nothing reaches the store.
  bool lost = false;
  // Of the store's answers to appends.
  Millis delay{ 0 };

private:
  void After(Millis aDelay, std::function<void()> aTask)
  {
    auto timer =
      std::make_shared<restinio::asio_ns::steady_timer>(this->io, aDelay);
    timer->async_wait([timer, aTask](const auto&) { aTask(); });
  }

  restinio::asio_ns::io_context& io;
  RecordLog& store;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_PROGRAM_TESTING_HOST_LOG_H_
