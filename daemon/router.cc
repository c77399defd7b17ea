#include "daemon/router.h"

#include <algorithm>
#include <thread>

namespace tanagerseam {

namespace {

// Interval at which a forwarded request checks for a new owner, cancellation
// and its deadline.
constexpr Millis kRecheckInterval(200);
constexpr Millis kRetryDelay(40);
constexpr int kMaxHops = 3;

// Whether another attempt may reach the current owner: the refusing daemon does
// not own the slot and has not run the request.
bool
IsRetryable(const Refusal& aRefusal)
{
  return aRefusal.reason == RefusalReason::kOwnerUnavailable &&
         aRefusal.ran == RanState::kNo;
}

// Buffers the whole response of a service.
class BufferingSink : public CallSink
{
public:
  void Head(int aStatus,
            const std::string& aContentType,
            const std::vector<std::string>&) override
  {
    this->response.httpStatus = aStatus;
    this->response.contentType = aContentType;
  }
  bool Chunk(std::string_view aData) override
  {
    this->response.body += aData;
    return true;
  }
  void End(const CompletionInfo&) override {}
  void Refuse(const Refusal& aRefusal) override { this->refusal = aRefusal; }
  bool Cancelled() const override { return false; }

  ServiceResponse response;
  std::optional<Refusal> refusal;
};

} // namespace

// Merges the responses of several attempts: forwards each byte once, and
// refuses if an attempt differs from the text that was delivered already.
class Router::DeduplicatingSink : public CallSink
{
public:
  explicit DeduplicatingSink(CallSink& aSink)
    : sink(aSink)
  {
  }

  void BeginAttempt() { this->attemptOffset = 0; }
  bool Finished() const { return this->finished; }
  bool Started() const { return this->headSent; }
  // To be called if the request may have reached an owner whose response was
  // lost. Refusals from then on report RanState::kUnknown.
  void MarkMayHaveRun() { this->mayHaveRun = true; }

  void Head(int aStatus,
            const std::string& aContentType,
            const std::vector<std::string>& aHeaderPairs) override
  {
    if (!this->headSent) {
      this->headSent = true;
      this->sink.Head(aStatus, aContentType, aHeaderPairs);
    }
  }

  bool Chunk(std::string_view aData) override
  {
    if (this->finished) {
      return false;
    }
    const size_t repeated =
      std::min(this->deliveredText.size() - this->attemptOffset, aData.size());
    const std::string_view expected(
      this->deliveredText.data() + this->attemptOffset, repeated);
    if (expected != aData.substr(0, repeated)) {
      this->Refuse(
        MakeRefusal(RefusalReason::kCallSuperseded,
                    "a repeated attempt returned a different response"));
      return false;
    }
    this->attemptOffset += repeated;
    aData.remove_prefix(repeated);
    if (aData.empty()) {
      return true;
    }
    this->deliveredText.append(aData);
    this->attemptOffset = this->deliveredText.size();
    return this->sink.Chunk(aData);
  }

  void End(const CompletionInfo& aEnd) override
  {
    if (this->finished) {
      return;
    }
    if (this->attemptOffset < this->deliveredText.size()) {
      this->Refuse(
        MakeRefusal(RefusalReason::kCallSuperseded,
                    "a repeated attempt returned a shorter response"));
      return;
    }
    this->finished = true;
    this->sink.End(aEnd);
  }

  void Refuse(const Refusal& aRefusal) override
  {
    if (this->finished) {
      return;
    }
    this->finished = true;
    Refusal refusal = aRefusal;
    if (this->mayHaveRun) {
      refusal.ran = RanState::kUnknown;
    }
    this->sink.Refuse(refusal);
  }

  bool Cancelled() const override
  {
    return this->finished || this->sink.Cancelled();
  }

private:
  CallSink& sink;
  std::string deliveredText;
  size_t attemptOffset = 0;
  bool headSent = false;
  bool finished = false;
  bool mayHaveRun = false;
};

Router::Router(const DaemonContext& aContext, LocalHandler aLocalHandler)
  : context(aContext)
  , localHandler(std::move(aLocalHandler))
{
}

void
Router::Route(const CallRequest& aRequest,
              const std::string& aKey,
              CallSink& aSink)
{
  DeduplicatingSink sink(aSink);
  std::string detail = "no daemon owns the slot of this request";
  while (Now() < aRequest.deadline && !sink.Cancelled()) {
    sink.BeginAttempt();
    const OwnerLocation owner = FindOwner(this->context, aKey);
    if (owner.isSelf) {
      this->localHandler(aRequest, sink);
    } else if (!owner.peerAddress.empty()) {
      this->ForwardToPeer(owner.peerAddress, aRequest, aKey, owner.epoch, sink);
    } else if (owner.host.empty() && !this->context.journal.CaughtUp() &&
               aRequest.hops < kMaxHops && !this->RandomSeed().empty()) {
      this->ForwardToPeer(
        this->RandomSeed(), aRequest, aKey, owner.epoch, sink);
    }
    if (sink.Finished() ||
        this->StopWithdrawnKey(aRequest, RanState::kNo, sink)) {
      return;
    }
    if (!owner.host.empty()) {
      detail = "owner " + owner.host + " did not respond before the deadline";
    }
    this->context.metrics.Count("tanagerseam_retries_total",
                                { { "reason", "owner" } });
    std::this_thread::sleep_for(kRetryDelay);
  }
  Refusal refusal = MakeRefusal(RefusalReason::kOwnerUnavailable, detail);
  // An owner that did not respond may have run the call.
  refusal.ran = RanState::kUnknown;
  sink.Refuse(refusal);
}

bool
Router::ForwardToPeer(const std::string& aAddress,
                      const CallRequest& aRequest,
                      const std::string& aKey,
                      int64_t aEpoch,
                      DeduplicatingSink& aSink)
{
  wire::AskUnion ask;
  ask.Set(ToWire(aRequest));
  auto stream = this->context.peers.Open(aAddress, std::move(ask));
  uint64_t bytes = 0;
  while (!aSink.Cancelled() && Now() < aRequest.deadline) {
    PeerOutcome outcome = stream->Next(kRecheckInterval);
    if (auto* failure = std::get_if<PeerFailure>(&outcome)) {
      const OwnerLocation current = FindOwner(this->context, aKey);
      if (failure->timedOut && current.epoch == aEpoch &&
          !current.host.empty()) {
        // The owner may not know of the withdrawal yet.
        if (this->StopWithdrawnKey(aRequest, RanState::kUnknown, aSink)) {
          return true;
        }
        continue;
      }
      if (failure->sent) {
        aSink.MarkMayHaveRun();
      }
      return false;
    }
    const wire::FrameT& frame = std::get<wire::FrameT>(outcome);
    if (const auto* head = frame.answer.AsHeadAnswer()) {
      aSink.Head(head->status, head->content_type, head->headers);
    } else if (const auto* chunk = frame.answer.AsChunkAnswer()) {
      bytes += chunk->data.size();
      aSink.Chunk(chunk->data);
    } else if (const auto* refused = frame.answer.AsRefusalAnswer()) {
      const Refusal refusal = FromWire(*refused);
      if (IsRetryable(refusal)) {
        return false;
      }
      aSink.Refuse(refusal);
      return true;
    } else if (const auto* end = frame.answer.AsEndAnswer()) {
      if (end->bytes != bytes) {
        LogError("answer_incomplete", { { "request", aRequest.requestId } });
        aSink.MarkMayHaveRun();
        return false;
      }
      CompletionInfo callEnd;
      callEnd.finishReason = end->finish_reason;
      callEnd.model = end->model;
      callEnd.promptTokens = end->prompt_tokens;
      callEnd.cachedTokens = end->cached_tokens;
      callEnd.completionTokens = end->completion_tokens;
      aSink.End(callEnd);
      return true;
    }
  }
  return false;
}

bool
Router::StopWithdrawnKey(const CallRequest& aRequest,
                         RanState aRan,
                         DeduplicatingSink& aSink)
{
  auto refusal =
    CheckApiKey(this->context, aRequest.keyDigest, aRequest.organisation);
  if (refusal) {
    refusal->ran = aRan;
    aSink.Refuse(*refusal);
  }
  return refusal.has_value();
}

std::string
Router::RandomSeed()
{
  const auto& seeds = this->context.settings.seeds;
  if (seeds.empty()) {
    return "";
  }
  return seeds[StableHash(RandomHex(4)) % seeds.size()];
}

Result<ServiceResponse>
Router::RouteService(const CallRequest& aRequest, const std::string& aKey)
{
  BufferingSink sink;
  this->Route(aRequest, aKey, sink);
  if (sink.refusal) {
    return *sink.refusal;
  }
  return sink.response;
}

} // namespace tanagerseam
