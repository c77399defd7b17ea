#include "endpoint/completion_stream.h"

#include <algorithm>

namespace tanagerseam {

namespace {

using nlohmann::json;

constexpr std::string_view kDoneMarker = "[DONE]";
// Bounds the memory that one completion may take.
constexpr size_t kMaxTextBytes = 16u << 20;

int64_t
NonNegativeIntegerAt(const json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  const bool isInteger = found != aObject.end() && found->is_number_integer();
  return isInteger ? std::max<int64_t>(0, found->get<int64_t>()) : 0;
}

// The first choice of a chunk, or null.
const json*
FirstChoice(const json& aChunk)
{
  const auto choices = aChunk.find("choices");
  const bool hasChoice = choices != aChunk.end() && choices->is_array() &&
                         !choices->empty() && choices->front().is_object();
  return hasChoice ? &choices->front() : nullptr;
}

// The text delta of a choice, or null.
const std::string*
DeltaContent(const json& aChoice)
{
  const auto delta = aChoice.find("delta");
  if (delta == aChoice.end() || !delta->is_object()) {
    return nullptr;
  }
  const auto content = delta->find("content");
  return content == delta->end() ? nullptr
                                 : content->get_ptr<const std::string*>();
}

} // namespace

std::string_view
StreamStateName(StreamState aState)
{
  switch (aState) {
    case StreamState::kOpen:
      return "stream ended without [DONE]";
    case StreamState::kComplete:
      return "whole";
    case StreamState::kRequestIdMismatch:
      return "response carries another request id";
    case StreamState::kGap:
      return "content deltas missing";
    case StreamState::kMalformed:
      return "malformed";
    case StreamState::kReplayMismatch:
      return "replayed content differs from the delivered content";
    case StreamState::kCancelled:
      return "cancelled";
  }
  return "";
}

CompletionStream::CompletionStream(
  std::string aRequestId,
  std::function<bool(std::string_view)> aOnDelta)
  : requestId(std::move(aRequestId))
  , onDelta(std::move(aOnDelta))
{
}

void
CompletionStream::StartAttempt(int64_t aFirstIndex)
{
  this->state = StreamState::kOpen;
  this->expectedIndex = aFirstIndex;
  this->finishReasonSeen = false;
}

std::string_view
CompletionStream::DeltaAt(int64_t aIndex) const
{
  const size_t begin = aIndex == 0 ? 0 : this->deltaEnds[size_t(aIndex) - 1];
  return std::string_view(this->text)
    .substr(begin, this->deltaEnds[size_t(aIndex)] - begin);
}

StreamState
CompletionStream::AppendDelta(const std::string& aDelta)
{
  const int64_t index = this->expectedIndex;
  ++this->expectedIndex;
  if (index < this->DeltaCount()) {
    return this->DeltaAt(index) == aDelta ? StreamState::kOpen
                                          : StreamState::kReplayMismatch;
  }
  if (this->text.size() + aDelta.size() > kMaxTextBytes) {
    return StreamState::kMalformed;
  }
  this->text += aDelta;
  this->deltaEnds.push_back(this->text.size());
  const bool keepGoing = !this->onDelta || this->onDelta(aDelta);
  return keepGoing ? StreamState::kOpen : StreamState::kCancelled;
}

void
CompletionStream::RecordUsage(const json& aUsage)
{
  this->promptTokens = NonNegativeIntegerAt(aUsage, "prompt_tokens");
  this->completionTokens = NonNegativeIntegerAt(aUsage, "completion_tokens");
  const auto details = aUsage.find("prompt_tokens_details");
  if (details != aUsage.end() && details->is_object()) {
    this->cachedTokens = NonNegativeIntegerAt(*details, "cached_tokens");
  }
}

StreamState
CompletionStream::ProcessChunk(const json& aChunk)
{
  const auto id = aChunk.find("id");
  if (id == aChunk.end() || *id != this->requestId) {
    return StreamState::kRequestIdMismatch;
  }
  const auto index = aChunk.find("index");
  if (index == aChunk.end() || *index != this->expectedIndex) {
    return StreamState::kGap;
  }
  const json* choice = FirstChoice(aChunk);
  const std::string* content = choice ? DeltaContent(*choice) : nullptr;
  if (choice != nullptr && choice->contains("finish_reason") &&
      (*choice)["finish_reason"].is_string()) {
    this->finishReason = (*choice)["finish_reason"];
    this->finishReasonSeen = true;
  }
  const auto usage = aChunk.find("usage");
  if (usage != aChunk.end() && usage->is_object()) {
    this->RecordUsage(*usage);
  }
  return content != nullptr ? this->AppendDelta(*content) : StreamState::kOpen;
}

bool
CompletionStream::OnEvent(std::string_view aData)
{
  if (this->state != StreamState::kOpen) {
    return false;
  }
  if (aData == kDoneMarker) {
    const bool complete =
      this->finishReasonSeen && this->expectedIndex == this->DeltaCount();
    this->state = complete ? StreamState::kComplete : StreamState::kGap;
    return false;
  }
  const json chunk = json::parse(aData, nullptr, false);
  this->state =
    chunk.is_object() ? this->ProcessChunk(chunk) : StreamState::kMalformed;
  return this->state == StreamState::kOpen;
}

} // namespace tanagerseam
