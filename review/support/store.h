// Stand-in for the platform's store: a log in topics and partitions, and the
// newest record of each key of a keyed topic. Records expire after
// `retention`; the newest record of a key does not.
#ifndef TANAGERSEAM_REVIEW_SUPPORT_STORE_H_
#define TANAGERSEAM_REVIEW_SUPPORT_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>

#include <nlohmann/json.hpp>

#include "review/support/listener_threads.h"

namespace review {

// The limits that the platform's settings state.
constexpr size_t kRecordBytes = 262144;
constexpr size_t kCallBytes = 2097152;

inline std::string
BigEndian(uint64_t aValue, int aBytes)
{
  std::string bytes;
  for (int i = aBytes - 1; i >= 0; --i) {
    bytes.push_back(static_cast<char>(aValue >> (8 * i)));
  }
  return bytes;
}

inline std::string
Base64(const std::string& aBytes)
{
  constexpr char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < aBytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = i; j < i + 3; ++j) {
      group = group << 8 |
              (j < aBytes.size() ? static_cast<unsigned char>(aBytes[j]) : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      const bool padding = i + j > aBytes.size();
      text.push_back(padding ? '=' : kDigits[group >> (18 - 6 * j) & 63U]);
    }
  }
  return text;
}

class Store
{
public:
  explicit Store(Millis aRetention)
    : retention(aRetention)
    , server([this](const Request& aRequest, Socket& aSocket) {
      return this->Handle(aRequest, aSocket);
    })
  {
  }

  uint16_t Port() const { return this->server.Port(); }

  // As the operator and the servers write; an empty value drops the key.
  void PutKeyed(const std::string& aTopic,
                const std::string& aKey,
                const std::string& aValue)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->Append(this->partitions[aTopic + "/0"],
                 static_cast<char>(aKey.size()) + aKey + aValue);
  }

  // The records of a topic whose name begins so that have not expired.
  size_t Retained(const std::string& aTopicPrefix)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    size_t count = 0;
    for (auto& entry : this->partitions) {
      if (entry.first.compare(0, aTopicPrefix.size(), aTopicPrefix) == 0) {
        this->Expire(entry.second);
        count += entry.second.records.size();
      }
    }
    return count;
  }

private:
  struct LogEntry
  {
    std::string data;
    Clock::time_point at;
  };
  struct Partition
  {
    std::deque<LogEntry> records;
    uint64_t first = 0;
    std::map<std::string, std::pair<std::string, uint64_t>> newest;

    uint64_t End() const { return this->first + this->records.size(); }
  };

  void Expire(Partition& aPartition) const
  {
    while (!aPartition.records.empty() &&
           Clock::now() - aPartition.records.front().at > this->retention) {
      aPartition.records.pop_front();
      ++aPartition.first;
    }
  }

  void Append(Partition& aPartition, const std::string& aRecord)
  {
    if (!aRecord.empty()) {
      const size_t length = static_cast<unsigned char>(aRecord[0]);
      if (aRecord.size() >= 1 + length) {
        const std::string key = aRecord.substr(1, length);
        if (aRecord.size() == 1 + length) {
          aPartition.newest.erase(key);
        } else {
          aPartition.newest[key] = { aRecord.substr(1 + length),
                                     aPartition.End() };
        }
      }
    }
    aPartition.records.push_back({ aRecord, Clock::now() });
    this->changed.notify_all();
  }

  static bool Send(Socket& aSocket,
                   const std::string& aStatusLine,
                   const nlohmann::json& aFields)
  {
    return aSocket.Write(WholeAnswer(
      aStatusLine, { { "Content-Type", "application/json" } }, aFields.dump()));
  }

  bool Handle(const Request& aRequest, Socket& aSocket)
  {
    // The time of an answer on the users' sheets.
    constexpr Millis kAnswerTime(4);
    std::this_thread::sleep_for(kAnswerTime);
    std::unique_lock<std::mutex> lock(this->mutex);
    Partition& partition = this->partitions[aRequest.Parameter("topic") + "/" +
                                            aRequest.Parameter("part")];
    this->Expire(partition);
    const std::string path = aRequest.Path();
    if (path == "/log-append") {
      return this->HandleAppend(aRequest, partition, aSocket);
    }
    if (path == "/log-read") {
      return this->HandleRead(aRequest, partition, aSocket, lock);
    }
    if (path == "/log-newest") {
      return HandleNewest(aRequest, partition, aSocket);
    }
    return Send(aSocket, "400 Bad Request", { { "why", "call" } });
  }

  bool HandleAppend(const Request& aRequest,
                    Partition& aPartition,
                    Socket& aSocket)
  {
    const std::string& body = aRequest.body;
    std::vector<std::string> records;
    size_t at = 0;
    while (at + 4 <= body.size()) {
      size_t length = 0;
      for (size_t i = 0; i < 4; ++i) {
        length = length << 8 | static_cast<unsigned char>(body[at + i]);
      }
      if (length > kRecordBytes || at + 4 + length > body.size()) {
        return Send(aSocket, "400 Bad Request", { { "why", "record" } });
      }
      records.push_back(body.substr(at + 4, length));
      at += 4 + length;
    }
    if (body.size() > kCallBytes) {
      return Send(aSocket, "400 Bad Request", { { "why", "size" } });
    }
    const uint64_t offset = aPartition.End();
    for (const std::string& record : records) {
      this->Append(aPartition, record);
    }
    return Send(
      aSocket, "200 OK", { { "offset", offset }, { "end", aPartition.End() } });
  }

  bool HandleRead(const Request& aRequest,
                  Partition& aPartition,
                  Socket& aSocket,
                  std::unique_lock<std::mutex>& aLock)
  {
    constexpr size_t kPageBytes = 1024U << 10;
    const uint64_t from = std::stoull(aRequest.Parameter("from"));
    const std::string wait = aRequest.Parameter("wait-ms");
    const auto until =
      Clock::now() + Millis(wait.empty() ? 0 : std::stol(wait));
    this->changed.wait_until(
      aLock, until, [&] { return aPartition.End() > from; });
    this->Expire(aPartition);
    if (from < aPartition.first) {
      return Send(aSocket, "410 Gone", { { "first", aPartition.first } });
    }
    std::string body =
      BigEndian(aPartition.End(), 8) + BigEndian(aPartition.first, 8);
    for (uint64_t i = from; i < aPartition.End() && body.size() < kPageBytes;
         ++i) {
      const std::string& record = aPartition.records[i - aPartition.first].data;
      body += BigEndian(record.size(), 4) + record;
    }
    aLock.unlock();
    return aSocket.Write(WholeAnswer("200 OK", {}, body));
  }

  static bool HandleNewest(const Request& aRequest,
                           const Partition& aPartition,
                           Socket& aSocket)
  {
    constexpr size_t kPageItems = 500;
    nlohmann::json items = nlohmann::json::array();
    auto entry = aPartition.newest.upper_bound(aRequest.Parameter("after"));
    for (; entry != aPartition.newest.end() && items.size() < kPageItems;
         ++entry) {
      items.push_back({ { "key", entry->first },
                        { "value", Base64(entry->second.first) },
                        { "offset", entry->second.second } });
    }
    return Send(aSocket,
                "200 OK",
                { { "items", items },
                  { "more", entry != aPartition.newest.end() },
                  { "end", aPartition.End() } });
  }

  const Millis retention;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Partition> partitions;
  HttpStandin server;
};

} // namespace review

#endif // TANAGERSEAM_REVIEW_SUPPORT_STORE_H_
