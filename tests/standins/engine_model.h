// Continuous batching model of the engine stand-in, without HTTP.
//
// One thread runs steps. A step admits queued sequences in FIFO order while
// slots are free, prefills at most kPrefillTokensPerStep tokens, and decodes
// one token for each sequence whose prefill is complete. Its duration is
// computed from EngineSettings and multiplied by `timeScale`.
//
// Invariants: at most `slots` sequences run; a sequence generates its tokens in
// order; a sequence without readers ends at the next step.
#ifndef TANAGERSEAM_TESTS_STANDINS_ENGINE_MODEL_H_
#define TANAGERSEAM_TESTS_STANDINS_ENGINE_MODEL_H_

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "kernel/kernel.h"
#include "tests/standins/engine_cache.h"

namespace tanagerseam::standin {

struct EngineSettings
{
  // Maximum number of running sequences.
  int slots = 16;
  // Largest number of decoding sequences at which a decode step still takes
  // `decodeMillisPerToken`; more lengthen the step in proportion.
  int knee = 8;
  double prefillMillisPerToken = 0.05;
  double decodeMillisPerToken = 2;
  int64_t cacheTokens = 200000;
  // Age of the load reports.
  Millis reportLag{ 500 };
  double timeScale = 1;
};

// Chat completion; its prompt is given as prefix blocks.
struct CompletionRequest
{
  std::string id;
  std::string program;
  std::vector<PrefixBlock> chain;
  int64_t maxTokens = kDefaultMaxTokens;
};

struct Sequence
{
  CompletionRequest request;
  uint64_t seed = 0;
  int64_t promptTokens = 0;
  int64_t cachedTokens = 0;
  int64_t remainingPrefillTokens = 0;
  int64_t generated = 0;
  // Attached HTTP requests.
  int readers = 1;
  bool prefillDone = false;
  bool ended = false;
  std::condition_variable changed;
};

using SequencePtr = std::shared_ptr<Sequence>;

struct Progress
{
  int64_t generated = 0;
  bool ended = false;
};

struct LoadReport
{
  TimePoint takenAt;
  int running = 0;
  int queued = 0;
  std::vector<std::string> programs;
};

struct EngineStats
{
  int64_t prefilledTokens = 0;
  int64_t cachedTokens = 0;
  int64_t generatedTokens = 0;
  int64_t requests = 0;
  int64_t cancelled = 0;
  int64_t recomputedTokens = 0;
  // Maximum since ResetPeak of concurrent queued and running requests that had
  // a reader.
  int peakInFlight = 0;
  int64_t heldTokens = 0;
  std::vector<std::string> heldPrograms;
};

class EngineModel
{
public:
  explicit EngineModel(const EngineSettings& aSettings);
  ~EngineModel();

  SequencePtr Submit(const CompletionRequest& aRequest);
  // Attaches to the live sequence with this id, or restarts an ended one from
  // its record, if the prompt is the same and at least aFrom tokens were
  // generated. Null otherwise.
  SequencePtr Resume(const CompletionRequest& aRequest, int64_t aFrom);
  // Waits until more than aSent tokens are generated, the sequence has ended,
  // or aMax has passed.
  Progress Wait(Sequence& aSequence, int64_t aSent, Millis aMax);
  // Detaches a reader that disconnected or finished. A sequence that has not
  // ended is cancelled when its last reader detaches.
  void Detach(Sequence& aSequence);

  // Prefix cache operations, see PrefixCache.
  void Release(const std::string& aProgram);
  std::vector<PrefixBlock> Export(const std::string& aProgram);
  void Import(const std::string& aProgram,
              const std::vector<PrefixBlock>& aBlocks);
  // Stops all steps and requests except /control, /stats and /seen.
  void Freeze(Millis aDuration);
  // Blocks while the engine is frozen.
  void WaitWhileFrozen();
  bool Frozen();
  LoadReport Report();
  EngineStats Stats();
  void ResetPeak();
  void Stop();

private:
  // Record of an ended or cancelled sequence, for Resume.
  struct EndedSequence
  {
    uint64_t seed = 0;
    int64_t generated = 0;
    int64_t cachedTokens = 0;
    bool complete = false;
  };

  void RunSteps();
  void RunReports();
  void Admit();
  void UpdatePeakInFlight();
  double PlanStep();
  void FinishStep();
  void Advance(Sequence& aSequence);
  void End(Sequence& aSequence);
  void RemoveFromQueue(Sequence& aSequence);
  void RecordEnded(const Sequence& aSequence);
  LoadReport MakeReport() const;
  SequencePtr MakeSequence(const CompletionRequest& aRequest) const;

  const EngineSettings settings;
  std::mutex mutex;
  std::condition_variable wake;
  bool stopping = false;
  TimePoint frozenUntil;
  PrefixCache cache;
  std::deque<SequencePtr> queue;
  std::vector<SequencePtr> running;
  std::map<std::string, std::weak_ptr<Sequence>> liveSequences;
  std::unordered_map<std::string, EndedSequence> endedSequences;
  std::deque<std::string> endedOrder;
  std::deque<LoadReport> reports;
  EngineStats stats;
  std::thread steps;
  std::thread reporter;
};

} // namespace tanagerseam::standin

#endif // TANAGERSEAM_TESTS_STANDINS_ENGINE_MODEL_H_
