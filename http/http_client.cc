#include "http/http_client.h"

#include <curl/curl.h>

#include <mutex>
#include <vector>

namespace tanagerseam {

namespace {

constexpr size_t kMaxIdleHandles = 256;
constexpr long kFirstFinalStatus = 200;

// State of one call while libcurl runs it.
struct Exchange
{
  const HttpCall* call = nullptr;
  CURL* easy = nullptr;
  HttpAnswer answer;
  bool cancelled = false;
  bool tooLarge = false;
  bool idle = false;
  bool headersTold = false;
  // The head of the final response was read to its end.
  bool wholeHead = false;
  TimePoint lastData = Now();
};

size_t
OnBody(char* aData, size_t aSize, size_t aCount, void* aExchange)
{
  auto* exchange = static_cast<Exchange*>(aExchange);
  const size_t bytes = aSize * aCount;
  exchange->lastData = Now();
  if (!exchange->wholeHead) {
    // The bytes behind a change of protocol are no body.
    return 0;
  }
  long status = 0;
  curl_easy_getinfo(exchange->easy, CURLINFO_RESPONSE_CODE, &status);
  if (exchange->call->onHeaders && !exchange->headersTold) {
    exchange->headersTold = true;
    const HttpHeaders& headers = exchange->answer.headers;
    if (!exchange->call->onHeaders(int(status), headers)) {
      exchange->cancelled = true;
      return 0;
    }
  }
  if (exchange->call->onData && status / 100 == 2) {
    exchange->cancelled =
      !exchange->call->onData(std::string_view(aData, bytes));
    return exchange->cancelled ? 0 : bytes;
  }
  std::string& body = exchange->answer.body;
  if (body.size() + bytes > exchange->call->maxAnswerBytes) {
    exchange->tooLarge = true;
    return 0;
  }
  body.append(aData, bytes);
  return bytes;
}

std::string
Trimmed(const std::string& aText)
{
  const size_t first = aText.find_first_not_of(" \t\r\n");
  if (first == std::string::npos) {
    return "";
  }
  const size_t last = aText.find_last_not_of(" \t\r\n");
  return aText.substr(first, last - first + 1);
}

// A line of a head that is neither whole nor that of the final response yet.
void
FollowHead(Exchange& aExchange, const std::string& aLine)
{
  if (aLine.rfind("HTTP/", 0) == 0) {
    // The head of an interim response may have come before.
    aExchange.answer.headers.clear();
    return;
  }
  if (aLine != "\r\n" && aLine != "\n") {
    return;
  }
  long status = 0;
  curl_easy_getinfo(aExchange.easy, CURLINFO_RESPONSE_CODE, &status);
  aExchange.wholeHead = status >= kFirstFinalStatus;
}

size_t
OnHeader(char* aData, size_t aSize, size_t aCount, void* aExchange)
{
  auto* exchange = static_cast<Exchange*>(aExchange);
  const std::string line(aData, aSize * aCount);
  if (!exchange->wholeHead) {
    FollowHead(*exchange, line);
  }
  const size_t colon = line.find(':');
  if (colon != std::string::npos) {
    exchange->answer.headers.emplace_back(line.substr(0, colon),
                                          Trimmed(line.substr(colon + 1)));
  }
  return aSize * aCount;
}

int
OnProgress(void* aExchange, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
  auto* exchange = static_cast<Exchange*>(aExchange);
  const Millis limit = exchange->call->idleTimeout;
  if (limit.count() > 0 && Now() - exchange->lastData > limit) {
    exchange->idle = true;
    return 1;
  }
  if (exchange->call->cancelled && exchange->call->cancelled()) {
    exchange->cancelled = true;
    return 1;
  }
  return 0;
}

TransportFailure
ToFailure(CURLcode aCode, const Exchange& aExchange)
{
  TransportFailure failure;
  // libcurl ends a response that is closed within its head as a success.
  failure.detail = aCode == CURLE_OK ? "the response has no whole final head"
                                     : curl_easy_strerror(aCode);
  if (aExchange.cancelled) {
    failure.error = TransportError::kCancelled;
  } else if (aExchange.idle || aCode == CURLE_OPERATION_TIMEDOUT) {
    failure.error = TransportError::kTimeout;
  }
  long connects = 0;
  curl_off_t connected = 0;
  curl_easy_getinfo(aExchange.easy, CURLINFO_NUM_CONNECTS, &connects);
  curl_easy_getinfo(aExchange.easy, CURLINFO_CONNECT_TIME_T, &connected);
  const bool reused = connects == 0;
  if (aCode == CURLE_COULDNT_CONNECT ||
      (aCode == CURLE_OPERATION_TIMEDOUT && !reused && connected == 0)) {
    failure.sent = false;
    failure.error = TransportError::kNotConnected;
  }
  return failure;
}

curl_slist*
BuildHeaders(const HttpCall& aCall)
{
  curl_slist* list = nullptr;
  for (const auto& header : aCall.headers) {
    list =
      curl_slist_append(list, (header.first + ": " + header.second).c_str());
  }
  list = curl_slist_append(list, "Expect:");
  return list;
}

void
SetOptions(CURL* aEasy, const HttpCall& aCall, Exchange& aExchange)
{
  curl_easy_setopt(aEasy, CURLOPT_URL, aCall.url.c_str());
  curl_easy_setopt(aEasy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(aEasy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(aEasy, CURLOPT_PROXY, "");
  curl_easy_setopt(aEasy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(aEasy, CURLOPT_CUSTOMREQUEST, aCall.method.c_str());
  if (aCall.method != "GET") {
    curl_easy_setopt(aEasy, CURLOPT_POSTFIELDS, aCall.body.data());
    curl_easy_setopt(
      aEasy, CURLOPT_POSTFIELDSIZE_LARGE, curl_off_t(aCall.body.size()));
  }
  curl_easy_setopt(
    aEasy, CURLOPT_CONNECTTIMEOUT_MS, long(aCall.connectTimeout.count()));
  curl_easy_setopt(aEasy, CURLOPT_TIMEOUT_MS, long(aCall.timeout.count()));
  curl_easy_setopt(
    aEasy, CURLOPT_FRESH_CONNECT, aCall.freshConnection ? 1L : 0L);
  curl_easy_setopt(aEasy, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(aEasy, CURLOPT_WRITEDATA, &aExchange);
  curl_easy_setopt(aEasy, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(aEasy, CURLOPT_HEADERDATA, &aExchange);
  curl_easy_setopt(aEasy, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(aEasy, CURLOPT_XFERINFOFUNCTION, OnProgress);
  curl_easy_setopt(aEasy, CURLOPT_XFERINFODATA, &aExchange);
}

} // namespace

struct HttpClient::Impl
{
  std::mutex mutex;
  std::vector<CURL*> idle;

  CURL* Take()
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->idle.empty()) {
      return curl_easy_init();
    }
    CURL* easy = this->idle.back();
    this->idle.pop_back();
    curl_easy_reset(easy);
    return easy;
  }

  void GiveBack(CURL* aEasy)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->idle.size() >= kMaxIdleHandles) {
      curl_easy_cleanup(aEasy);
      return;
    }
    this->idle.push_back(aEasy);
  }
};

HttpClient::HttpClient()
  : impl(std::make_unique<Impl>())
{
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_ALL); });
}

HttpClient::~HttpClient()
{
  for (CURL* easy : this->impl->idle) {
    curl_easy_cleanup(easy);
  }
}

HttpOutcome
HttpClient::Perform(const HttpCall& aCall)
{
  CURL* easy = this->impl->Take();
  Exchange exchange;
  exchange.call = &aCall;
  exchange.easy = easy;
  SetOptions(easy, aCall, exchange);
  curl_slist* headers = BuildHeaders(aCall);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
  const CURLcode code = curl_easy_perform(easy);
  HttpOutcome outcome;
  if (code == CURLE_OK && exchange.wholeHead) {
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    exchange.answer.status = int(status);
    outcome = std::move(exchange.answer);
  } else {
    outcome = ToFailure(code, exchange);
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, nullptr);
  curl_slist_free_all(headers);
  this->impl->GiveBack(easy);
  return outcome;
}

} // namespace tanagerseam
