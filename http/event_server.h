// HTTP/1.1 server over RESTinio, driven by one Asio loop.
//
//   EventServer server(io, settings, [](EventRequest aRequest,
//                                       std::shared_ptr<EventReply> aReply) {
//     aReply->OnGone([] { ... });
//     aReply->Send(200, {}, "text");
//   });
//   server.Open();
//
// Handlers run on the loop's thread and return at once; the answer may be given
// later, as a whole or piece by piece. Input that never becomes a request is
// answered by `faultAnswer` and closed, as in http_server.h.
//
// A client that can't take chunks (HTTP/1.0 without a Connection header, and
// any response without a body) gets a stream as one whole response at its end.
// Headers of the framing and malformed ones are left out of responses; a status
// that is not of a final response breaks the request off.
//
// Limits: one request of a connection at a time; sizes as set below. HTTP/1.0
// with a Connection header can't be told from HTTP/1.1 and gets chunks.
#ifndef TANAGERSEAM_HTTP_EVENT_SERVER_H_
#define TANAGERSEAM_HTTP_EVENT_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <restinio/asio_include.hpp>

#include "http/held_memory.h"
#include "http/http_message.h"
#include "http/input_fault.h"
#include "kernel/kernel.h"

namespace tanagerseam {

struct EventRequest
{
  std::string method;
  // Path and query as they came.
  std::string target;
  HttpHeaders headers;
  std::string body;
};

// The answer to one request: exactly one of Send, Begin..End and Break.
class EventReply
{
public:
  virtual ~EventReply() = default;
  virtual void Send(int aStatus,
                    const HttpHeaders& aHeaders,
                    std::string aBody) = 0;
  virtual void Begin(int aStatus, const HttpHeaders& aHeaders) = 0;
  virtual void Write(std::string aPiece) = 0;
  virtual void End() = 0;
  // Ends the connection without a whole answer.
  virtual void Break() = 0;
  // Called once if the caller leaves before its answer is whole.
  virtual void OnGone(std::function<void()> aOnGone) = 0;
  // Bytes handed to Write that have not left yet.
  virtual size_t Unwritten() const = 0;
  // The request is refused by calling aRefuse if its memory is needed; null
  // once it can't be refused any more. Called at most once.
  virtual void OnMemoryNeeded(std::function<void()> aRefuse) = 0;
  // Called each time that all pieces have left.
  virtual void OnDrained(std::function<void()> aOnDrained) = 0;
};

using EventHandler =
  std::function<void(EventRequest, std::shared_ptr<EventReply>)>;

struct EventServerSettings
{
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  size_t maxBodyBytes = 4u << 20;
  // Of all streams together that are kept until their ends.
  size_t maxGatheredBytes = 16u << 20;
  // What requests and whole responses hold counts here; null: it is not
  // counted. The servers of one thread share one, since it is looked up by
  // thread.
  std::shared_ptr<HeldMemory> heldMemory;
  // Time for a whole request to arrive, also while a connection is idle.
  Millis readTimeout{ 300000 };
  FaultAnswer faultAnswer;
};

class EventServer
{
public:
  EventServer(restinio::asio_ns::io_context& aIo,
              EventServerSettings aSettings,
              EventHandler aHandler);
  ~EventServer();
  EventServer(const EventServer&) = delete;
  EventServer& operator=(const EventServer&) = delete;

  // Listens once the loop runs; a failure is thrown out of the loop.
  void Open();
  // Takes no new connections; those that are open go on.
  void StopAccepting();
  // Each connection is closed after its next answer.
  void CloseAfterAnswers();
  // Requests whose answers are not written whole.
  size_t Busy() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_EVENT_SERVER_H_
