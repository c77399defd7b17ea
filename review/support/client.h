// Stand-in for a client: sends requests and reads their answers.
#ifndef TANAGERSEAM_REVIEW_SUPPORT_CLIENT_H_
#define TANAGERSEAM_REVIEW_SUPPORT_CLIENT_H_

#include <string>
#include <utility>
#include <vector>

#include "review/support/http.h"
#include "review/support/record.h"

namespace review {

struct Answer
{
  // 0 without an answer.
  int status = 0;
  Headers headers;
  std::string body;
  // The answer has ended as its framing says.
  bool complete = false;

  // Data of the events that have ended.
  std::vector<std::string> Events() const
  {
    std::vector<std::string> events;
    size_t at = 0;
    size_t end = this->body.find("\n\n");
    while (end != std::string::npos) {
      const std::string event = this->body.substr(at, end - at);
      const size_t data = event.find("data: ");
      if (data != std::string::npos) {
        events.push_back(event.substr(data + 6));
      }
      at = end + 2;
      end = this->body.find("\n\n", at);
    }
    return events;
  }
};

// A channel to a daemon.
class Channel
{
public:
  Channel(Record& aRecord, uint16_t aPort, std::string aKey = "key-1")
    : record(aRecord)
    , key(std::move(aKey))
  {
    this->open = this->socket.Connect(aPort);
  }

  bool IsOpen() const { return this->open; }
  bool IsGone() const { return this->socket.IsGone(); }

  Answer Send(const std::string& aMethod,
              const std::string& aTarget,
              const std::string& aId,
              const Headers& aHeaders,
              const std::string& aBody,
              Millis aLimit)
  {
    std::string text =
      aMethod + " " + aTarget +
      " HTTP/1.1\r\nHost: reports.example\r\nX-Request-Id: " + aId +
      "\r\nX-Deadline-Ms: " + std::to_string(aLimit.count()) +
      "\r\nAuthorization: Bearer " + this->key + "\r\n";
    for (const auto& header : aHeaders) {
      text += header.first + ": " + header.second + "\r\n";
    }
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
    this->record.Add("client sends " + aId + " " + aMethod + " " + aTarget +
                     Describe(aHeaders));
    Answer answer;
    // The deadline is the daemon's; the client reads a little longer.
    constexpr Millis kMargin(1000);
    if (this->open && this->socket.Write(text + aBody)) {
      this->ReadAnswer(answer, Clock::now() + aLimit + kMargin);
    }
    this->record.Add(
      "client got " + aId + " status " + std::to_string(answer.status) +
      (answer.complete ? ", whole" : ", NOT WHOLE") + ", " +
      std::to_string(answer.Events().size()) + " events, " +
      std::to_string(answer.body.size()) + " bytes" + Describe(answer.headers));
    return answer;
  }

private:
  static std::string Describe(const Headers& aHeaders)
  {
    std::string text;
    for (const char* name : { "X-Program-Id",
                              "X-Previous-Turn",
                              "X-Token-Budget",
                              "Last-Event-Id",
                              "Retry-After",
                              "X-Refusal" }) {
      const std::string value = HeaderOf(aHeaders, name);
      text += value.empty() ? "" : std::string(" ") + name + "=" + value;
    }
    return text;
  }

  void ReadAnswer(Answer& aAnswer, Clock::time_point aDeadline)
  {
    std::string line;
    if (!this->socket.ReadLine(line, aDeadline) || line.size() < 12) {
      return;
    }
    if (!ReadHeaders(this->socket, aAnswer.headers, aDeadline)) {
      return;
    }
    aAnswer.status = std::stoi(line.substr(9, 3));
    if (LowerCase(HeaderOf(aAnswer.headers, "Transfer-Encoding")) ==
        "chunked") {
      std::string chunk;
      while (ReadChunk(this->socket, chunk, aDeadline)) {
        aAnswer.body += chunk;
        aAnswer.complete = chunk.empty();
        if (aAnswer.complete) {
          return;
        }
      }
      return;
    }
    const std::string length = HeaderOf(aAnswer.headers, "Content-Length");
    aAnswer.complete =
      !length.empty() &&
      this->socket.ReadBytes(std::stoul(length), aAnswer.body, aDeadline);
  }

  Record& record;
  const std::string key;
  Socket socket;
  bool open = false;
};

} // namespace review

#endif // TANAGERSEAM_REVIEW_SUPPORT_CLIENT_H_
