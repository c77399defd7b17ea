// Which hosts know at which version a stream began, while hosts come and go.
#include "resumption/resumption.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace tanagerseam {
namespace {

std::vector<std::string>
Hosts(size_t aCount)
{
  std::vector<std::string> hosts;
  for (size_t i = 0; i < aCount; ++i) {
    hosts.push_back("host-" + std::to_string(i));
  }
  return hosts;
}

std::vector<std::string>
Without(std::vector<std::string> aHosts, const std::string& aHost)
{
  aHosts.erase(std::remove(aHosts.begin(), aHosts.end(), aHost), aHosts.end());
  return aHosts;
}

const StreamOrigin kOrigin{ "engines", "v1" };

TEST(StreamOriginsTest, RemembersEachStreamForABoundedTime)
{
  StreamOrigins origins;
  const TimePoint start = BootNow();
  const uint64_t stream = StreamKey("club", "r-1");
  origins.Put(stream, kOrigin, start);
  {
    SCOPED_TRACE("only the organisation that began it finds it");
    EXPECT_EQ(origins.Find(stream, start)->version, "v1");
    EXPECT_EQ(origins.Find(StreamKey("other", "r-1"), start), nullptr);
  }
  {
    SCOPED_TRACE("it keeps its version");
    origins.Put(stream, { "engines", "v2" }, start);
    EXPECT_EQ(origins.Find(stream, start)->version, "v1");
  }
  {
    SCOPED_TRACE("it is there as long as a client may come back");
    EXPECT_NE(origins.Find(stream, start + StreamOrigins::kStreamMemory),
              nullptr);
    EXPECT_EQ(
      origins.Find(stream, start + StreamOrigins::kStreamMemory + Millis(1)),
      nullptr);
    EXPECT_EQ(origins.Size(), 0u);
  }
}

TEST(StreamOriginsTest, ForgetsTheOldestWhenThereAreTooMany)
{
  StreamOrigins origins;
  const TimePoint start = BootNow();
  for (size_t i = 0; i <= StreamOrigins::kMaxStreams; ++i) {
    origins.Put(i, kOrigin, start + Millis(static_cast<int64_t>(i)));
  }
  const TimePoint end =
    start + Millis(static_cast<int64_t>(StreamOrigins::kMaxStreams));
  EXPECT_EQ(origins.Size(), StreamOrigins::kMaxStreams);
  EXPECT_EQ(origins.Find(0, end), nullptr);
  EXPECT_NE(origins.Find(1, end), nullptr);
}

TEST(VersionHistoryTest, SaysWhichVersionServedAloneSinceAStreamCanHaveBegun)
{
  const Millis longest(8000);
  const TimePoint start = BootNow();
  const auto at = [start](int64_t aMillis) { return start + Millis(aMillis); };
  VersionHistory versions;
  versions.See("engines", "v1", at(0));
  versions.Confirm(at(0));
  {
    SCOPED_TRACE(
      "a host that has just started does not know what served before");
    EXPECT_FALSE(versions.SoleVersion("engines", at(10) - longest, at(10)));
  }
  const auto soleAt = [&](int64_t aMillis) {
    versions.Confirm(at(aMillis));
    return versions.SoleVersion("engines", at(aMillis) - longest, at(aMillis))
      .value_or("");
  };
  versions.See("engines", "v1", at(9000));
  EXPECT_EQ(soleAt(9000), "v1");
  EXPECT_FALSE(versions.SoleVersion("tools", at(1000), at(9000)));
  {
    SCOPED_TRACE("a second version, until all its streams are over");
    versions.See("engines", "v2", at(10000));
    versions.See("engines", "v1", at(12000));
    EXPECT_EQ(soleAt(12000), "");
    versions.See("engines", "v1", at(18100));
    EXPECT_EQ(soleAt(18100), "v1");
  }
  {
    SCOPED_TRACE("the registry can't be read");
    EXPECT_FALSE(versions.SoleVersion("engines", at(13000), at(21000)));
    versions.Confirm(at(21000));
    versions.MarkUnavailable();
    EXPECT_FALSE(versions.SoleVersion("engines", at(13000), at(21000)));
  }
}

// Guards against a version that came and went while the host was suspended or
// could not read the registry, and whose streams another host began.
TEST(VersionHistoryTest, WatchesAnewAfterAGap)
{
  const Millis longest(8000);
  const TimePoint start = BootNow();
  VersionHistory versions;
  versions.OnNewFleet();
  versions.See("engines", "v1", start);
  versions.Confirm(start);
  EXPECT_EQ(versions.SoleVersion("engines", start - longest, start), "v1");
  const TimePoint resumed = start + Millis(60000);
  versions.See("engines", "v1", resumed);
  versions.Confirm(resumed);
  EXPECT_FALSE(versions.SoleVersion("engines", resumed - longest, resumed));
  const TimePoint later = resumed + longest;
  versions.Confirm(later);
  EXPECT_EQ(versions.SoleVersion("engines", later - longest, later), "v1");
}

// Guards against a history that grows with each version that was ever seen.
TEST(VersionHistoryTest, ForgetsVersionsWhoseStreamsAreOver)
{
  const TimePoint start = BootNow();
  VersionHistory versions;
  for (int i = 0; i < 100; ++i) {
    versions.See("engines", "v" + std::to_string(i), start);
  }
  versions.See("tools", "v1", start);
  versions.Confirm(start + StreamOrigins::kStreamMemory);
  EXPECT_EQ(versions.Size(), 101u);
  versions.See("engines", "v7", start + Millis(1));
  versions.Confirm(start + StreamOrigins::kStreamMemory + Millis(1));
  EXPECT_EQ(versions.Size(), 1u);
}

// Pattern: many streams break off because their hosts die, and are taken up at
// the hosts that are left.
class StreamKeepersTest : public ::testing::TestWithParam<size_t>
{
protected:
  // Share of the streams whose origin the hosts that are left find, after
  // aLost of aHosts are lost. aNewcomers have joined that only askers know.
  double FoundShare(size_t aLost, size_t aNewcomers = 0)
  {
    const auto hosts = Hosts(GetParam());
    auto known = Hosts(GetParam() + aNewcomers);
    std::mt19937 random(1);
    std::vector<std::string> shuffled = hosts;
    std::shuffle(shuffled.begin(), shuffled.end(), random);
    const std::set<std::string> lost(
      shuffled.begin(), shuffled.begin() + static_cast<ptrdiff_t>(aLost));
    constexpr int kStreams = 2000;
    int found = 0;
    for (uint64_t stream = 0; stream < kStreams; ++stream) {
      const std::string& teller = hosts[random() % hosts.size()];
      const std::string& asker =
        shuffled[aLost + random() % (hosts.size() - aLost)];
      const auto told =
        StreamKeepers(stream, Without(hosts, teller), kToldKeepers);
      std::set<std::string> knowing(told.begin(), told.end());
      knowing.insert(teller);
      auto asked = StreamKeepers(stream, Without(known, asker), kAskedKeepers);
      asked.push_back(asker);
      found += std::any_of(asked.begin(), asked.end(), [&](const auto& aHost) {
        return lost.count(aHost) == 0 && knowing.count(aHost) > 0;
      });
    }
    return static_cast<double>(found) / kStreams;
  }
};

TEST_P(StreamKeepersTest, AnyHostFindsAStreamOfAnyOther)
{
  EXPECT_EQ(this->FoundShare(0), 1);
}

TEST_P(StreamKeepersTest, MostStreamsAreFoundAfterSixtyOfAHundredHostsAreLost)
{
  EXPECT_GE(this->FoundShare(GetParam() * 6 / 10), 0.5);
}

TEST_P(StreamKeepersTest, HostsThatHaveJustJoinedHideFewStreams)
{
  EXPECT_GE(this->FoundShare(0, GetParam() / 2), 0.95);
}

TEST_P(StreamKeepersTest, HostsShareTheStreamsEvenly)
{
  const auto hosts = Hosts(GetParam());
  std::map<std::string, int> count;
  const int streams = static_cast<int>(100 * GetParam());
  for (int stream = 0; stream < streams; ++stream) {
    for (const auto& host :
         StreamKeepers(static_cast<uint64_t>(stream), hosts, kToldKeepers)) {
      ++count[host];
    }
  }
  for (const auto& entry : count) {
    EXPECT_LT(entry.second, 2 * 200) << entry.first;
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         StreamKeepersTest,
                         ::testing::Values(10, 79, 295));

constexpr uint64_t kFirst = 11;
constexpr uint64_t kAgain = 12;
constexpr uint64_t kThird = 13;

StreamPart
MakePart(uint64_t aAttempt,
         std::optional<uint64_t> aAfter,
         const std::vector<uint64_t>& aIds)
{
  StreamPart part{ aAttempt, aAfter, {} };
  uint32_t position = 0;
  for (const uint64_t id : aIds) {
    part.events[position++] = {
      id, std::to_string(aAttempt) + "." + std::to_string(id)
    };
  }
  return part;
}

// Guards against a turn that is kept with other events than its client has.
TEST(TextUpToTest, TakesOfEachAttemptWhatTheClientHadOfIt)
{
  const std::vector<StreamPart> parts = {
    MakePart(kThird, 3, { 4, 5 }),
    MakePart(kFirst, std::nullopt, { 1, 2, 3, 4 }),
    MakePart(kAgain, 2, { 3, 4, 5 }),
  };
  EXPECT_EQ(TextUpTo(parts, 2), "11.1\n11.2\n");
  EXPECT_EQ(TextUpTo(parts, 3), "11.1\n11.2\n12.3\n");
  EXPECT_EQ(TextUpTo(parts, 5), "11.1\n11.2\n12.3\n13.4\n13.5\n");
  {
    SCOPED_TRACE("a client without events");
    EXPECT_EQ(TextUpTo(parts, 0), "");
    EXPECT_EQ(TextUpTo({}, 0), "");
  }
  {
    SCOPED_TRACE("events are numbered from 0");
    const std::vector<StreamPart> fromZero = { MakePart(
      kFirst, std::nullopt, { 0, 1 }) };
    EXPECT_EQ(TextUpTo(fromZero, 0), "11.0\n");
  }
}

// Guards against a guess where an event is missing or two attempts may have
// brought it.
TEST(TextUpToTest, IsUnsetUnlessCertain)
{
  const StreamPart first = MakePart(kFirst, std::nullopt, { 1, 2, 3, 4 });
  {
    SCOPED_TRACE("the stream is not known");
    EXPECT_FALSE(TextUpTo({}, 2));
  }
  {
    SCOPED_TRACE("the last event is missing");
    EXPECT_FALSE(TextUpTo({ first }, 5));
  }
  {
    SCOPED_TRACE("an event in between is missing");
    StreamPart part = first;
    part.events.erase(1);
    EXPECT_FALSE(TextUpTo({ part }, 4));
    EXPECT_TRUE(TextUpTo({ part }, 1));
  }
  {
    SCOPED_TRACE("the event is missing in the attempt that brought it");
    EXPECT_FALSE(TextUpTo({ first, MakePart(kAgain, 2, { 3 }) }, 4));
  }
  {
    SCOPED_TRACE("two attempts began behind the same event");
    const std::vector<StreamPart> parts = { first,
                                            MakePart(kAgain, 2, { 3 }),
                                            MakePart(kThird, 2, { 3, 4 }) };
    EXPECT_FALSE(TextUpTo(parts, 3));
    EXPECT_FALSE(TextUpTo(parts, 4));
    EXPECT_TRUE(TextUpTo(parts, 2));
  }
}

TEST(StreamEventsTest, KeepsEventsOfManyHostsTogether)
{
  StreamEvents known;
  const TimePoint now = BootNow();
  const uint64_t stream = 7;
  known.Put(stream, { kFirst, std::nullopt, 0, { 1, "one" } }, now);
  known.Put(stream, { kAgain, 1, 0, { 2, "two" } }, now);
  std::vector<StreamPart> parts = known.Find(stream, 3, now);
  EXPECT_FALSE(TextUpTo(parts, 3));
  StreamEvents peer;
  peer.Put(stream, { kAgain, 1, 1, { 3, "three" } }, now);
  MergeParts(peer.Find(stream, 3, now), parts);
  EXPECT_EQ(TextUpTo(parts, 3), "one\ntwo\nthree\n");
  {
    SCOPED_TRACE("repeated messages change nothing");
    known.Put(stream, { kAgain, 1, 0, { 2, "two" } }, now);
    EXPECT_EQ(TextUpTo(known.Find(stream, 2, now), 2), "one\ntwo\n");
  }
}

// Guards against memory that grows with the streams of the fleet.
TEST(StreamEventsTest, ForgetsTheStreamWithTheOldestLastEvent)
{
  StreamEvents known;
  const TimePoint now = BootNow();
  const std::string data(StreamEvents::kMaxBytes / 8, 'x');
  known.Put(0, { kFirst, std::nullopt, 0, { 1, "kept" } }, now);
  for (uint64_t stream = 1; stream <= 20; ++stream) {
    known.Put(stream, { kFirst, std::nullopt, 0, { 1, data } }, now);
    known.Put(0,
              { kFirst,
                std::nullopt,
                static_cast<uint32_t>(stream),
                { stream + 1, "kept" } },
              now);
    EXPECT_LE(known.Bytes(), StreamEvents::kMaxBytes);
  }
  EXPECT_TRUE(known.Find(1, 1, now).empty());
  EXPECT_FALSE(known.Find(20, 1, now).empty());
  EXPECT_TRUE(TextUpTo(known.Find(0, 21, now), 21));
  {
    SCOPED_TRACE("nothing is kept for longer than a client may come back");
    const TimePoint later = now + StreamEvents::kEventMemory + Millis(1);
    EXPECT_TRUE(known.Find(0, 21, later).empty());
    EXPECT_EQ(known.Bytes(), 0u);
  }
}

} // namespace
} // namespace tanagerseam
