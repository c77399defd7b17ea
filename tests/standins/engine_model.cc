#include "tests/standins/engine_model.h"

#include <algorithm>

namespace tanagerseam::standin {

namespace {

constexpr int64_t kPrefillTokensPerStep = 512;
constexpr size_t kMaxEndedSequences = 8192;
// A late step shortens the waits of the following steps; if the lag exceeds
// this, it is dropped instead of caught up.
constexpr Millis kMaxStepLag(50);
constexpr Millis kMinReportPeriod(10);
constexpr int kReportsPerLag = 8;

} // namespace

EngineModel::EngineModel(const EngineSettings& aSettings)
  : settings(aSettings)
  , cache(aSettings.cacheTokens)
{
  this->reports.push_back(this->MakeReport());
  this->steps = std::thread([this] { this->RunSteps(); });
  this->reporter = std::thread([this] { this->RunReports(); });
}

EngineModel::~EngineModel()
{
  this->Stop();
  this->steps.join();
  this->reporter.join();
}

void
EngineModel::Stop()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->stopping = true;
  for (const auto& entry : this->liveSequences) {
    if (auto sequence = entry.second.lock()) {
      sequence->ended = true;
      sequence->changed.notify_all();
    }
  }
  this->wake.notify_all();
}

SequencePtr
EngineModel::MakeSequence(const CompletionRequest& aRequest) const
{
  auto sequence = std::make_shared<Sequence>();
  sequence->request = aRequest;
  sequence->seed = ResponseSeed(aRequest.chain);
  for (const PrefixBlock& block : aRequest.chain) {
    sequence->promptTokens += block.tokens;
  }
  return sequence;
}

SequencePtr
EngineModel::Submit(const CompletionRequest& aRequest)
{
  SequencePtr sequence = this->MakeSequence(aRequest);
  std::lock_guard<std::mutex> lock(this->mutex);
  ++this->stats.requests;
  sequence->ended = this->stopping;
  this->liveSequences[aRequest.id] = sequence;
  this->queue.push_back(sequence);
  this->UpdatePeakInFlight();
  this->wake.notify_all();
  return sequence;
}

SequencePtr
EngineModel::Resume(const CompletionRequest& aRequest, int64_t aFrom)
{
  SequencePtr restarted = this->MakeSequence(aRequest);
  std::lock_guard<std::mutex> lock(this->mutex);
  auto liveEntry = this->liveSequences.find(aRequest.id);
  if (liveEntry != this->liveSequences.end()) {
    SequencePtr sequence = liveEntry->second.lock();
    if (sequence && !sequence->ended && sequence->seed == restarted->seed &&
        sequence->readers > 0 && sequence->generated >= aFrom) {
      ++sequence->readers;
      return sequence;
    }
  }
  auto found = this->endedSequences.find(aRequest.id);
  if (found == this->endedSequences.end() ||
      found->second.seed != restarted->seed ||
      found->second.generated < aFrom) {
    return nullptr;
  }
  restarted->generated = found->second.generated;
  restarted->cachedTokens = found->second.cachedTokens;
  restarted->ended = found->second.complete || this->stopping;
  if (!restarted->ended) {
    this->liveSequences[aRequest.id] = restarted;
    this->queue.push_back(restarted);
    this->wake.notify_all();
  }
  return restarted;
}

Progress
EngineModel::Wait(Sequence& aSequence, int64_t aSent, Millis aMax)
{
  std::unique_lock<std::mutex> lock(this->mutex);
  aSequence.changed.wait_for(
    lock, aMax, [&] { return aSequence.ended || aSequence.generated > aSent; });
  return { aSequence.generated, aSequence.ended };
}

void
EngineModel::Detach(Sequence& aSequence)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  --aSequence.readers;
  if (aSequence.readers == 0 && !aSequence.ended) {
    ++this->stats.cancelled;
    this->RecordEnded(aSequence);
    this->RemoveFromQueue(aSequence);
  }
}

// A queued sequence ends at once; a running one ends at the next step.
void
EngineModel::RemoveFromQueue(Sequence& aSequence)
{
  const auto position = std::find_if(
    this->queue.begin(), this->queue.end(), [&](const SequencePtr& aCandidate) {
      return aCandidate.get() == &aSequence;
    });
  if (position != this->queue.end()) {
    this->End(aSequence);
    this->queue.erase(position);
  }
}

void
EngineModel::RecordEnded(const Sequence& aSequence)
{
  const std::string& id = aSequence.request.id;
  if (this->endedSequences.count(id) == 0) {
    this->endedOrder.push_back(id);
  }
  const bool complete = aSequence.generated >= aSequence.request.maxTokens;
  this->endedSequences[id] = {
    aSequence.seed, aSequence.generated, aSequence.cachedTokens, complete
  };
  if (this->endedOrder.size() > kMaxEndedSequences) {
    this->endedSequences.erase(this->endedOrder.front());
    this->endedOrder.pop_front();
  }
}

void
EngineModel::End(Sequence& aSequence)
{
  if (!aSequence.ended) {
    this->RecordEnded(aSequence);
  }
  aSequence.ended = true;
  aSequence.changed.notify_all();
  auto liveEntry = this->liveSequences.find(aSequence.request.id);
  if (liveEntry != this->liveSequences.end() &&
      liveEntry->second.lock().get() == &aSequence) {
    this->liveSequences.erase(liveEntry);
  }
}

void
EngineModel::Admit()
{
  while (!this->queue.empty() &&
         int(this->running.size()) < this->settings.slots) {
    SequencePtr sequence = this->queue.front();
    this->queue.pop_front();
    if (sequence->readers == 0 || sequence->ended) {
      this->End(*sequence);
      continue;
    }
    const auto& chain = sequence->request.chain;
    const int64_t cached = this->cache.Lookup(sequence->request.program, chain);
    sequence->cachedTokens = cached;
    sequence->remainingPrefillTokens = sequence->promptTokens - cached;
    this->stats.cachedTokens += cached;
    this->stats.recomputedTokens += this->cache.RecomputedTokens(chain, cached);
    this->running.push_back(std::move(sequence));
  }
}

// Assigns the prefill tokens of this step; returns its duration in ms.
double
EngineModel::PlanStep()
{
  int64_t budget = kPrefillTokensPerStep;
  int decoding = 0;
  for (const SequencePtr& sequence : this->running) {
    if (sequence->remainingPrefillTokens == 0) {
      ++decoding;
      continue;
    }
    const int64_t taken = std::min(budget, sequence->remainingPrefillTokens);
    sequence->remainingPrefillTokens -= taken;
    budget -= taken;
  }
  const int64_t prefilled = kPrefillTokensPerStep - budget;
  this->stats.prefilledTokens += prefilled;
  double millis = double(prefilled) * this->settings.prefillMillisPerToken;
  if (decoding > 0) {
    const double beyond = std::max(0, decoding - this->settings.knee);
    const double growth = 1 + beyond / this->settings.knee;
    millis += this->settings.decodeMillisPerToken * growth;
  }
  return millis * this->settings.timeScale;
}

void
EngineModel::Advance(Sequence& aSequence)
{
  const CompletionRequest& request = aSequence.request;
  if (!aSequence.prefillDone) {
    aSequence.prefillDone = true;
    this->cache.Insert(request.program, request.chain);
  }
  ++aSequence.generated;
  ++this->stats.generatedTokens;
  aSequence.changed.notify_all();
  if (aSequence.generated < request.maxTokens) {
    return;
  }
  // The response is the next message of the conversation.
  std::vector<PrefixBlock> chain = request.chain;
  const std::string text = ResponseText(aSequence.seed, aSequence.generated);
  chain.push_back(HashPrefixBlock(aSequence.seed, "assistant", text));
  this->cache.Insert(request.program, chain);
  this->End(aSequence);
}

void
EngineModel::FinishStep()
{
  for (const SequencePtr& sequence : this->running) {
    if (sequence->readers == 0 && !sequence->ended) {
      this->End(*sequence);
    } else if (sequence->remainingPrefillTokens == 0 && !sequence->ended) {
      this->Advance(*sequence);
    }
  }
  this->running.erase(std::remove_if(this->running.begin(),
                                     this->running.end(),
                                     [](const SequencePtr& aCandidate) {
                                       return aCandidate->ended;
                                     }),
                      this->running.end());
}

void
EngineModel::RunSteps()
{
  std::unique_lock<std::mutex> lock(this->mutex);
  TimePoint next = Now();
  while (!this->stopping) {
    this->wake.wait(lock, [this] {
      return this->stopping || !this->running.empty() || !this->queue.empty();
    });
    this->Admit();
    const double millis = this->PlanStep();
    const TimePoint now = Now();
    next = now - next > kMaxStepLag ? now : next;
    next += std::chrono::microseconds(int64_t(millis * 1000));
    lock.unlock();
    std::this_thread::sleep_until(next);
    this->WaitWhileFrozen();
    lock.lock();
    this->FinishStep();
    if (this->running.empty() && this->queue.empty()) {
      next = Now();
    }
  }
}

LoadReport
EngineModel::MakeReport() const
{
  LoadReport report;
  report.takenAt = Now();
  report.running = int(this->running.size());
  report.queued = int(this->queue.size());
  report.programs = this->cache.Programs();
  return report;
}

void
EngineModel::RunReports()
{
  const Millis lag = this->settings.reportLag;
  const Millis period = std::max(kMinReportPeriod, lag / kReportsPerLag);
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    this->wake.wait_for(lock, period, [this] { return this->stopping; });
    this->reports.push_back(this->MakeReport());
    // Once the second oldest is at least `lag` old, Report needs no older one.
    while (this->reports.size() > 1 &&
           Now() - this->reports[1].takenAt >= lag) {
      this->reports.pop_front();
    }
  }
}

LoadReport
EngineModel::Report()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->settings.reportLag.count() == 0) {
    return this->MakeReport();
  }
  return this->reports.front();
}

EngineStats
EngineModel::Stats()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  EngineStats stats = this->stats;
  stats.heldTokens = this->cache.Tokens();
  stats.heldPrograms = this->cache.Programs();
  return stats;
}

// Counts queued and running sequences that have a reader.
void
EngineModel::UpdatePeakInFlight()
{
  const auto hasReader = [](const SequencePtr& aCandidate) {
    return aCandidate->readers > 0 && !aCandidate->ended;
  };
  const auto inFlight =
    std::count_if(this->queue.begin(), this->queue.end(), hasReader) +
    std::count_if(this->running.begin(), this->running.end(), hasReader);
  this->stats.peakInFlight = std::max(this->stats.peakInFlight, int(inFlight));
}

void
EngineModel::ResetPeak()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->stats.peakInFlight = 0;
  this->UpdatePeakInFlight();
}

void
EngineModel::Release(const std::string& aProgram)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->cache.Release(aProgram);
}

std::vector<PrefixBlock>
EngineModel::Export(const std::string& aProgram)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->cache.Export(aProgram);
}

void
EngineModel::Import(const std::string& aProgram,
                    const std::vector<PrefixBlock>& aBlocks)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->cache.Insert(aProgram, aBlocks);
}

void
EngineModel::Freeze(Millis aDuration)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->frozenUntil = Now() + aDuration;
}

bool
EngineModel::Frozen()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return !this->stopping && Now() < this->frozenUntil;
}

void
EngineModel::WaitWhileFrozen()
{
  while (this->Frozen()) {
    std::this_thread::sleep_for(Millis(5));
  }
}

} // namespace tanagerseam::standin
