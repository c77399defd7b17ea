// Stand-in for a server: its entry in the store, and the head of its answers.
#ifndef TANAGERSEAM_REVIEW_SUPPORT_BACKEND_H_
#define TANAGERSEAM_REVIEW_SUPPORT_BACKEND_H_

#include <atomic>
#include <functional>
#include <string>

#include <nlohmann/json.hpp>

#include "review/support/record.h"
#include "review/support/store.h"

namespace review {

inline int64_t
WallMillis()
{
  return std::chrono::duration_cast<Millis>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

// One event of a stream, as a server sends it.
inline std::string
EventText(int aId, const std::string& aData)
{
  return "id: " + std::to_string(aId) + "\ndata: " + aData + "\n\n";
}

class Backend
{
public:
  // Answers a request that this server runs; false: the connection ends.
  using Work = std::function<bool(Backend&, const Request&, Socket&)>;

  Backend(Store& aStore,
          Record& aRecord,
          std::string aId,
          std::string aService,
          std::string aZone,
          Work aWork)
    : id(std::move(aId))
    , store(aStore)
    , record(aRecord)
    , service(std::move(aService))
    , zone(std::move(aZone))
    , work(std::move(aWork))
    , born(WallMillis())
    , server([this](const Request& aRequest, Socket& aSocket) {
      return this->Handle(aRequest, aSocket);
    })
  {
    this->Announce();
  }

  const std::string id;

  // Removes the entry without having announced it as draining.
  void RemoveEntry() { this->store.PutKeyed("keyed.servers", this->id, ""); }

  // Ends the process that the stand-in plays: requests under way are lost.
  void Exit()
  {
    this->exited = true;
    this->server.StopListening();
    this->server.CloseIdle();
  }
  bool HasExited() const { return this->exited; }

  // Time and lines of the case's record.
  double Seconds() const { return this->record.Seconds(); }
  void Note(const std::string& aLine) { this->record.Add(aLine); }

  Headers AnswerHeaders(const Request& aRequest) const
  {
    const std::string requestId = aRequest.Header("X-Request-Id");
    return { { "X-Request-Id", requestId },
             { "X-Server-Seal", this->id + "." + requestId },
             { "X-Server-Load", "1,0,8" } };
  }

  bool SendWhole(const Request& aRequest,
                 Socket& aSocket,
                 const std::string& aBody) const
  {
    return aSocket.Write(
      WholeAnswer("200 OK", this->AnswerHeaders(aRequest), aBody));
  }

  bool BeginStream(const Request& aRequest, Socket& aSocket) const
  {
    Headers headers = this->AnswerHeaders(aRequest);
    headers.emplace_back("Content-Type", "text/event-stream");
    headers.emplace_back("Transfer-Encoding", "chunked");
    return aSocket.Write(HeadText("200 OK", headers));
  }

private:
  // An entry is written again only when more than its number changes, which it
  // doesn't here.
  void Announce()
  {
    const nlohmann::json entry = { { "service", this->service },
                                   { "address",
                                     AddressText(this->server.Port()) },
                                   { "zone", this->zone },
                                   { "version", "v1" },
                                   { "slots", 8 },
                                   { "state", "ready" },
                                   { "cold-left-ms", 0 },
                                   { "sequence", 1 },
                                   { "born", this->born } };
    this->store.PutKeyed("keyed.servers", this->id, entry.dump());
  }

  bool Handle(const Request& aRequest, Socket& aSocket)
  {
    if (aRequest.Path() == "/health") {
      return aSocket.Write(
        WholeAnswer("200 OK", { { "X-Instance-Id", this->id } }, ""));
    }
    const std::string expected = aRequest.Header("X-Expect-Instance");
    if (!expected.empty() && expected != this->id) {
      return aSocket.Write(WholeAnswer(
        "421 Misdirected Request", { { "X-Instance-Id", this->id } }, ""));
    }
    this->record.Add("server " + this->id + " runs " +
                     aRequest.Header("X-Request-Id") + " " + aRequest.method +
                     " " + aRequest.target + ", body of " +
                     std::to_string(aRequest.body.size()) + " bytes");
    return this->work(*this, aRequest, aSocket);
  }

  Store& store;
  Record& record;
  const std::string service;
  const std::string zone;
  const Work work;
  const int64_t born;
  std::atomic<bool> exited{ false };
  HttpStandin server;
};

} // namespace review

#endif // TANAGERSEAM_REVIEW_SUPPORT_BACKEND_H_
