#include "gateway/record_relay.h"

#include <algorithm>
#include <map>

namespace tanagerseam {

namespace {

namespace asio = restinio::asio_ns;

PeerAppendStatus
StatusOf(LogFault aFault)
{
  switch (aFault) {
    case LogFault::kNoAnswer:
      return PeerAppendStatus::kNoAnswer;
    case LogFault::kFull:
      return PeerAppendStatus::kFull;
    case LogFault::kRejected:
      return PeerAppendStatus::kRejected;
    case LogFault::kUnavailable:
      break;
  }
  return PeerAppendStatus::kUnavailable;
}

PeerAppendAnswer
AnswerOf(const AppendResult& aResult)
{
  if (const auto* fault = std::get_if<LogFault>(&aResult)) {
    return { StatusOf(*fault), 0 };
  }
  return { PeerAppendStatus::kAppended, std::get<Appended>(aResult).offset };
}

// True if another peer would hear the same from the store.
bool
IsFinal(PeerAppendStatus aStatus)
{
  return aStatus == PeerAppendStatus::kFull ||
         aStatus == PeerAppendStatus::kRejected;
}

} // namespace

struct RecordRelay::Task
{
  explicit Task(asio::io_context& aIo)
    : timer(aIo)
  {
  }

  std::string turn;
  std::vector<LogPartition> partitions;
  // Empty until a peer is asked for the first time.
  std::string shortRecord;
  std::function<std::string()> makeShortRecord;
  TimePoint startedAt{};
  TimePoint deadline{};
  RegionSet allowed;
  Callback done;
  // Asks the next peer.
  asio::steady_timer timer;
  std::vector<std::string> asked;
  // Requests without an answer, by host.
  std::map<std::string, uint64_t> open;
  // Why no further peer is asked; empty as long as one may be.
  std::string stoppedBy;
  bool ended = false;
};

RecordRelay::RecordRelay(asio::io_context& aIo,
                         RetryingLog& aLog,
                         RecordPeers& aPeers,
                         RecordRelaySettings aSettings,
                         Metrics& aMetrics)
  : io(aIo)
  , log(aLog)
  , peers(aPeers)
  , settings(std::move(aSettings))
  , metrics(aMetrics)
{
}

void
RecordRelay::Append(TurnWrite aWrite, RegionSet aAllowed, Callback aDone)
{
  auto task = std::make_shared<Task>(this->io);
  task->turn = std::move(aWrite.turn);
  task->partitions = aWrite.partitions;
  task->makeShortRecord = std::move(aWrite.shortRecord);
  task->startedAt = BootNow();
  task->deadline = aWrite.deadline;
  task->allowed = std::move(aAllowed);
  task->done = std::move(aDone);
  const bool unavailable = this->log.IsUnavailable(task->startedAt);
  this->log.Append(
    std::move(aWrite.partitions),
    std::move(aWrite.record),
    aWrite.deadline,
    [this, task](const AppendResult& aResult) { this->End(task, aResult, ""); },
    [task] { return !task->ended; });
  if (this->settings.asksPeers) {
    this->AskAfter(task, unavailable ? Millis(0) : kDirectTimeout);
  }
}

void
RecordRelay::AskAfter(const TaskPtr& aTask, Millis aDelay)
{
  aTask->timer.expires_after(aDelay);
  aTask->timer.async_wait([this, aTask](const auto& aError) {
    if (!aError) {
      this->AskNextPeer(aTask);
    }
  });
}

void
RecordRelay::AskNextPeer(const TaskPtr& aTask)
{
  const bool stopped = !aTask->stoppedBy.empty();
  if (aTask->ended || stopped || BootNow() >= aTask->deadline) {
    return;
  }
  if (aTask->asked.size() >= kMaxPeers) {
    if (aTask->open.empty()) {
      this->StopAsking(aTask, "peers_failed");
    }
    return;
  }
  const std::string host = this->NextPeer(*aTask);
  if (!host.empty()) {
    this->Ask(aTask, host);
  }
  // Without a peer now, there may be one later.
  if (aTask->stoppedBy.empty()) {
    this->AskAfter(aTask, kPeerTimeout);
  }
}

std::string
RecordRelay::NextPeer(const Task& aTask)
{
  if (this->openRequests >= kMaxRequests) {
    return "";
  }
  const auto& asked = aTask.asked;
  for (const std::string& host : this->peers.ReachingStore(aTask.allowed)) {
    if (std::find(asked.begin(), asked.end(), host) == asked.end()) {
      return host;
    }
  }
  return "";
}

void
RecordRelay::Ask(const TaskPtr& aTask, const std::string& aHost)
{
  if (aTask->asked.empty()) {
    aTask->shortRecord = aTask->makeShortRecord();
  }
  if (aTask->shortRecord.size() > FleetLink::kMaxRecordBytes) {
    this->StopAsking(aTask, "too_large");
    return;
  }
  const size_t turn = aTask->asked.size() % aTask->partitions.size();
  const Millis left =
    std::chrono::duration_cast<Millis>(aTask->deadline - BootNow());
  aTask->asked.push_back(aHost);
  ++this->openRequests;
  aTask->open[aHost] =
    this->peers.Append(aHost,
                       { aTask->partitions[turn], aTask->shortRecord },
                       std::min(left, kMaxAppendTime),
                       [this, aTask, aHost](const PeerAppendAnswer& aAnswer) {
                         this->OnAnswer(aTask, aHost, aAnswer);
                       });
}

void
RecordRelay::OnAnswer(const TaskPtr& aTask,
                      const std::string& aHost,
                      const PeerAppendAnswer& aAnswer)
{
  --this->openRequests;
  aTask->open.erase(aHost);
  if (aAnswer.status == PeerAppendStatus::kAppended) {
    this->End(aTask, Appended{ aAnswer.offset }, aHost);
    return;
  }
  LogInfo("record_relay_failed",
          { { "request", aTask->turn },
            { "peer", aHost },
            { "result", std::string(NameOf(aAnswer.status)) } });
  if (IsFinal(aAnswer.status)) {
    this->StopAsking(aTask, "refused_by_store");
    return;
  }
  this->AskNextPeer(aTask);
}

void
RecordRelay::StopAsking(const TaskPtr& aTask, const char* aCause)
{
  if (!aTask->stoppedBy.empty()) {
    return;
  }
  aTask->stoppedBy = aCause;
  aTask->timer.cancel();
  aTask->shortRecord.clear();
  aTask->makeShortRecord = nullptr;
  LogInfo("record_not_relayed",
          { { "request", aTask->turn },
            { "why", aCause },
            { "peers", std::to_string(aTask->asked.size()) } });
}

void
RecordRelay::End(const TaskPtr& aTask,
                 const AppendResult& aResult,
                 const std::string& aPeer)
{
  if (aTask->ended) {
    return;
  }
  const bool appended = std::holds_alternative<Appended>(aResult);
  if (this->settings.asksPeers && !appended) {
    this->StopAsking(aTask, aTask->asked.empty() ? "no_peer" : "deadline");
  }
  aTask->ended = true;
  aTask->timer.cancel();
  this->openRequests -= aTask->open.size();
  for (const auto& entry : aTask->open) {
    this->peers.Cancel(entry.second);
  }
  aTask->open.clear();
  aTask->shortRecord.clear();
  aTask->makeShortRecord = nullptr;
  if (!aPeer.empty()) {
    LogInfo("record_relayed",
            { { "request", aTask->turn },
              { "peer", aPeer },
              { "peers", std::to_string(aTask->asked.size()) },
              { "took_ms",
                std::to_string(MillisBetween(aTask->startedAt, BootNow())) } });
    this->CountRelayed("appended");
  } else if (!appended && this->settings.asksPeers) {
    this->CountRelayed(aTask->stoppedBy);
  } else if (!aTask->asked.empty()) {
    this->CountRelayed("own_log");
  }
  const Callback done = std::move(aTask->done);
  done(aResult);
}

void
RecordRelay::CountRelayed(const std::string& aResult)
{
  this->metrics.Count("tanagerseam_records_relayed_total",
                      { { "result", aResult } });
}

void
RecordRelay::AppendForPeer(const PeerRecord& aRecord,
                           std::function<void(PeerAppendAnswer)> aDone)
{
  const auto answer = [this, done = std::move(aDone)](
                        const PeerAppendAnswer& aAnswer) {
    this->metrics.Count("tanagerseam_records_for_peers_total",
                        { { "result", std::string(NameOf(aAnswer.status)) } });
    done(aAnswer);
  };
  if (this->appendsForPeers >= kMaxAppendsForPeers) {
    answer({ PeerAppendStatus::kBusy, 0 });
    return;
  }
  // A datagram must not be able to write to other topics of the store, such as
  // the configuration.
  if (!this->settings.accepts(aRecord.partition, aRecord.data)) {
    LogWarn("peer_record_refused",
            { { "topic", aRecord.partition.topic },
              { "partition", std::to_string(aRecord.partition.number) } });
    answer({ PeerAppendStatus::kRejected, 0 });
    return;
  }
  if (this->log.IsUnavailable(BootNow())) {
    answer({ PeerAppendStatus::kUnavailable, 0 });
    return;
  }
  ++this->appendsForPeers;
  this->log.AppendOnce(aRecord.partition,
                       aRecord.data,
                       kMaxAppendTime,
                       [this, answer](const AppendResult& aResult) {
                         --this->appendsForPeers;
                         answer(AnswerOf(aResult));
                       });
}

} // namespace tanagerseam
