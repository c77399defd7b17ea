// A state restored from JSON must give the same verdicts and the same later
// states as the original, under a seeded random stream of records.
#include <gtest/gtest.h>

#include <random>

#include "state/state.h"

namespace tanagerseam {
namespace {

constexpr int kSlots = 4;

// Generates random records, biased towards values that are sometimes accepted.
class RandomRecordGenerator
{
public:
  explicit RandomRecordGenerator(uint64_t aSeed)
    : random(aSeed)
  {
  }

  Record Next(const ClusterState& aState)
  {
    if (!this->previousRecords.empty() && this->RandomBelow(10) == 0) {
      return this
        ->previousRecords[this->RandomBelow(this->previousRecords.size())];
    }
    const std::string host(1, char('a' + this->RandomBelow(3)));
    uint64_t& sequence = this->sequences[host];
    // Sometimes leaves a permanent gap in the sequence.
    sequence += this->RandomBelow(20) == 0 ? 2 : 1;
    Record record{ { host, "1", sequence }, this->RandomBody(aState, host) };
    this->previousRecords.push_back(record);
    return record;
  }

private:
  size_t RandomBelow(size_t aBound) { return this->random() % aBound; }

  int64_t EpochOrStale(const ClusterState& aState, const std::string& aKey)
  {
    const auto slot = size_t(aState.SlotOf(aKey));
    return aState.Slots()[slot].epoch - (this->RandomBelow(10) == 0 ? 1 : 0);
  }

  RecordBody RandomBody(const ClusterState& aState, const std::string& aHost)
  {
    const std::string id = "p" + std::to_string(this->RandomBelow(4));
    const std::string key = "k" + std::to_string(this->RandomBelow(6));
    const auto program = aState.Program(id);
    const int64_t call = program ? program->NextCall() : 1;
    const int64_t attempt =
      program && program->open ? program->open->attempt : 0;
    switch (this->RandomBelow(16)) {
      case 0:
        return this->RandomBelow(4) == 0
                 ? RecordBody(
                     MemberJoined{ "z", "", "", "", aState.LastOffset() })
                 : RecordBody(
                     MemberRenewed{ 3, false, 2, int(this->RandomBelow(3)) });
      case 1:
        return this->RandomExpiry(aState);
      case 2:
        return this->RandomBelow(4) == 0
                 ? RecordBody(MemberLeft{})
                 : RecordBody(SlotsReleased{ { 0, 2 } });
      case 3:
      case 4: {
        SlotsClaimed claims;
        for (int slot = 0; slot < kSlots; ++slot) {
          claims.claims.push_back({ slot, aState.Slots()[slot].epoch });
        }
        return claims;
      }
      case 5: {
        const auto base =
          aState.Config().version - int64_t(this->RandomBelow(2));
        return ConfigApplied{ base, Json{ { "by", aHost } }, aHost, 1 };
      }
      case 6: {
        ProgramOpened body;
        body.program = id;
        body.organisation = "o";
        body.parent = this->RandomBelow(2) == 0 ? "p0" : "";
        body.budgetTokens = int64_t(50 + this->RandomBelow(200));
        body.maxTurns = int64_t(1 + this->RandomBelow(20));
        body.epoch = this->EpochOrStale(aState, "program/" + id);
        return body;
      }
      case 7:
      case 8:
        return CallStarted{ id,
                            call,
                            attempt + 1,
                            this->EpochOrStale(aState, "program/" + id),
                            int64_t(this->RandomBelow(30)),
                            true,
                            "d" };
      case 9:
      case 10: {
        CallFinished body;
        body.program = id;
        body.call = call;
        body.attempt = attempt;
        body.previousDigest = program ? program->HeadDigest() : "";
        body.answer = std::to_string(this->RandomBelow(1000));
        body.usedTokens = 1;
        return body;
      }
      case 11:
        return CallVoided{ id, call, attempt };
      case 12:
        return this->RandomBelow(4) == 0
                 ? RecordBody(ProgramEnded{ id, "done" })
                 : RecordBody(Snapshot{});
      case 13:
        return RequestStarted{ key,
                               "d",
                               this->EpochOrStale(aState, "ledger/" + key) };
      case 14:
        return RequestFinished{ key, 200, "t", "b" };
      default:
        return RequestVoided{ key,
                              this->EpochOrStale(aState, "ledger/" + key) };
    }
  }

  RecordBody RandomExpiry(const ClusterState& aState)
  {
    const std::string host(1, char('a' + this->RandomBelow(3)));
    auto found = aState.Members().find(host);
    if (found == aState.Members().end() || this->RandomBelow(3) != 0) {
      return MemberExpired{ host, "1", 0 };
    }
    return MemberExpired{ host, "1", found->second.renewedOffset };
  }

  std::mt19937_64 random;
  std::map<std::string, uint64_t> sequences;
  std::vector<Record> previousRecords;
};

TEST(SnapshotRoundTrip, RestoredStateGivesSameVerdicts)
{
  constexpr int kSeeds = 20;
  constexpr int kRecords = 1000;
  std::map<Verdict, int> seen;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    RandomRecordGenerator records(seed);
    ClusterState original(kSlots);
    ClusterState copy(kSlots);
    for (int i = 0; i < kRecords; ++i) {
      const Record record = records.Next(original);
      const ApplyOutcome expected = original.Apply(i, record);
      const ApplyOutcome actual = copy.Apply(i, record);
      ++seen[expected.verdict];
      ASSERT_EQ(expected.verdict, actual.verdict)
        << i << " " << EncodeRecord(record);
      ASSERT_EQ(expected.slots, actual.slots) << i;
      if (i % 100 == 0) {
        ASSERT_EQ(original.ToJson(), copy.ToJson()) << i;
        copy = ClusterState::FromJson(Json::parse(original.ToJson().dump()));
      }
    }
    ASSERT_EQ(original.ToJson(), copy.ToJson());
  }
  // The generated stream must produce every verdict.
  for (int i = 0; i <= int(Verdict::kVoted); ++i) {
    EXPECT_GT(seen[Verdict(i)], 0) << VerdictName(Verdict(i));
  }
}

} // namespace
} // namespace tanagerseam
