#include "review/support-3/store.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>

#include <nlohmann/json.hpp>

namespace review {

namespace {

// How long an answer takes, as on the sheets.
constexpr Millis kAnswerTime(4);
constexpr Millis kMaxWait(30000);
constexpr size_t kMaxPageBytes = 1u << 20;
constexpr size_t kMaxRecordBytes = 262144;
constexpr size_t kLengthBytes = 4;

std::string
BigEndian(uint64_t aValue, int aBytes)
{
  std::string bytes;
  for (int i = aBytes - 1; i >= 0; --i) {
    bytes.push_back(static_cast<char>(aValue >> (8 * i)));
  }
  return bytes;
}

size_t
LengthAt(const std::string& aBytes, size_t aAt)
{
  size_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    length = length << 8 | static_cast<unsigned char>(aBytes[aAt + i]);
  }
  return length;
}

std::string
Base64(const std::string& aText)
{
  static const char* const kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t at = 0; at < aText.size(); at += 3) {
    uint32_t bits = 0;
    const size_t count = std::min<size_t>(3, aText.size() - at);
    for (size_t i = 0; i < 3; ++i) {
      bits = bits << 8 |
             (i < count ? static_cast<unsigned char>(aText[at + i]) : 0u);
    }
    for (size_t i = 0; i < 4; ++i) {
      out.push_back(i <= count ? kDigits[bits >> (18 - 6 * i) & 63] : '=');
    }
  }
  return out;
}

std::string
Response(int aStatus, const std::string& aType, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " Answer\r\nContent-Type: " + aType +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

std::string
JsonResponse(int aStatus, const nlohmann::json& aBody)
{
  return Response(aStatus, "application/json", aBody.dump());
}

bool
IsKeyed(const std::string& aTopic)
{
  return aTopic.rfind("keyed.", 0) == 0;
}

} // namespace

Store::Store(Millis aRetention)
  : retention(aRetention)
  , acceptor([this] { this->Run(); })
{
}

Store::~Store()
{
  this->stopping = true;
  this->changed.notify_all();
  this->acceptor.join();
  for (std::thread& connection : this->connections) {
    connection.join();
  }
}

void
Store::Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->Add(this->partitions[aTopic + "/0"],
            aTopic,
            std::string(1, static_cast<char>(aKey.size())) + aKey + aValue);
  this->changed.notify_all();
}

void
Store::Run()
{
  while (!this->stopping) {
    Socket socket = this->listener.Accept(Millis(100));
    if (socket.Valid()) {
      this->connections.emplace_back(
        [this, accepted = std::move(socket)]() mutable {
          this->Serve(std::move(accepted));
        });
    }
  }
}

void
Store::Serve(Socket aSocket)
{
  std::string buffer;
  while (!this->stopping) {
    HttpMessage request;
    if (buffer.empty() && !aSocket.Receive(buffer, Millis(100))) {
      char byte = 0;
      const bool silent =
        ::recv(aSocket.Handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
        (errno == EAGAIN || errno == EWOULDBLOCK);
      if (silent) {
        continue;
      }
      return;
    }
    if (!ReadMessage(aSocket, buffer, request, Millis(5000))) {
      return;
    }
    std::this_thread::sleep_for(kAnswerTime);
    if (!aSocket.Send(this->Answer(request))) {
      return;
    }
  }
}

std::string
Store::Answer(const HttpMessage& aRequest)
{
  const std::string target = aRequest.Target();
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/log-append") {
    return this->Append(aRequest);
  }
  if (path == "/log-read") {
    return this->Read(aRequest);
  }
  if (path == "/log-newest") {
    return this->Newest(aRequest);
  }
  return Response(404, "text/plain", "");
}

Store::Partition&
Store::Find(const std::string& aTarget)
{
  const std::string part = QueryValue(aTarget, "part");
  Partition& partition = this->partitions[QueryValue(aTarget, "topic") + "/" +
                                          (part.empty() ? "0" : part)];
  const TimePoint oldest = Now() - this->retention;
  while (!partition.records.empty() &&
         partition.records.front().writtenAt < oldest) {
    partition.records.pop_front();
    ++partition.first;
  }
  return partition;
}

void
Store::Add(Partition& aPartition,
           const std::string& aTopic,
           const std::string& aRecord)
{
  if (IsKeyed(aTopic) && !aRecord.empty()) {
    const size_t length = static_cast<unsigned char>(aRecord[0]);
    const std::string key = aRecord.substr(1, length);
    const std::string value = aRecord.substr(1 + length);
    if (value.empty()) {
      aPartition.newest.erase(key);
    } else {
      aPartition.newest[key] = { value, aPartition.End() };
    }
  }
  aPartition.records.push_back({ aRecord, Now() });
}

std::string
Store::Append(const HttpMessage& aRequest)
{
  const std::string topic = QueryValue(aRequest.Target(), "topic");
  if (topic == "keyed.op" || topic == "keyed.servers") {
    return JsonResponse(403, { { "why", "operator" } });
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  Partition& partition = this->Find(aRequest.Target());
  const int64_t offset = partition.End();
  const std::string& body = aRequest.body;
  std::vector<std::string> records;
  size_t at = 0;
  while (at + kLengthBytes <= body.size()) {
    const size_t length = LengthAt(body, at);
    if (length > kMaxRecordBytes) {
      return JsonResponse(400, { { "why", "size" } });
    }
    records.push_back(body.substr(at + kLengthBytes, length));
    at += kLengthBytes + length;
  }
  for (const std::string& record : records) {
    this->Add(partition, topic, record);
  }
  this->changed.notify_all();
  return JsonResponse(200,
                      { { "offset", offset }, { "end", partition.End() } });
}

std::string
Store::Read(const HttpMessage& aRequest)
{
  const std::string target = aRequest.Target();
  const int64_t from = std::atoll(QueryValue(target, "from").c_str());
  const Millis wait = std::min(
    kMaxWait, Millis(std::atoll(QueryValue(target, "wait-ms").c_str())));
  std::unique_lock<std::mutex> lock(this->mutex);
  this->changed.wait_until(lock, Now() + wait, [&] {
    return this->stopping || this->Find(target).End() > from;
  });
  const Partition& partition = this->Find(target);
  if (from < partition.first) {
    return JsonResponse(410, { { "first", partition.first } });
  }
  std::string page = BigEndian(static_cast<uint64_t>(partition.End()), 8) +
                     BigEndian(static_cast<uint64_t>(partition.first), 8);
  for (int64_t at = from; at < partition.End(); ++at) {
    const std::string& bytes =
      partition.records[static_cast<size_t>(at - partition.first)].bytes;
    if (at > from && page.size() + bytes.size() > kMaxPageBytes) {
      break;
    }
    page += BigEndian(bytes.size(), kLengthBytes) + bytes;
  }
  return Response(200, "application/octet-stream", page);
}

std::string
Store::Newest(const HttpMessage& aRequest)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  const Partition& partition = this->Find(aRequest.Target());
  nlohmann::json items = nlohmann::json::array();
  for (const auto& entry : partition.newest) {
    items.push_back({ { "key", entry.first },
                      { "value", Base64(entry.second.first) },
                      { "offset", entry.second.second } });
  }
  return JsonResponse(
    200, { { "items", items }, { "more", false }, { "end", partition.End() } });
}

} // namespace review
