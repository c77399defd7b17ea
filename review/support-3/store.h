// Stand-in of the platform's store: partitions of records with offsets, the
// newest record of each key, long polls, and expiry after the retention.
//
//   Store store(Millis(20000));
//   store.Put("keyed.op", "config", text);      // as the operator does
//
// It answers as PROTOCOL.md says under "The platform's metadata store"; calls
// that the gateway does not make are left out.
#ifndef TANAGERSEAM_REVIEW_SUPPORT_3_STORE_H_
#define TANAGERSEAM_REVIEW_SUPPORT_3_STORE_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "review/support-3/net.h"

namespace review {

class Store
{
public:
  explicit Store(Millis aRetention);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  uint16_t Port() const { return this->listener.Port(); }
  // Writes a keyed record; an empty value drops the key.
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue);

private:
  struct Record
  {
    std::string bytes;
    TimePoint writtenAt;
  };
  struct Partition
  {
    std::deque<Record> records;
    // Offset of the oldest record that is left.
    int64_t first = 0;
    // Value and offset of each key; never expires.
    std::map<std::string, std::pair<std::string, int64_t>> newest;

    int64_t End() const
    {
      return this->first + static_cast<int64_t>(this->records.size());
    }
  };

  void Run();
  void Serve(Socket aSocket);
  std::string Answer(const HttpMessage& aRequest);
  std::string Append(const HttpMessage& aRequest);
  std::string Read(const HttpMessage& aRequest);
  std::string Newest(const HttpMessage& aRequest);
  // The partition that the target names, without what has expired. Called with
  // the mutex held.
  Partition& Find(const std::string& aTarget);
  void Add(Partition& aPartition,
           const std::string& aTopic,
           const std::string& aRecord);

  const Millis retention;
  Listener listener;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Partition> partitions;
  std::atomic<bool> stopping{ false };
  std::thread acceptor;
  std::vector<std::thread> connections;
};

} // namespace review

#endif // TANAGERSEAM_REVIEW_SUPPORT_3_STORE_H_
