#include "http/exchange.h"

#include "http/idle_connection.h"

namespace tanagerseam {

namespace {

constexpr int kFirstRedirectStatus = 300;
constexpr int kFirstFailureStatus = 400;

// False if a kept connection has something to read or has ended. A connection
// that was opened for the request is not looked at: a server that is full may
// respond at once.
bool
IsQuiet(Exchange& aExchange, curl_socket_t aSocket)
{
  const ConnectionUse use = aExchange.sockets->UseOf(aSocket);
  if (use.earlierRequests == 0) {
    return true;
  }
  const WaitingInput input = InputOf(aSocket);
  if (input == WaitingInput::kBytes) {
    LogFields fields = LogFieldsOf(use);
    fields.emplace_back("peer", aExchange.call.url);
    LogWarn("bytes_on_idle_connection", fields);
    aExchange.foundStrayBytes = true;
  }
  return input == WaitingInput::kNothing;
}

// libcurl is about to send the request. Decides whether it may, on the
// connection that libcurl chose.
int
BeforeSend(void* aExchange, char* aPeerIp, char*, int aPeerPort, int aLocalPort)
{
  auto* exchange = static_cast<Exchange*>(aExchange);
  if (exchange->timesSent > 0) {
    ++exchange->timesSent;
    return CURL_PREREQFUNC_ABORT;
  }
  CurlSockets& sockets = *exchange->sockets;
  const curl_socket_t socket = sockets.Find(aPeerIp, aPeerPort, aLocalPort);
  if (socket == CURL_SOCKET_BAD) {
    LogError("connection_unknown", { { "peer", exchange->call.url } });
    return CURL_PREREQFUNC_ABORT;
  }
  if (!IsQuiet(*exchange, socket)) {
    // libcurl closes the socket once it sees the end.
    EndConnection(socket);
    exchange->mustStartAgain = true;
    return CURL_PREREQFUNC_ABORT;
  }
  exchange->connectionUse = sockets.BeginRequest(socket);
  exchange->connectionUse.foundStrayBytes = exchange->foundStrayBytes;
  exchange->socket = socket;
  ++exchange->timesSent;
  return CURL_PREREQFUNC_OK;
}

// False if responses to other calls name their requests and this call's can't.
bool
CanBeCorrelated(const EventCall& aCall)
{
  return aCall.correlationHeader.empty() ||
         FirstHeader(aCall.headers, aCall.correlationHeader).has_value();
}

// True if a response that names no request can be this exchange's own.
bool
MayLackCorrelation(const Exchange& aExchange, bool aRequestHasId)
{
  if (!aRequestHasId) {
    return true;
  }
  // A server that refuses a connection may not have read the request.
  const bool failure = aExchange.head.Status() >= kFirstFailureStatus;
  return failure && aExchange.connectionUse.earlierRequests == 0;
}

// True if the response is to this exchange's request. A late or second response
// to an earlier request of the connection names that request, or none.
bool
IsOwnResponse(const Exchange& aExchange)
{
  const std::string& header = aExchange.call.correlationHeader;
  if (header.empty()) {
    return true;
  }
  const auto expected = FirstHeader(aExchange.call.headers, header);
  const auto answered = FirstHeader(aExchange.head.Headers(), header);
  const bool own = answered
                     ? answered == expected
                     : MayLackCorrelation(aExchange, expected.has_value());
  if (own) {
    return true;
  }
  LogFields fields = LogFieldsOf(aExchange.connectionUse);
  fields.emplace_back("request", expected.value_or(""));
  fields.emplace_back("answered", answered.value_or(""));
  fields.emplace_back("peer", aExchange.call.url);
  LogWarn("answer_of_another_call", fields);
  return false;
}

// False for a success without the header that each success of the server bears.
bool
HasSuccessHeader(const Exchange& aExchange)
{
  const std::string& header = aExchange.call.successHeader;
  const int status = aExchange.head.Status();
  const bool success = status < kFirstRedirectStatus;
  if (header.empty() || !success) {
    return true;
  }
  const auto value = FirstHeader(aExchange.head.Headers(), header);
  if (value && !value->empty()) {
    return true;
  }
  LogFields fields = LogFieldsOf(aExchange.connectionUse);
  fields.emplace_back("header", header);
  fields.emplace_back("status", std::to_string(status));
  fields.emplace_back("peer", aExchange.call.url);
  LogWarn("success_without_its_header", fields);
  return false;
}

// The headers that tell a response of the server from text.
std::vector<std::string>
MarksOf(const EventCall& aCall)
{
  std::vector<std::string> marks;
  for (const std::string& name :
       { aCall.correlationHeader, aCall.successHeader }) {
    if (!name.empty()) {
      marks.push_back(name);
    }
  }
  return marks;
}

// The head of the final response has come. False ends the transfer.
bool
BeginResponse(Exchange& aExchange)
{
  const int status = aExchange.head.Status();
  const HttpHeaders& headers = aExchange.head.Headers();
  aExchange.foreign = !IsOwnResponse(aExchange) || !HasSuccessHeader(aExchange);
  if (aExchange.foreign) {
    return false;
  }
  aExchange.framing = FramingOf(aExchange.call.method, status, headers);
  if (aExchange.framing == BodyFraming::kInvalid) {
    return false;
  }
  if (aExchange.framing == BodyFraming::kChunks) {
    aExchange.limits.BeginChunks(aExchange.socket);
  }
  const std::vector<std::string> marks = MarksOf(aExchange.call);
  if (aExchange.framing == BodyFraming::kClose && !marks.empty()) {
    aExchange.unframedBody.emplace(marks);
  }
  aExchange.headersTold = true;
  aExchange.rejected = aExchange.handlers.onHeaders &&
                       !aExchange.handlers.onHeaders(status, headers);
  return !aExchange.rejected;
}

size_t
OnHeaderLine(char* aData, size_t, size_t aLength, void* aExchange)
{
  auto* exchange = static_cast<Exchange*>(aExchange);
  const std::string_view line(aData, aLength);
  if (exchange->cancelled) {
    return 0;
  }
  if (!exchange->limits.TakeHeadLine(aLength)) {
    return 0;
  }
  if (exchange->headersTold) {
    // A trailer, which nobody asked for.
    return aLength;
  }
  switch (exchange->head.Take(line)) {
    case HeadLine::kMore:
    case HeadLine::kInterimEnd:
      return aLength;
    case HeadLine::kMalformed:
      exchange->malformedHead = true;
      return 0;
    case HeadLine::kEnd:
      return BeginResponse(*exchange) ? aLength : 0;
  }
  return 0;
}

size_t
OnBody(char* aData, size_t, size_t aLength, void* aExchange)
{
  auto* exchange = static_cast<Exchange*>(aExchange);
  if (exchange->cancelled) {
    return 0;
  }
  if (!exchange->headersTold) {
    // The bytes behind a change of protocol are no body.
    return 0;
  }
  if (!exchange->limits.TakeBody(aLength)) {
    return 0;
  }
  const std::string_view piece(aData, aLength);
  if (exchange->unframedBody && !exchange->unframedBody->Take(piece)) {
    exchange->bodyHoldsHead = true;
    return 0;
  }
  const bool accepted =
    !exchange->handlers.onData || exchange->handlers.onData(piece);
  exchange->rejected = !accepted;
  return accepted ? aLength : 0;
}

// libcurl calls this each time it has read. Ends a response whose bytes are
// neither head nor body.
int
OnProgress(void* aExchange, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
  return static_cast<Exchange*>(aExchange)->limits.CheckFraming() ? 0 : 1;
}

} // namespace

void
ConfigureExchange(Exchange& aExchange, int aMaxIdleSeconds)
{
  const EventCall& call = aExchange.call;
  CURL* easy = aExchange.easy;
  aExchange.limits.SetMaxBodyBytes(call.maxAnswerBytes);
  bool hasAccept = false;
  bool hasType = false;
  for (const auto& header : call.headers) {
    hasAccept = hasAccept || EqualsIgnoringCase(header.first, "Accept");
    hasType = hasType || EqualsIgnoringCase(header.first, "Content-Type");
    const std::string line = header.second.empty()
                               ? header.first + ";"
                               : header.first + ": " + header.second;
    aExchange.headers = curl_slist_append(aExchange.headers, line.c_str());
  }
  // libcurl adds headers of its own unless they are taken away.
  aExchange.headers = curl_slist_append(aExchange.headers, "Expect:");
  if (!hasAccept) {
    aExchange.headers = curl_slist_append(aExchange.headers, "Accept:");
  }
  if (!hasType) {
    aExchange.headers = curl_slist_append(aExchange.headers, "Content-Type:");
  }
  curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, call.target.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  if (call.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  } else if (call.method != "GET" || !call.body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
    curl_easy_setopt(easy,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, aExchange.headers);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, call.timeout.count());
  curl_easy_setopt(
    easy, CURLOPT_CONNECTTIMEOUT_MS, call.connectTimeout.count());
  const bool own = call.ownConnection || !CanBeCorrelated(call);
  const bool fresh = own || aExchange.keptConnectionFailed;
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, fresh ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, own ? 1L : 0L);
  curl_easy_setopt(
    easy, CURLOPT_MAXAGE_CONN, static_cast<long>(aMaxIdleSeconds));
  curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, aExchange.errorText);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &aExchange);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &BeforeSend);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &aExchange);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeaderLine);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &aExchange);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &aExchange);
  curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, &OnProgress);
  curl_easy_setopt(easy, CURLOPT_XFERINFODATA, &aExchange);
  aExchange.sockets->AttachEasy(easy);
}

LogFields
LogFieldsOf(const ConnectionUse& aUse)
{
  return { { "connection", std::to_string(aUse.connection) },
           { "earlier_requests", std::to_string(aUse.earlierRequests) },
           { "connection_age_ms", std::to_string(aUse.age.count()) } };
}

bool
HoldsAnotherHead(const Exchange& aExchange)
{
  return aExchange.bodyHoldsHead ||
         (aExchange.unframedBody && aExchange.unframedBody->EndsWithinHead());
}

EventError
ErrorOf(CURLcode aCode, const Exchange& aExchange)
{
  if (HoldsAnotherHead(aExchange)) {
    return EventError::kForeignResponse;
  }
  if (aCode == CURLE_OK) {
    // libcurl ends a response that is closed within its head as a success.
    return aExchange.headersTold ? EventError::kNone : EventError::kBroken;
  }
  if (aExchange.foreign) {
    return EventError::kForeignResponse;
  }
  if (aExchange.limits.Exceeded()) {
    return EventError::kTooLarge;
  }
  if (aExchange.rejected) {
    return EventError::kRejected;
  }
  if (aExchange.timesSent > 1) {
    return EventError::kStaleConnection;
  }
  if (aExchange.timesSent == 0) {
    return EventError::kNotConnected;
  }
  return aCode == CURLE_OPERATION_TIMEDOUT ? EventError::kTimeout
                                           : EventError::kBroken;
}

std::string
DetailOf(CURLcode aCode, const Exchange& aExchange)
{
  if (aExchange.malformedHead) {
    return "the head of the response is malformed";
  }
  if (HoldsAnotherHead(aExchange)) {
    return "another response follows the body";
  }
  return DetailOfTransfer(
    aCode, aExchange.limits, aExchange.framing, aExchange.errorText);
}

} // namespace tanagerseam
