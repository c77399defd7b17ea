#include "eventlog/eventlog.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tanagerseam {

namespace {

constexpr Millis kAppendTimeout(3000);
constexpr Millis kReadTimeoutMargin(2000);
constexpr Millis kLongPollWait(1000);
constexpr Millis kReadRetryDelay(100);
constexpr size_t kMaxBatchRecords = 2000;
constexpr size_t kMaxBatchBytes = 4u << 20;

LogFailure
ToLogFailure(const HttpOutcome& aOutcome)
{
  if (auto* failure = std::get_if<TransportFailure>(&aOutcome)) {
    return LogFailure{ failure->detail };
  }
  const int status = std::get<HttpAnswer>(aOutcome).status;
  return LogFailure{ "HTTP status " + std::to_string(status) };
}

bool
Succeeded(const HttpOutcome& aOutcome)
{
  auto* answer = std::get_if<HttpAnswer>(&aOutcome);
  return answer != nullptr && answer->status == 200;
}

} // namespace

HttpLogService::HttpLogService(const std::string& aAddress,
                               const std::string& aStream,
                               HttpClient& aClient)
  : baseUrl("http://" + aAddress + "/log/" + aStream)
  , client(aClient)
{
}

std::variant<int64_t, LogFailure>
HttpLogService::Append(const std::vector<std::string>& aTexts)
{
  HttpCall call;
  call.method = "POST";
  call.url = this->baseUrl + "/append";
  call.headers = { { "Content-Type", "application/json" } };
  call.timeout = kAppendTimeout;
  call.body = nlohmann::json{ { "records", aTexts } }.dump();
  const HttpOutcome outcome = this->client.Perform(call);
  if (!Succeeded(outcome)) {
    return ToLogFailure(outcome);
  }
  const auto json =
    nlohmann::json::parse(std::get<HttpAnswer>(outcome).body, nullptr, false);
  if (!json.is_object() || !json.contains("offset") ||
      !json["offset"].is_number_integer()) {
    return LogFailure{ "append response has no integer field offset" };
  }
  return json["offset"].get<int64_t>();
}

std::variant<LogPage, LogFailure>
HttpLogService::Read(int64_t aOffset, Millis aWait)
{
  HttpCall call;
  call.url = this->baseUrl + "/read?from=" + std::to_string(aOffset) +
             "&wait_ms=" + std::to_string(aWait.count());
  call.timeout = aWait + kReadTimeoutMargin;
  const HttpOutcome outcome = this->client.Perform(call);
  if (!Succeeded(outcome)) {
    return ToLogFailure(outcome);
  }
  try {
    const auto json = nlohmann::json::parse(std::get<HttpAnswer>(outcome).body);
    LogPage page;
    page.firstOffset = json.at("first").get<int64_t>();
    page.endOffset = json.at("end").get<int64_t>();
    for (const auto& record : json.at("records")) {
      page.entries.push_back({ record.at("offset").get<int64_t>(),
                               record.at("text").get<std::string>() });
    }
    return page;
  } catch (const nlohmann::json::exception& error) {
    return LogFailure{ std::string("malformed read response: ") +
                       error.what() };
  }
}

LogWriter::LogWriter(LogService& aService, LogWriterSettings aSettings)
  : service(aService)
  , settings(aSettings)
  , thread([this] { this->Run(); })
{
}

LogWriter::~LogWriter()
{
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->wake.notify_all();
  this->thread.join();
}

bool
LogWriter::Submit(std::string aText)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->queue.size() >= this->settings.maxQueuedRecords) {
    return false;
  }
  this->queue.push_back(std::move(aText));
  this->wake.notify_all();
  return true;
}

bool
LogWriter::Flush(Millis aLimit)
{
  std::unique_lock<std::mutex> lock(this->mutex);
  return this->wake.wait_for(
    lock, aLimit, [this] { return this->queue.empty() && !this->sending; });
}

size_t
LogWriter::QueuedRecords() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->queue.size();
}

void
LogWriter::Run()
{
  std::unique_lock<std::mutex> lock(this->mutex);
  while (true) {
    this->wake.wait(lock,
                    [this] { return this->stopping || !this->queue.empty(); });
    if (this->stopping) {
      return;
    }
    const std::vector<std::string> batch = this->TakeBatch();
    this->sending = true;
    lock.unlock();
    const TimePoint start = Now();
    this->AppendWithRetry(batch);
    lock.lock();
    this->sending = false;
    this->wake.notify_all();
    this->wake.wait_until(
      lock, this->NextAppendTime(start), [this] { return this->stopping; });
  }
}

std::vector<std::string>
LogWriter::TakeBatch()
{
  std::vector<std::string> batch;
  size_t bytes = 0;
  while (!this->queue.empty() && batch.size() < kMaxBatchRecords &&
         bytes < kMaxBatchBytes) {
    bytes += this->queue.front().size();
    batch.push_back(std::move(this->queue.front()));
    this->queue.pop_front();
  }
  return batch;
}

TimePoint
LogWriter::NextAppendTime(TimePoint aStart)
{
  this->theoreticalArrival =
    std::max(this->theoreticalArrival, aStart) + this->settings.appendInterval;
  return this->theoreticalArrival -
         this->settings.appendInterval * (this->settings.burst - 1);
}

void
LogWriter::AppendWithRetry(const std::vector<std::string>& aBatch)
{
  while (true) {
    auto outcome = this->service.Append(aBatch);
    this->failing = std::holds_alternative<LogFailure>(outcome);
    if (!this->failing) {
      return;
    }
    std::unique_lock<std::mutex> lock(this->mutex);
    this->wake.wait_for(
      lock, this->settings.retryDelay, [this] { return this->stopping; });
    if (this->stopping) {
      return;
    }
  }
}

LogFollower::LogFollower(LogService& aService,
                         int64_t aFrom,
                         EntryHandler aOnEntry,
                         GapHandler aOnGap)
  : service(aService)
  , onEntry(std::move(aOnEntry))
  , onGap(std::move(aOnGap))
  , position(aFrom)
  , thread([this] { this->Run(); })
{
}

LogFollower::~LogFollower()
{
  this->stopping = true;
  this->thread.join();
}

TimePoint
LogFollower::LastResponseTime() const
{
  return TimePoint(std::chrono::nanoseconds(this->lastResponseNanos));
}

bool
LogFollower::AtEnd() const
{
  return this->logEnd >= 0 && this->position >= this->logEnd;
}

bool
LogFollower::CatchUp(Millis aLimit)
{
  const TimePoint start = Now();
  while (Now() - start < aLimit) {
    const bool responseSinceStart = this->LastResponseTime() > start;
    if (responseSinceStart && this->AtEnd()) {
      return true;
    }
    std::this_thread::sleep_for(Millis(5));
  }
  return false;
}

void
LogFollower::Run()
{
  while (!this->stopping) {
    auto outcome = this->service.Read(this->position, kLongPollWait);
    auto* page = std::get_if<LogPage>(&outcome);
    this->failing = page == nullptr;
    if (page == nullptr) {
      std::this_thread::sleep_for(kReadRetryDelay);
      continue;
    }
    if (page->firstOffset > this->position) {
      this->onGap(this->position, page->firstOffset);
      this->position = page->firstOffset;
    }
    for (const LogEntry& entry : page->entries) {
      this->onEntry(entry);
      this->position = entry.offset + 1;
    }
    this->logEnd = page->endOffset;
    this->lastResponseNanos = Now().time_since_epoch().count();
  }
}

} // namespace tanagerseam
