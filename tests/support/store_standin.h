// In-process stand-in for the users' store, on the test's event loop:
// partitioned topics, newest record by key, long polls, and injected faults.
//
//   StoreStandin store(io);
//   store.PutKeyed("topic", "key", "value");
//   store.SetFault(StoreFault::kUnavailable);
//   store.SetRetention(Millis(20000));
#ifndef TANAGERSEAM_TESTS_SUPPORT_STORE_STANDIN_H_
#define TANAGERSEAM_TESTS_SUPPORT_STORE_STANDIN_H_

#include <absl/strings/escaping.h>

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http/event_server.h"
#include "tests/support/free_port.h"

namespace tanagerseam::testing_support {

enum class StoreFault
{
  kNone,
  // Answers 503.
  kUnavailable,
  // Accepts requests and sends no response.
  kNoResponse,
  // Closes the connection.
  kReset,
  // Appends take effect without a response.
  kUnacknowledgedAppends,
};

class StoreStandin
{
public:
  explicit StoreStandin(restinio::asio_ns::io_context& aIo)
    : io(aIo)
    , port(FreePort())
  {
    EventServerSettings settings;
    settings.port = this->port;
    this->server = std::make_unique<EventServer>(
      aIo, settings, [this](EventRequest aRequest, auto aReply) {
        this->Handle(aRequest, aReply);
      });
    this->server->Open();
  }

  std::string Address() const { return LoopbackAddress(this->port); }
  void SetFault(StoreFault aFault) { this->fault = aFault; }
  // Records that are older can't be read; the newest record by key can. Without
  // a call all records are kept.
  void SetRetention(Millis aRetention) { this->retention = aRetention; }

  // Appends a keyed record, as the operator and the endpoints do; an empty
  // value deletes the key.
  void PutKeyed(const std::string& aTopic,
                const std::string& aKey,
                const std::string& aValue)
  {
    this->Append(this->partitions[aTopic + "/0"],
                 std::string(1, static_cast<char>(aKey.size())) + aKey +
                   aValue);
  }

  // Makes all offsets of a topic's first partition before its end unreadable
  // (410), as after compaction; the newest record by key stays available.
  void Compact(const std::string& aTopic)
  {
    Partition& partition = this->partitions[aTopic + "/0"];
    partition.first = static_cast<int64_t>(partition.records.size());
    this->CompletePolls(partition);
  }

  size_t Records(const std::string& aTopicPrefix) const
  {
    size_t count = 0;
    for (const auto& entry : this->partitions) {
      if (entry.first.rfind(aTopicPrefix, 0) == 0) {
        count += entry.second.records.size();
      }
    }
    return count;
  }

private:
  using Reply = std::shared_ptr<EventReply>;
  struct Poll
  {
    int64_t from = 0;
    Reply reply;
    std::shared_ptr<restinio::asio_ns::steady_timer> timer;
  };
  struct Partition
  {
    std::vector<std::string> records;
    // When each record was written.
    std::vector<TimePoint> writtenAt;
    // Oldest readable offset.
    int64_t first = 0;
    std::list<Poll> polls;
  };

  static std::string BigEndian(uint64_t aValue, int aBytes)
  {
    std::string bytes;
    for (int i = aBytes - 1; i >= 0; --i) {
      bytes.push_back(static_cast<char>(aValue >> (8 * i)));
    }
    return bytes;
  }

  static int64_t IntegerParameter(const std::string& aQuery, const char* aName)
  {
    const auto text = QueryValue(aQuery, aName);
    return text ? std::stoll(*text) : 0;
  }

  static void SendJson(const Reply& aReply,
                       int aStatus,
                       const nlohmann::json& aJson)
  {
    aReply->Send(
      aStatus, { { "Content-Type", "application/json" } }, aJson.dump());
  }

  void Handle(const EventRequest& aRequest, const Reply& aReply)
  {
    const size_t mark = aRequest.target.find('?');
    const std::string path = aRequest.target.substr(0, mark);
    const std::string query =
      mark == std::string::npos ? "" : aRequest.target.substr(mark + 1);
    Partition& partition =
      this->partitions[QueryValue(query, "topic").value_or("") + "/" +
                       QueryValue(query, "part").value_or("0")];
    this->Expire(partition);
    if (this->ApplyFault(path, aRequest, aReply, partition)) {
      return;
    }
    if (path == "/log-append") {
      const auto offset = static_cast<int64_t>(partition.records.size());
      this->AppendAll(partition, aRequest.body);
      SendJson(aReply,
               200,
               { { "offset", offset }, { "end", partition.records.size() } });
    } else if (path == "/log-read") {
      this->Read(partition, query, aReply);
    } else if (path == "/log-newest") {
      SendJson(aReply,
               200,
               Newest(partition, QueryValue(query, "after").value_or("")));
    } else {
      aReply->Send(404, {}, "");
    }
  }

  bool ApplyFault(const std::string& aPath,
                  const EventRequest& aRequest,
                  const Reply& aReply,
                  Partition& aPartition)
  {
    switch (this->fault) {
      case StoreFault::kNone:
        return false;
      case StoreFault::kUnavailable:
        aReply->Send(503, {}, "");
        return true;
      case StoreFault::kNoResponse:
        this->unansweredReplies.push_back(aReply);
        return true;
      case StoreFault::kReset:
        aReply->Break();
        return true;
      case StoreFault::kUnacknowledgedAppends:
        if (aPath != "/log-append") {
          return false;
        }
        this->AppendAll(aPartition, aRequest.body);
        this->unansweredReplies.push_back(aReply);
        return true;
    }
    return false;
  }

  void AppendAll(Partition& aPartition, const std::string& aBody)
  {
    size_t at = 0;
    while (at + 4 <= aBody.size()) {
      size_t length = 0;
      for (int i = 0; i < 4; ++i) {
        length = length << 8 | static_cast<unsigned char>(aBody[at + i]);
      }
      this->Append(aPartition, aBody.substr(at + 4, length));
      at += 4 + length;
    }
  }

  void Expire(Partition& aPartition) const
  {
    if (!this->retention) {
      return;
    }
    const TimePoint oldest = BootNow() - *this->retention;
    const auto end = static_cast<int64_t>(aPartition.records.size());
    while (aPartition.first < end &&
           aPartition.writtenAt[static_cast<size_t>(aPartition.first)] <
             oldest) {
      ++aPartition.first;
    }
  }

  void Append(Partition& aPartition, std::string aRecord)
  {
    aPartition.writtenAt.push_back(BootNow());
    aPartition.records.push_back(std::move(aRecord));
    this->CompletePolls(aPartition);
  }

  void CompletePolls(Partition& aPartition)
  {
    std::list<Poll> polls;
    polls.swap(aPartition.polls);
    for (Poll& poll : polls) {
      poll.timer->cancel();
      SendRecords(aPartition, poll.from, poll.reply);
    }
  }

  static void SendRecords(const Partition& aPartition,
                          int64_t aFrom,
                          const Reply& aReply)
  {
    if (aFrom < aPartition.first) {
      SendJson(aReply, 410, { { "first", aPartition.first } });
      return;
    }
    std::string body = BigEndian(aPartition.records.size(), 8) +
                       BigEndian(static_cast<uint64_t>(aPartition.first), 8);
    for (size_t i = static_cast<size_t>(aFrom); i < aPartition.records.size();
         ++i) {
      body +=
        BigEndian(aPartition.records[i].size(), 4) + aPartition.records[i];
    }
    aReply->Send(200, {}, body);
  }

  void Read(Partition& aPartition,
            const std::string& aQuery,
            const Reply& aReply)
  {
    const int64_t from = IntegerParameter(aQuery, "from");
    const Millis wait(IntegerParameter(aQuery, "wait-ms"));
    const bool atEnd = from >= static_cast<int64_t>(aPartition.records.size());
    if (!atEnd || wait.count() == 0 || from < aPartition.first) {
      SendRecords(aPartition, from, aReply);
      return;
    }
    auto timer =
      std::make_shared<restinio::asio_ns::steady_timer>(this->io, wait);
    aPartition.polls.push_back({ from, aReply, timer });
    timer->async_wait([&aPartition, timer, aReply](const auto& aError) {
      if (aError) {
        return;
      }
      aPartition.polls.remove_if([&aPartition, &aReply](const Poll& aPoll) {
        if (aPoll.reply != aReply) {
          return false;
        }
        SendRecords(aPartition, aPoll.from, aReply);
        return true;
      });
    });
  }

  // One page of the keys after aAfter.
  static nlohmann::json Newest(const Partition& aPartition,
                               const std::string& aAfter)
  {
    constexpr size_t kMaxItems = 500;
    std::map<std::string, std::pair<std::string, int64_t>> newest;
    int64_t offset = 0;
    for (const std::string& record : aPartition.records) {
      const size_t length = static_cast<unsigned char>(record[0]);
      const std::string key = record.substr(1, length);
      const std::string value = record.substr(1 + length);
      if (value.empty()) {
        newest.erase(key);
      } else {
        newest[key] = { value, offset };
      }
      ++offset;
    }
    nlohmann::json items = nlohmann::json::array();
    bool more = false;
    for (auto entry = newest.upper_bound(aAfter); entry != newest.end();
         ++entry) {
      if (items.size() >= kMaxItems) {
        more = true;
        break;
      }
      items.push_back({ { "key", entry->first },
                        { "value", absl::Base64Escape(entry->second.first) },
                        { "offset", entry->second.second } });
    }
    return { { "items", items },
             { "more", more },
             { "end", aPartition.records.size() } };
  }

  restinio::asio_ns::io_context& io;
  uint16_t port;
  StoreFault fault = StoreFault::kNone;
  std::optional<Millis> retention;
  std::map<std::string, Partition> partitions;
  std::vector<Reply> unansweredReplies;
  std::unique_ptr<EventServer> server;
};

} // namespace tanagerseam::testing_support

#endif // TANAGERSEAM_TESTS_SUPPORT_STORE_STANDIN_H_
