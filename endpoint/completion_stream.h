// Assembles one streamed completion, over all attempts to read it. A delta is
// the text that one chunk adds.
//
//   CompletionStream stream(call.requestId, call.onDelta);
//   stream.StartAttempt(stream.DeltaCount());
//   while (...) { if (!stream.OnEvent(data)) { break; } }
//   if (stream.State() == StreamState::kComplete) { ... stream.Text() ... }
//
// Invariants:
// - Every delta is delivered once, in order of its index.
// - No delta of a chunk with another request id is delivered.
// - A delta that is received again must equal the delivered one; else it is
//   part of another completion, and the stream fails.
// - kComplete only after a chunk with a finish reason and the [DONE] marker,
//   and only if this attempt has read up to the last delivered delta.
#ifndef TANAGERSEAM_ENDPOINT_COMPLETION_STREAM_H_
#define TANAGERSEAM_ENDPOINT_COMPLETION_STREAM_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace tanagerseam {

enum class StreamState
{
  // More events are expected.
  kOpen,
  kComplete,
  // The response or a chunk carries another request id.
  kRequestIdMismatch,
  // A chunk is out of sequence, or [DONE] came before the end of the
  // completion.
  kGap,
  kMalformed,
  // A delta that was received again differs from the delivered one.
  kReplayMismatch,
  kCancelled,
};

std::string_view
StreamStateName(StreamState aState);

class CompletionStream
{
public:
  CompletionStream(std::string aRequestId,
                   std::function<bool(std::string_view)> aOnDelta);

  // Starts a new attempt whose first chunk has index aFirstIndex, at most
  // DeltaCount().
  void StartAttempt(int64_t aFirstIndex);
  // Processes the data of one event. False once the state is no longer kOpen.
  bool OnEvent(std::string_view aData);
  // Ends the attempt with a state that the caller detected.
  void Fail(StreamState aState) { this->state = aState; }

  StreamState State() const { return this->state; }
  int64_t DeltaCount() const { return int64_t(this->deltaEnds.size()); }
  const std::string& Text() const { return this->text; }
  const std::string& FinishReason() const { return this->finishReason; }
  int64_t PromptTokens() const { return this->promptTokens; }
  int64_t CachedTokens() const { return this->cachedTokens; }
  int64_t CompletionTokens() const { return this->completionTokens; }

private:
  StreamState ProcessChunk(const nlohmann::json& aChunk);
  StreamState AppendDelta(const std::string& aDelta);
  void RecordUsage(const nlohmann::json& aUsage);
  // The text of a delivered delta.
  std::string_view DeltaAt(int64_t aIndex) const;

  const std::string requestId;
  const std::function<bool(std::string_view)> onDelta;
  StreamState state = StreamState::kOpen;
  // Required index of the next chunk.
  int64_t expectedIndex = 0;
  bool finishReasonSeen = false;
  std::string text;
  // End position of each delta in `text`.
  std::vector<size_t> deltaEnds;
  std::string finishReason;
  int64_t promptTokens = 0;
  int64_t cachedTokens = 0;
  int64_t completionTokens = 0;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_ENDPOINT_COMPLETION_STREAM_H_
