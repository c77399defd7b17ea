// Cost of applying records to the cluster state, by number of programs, and of
// encoding and decoding records, by answer size.
#include <benchmark/benchmark.h>

#include "state/state.h"

namespace tanagerseam {
namespace {

constexpr int kSlots = 64;
// The state keeps all turns, so a fixed number of iterations bounds the memory.
constexpr int kApplyIterations = 100000;

// Applies records to a state whose only member owns all slots.
class RecordWriter
{
public:
  RecordWriter()
    : state(kSlots)
  {
    this->Apply(MemberJoined{ "zone-a", "", "", "" });
    SlotsClaimed claimed;
    for (int slot = 0; slot < kSlots; ++slot) {
      claimed.claims.push_back({ slot, this->state.Slots()[slot].epoch });
    }
    this->Apply(claimed);
    this->epoch = this->state.Slots()[0].epoch;
  }

  Verdict Apply(RecordBody aBody)
  {
    Record record;
    record.header = { "host-1", "incarnation-1", ++this->sequence };
    record.body = std::move(aBody);
    return this->state.Apply(this->offset++, record).verdict;
  }

  Verdict Open(const std::string& aProgram)
  {
    ProgramOpened opened;
    opened.program = aProgram;
    opened.organisation = "stopa";
    opened.urgency = "normal";
    opened.budgetTokens = 1000000000;
    opened.maxTurns = 1000000000;
    opened.epoch = this->epoch;
    return this->Apply(opened);
  }

  // Applies the start and the finish of the program's next call.
  Verdict Call(const std::string& aProgram)
  {
    const auto& program = *this->state.Programs().at(aProgram);
    CallStarted started;
    started.program = aProgram;
    started.call = program.NextCall();
    started.attempt = 1;
    started.epoch = this->epoch;
    started.reservedTokens = 100;
    CallFinished finished;
    finished.program = aProgram;
    finished.call = started.call;
    finished.attempt = 1;
    finished.previousDigest = program.HeadDigest();
    finished.kind = "model";
    finished.usedTokens = 50;
    this->Apply(started);
    return this->Apply(finished);
  }

private:
  ClusterState state;
  uint64_t sequence = 0;
  int64_t offset = 1;
  int64_t epoch = 0;
};

void
FoldCall(benchmark::State& aState)
{
  RecordWriter writer;
  std::vector<std::string> programs;
  for (int64_t i = 0; i < aState.range(0); ++i) {
    programs.push_back("program-" + std::to_string(i));
    if (writer.Open(programs.back()) != Verdict::kAccepted) {
      aState.SkipWithError("opening a program was rejected");
      return;
    }
  }
  size_t next = 0;
  for (auto _ : aState) {
    const std::string& program = programs[next * 7919 % programs.size()];
    ++next;
    if (writer.Call(program) != Verdict::kAccepted) {
      aState.SkipWithError("record of a call was rejected");
      return;
    }
  }
  // Each call applies two records.
  aState.SetItemsProcessed(aState.iterations() * 2);
}
BENCHMARK(FoldCall)
  ->Arg(1000)
  ->Arg(10000)
  ->Arg(100000)
  ->Arg(410000)
  ->Iterations(kApplyIterations);

Record
FinishedRecord(int64_t aBytes)
{
  CallFinished finished;
  finished.program = "program-1";
  finished.call = 3;
  finished.kind = "model";
  finished.answer = std::string(static_cast<size_t>(aBytes), 'a');
  finished.endpoint = "engine-1";
  Record record;
  record.header = { "host-1", "incarnation-1", 1 };
  record.body = finished;
  return record;
}

// Argument: answer size in bytes.
void
EncodeCallFinished(benchmark::State& aState)
{
  const Record record = FinishedRecord(aState.range(0));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(EncodeRecord(record));
  }
}
BENCHMARK(EncodeCallFinished)->Arg(100)->Arg(10000)->Arg(1000000);

void
DecodeCallFinished(benchmark::State& aState)
{
  const std::string text = EncodeRecord(FinishedRecord(aState.range(0)));
  for (auto _ : aState) {
    auto record = DecodeRecord(text);
    if (!IsOk(record)) {
      aState.SkipWithError("decoding a record failed");
      return;
    }
    benchmark::DoNotOptimize(record);
  }
}
BENCHMARK(DecodeCallFinished)->Arg(100)->Arg(10000)->Arg(1000000);

} // namespace
} // namespace tanagerseam
