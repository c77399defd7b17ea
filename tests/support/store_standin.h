// A small stand-in for the users' store, on the test's loop: topics with
// partitions, newest records of keys, long polls, and faults on demand.
#ifndef TANAGERSEAM_TESTS_SUPPORT_STORE_STANDIN_H_
#define TANAGERSEAM_TESTS_SUPPORT_STORE_STANDIN_H_

#include <absl/strings/escaping.h>

#include <list>
#include <map>
#include <memory>
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
  kBusy,
  // Takes requests and answers none.
  kSilent,
  // Closes the connection.
  kReset,
  // Appends take effect and are not answered.
  kLosesAppends,
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

  // What the operator and the endpoints write; an empty value drops the key.
  void PutKeyed(const std::string& aTopic,
                const std::string& aKey,
                const std::string& aValue)
  {
    this->Append(this->partitions[aTopic + "/0"],
                 std::string(1, static_cast<char>(aKey.size())) + aKey +
                   aValue);
  }

  // Drops all records of a topic's first partition but the newest of each key.
  void Compact(const std::string& aTopic)
  {
    Partition& partition = this->partitions[aTopic + "/0"];
    partition.first = static_cast<int64_t>(partition.records.size());
    this->WakeAll(partition);
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
    // Oldest offset that can be read.
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

  static int64_t Number(const std::string& aQuery, const char* aName)
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
    if (this->Misbehave(path, aRequest, aReply, partition)) {
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
      SendJson(aReply, 200, Newest(partition));
    } else {
      aReply->Send(404, {}, "");
    }
  }

  bool Misbehave(const std::string& aPath,
                 const EventRequest& aRequest,
                 const Reply& aReply,
                 Partition& aPartition)
  {
    switch (this->fault) {
      case StoreFault::kNone:
        return false;
      case StoreFault::kBusy:
        aReply->Send(503, {}, "");
        return true;
      case StoreFault::kSilent:
        this->held.push_back(aReply);
        return true;
      case StoreFault::kReset:
        aReply->Break();
        return true;
      case StoreFault::kLosesAppends:
        if (aPath != "/log-append") {
          return false;
        }
        this->AppendAll(aPartition, aRequest.body);
        this->held.push_back(aReply);
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

  void Append(Partition& aPartition, std::string aRecord)
  {
    aPartition.records.push_back(std::move(aRecord));
    this->WakeAll(aPartition);
  }

  void WakeAll(Partition& aPartition)
  {
    std::list<Poll> polls;
    polls.swap(aPartition.polls);
    for (Poll& poll : polls) {
      poll.timer->cancel();
      Answer(aPartition, poll.from, poll.reply);
    }
  }

  static void Answer(const Partition& aPartition,
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
    const int64_t from = Number(aQuery, "from");
    const Millis wait(Number(aQuery, "wait-ms"));
    const bool nothing =
      from >= static_cast<int64_t>(aPartition.records.size());
    if (!nothing || wait.count() == 0 || from < aPartition.first) {
      Answer(aPartition, from, aReply);
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
        Answer(aPartition, aPoll.from, aReply);
        return true;
      });
    });
  }

  static nlohmann::json Newest(const Partition& aPartition)
  {
    std::map<std::string, std::string> newest;
    for (const std::string& record : aPartition.records) {
      const size_t length = static_cast<unsigned char>(record[0]);
      const std::string key = record.substr(1, length);
      const std::string value = record.substr(1 + length);
      if (value.empty()) {
        newest.erase(key);
      } else {
        newest[key] = value;
      }
    }
    nlohmann::json items = nlohmann::json::array();
    for (const auto& entry : newest) {
      items.push_back({ { "key", entry.first },
                        { "value", absl::Base64Escape(entry.second) },
                        { "offset", 0 } });
    }
    return { { "items", items },
             { "more", false },
             { "end", aPartition.records.size() } };
  }

  restinio::asio_ns::io_context& io;
  uint16_t port;
  StoreFault fault = StoreFault::kNone;
  std::map<std::string, Partition> partitions;
  std::vector<Reply> held;
  std::unique_ptr<EventServer> server;
};

} // namespace tanagerseam::testing_support

#endif // TANAGERSEAM_TESTS_SUPPORT_STORE_STANDIN_H_
