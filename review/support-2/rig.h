// Stand-ins and helpers of the cases of the second review: the platform's
// store, an HTTP server for scripted servers, a client, and daemons as separate
// processes. Everything speaks blocking sockets on loopback, one thread a
// connection.
//
//   rig::Case run("run-log");               // folder for settings and logs
//   rig::Store store;
//   rig::Server server([](rig::Channel& aChannel, const rig::Request& aAsked) {
//     return aChannel.Write(rig::Answer(aAsked, 200, "done"));
//   });
//   rig::Daemon daemon(run, "edge-a-1", store.Address());
//   daemon.Start();
#ifndef TANAGERSEAM_REVIEW_SUPPORT_2_RIG_H_
#define TANAGERSEAM_REVIEW_SUPPORT_2_RIG_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline int64_t
SteadyMillis()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

inline int64_t
WallMillis()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
Sleep(int64_t aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

// Lines of record.txt, with the milliseconds since the start of the case.
class Record
{
public:
  static Record& Get()
  {
    static Record record;
    return record;
  }
  void Open(const std::string& aPath)
  {
    this->file = std::fopen(aPath.c_str(), "w");
    this->startedAt = SteadyMillis();
  }
  int64_t Now() const { return SteadyMillis() - this->startedAt; }
  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    char text[2000];
    va_list arguments;
    va_start(arguments, aFormat);
    vsnprintf(text, sizeof text, aFormat, arguments);
    va_end(arguments);
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::fprintf(stdout, "%7lld %s\n", static_cast<long long>(Now()), text);
    std::fflush(stdout);
    if (this->file != nullptr) {
      std::fprintf(
        this->file, "%7lld %s\n", static_cast<long long>(Now()), text);
      std::fflush(this->file);
    }
  }

private:
  std::mutex mutex;
  FILE* file = nullptr;
  int64_t startedAt = 0;
};

#define RIG_RECORD(...) ::rig::Record::Get().Line(__VA_ARGS__)

using Headers = std::vector<std::pair<std::string, std::string>>;

inline bool
SameName(const std::string& aLeft, const std::string& aRight)
{
  return aLeft.size() == aRight.size() &&
         strcasecmp(aLeft.c_str(), aRight.c_str()) == 0;
}

inline std::string
Find(const Headers& aHeaders, const std::string& aName)
{
  for (const auto& header : aHeaders) {
    if (SameName(header.first, aName)) {
      return header.second;
    }
  }
  return "";
}

struct Request
{
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  std::string Header(const std::string& aName) const
  {
    return Find(this->headers, aName);
  }
  std::string Id() const { return this->Header("X-Request-Id"); }
};

// A socket with what was read from it and not used yet.
class Channel
{
public:
  explicit Channel(int aSocket)
    : socket(aSocket)
  {
  }
  ~Channel() { this->Close(); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  int Handle() const { return this->socket; }
  bool Write(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      const ssize_t sent =
        ::send(this->socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      aBytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
  }
  // More bytes into `input`; false at the end, after a reset or in no time.
  bool Fill(int64_t aUntil)
  {
    pollfd wait{ this->socket, POLLIN, 0 };
    const int64_t left = aUntil - SteadyMillis();
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char bytes[65536];
    const ssize_t got = ::recv(this->socket, bytes, sizeof bytes, 0);
    if (got <= 0) {
      this->ended = true;
      this->wasReset = got < 0;
      return false;
    }
    this->input.append(bytes, static_cast<size_t>(got));
    return true;
  }
  // True if the other side has closed the channel.
  bool PeerGone() const
  {
    char byte = 0;
    const ssize_t got = ::recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
  }
  void Close()
  {
    if (this->socket >= 0) {
      ::close(this->socket);
      this->socket = -1;
    }
  }
  void Reset()
  {
    const linger hard{ 1, 0 };
    ::setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    this->Close();
  }

  std::string input;
  bool ended = false;
  bool wasReset = false;

private:
  int socket;
};

// Splits a head into its first line and its headers.
inline std::string
ParseHead(const std::string& aHead, Headers& aHeaders)
{
  size_t at = aHead.find("\r\n");
  const std::string first = aHead.substr(0, at);
  while (at != std::string::npos && at + 2 < aHead.size()) {
    const size_t begin = at + 2;
    at = aHead.find("\r\n", begin);
    const std::string line = aHead.substr(begin, at - begin);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      aHeaders.emplace_back(line.substr(0, colon), line.substr(value));
    }
  }
  return first;
}

// Reads one request with a length or none. False at the end of the channel.
inline bool
ReadRequest(Channel& aChannel, Request& aRequest)
{
  const int64_t until = SteadyMillis() + 300000;
  size_t end = 0;
  while ((end = aChannel.input.find("\r\n\r\n")) == std::string::npos) {
    if (!aChannel.Fill(until)) {
      return false;
    }
  }
  const std::string head = aChannel.input.substr(0, end);
  aChannel.input.erase(0, end + 4);
  const std::string line = ParseHead(head, aRequest.headers);
  const size_t blank = line.find(' ');
  aRequest.method = line.substr(0, blank);
  aRequest.target = line.substr(blank + 1, line.rfind(' ') - blank - 1);
  const size_t length =
    std::strtoul(aRequest.Header("Content-Length").c_str(), nullptr, 10);
  while (aChannel.input.size() < length) {
    if (!aChannel.Fill(until)) {
      return false;
    }
  }
  aRequest.body = aChannel.input.substr(0, length);
  aChannel.input.erase(0, length);
  return true;
}

// Accepts channels on a port of 127.0.0.1; one thread for each. The handler
// returns false to close the channel.
class Server
{
public:
  using Handler = std::function<bool(Channel&, const Request&)>;

  // aPort 0: any free port.
  explicit Server(Handler aHandler, int aPort = 0)
    : handler(std::move(aHandler))
  {
    this->Listen(aPort);
  }
  ~Server() { this->Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  int Port() const { return this->port; }
  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(this->port);
  }
  // Ends all channels, as the end of the server's process does, and accepts no
  // more.
  void Stop()
  {
    this->stopping = true;
    if (this->listener >= 0) {
      ::shutdown(this->listener, SHUT_RDWR);
      ::close(this->listener);
      this->listener = -1;
    }
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      for (const int open : this->open) {
        ::shutdown(open, SHUT_RDWR);
      }
    }
    while (this->running > 0) {
      Sleep(1);
    }
  }

private:
  void Listen(int aPort)
  {
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(aPort));
    if (::bind(this->listener,
               reinterpret_cast<sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(this->listener, 512) != 0) {
      RIG_RECORD("no port for a stand-in: %s", std::strerror(errno));
      std::exit(kCouldNotRun);
    }
    socklen_t size = sizeof address;
    ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
    this->port = ntohs(address.sin_port);
    ++this->running;
    std::thread([this, from = this->listener] { this->Accept(from); }).detach();
  }
  void Accept(int aListener)
  {
    while (!this->stopping) {
      const int got = ::accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (got < 0) {
        break;
      }
      const int on = 1;
      ::setsockopt(got, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->open.insert(got);
      }
      ++this->running;
      std::thread([this, got] { this->Serve(got); }).detach();
    }
    --this->running;
  }
  void Serve(int aSocket)
  {
    {
      Channel channel(aSocket);
      bool keep = true;
      while (keep && !this->stopping) {
        Request request;
        keep = ReadRequest(channel, request) && this->handler(channel, request);
      }
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->open.erase(aSocket);
      channel.Close();
    }
    --this->running;
  }

  Handler handler;
  int listener = -1;
  int port = 0;
  std::atomic<bool> stopping{ false };
  std::atomic<int> running{ 0 };
  std::mutex mutex;
  std::set<int> open;
};

// The value of a parameter in the query of aTarget, with %XX decoded.
inline std::string
Parameter(const std::string& aTarget, const std::string& aName)
{
  size_t at = aTarget.find('?');
  while (at != std::string::npos) {
    const size_t begin = at + 1;
    at = aTarget.find('&', begin);
    const std::string part = aTarget.substr(begin, at - begin);
    if (part.compare(0, aName.size() + 1, aName + "=") != 0) {
      continue;
    }
    std::string value;
    for (size_t i = aName.size() + 1; i < part.size(); ++i) {
      if (part[i] == '%' && i + 2 < part.size()) {
        value += static_cast<char>(
          std::strtoul(part.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        value += part[i];
      }
    }
    return value;
  }
  return "";
}

inline std::string
Base64(const std::string& aBytes)
{
  static const char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < aBytes.size(); i += 3) {
    const size_t count = std::min<size_t>(3, aBytes.size() - i);
    unsigned bits = 0;
    for (size_t k = 0; k < 3; ++k) {
      bits = bits << 8 |
             (k < count ? static_cast<unsigned char>(aBytes[i + k]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      text += k <= count ? kDigits[bits >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return text;
}

// A key as JSON text; the keys of these cases need no escapes.
inline std::string
Quoted(const std::string& aText)
{
  return "\"" + aText + "\"";
}

// The platform's store: a log with topics and partitions, keyed topics, and
// long polls. Records expire after the retention; the newest of a key stays.
class Store
{
public:
  explicit Store(int64_t aRetentionSeconds = 300)
    : retentionMillis(aRetentionSeconds * 1000)
    , server([this](Channel& aChannel, const Request& aRequest) {
      return this->Handle(aChannel, aRequest);
    })
  {
  }
  std::string Address() const { return this->server.Address(); }
  int64_t RetentionMillis() const { return this->retentionMillis; }

  // As the operator and the servers write; an empty value drops the key.
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->AppendOne(aTopic + "/0",
                    std::string(1, static_cast<char>(aKey.size())) + aKey +
                      aValue);
    this->changed.notify_all();
  }

private:
  struct Entry
  {
    std::string bytes;
    int64_t writtenAt = 0;
  };
  struct Partition
  {
    std::vector<Entry> records;
    size_t first = 0;
  };

  void AppendOne(const std::string& aPartition, std::string aBytes)
  {
    this->partitions[aPartition].records.push_back(
      { std::move(aBytes), SteadyMillis() });
  }
  void Expire(Partition& aPartition) const
  {
    const int64_t oldest = SteadyMillis() - this->retentionMillis;
    while (aPartition.first < aPartition.records.size() &&
           aPartition.records[aPartition.first].writtenAt < oldest) {
      ++aPartition.first;
    }
  }
  static std::string BigEndian(uint64_t aValue, int aBytes)
  {
    std::string bytes;
    for (int i = aBytes - 1; i >= 0; --i) {
      bytes += static_cast<char>(aValue >> (8 * i));
    }
    return bytes;
  }
  static bool Send(Channel& aChannel,
                   int aStatus,
                   const std::string& aBody,
                   const char* aType = "application/json")
  {
    return aChannel.Write(
      "HTTP/1.1 " + std::to_string(aStatus) + " X\r\nContent-Type: " + aType +
      "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
      aBody);
  }
  bool Handle(Channel& aChannel, const Request& aRequest)
  {
    const std::string& target = aRequest.target;
    const std::string path = target.substr(0, target.find('?'));
    const std::string key =
      Parameter(target, "topic") + "/" + Parameter(target, "part");
    // 4 ms an answer, as the sheets say.
    Sleep(4);
    std::unique_lock<std::mutex> lock(this->mutex);
    if (path == "/log-append") {
      const size_t offset = this->partitions[key].records.size();
      const std::string& body = aRequest.body;
      for (size_t at = 0; at + 4 <= body.size();) {
        size_t length = 0;
        for (size_t i = 0; i < 4; ++i) {
          length = length << 8 | static_cast<unsigned char>(body[at + i]);
        }
        this->AppendOne(key, body.substr(at + 4, length));
        at += 4 + length;
      }
      const size_t end = this->partitions[key].records.size();
      this->changed.notify_all();
      lock.unlock();
      return Send(aChannel,
                  200,
                  "{\"offset\":" + std::to_string(offset) +
                    ",\"end\":" + std::to_string(end) + "}");
    }
    if (path == "/log-read") {
      return this->Read(aChannel, target, key, lock);
    }
    if (path == "/log-newest") {
      const std::string body = this->Newest(this->partitions[key]);
      lock.unlock();
      return Send(aChannel, 200, body);
    }
    lock.unlock();
    return Send(aChannel, 404, "{}");
  }
  bool Read(Channel& aChannel,
            const std::string& aTarget,
            const std::string& aKey,
            std::unique_lock<std::mutex>& aLock)
  {
    const size_t from = std::stoul("0" + Parameter(aTarget, "from"));
    const int64_t wait =
      std::strtol(Parameter(aTarget, "wait-ms").c_str(), nullptr, 10);
    Partition& partition = this->partitions[aKey];
    this->changed.wait_for(aLock, std::chrono::milliseconds(wait), [&] {
      return from < partition.records.size();
    });
    this->Expire(partition);
    if (from < partition.first) {
      const std::string body =
        "{\"first\":" + std::to_string(partition.first) + "}";
      aLock.unlock();
      return Send(aChannel, 410, body);
    }
    std::string body =
      BigEndian(partition.records.size(), 8) + BigEndian(partition.first, 8);
    constexpr size_t kMaxBytes = 1024U << 10;
    for (size_t i = from;
         i < partition.records.size() && body.size() < kMaxBytes;
         ++i) {
      const std::string& bytes = partition.records[i].bytes;
      body += BigEndian(bytes.size(), 4) + bytes;
    }
    aLock.unlock();
    return Send(aChannel, 200, body, "application/octet-stream");
  }
  static std::string Newest(const Partition& aPartition)
  {
    std::map<std::string, std::pair<std::string, size_t>> newest;
    for (size_t i = 0; i < aPartition.records.size(); ++i) {
      const std::string& bytes = aPartition.records[i].bytes;
      const size_t length = static_cast<unsigned char>(bytes[0]);
      const std::string key = bytes.substr(1, length);
      if (bytes.size() == 1 + length) {
        newest.erase(key);
      } else {
        newest[key] = { bytes.substr(1 + length), i };
      }
    }
    std::string items;
    for (const auto& entry : newest) {
      items += items.empty() ? "" : ",";
      items += "{\"key\":" + Quoted(entry.first) +
               ",\"value\":" + Quoted(Base64(entry.second.first)) +
               ",\"offset\":" + std::to_string(entry.second.second) + "}";
    }
    return "{\"items\":[" + items + "],\"more\":false,\"end\":" +
           std::to_string(aPartition.records.size()) + "}";
  }

  int64_t retentionMillis;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Partition> partitions;
  Server server;
};

// ---- what servers say

inline std::string
Head(const Request& aRequest, int aStatus, const std::string& aMore)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " X\r\nX-Request-Id: " + aRequest.Id() +
         "\r\nX-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" + aMore + "\r\n";
}

inline std::string
Answer(const Request& aRequest,
       int aStatus,
       const std::string& aBody,
       const std::string& aMore = "")
{
  return Head(aRequest,
              aStatus,
              aMore + "Content-Length: " + std::to_string(aBody.size()) +
                "\r\n") +
         aBody;
}

inline std::string
Chunk(const std::string& aText)
{
  char size[20];
  snprintf(size, sizeof size, "%zx\r\n", aText.size());
  return size + aText + "\r\n";
}

inline std::string
Event(int aId, const std::string& aData)
{
  return Chunk("id: " + std::to_string(aId) + "\ndata: " + aData + "\n\n");
}

inline std::string
StreamHead(const Request& aRequest)
{
  return Head(aRequest,
              200,
              "Content-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n");
}

// ---- requesters

struct Response
{
  // 0: no head came.
  int status = 0;
  Headers headers;
  std::string body;
  // The answer came whole.
  bool complete = false;
  std::string Header(const std::string& aName) const
  {
    return Find(this->headers, aName);
  }
};

inline std::unique_ptr<Channel>
Connect(int aPort, int64_t aLimit = 1000)
{
  const int made =
    ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  int failed =
    ::connect(made, reinterpret_cast<sockaddr*>(&address), sizeof address);
  if (failed != 0 && errno == EINPROGRESS) {
    pollfd wait{ made, POLLOUT, 0 };
    socklen_t size = sizeof failed;
    if (::poll(&wait, 1, static_cast<int>(aLimit)) != 1 ||
        ::getsockopt(made, SOL_SOCKET, SO_ERROR, &failed, &size) != 0) {
      failed = -1;
    }
  }
  if (failed != 0) {
    ::close(made);
    return nullptr;
  }
  ::fcntl(made, F_SETFL, ::fcntl(made, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return std::make_unique<Channel>(made);
}

inline std::string
RequestText(const std::string& aMethod,
            const std::string& aTarget,
            const Headers& aHeaders,
            const std::string& aBody)
{
  std::string text =
    aMethod + " " + aTarget + " HTTP/1.1\r\nHost: reports.example\r\n";
  for (const auto& header : aHeaders) {
    text += header.first + ": " + header.second + "\r\n";
  }
  if (aMethod != "GET" || !aBody.empty()) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

// Reads a chunked body; true if its end came.
inline bool
ReadChunks(Channel& aChannel, std::string& aBody, int64_t aUntil)
{
  while (true) {
    size_t line = 0;
    while ((line = aChannel.input.find("\r\n")) == std::string::npos) {
      if (!aChannel.Fill(aUntil)) {
        return false;
      }
    }
    const size_t size = std::strtoul(aChannel.input.c_str(), nullptr, 16);
    while (aChannel.input.size() < line + 2 + size + 2) {
      if (!aChannel.Fill(aUntil)) {
        return false;
      }
    }
    aBody += aChannel.input.substr(line + 2, size);
    aChannel.input.erase(0, line + 2 + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

inline Response
ReadResponse(Channel& aChannel, int64_t aLimit)
{
  const int64_t until = SteadyMillis() + aLimit;
  Response response;
  size_t end = 0;
  while ((end = aChannel.input.find("\r\n\r\n")) == std::string::npos) {
    if (!aChannel.Fill(until)) {
      return response;
    }
  }
  const std::string head = aChannel.input.substr(0, end);
  aChannel.input.erase(0, end + 4);
  const std::string line = ParseHead(head, response.headers);
  response.status = line.size() < 12 ? 0 : std::atoi(line.c_str() + 9);
  if (SameName(response.Header("Transfer-Encoding"), "chunked")) {
    response.complete = ReadChunks(aChannel, response.body, until);
    return response;
  }
  const size_t length =
    std::strtoul(response.Header("Content-Length").c_str(), nullptr, 10);
  while (aChannel.input.size() < length) {
    if (!aChannel.Fill(until)) {
      response.body = aChannel.input;
      return response;
    }
  }
  response.body = aChannel.input.substr(0, length);
  aChannel.input.erase(0, length);
  response.complete = true;
  return response;
}

// One request on a new channel.
inline Response
Ask(int aPort,
    const std::string& aMethod,
    const std::string& aTarget,
    const Headers& aHeaders,
    const std::string& aBody = "",
    int64_t aLimit = 10000)
{
  const auto channel = Connect(aPort);
  if (!channel ||
      !channel->Write(RequestText(aMethod, aTarget, aHeaders, aBody))) {
    return {};
  }
  return ReadResponse(*channel, aLimit);
}

// ---- the system

// A port that nobody uses and that is given to no other daemon, below those
// that the system gives to channels.
inline int
FreePort()
{
  static std::set<int> given;
  static unsigned next = static_cast<unsigned>(::getpid()) * 37U;
  while (true) {
    const int port = 12000 + static_cast<int>(next++ % 20000U);
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    const bool isFree =
      ::bind(made, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(made);
    if (isFree && given.insert(port).second) {
      return port;
    }
  }
}

// The folder of a run, and whether the disruption happens in it.
class Case
{
public:
  explicit Case(const std::string& aFolderOfCase)
  {
    ::signal(SIGPIPE, SIG_IGN);
    Record::Get().Open(aFolderOfCase + "/record.txt");
    const char* trouble = std::getenv("TROUBLE");
    this->disrupted = trouble == nullptr || std::string(trouble) != "0";
    char name[] = "/tmp/review-2-XXXXXX";
    if (::mkdtemp(name) == nullptr) {
      std::exit(kCouldNotRun);
    }
    this->folder = name;
    RIG_RECORD("disruption: %s", this->disrupted ? "yes" : "no");
  }
  ~Case()
  {
    if (std::getenv("KEEP") != nullptr) {
      return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }
  Case(const Case&) = delete;
  Case& operator=(const Case&) = delete;

  std::string folder;
  bool disrupted = true;
};

// A daemon, with the settings that the deploy file's template gives on a small
// deployment. Killed at the end if it still runs.
class Daemon
{
public:
  Daemon(const Case& aCase,
         std::string aName,
         const Store& aStore,
         std::string aZone = "zone-a")
    : name(std::move(aName))
    , zone(std::move(aZone))
    , ini(aCase.folder + "/" + this->name + ".ini")
    , log(aCase.folder + "/" + this->name + ".log")
    , storeAddress(aStore.Address())
    , retentionSeconds(aStore.RetentionMillis() / 1000)
    , front(FreePort())
    , ready(FreePort())
    , metrics(FreePort())
    , exchange(FreePort())
  {
  }
  ~Daemon() { this->Signal(SIGKILL); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void Start()
  {
    this->WriteSettings();
    this->startedBefore = true;
    this->pid = ::fork();
    if (this->pid == 0) {
      const int out = ::open(
        this->log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
      ::dup2(out, STDOUT_FILENO);
      ::dup2(out, STDERR_FILENO);
      const std::string config = "--config=" + this->ini;
      ::execl("target/tanagerseamd",
              "target/tanagerseamd",
              config.c_str(),
              static_cast<char*>(nullptr));
      ::_exit(127);
    }
    RIG_RECORD("start %s: process %d, front %d",
               this->name.c_str(),
               this->pid,
               this->front);
  }
  // Sends a signal to the process; SIGKILL and SIGTERM also wait for its end.
  void Signal(int aSignal)
  {
    if (this->pid <= 0) {
      return;
    }
    ::kill(this->pid, aSignal);
    if (aSignal == SIGKILL || aSignal == SIGTERM) {
      int status = 0;
      ::waitpid(this->pid, &status, 0);
      this->pid = -1;
    }
  }
  // True if the process has ended by itself.
  bool Ended()
  {
    int status = 0;
    if (this->pid > 0 && ::waitpid(this->pid, &status, WNOHANG) == this->pid) {
      RIG_RECORD("%s ended by itself, status %d", this->name.c_str(), status);
      this->pid = -1;
      return true;
    }
    return false;
  }
  bool Ready() const
  {
    return Ask(this->ready, "GET", "/ready", {}, "", 500).status == 200;
  }
  int Pid() const { return this->pid; }

  const std::string name;
  const std::string zone;
  const std::string ini;
  const std::string log;

private:
  void WriteSettings() const
  {
    const std::string ip = "127.0.0.1:";
    std::ofstream file(this->ini);
    file << "[gateway]\nhost = " << this->name << "\nzone = " << this->zone
         << "\ncall_address = " << ip << this->front
         << "\nready_address = " << ip << this->ready
         << "\nmetrics_address = " << ip << this->metrics
         << "\nexchange_address = " << ip << this->exchange
         << "\nfresh_start = " << (this->startedBefore ? "false" : "true")
         << "\nkey_freshness_ms = 5000\nquota_window_s = 5\n"
            "quota_overage = 0.1\nquota_tolerance = 20\n"
            "shutdown_limit_s = 8\n\n[zones]\nzone-a = region-a\n"
            "zone-b = region-a\nzone-c = region-a\n\n[platform]\n"
         << "store_address = " << this->storeAddress << "\nstore_parts = 12\n"
         << "store_retention_s = " << this->retentionSeconds
         << "\ncontracts = base,drain,config,cost,recover,agent,stream,engine,"
            "tenants,quota,platform\n";
  }

  std::string storeAddress;
  int64_t retentionSeconds;
  bool startedBefore = false;
  pid_t pid = -1;

public:
  const int front;
  const int ready;
  const int metrics;
  const int exchange;
};

// Waits until all daemons count as ready, and somewhat longer, so that they
// know each other. False if that takes too long.
inline bool
AwaitReady(const std::vector<std::unique_ptr<Daemon>>& aDaemons)
{
  const int64_t until = SteadyMillis() + 20000;
  for (const auto& daemon : aDaemons) {
    while (!daemon->Ready()) {
      if (SteadyMillis() > until || daemon->Ended()) {
        RIG_RECORD("%s is not ready", daemon->name.c_str());
        return false;
      }
      Sleep(50);
    }
  }
  Sleep(3500);
  return true;
}

// An entry of a server, as it writes it into the store.
inline std::string
ServerEntry(const std::string& aService,
            const std::string& aAddress,
            const std::string& aState = "ready",
            const std::string& aZone = "zone-a",
            int aSequence = 1,
            int64_t aBorn = WallMillis(),
            const std::string& aVersion = "v1")
{
  return "{\"service\":" + Quoted(aService) +
         ",\"address\":" + Quoted(aAddress) + ",\"zone\":" + Quoted(aZone) +
         ",\"version\":" + Quoted(aVersion) +
         ",\"slots\":8,\"state\":" + Quoted(aState) +
         ",\"cold-left-ms\":0,\"stage\":\"both\",\"models\":[],\"sequence\":" +
         std::to_string(aSequence) + ",\"born\":" + std::to_string(aBorn) + "}";
}

// One route of a configuration. aMore: further fields, each after a comma.
inline std::string
Route(const std::string& aName,
      const std::string& aKind,
      const std::string& aService,
      int aTimeoutMillis,
      const std::string& aMore = "")
{
  return "{\"name\":" + Quoted(aName) +
         ",\"host\":\"reports.example\",\"path-prefix\":\"/" + aName +
         "/\",\"kind\":" + Quoted(aKind) +
         ",\"timeout-ms\":" + std::to_string(aTimeoutMillis) +
         ",\"target-latency-ms\":200,\"priority\":0,\"service\":" +
         Quoted(aService) + ",\"max-attempts\":1,\"no-auth\":false" + aMore +
         "}";
}

struct Tenant
{
  std::string name;
  std::string key;
  int perSecond = 500;
  int burst = 500;
};

inline std::string
Configuration(int aVersion,
              const std::vector<std::string>& aRoutes,
              const std::vector<Tenant>& aTenants)
{
  std::string routes;
  for (const std::string& route : aRoutes) {
    routes += (routes.empty() ? "" : ",") + route;
  }
  std::string tenants;
  for (const Tenant& tenant : aTenants) {
    tenants += std::string(tenants.empty() ? "" : ",") +
               "{\"name\":" + Quoted(tenant.name) + ",\"api-keys\":[" +
               Quoted(tenant.key) +
               "],\"per-s\":" + std::to_string(tenant.perSecond) +
               ",\"burst\":" + std::to_string(tenant.burst) + "}";
  }
  return "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[" + routes +
         "],\"services\":[{\"name\":\"seam-lm\",\"health-path\":\"/health\","
         "\"max-conns\":140,\"engine\":{\"slots\":8,\"kv-capacity\":85766,"
         "\"event-tokens\":10}},{\"name\":\"seam-app\","
         "\"health-path\":\"/health\",\"max-conns\":110}],"
         "\"limits\":{\"header-bytes\":16384,\"body-bytes\":4194304,"
         "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
         "\"tenants\":[" +
         tenants + "]}";
}

} // namespace rig

#endif // TANAGERSEAM_REVIEW_SUPPORT_2_RIG_H_
