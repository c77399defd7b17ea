#include "tests/soak/soak_client.h"

#include "tests/soak/soak_text.h"

namespace tanagerseam::soak {

namespace {

using testing_support::IsCompleteResponse;
using testing_support::RawClient;
using testing_support::StatusOf;

constexpr Millis kPauseBetweenSteps(20);
constexpr Millis kPauseAfterFailure(150);
// A client that gets no answer leaves this long after its deadline.
constexpr Millis kPatience(500);
constexpr int kMostTries = 4;
// Statuses after which a program is over.
constexpr int kBudgetSpent = 402;

} // namespace

SoakClient::SoakClient(restinio::asio_ns::io_context& aIo,
                       SoakFleet& aFleet,
                       SoakJudge& aJudge,
                       std::string aOrganisation,
                       uint64_t aSeed)
  : io(aIo)
  , fleet(aFleet)
  , judge(aJudge)
  , organisation(std::move(aOrganisation))
  , random(aSeed)
{
  this->call.program = this->organisation + "." + std::to_string(aSeed);
  this->BeginProgram();
}

int
SoakClient::TakeCompleted()
{
  return std::exchange(this->completed, 0);
}

void
SoakClient::BeginProgram()
{
  const std::string name =
    this->call.program.substr(0, this->call.program.find('/'));
  this->call.program = name + "/" + std::to_string(++this->programs);
  this->step = 0;
  this->tries = 0;
  this->previous.clear();
  this->chain.clear();
  this->looping = std::bernoulli_distribution(kLoopingPart)(this->random);
  this->judge.Budget(this->call.program, kBudget, kTurnMost);
}

void
SoakClient::EndProgram(TimePoint aNow)
{
  this->BeginProgram();
  this->nextAt = aNow + kPauseAfterFailure;
}

// Programs take a turn, look something up, take a turn, charge for it, and so
// on.
void
SoakClient::Advance(TimePoint aNow)
{
  this->tries = 0;
  this->nextAt = aNow + kPauseBetweenSteps;
  ++this->step;
  if (this->step >= 2 * kTurns && !this->looping) {
    ++this->completed;
    this->BeginProgram();
  }
}

void
SoakClient::Retry(TimePoint aNow, Millis aPause)
{
  this->nextAt = aNow + aPause;
  if (++this->tries >= kMostTries) {
    this->EndProgram(aNow);
  }
}

std::string
SoakClient::Request(const SentCall& aCall) const
{
  const bool isLook = aCall.type == CallType::kLook;
  const std::string body = aCall.type == CallType::kTurn
                             ? aCall.expectedBody.substr(this->chain.size())
                             : aCall.expectedBody;
  std::string text =
    std::string(isLook ? "GET" : "POST") + " /" +
    std::string(NameOf(aCall.type)) +
    "/1 HTTP/1.1\r\nHost: reports.example\r\nX-Request-Id: " + aCall.id +
    "\r\nX-Deadline-Ms: " + std::to_string(kDeadline.count()) +
    "\r\nAuthorization: Bearer " + aCall.key +
    "\r\nX-Program-Id: " + aCall.program +
    "\r\nX-Session-Id: " + aCall.program + "\r\n";
  if (aCall.type == CallType::kTurn) {
    text += "X-Token-Usage: 100," + std::to_string(kTurnMost) +
            "\r\nX-Token-Budget: " + std::to_string(kBudget) + "\r\n";
    if (!aCall.previous.empty()) {
      text += "X-Previous-Turn: " + aCall.previous + "\r\n";
    }
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

void
SoakClient::Connect()
{
  this->consumed = 0;
  try {
    this->connection =
      std::make_unique<RawClient>(this->io, this->fleet.CallPort());
  } catch (const std::exception&) {
    // Nobody listens there now.
    this->connection.reset();
  }
}

void
SoakClient::Send(TimePoint aNow)
{
  if (!this->connection || this->connection->Closed()) {
    this->Connect();
  }
  if (!this->connection) {
    this->Retry(aNow, kPauseAfterFailure);
    return;
  }
  const bool isTurn = this->looping || this->step % 2 == 0;
  const bool isLook = this->step % 4 == 1;
  this->call.id = this->call.program + "-" + std::to_string(++this->attempts);
  this->call.type = isTurn   ? CallType::kTurn
                    : isLook ? CallType::kLook
                             : CallType::kCharge;
  this->call.organisation = this->organisation;
  this->call.key = this->fleet.KeyOf(this->organisation);
  this->call.previous = isTurn ? this->previous : "";
  this->call.expectedBody = isTurn   ? this->chain + "in " + this->call.id
                            : isLook ? ""
                                     : "charge " + this->call.id;
  this->call.sentAt = aNow;
  this->judge.Sent(this->call);
  this->leaves = std::bernoulli_distribution(kLeavingPart)(this->random);
  this->connection->Send(this->Request(this->call));
  this->waiting = true;
}

void
SoakClient::CountEvents(const std::string& aText)
{
  int64_t events = 0;
  for (size_t at = aText.find("data: "); at != std::string::npos;
       at = aText.find("data: ", at + 1)) {
    ++events;
  }
  this->judge.HandedOut(this->call.program, events * kTokensOfEvent);
}

void
SoakClient::OnWhole(int aStatus, TimePoint aNow)
{
  const bool isTurn = this->call.type == CallType::kTurn;
  if (aStatus == 200 && isTurn) {
    this->previous = this->call.id;
    this->chain = this->call.expectedBody + this->call.id + "-one\n" +
                  this->call.id + "-two\n";
  }
  if (aStatus == 200) {
    this->Advance(aNow);
  } else if (aStatus == kBudgetSpent) {
    this->EndProgram(aNow);
  } else if (isTurn || aStatus == 503 || aStatus == 429 ||
             this->call.type == CallType::kLook) {
    // Retries come on new connections.
    this->connection.reset();
    this->Retry(aNow, kPauseAfterFailure);
  } else {
    this->EndProgram(aNow);
  }
}

void
SoakClient::OnAnswer(TimePoint aNow)
{
  const std::string answer =
    this->connection->Received().substr(this->consumed);
  const bool whole = IsCompleteResponse(answer);
  const bool late = aNow > this->call.sentAt + kDeadline + kPatience;
  const bool left = this->leaves && aNow > this->call.sentAt + Millis(30);
  if (!whole && !late && !left && !this->connection->Closed()) {
    return;
  }
  this->waiting = false;
  const int status = StatusOf(answer);
  const bool chunked = HeaderOf(answer, "Transfer-Encoding") == "chunked";
  const std::string text = chunked ? Unchunked(BodyOf(answer)) : BodyOf(answer);
  this->judge.Answered(this->call.id, status, whole, text);
  if (chunked) {
    this->CountEvents(text);
  }
  if (whole) {
    this->consumed = this->connection->Received().size();
    if (HeaderOf(answer, "Connection") == "close") {
      this->connection.reset();
    }
    this->OnWhole(status, aNow);
    return;
  }
  // What was broken off is tried again unless it may have run and may not run
  // twice.
  this->connection.reset();
  if (this->call.type == CallType::kCharge) {
    this->EndProgram(aNow);
  } else {
    this->Retry(aNow, kPauseAfterFailure);
  }
}

void
SoakClient::Step(TimePoint aNow)
{
  if (this->waiting) {
    this->OnAnswer(aNow);
  } else if (aNow >= this->nextAt) {
    this->Send(aNow);
  }
}

} // namespace tanagerseam::soak
