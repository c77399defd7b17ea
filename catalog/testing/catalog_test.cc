// Configuration lookups (routes by longest prefix, organisations by key,
// services by weight) and endpoints that register, drain, leave and expire, or
// announce their shutdown.
#include <gtest/gtest.h>

#include "catalog/catalog.h"

namespace tanagerseam {
namespace {

TimePoint
At(int64_t aMillis)
{
  return TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
}

RouteEntry
MakeRoute(const std::string& aName, const std::string& aPathPrefix)
{
  RouteEntry route;
  route.name = aName;
  route.host = "reports.example";
  route.pathPrefix = aPathPrefix;
  route.targets = { { "drafting", 1 } };
  return route;
}

TEST(CatalogTest, FindsRouteByLongestPathPrefix)
{
  CatalogContent content;
  content.routes = { MakeRoute("all", "/"),
                     MakeRoute("ask", "/ask/"),
                     MakeRoute("deep", "/ask/tracks/") };
  const Catalog catalog(content);
  struct Row
  {
    const char* target;
    const char* route;
  };
  const Row rows[] = {
    { "/ask/42", "ask" },
    { "/ask/tracks/7?x=/y/", "deep" },
    { "/ask/tracks", "ask" },
    { "/ask", "all" },
    { "/other/ask/", "all" },
    { "/ask/../ask/tracks/1", "ask" },
    { "/ask?next=/ask/tracks/", "all" },
  };
  for (const Row& row : rows) {
    const RouteEntry* route = catalog.FindRoute("reports.example", row.target);
    ASSERT_NE(route, nullptr) << row.target;
    EXPECT_EQ(route->name, row.route) << row.target;
  }
  EXPECT_EQ(catalog.FindRoute("elsewhere.example", "/ask/1"), nullptr);
  EXPECT_EQ(catalog.FindRoute("reports.example", "no-slash"), nullptr);
}

TEST(CatalogTest, FindsOrganisationByKey)
{
  CatalogContent content;
  content.organisations = { { "club", { "k1", "k2" } }, { "rival", { "k3" } } };
  const Catalog catalog(content);
  EXPECT_EQ(catalog.FindOrganisation("k2")->name, "club");
  EXPECT_EQ(catalog.FindOrganisation("k3")->name, "rival");
  EXPECT_EQ(catalog.FindOrganisation("k4"), nullptr);
  EXPECT_TRUE(catalog.RequiresKeys());
}

TEST(CatalogTest, ChoosesServiceByWeight)
{
  RouteEntry route = MakeRoute("ask", "/");
  route.targets = { { "old", 90 }, { "new", 10 } };
  EXPECT_EQ(ChooseService(route, 0.0), "old");
  EXPECT_EQ(ChooseService(route, 0.89), "old");
  EXPECT_EQ(ChooseService(route, 0.91), "new");
  EXPECT_EQ(ChooseService(route, 0.999), "new");
}

class EndpointTableTest : public ::testing::Test
{
protected:
  static EndpointEntry Entry(const std::string& aId, bool aDraining = false)
  {
    EndpointEntry entry;
    entry.id = aId;
    entry.service = "drafting";
    entry.draining = aDraining;
    return entry;
  }

  size_t Usable() const { return this->table.Usable("drafting").size(); }

  EndpointTable table{ Millis(2200) };
};

TEST_F(EndpointTableTest, EndpointsRegisterDrainAndLeave)
{
  this->table.Put(Entry("i-1"), At(0));
  this->table.Put(Entry("i-2"), At(0));
  EXPECT_EQ(this->Usable(), 2u);
  this->table.Put(Entry("i-1", true), At(0));
  EXPECT_EQ(this->Usable(), 1u);
  this->table.Remove("i-2", At(0));
  EXPECT_EQ(this->Usable(), 0u);
}

TEST_F(EndpointTableTest, KeepsEndpointsRemovedDuringRegistryOutage)
{
  this->table.Put(Entry("i-1"), At(0));
  this->table.Put(Entry("i-2"), At(0));
  this->table.OnRegistryLost();
  this->table.Remove("i-1", At(10));
  this->table.Remove("i-2", At(10));
  EXPECT_EQ(this->Usable(), 2u);
  this->table.OnRegistryRecovered(At(5000));
  {
    SCOPED_TRACE(
      "a live endpoint registers again soon after the registry recovers");
    this->table.Put(Entry("i-1"), At(6000));
    EXPECT_TRUE(this->table.PurgeRemoved(At(7000)).empty());
    EXPECT_EQ(this->Usable(), 2u);
  }
  {
    SCOPED_TRACE("the other endpoint is purged after the grace");
    EXPECT_EQ(this->table.PurgeRemoved(At(7300)),
              std::vector<std::string>{ "i-2" });
    EXPECT_EQ(this->Usable(), 1u);
  }
  {
    SCOPED_TRACE("later removals take effect at once");
    this->table.Remove("i-1", At(7400));
    EXPECT_EQ(this->Usable(), 0u);
  }
}

TEST_F(EndpointTableTest, FewRemovalsTakeEffectAtOnce)
{
  for (const char* id : { "i-1", "i-2", "i-3", "i-4", "i-5", "i-6" }) {
    this->table.Put(Entry(id), At(0));
  }
  this->table.Remove("i-1", At(60000));
  EXPECT_EQ(this->Usable(), 5u);
  this->table.Remove("i-2", At(60500));
  EXPECT_EQ(this->Usable(), 4u);
}

TEST_F(EndpointTableTest, KeepsEndpointsOnMassExpiry)
{
  for (const char* id : { "i-1", "i-2", "i-3", "i-4", "i-5" }) {
    this->table.Put(Entry(id), At(0));
  }
  this->table.Put(Entry("i-5", true), At(100));
  for (const char* id : { "i-1", "i-2", "i-3", "i-4" }) {
    this->table.Remove(id, At(9000));
  }
  EXPECT_EQ(this->Usable(), 4u);
  EXPECT_TRUE(this->table.PurgeRemoved(At(14000)).empty());
  {
    SCOPED_TRACE("a draining endpoint is erased even during a mass expiry");
    this->table.Remove("i-5", At(14000));
    EXPECT_EQ(this->table.Find("i-5"), nullptr);
  }
  {
    SCOPED_TRACE(
      "after the first registers again, the others have the grace to follow");
    this->table.Put(Entry("i-2"), At(15000));
    EXPECT_TRUE(this->table.PurgeRemoved(At(16000)).empty());
    this->table.Put(Entry("i-3"), At(16500));
    EXPECT_EQ(this->table.PurgeRemoved(At(17300)).size(), 2u);
    EXPECT_EQ(this->Usable(), 2u);
  }
}

TEST_F(EndpointTableTest, MassExpiryEndsIfNoEndpointReturns)
{
  for (const char* id : { "i-1", "i-2", "i-3" }) {
    this->table.Put(Entry(id), At(0));
    this->table.Remove(id, At(1000));
  }
  EXPECT_EQ(this->Usable(), 3u);
  EXPECT_EQ(this->table.PurgeRemoved(At(17000)).size(), 3u);
}

class LeavingEndpointTest : public EndpointTableTest
{
protected:
  static constexpr int64_t kStarted = 1700000000000;
  static constexpr int64_t kAnnounced = kStarted + 60000;

  static EndpointEntry Started(int64_t aStartedAtMillis)
  {
    EndpointEntry entry = Entry("i-1");
    entry.startedAtMillis = aStartedAtMillis;
    return entry;
  }

  void SetUp() override
  {
    this->table.Put(Started(kStarted), At(0));
    EXPECT_TRUE(
      this->table.MarkLeaving({ "i-1", kStarted, kAnnounced }, At(0)));
  }
};

TEST_F(LeavingEndpointTest, IsNotUsableWhateverTheRegistrySays)
{
  EXPECT_EQ(this->Usable(), 0u);
  EXPECT_FALSE(this->table.IsUsable("i-1"));
  {
    SCOPED_TRACE("a second announcement changes nothing");
    EXPECT_FALSE(
      this->table.MarkLeaving({ "i-1", kStarted, kAnnounced + 1 }, At(1)));
  }
  {
    SCOPED_TRACE("an entry that still says ready");
    this->table.Put(Started(kStarted), At(1000));
    EXPECT_EQ(this->Usable(), 0u);
  }
  {
    SCOPED_TRACE("an older entry");
    this->table.Put(Started(kStarted - 5000), At(1000));
    EXPECT_EQ(this->Usable(), 0u);
  }
  {
    SCOPED_TRACE("an entry that lapses and returns");
    this->table.Remove("i-1", At(2000));
    this->table.PurgeRemoved(At(20000));
    EXPECT_EQ(this->table.Find("i-1"), nullptr);
    EXPECT_TRUE(this->table.Leaving().empty());
    this->table.Put(Started(kStarted), At(21000));
    EXPECT_EQ(this->Usable(), 0u);
    EXPECT_EQ(this->table.Leaving().size(), 1u);
  }
}

TEST_F(LeavingEndpointTest, OnlyALaterIncarnationIsUsable)
{
  {
    SCOPED_TRACE("one that started before the announcement may have made it");
    this->table.Put(Started(kAnnounced - 5000), At(1000));
    EXPECT_EQ(this->Usable(), 0u);
  }
  {
    SCOPED_TRACE("one that started after it");
    this->table.Put(Started(kAnnounced + 3000), At(2000));
    EXPECT_EQ(this->Usable(), 1u);
  }
  {
    SCOPED_TRACE("a host that has not seen it yet repeats the announcement");
    EXPECT_FALSE(
      this->table.MarkLeaving({ "i-1", kStarted, kAnnounced }, At(3000)));
    EXPECT_EQ(this->Usable(), 1u);
  }
}

TEST_F(LeavingEndpointTest, AnnouncementIsHeardBeforeTheEntry)
{
  this->table.MarkLeaving({ "i-2", 0, kAnnounced }, At(0));
  EndpointEntry entry = Entry("i-2");
  entry.startedAtMillis = kStarted;
  this->table.Put(entry, At(1000));
  EXPECT_FALSE(this->table.IsUsable("i-2"));
}

class EndpointRateLimitsTest : public ::testing::Test
{
protected:
  static EndpointRateLimit Says(std::optional<double> aCallsPerSecond,
                                int64_t aAtMillis)
  {
    return { "i-1", kStarted, aCallsPerSecond, aAtMillis };
  }

  static constexpr int64_t kStarted = 1000000;
  static constexpr int64_t kNamed = kStarted + 60000;
  static EndpointEntry Entry()
  {
    EndpointEntry entry;
    entry.id = "i-1";
    entry.startedAtMillis = kStarted;
    return entry;
  }

  EndpointEntry entry = Entry();
  EndpointRateLimits limits;
};

TEST_F(EndpointRateLimitsTest, HoldsUntilALaterResponseNamesNone)
{
  EXPECT_FALSE(this->limits.OnResponse(Says({}, kNamed - 10), kNamed - 20));
  EXPECT_TRUE(this->limits.OnResponse(Says(5, kNamed), kNamed - 5));
  EXPECT_EQ(this->limits.Find("i-1"), 5);
  EXPECT_EQ(this->limits.Count(), 1u);
  {
    SCOPED_TRACE("a response to an earlier request arrives late");
    EXPECT_FALSE(this->limits.OnResponse(Says({}, kNamed + 50), kNamed - 1));
    EXPECT_EQ(this->limits.Find("i-1"), 5);
  }
  {
    SCOPED_TRACE("a response to a later request");
    EXPECT_TRUE(this->limits.OnResponse(Says({}, kNamed + 60), kNamed + 1));
    EXPECT_EQ(this->limits.Find("i-1"), std::nullopt);
    EXPECT_EQ(this->limits.Count(), 0u);
  }
}

TEST_F(EndpointRateLimitsTest, EndsWithTheIncarnation)
{
  this->limits.OnResponse(Says(5, kNamed), kNamed - 5);
  EXPECT_FALSE(this->limits.OnEntry(this->entry));
  this->entry.startedAtMillis = kNamed + 3000;
  EXPECT_TRUE(this->limits.OnEntry(this->entry));
  EXPECT_EQ(this->limits.Find("i-1"), std::nullopt);
  {
    SCOPED_TRACE("a peer that has not seen the entry repeats the limit");
    EXPECT_FALSE(this->limits.OnPeerReport(Says(5, kNamed), &this->entry));
  }
}

TEST_F(EndpointRateLimitsTest, PeersHearOfLimitsAndOfTheirWithdrawal)
{
  EndpointRateLimits peer;
  this->limits.OnResponse(Says(5, kNamed), kNamed - 5);
  EXPECT_TRUE(
    peer.OnPeerReport(this->limits.Announcements(kNamed).at(0), &this->entry));
  EXPECT_EQ(peer.Find("i-1"), 5);
  {
    SCOPED_TRACE("the peer sees the withdrawal first; the host repeats itself");
    EXPECT_TRUE(peer.OnResponse(Says({}, kNamed + 40), kNamed + 30));
    EXPECT_FALSE(peer.OnPeerReport(
      this->limits.Announcements(kNamed + 50).at(0), &this->entry));
    EXPECT_EQ(peer.Find("i-1"), std::nullopt);
  }
  {
    SCOPED_TRACE("the host hears of it");
    EXPECT_TRUE(this->limits.OnPeerReport(peer.Announcements(kNamed + 50).at(0),
                                          &this->entry));
    EXPECT_EQ(this->limits.Find("i-1"), std::nullopt);
    EXPECT_TRUE(this->limits.Announcements(kNamed + 20000).empty());
  }
}

TEST_F(LeavingEndpointTest, AnnouncementIsForgottenLongAfterTheEntry)
{
  this->table.Remove("i-1", At(1000));
  this->table.PurgeRemoved(At(20000));
  this->table.PurgeRemoved(At(EndpointTable::kLeavingMemory.count() + 20000));
  this->table.Put(Started(kStarted), At(700000));
  EXPECT_EQ(this->Usable(), 1u);
}

// Guards against an endpoint that counts as ready again because the registry
// executed one of its earlier writes last.
class EndpointEntryOrderTest : public ::testing::Test
{
protected:
  bool Take(int64_t aStart,
            std::optional<int64_t> aSequence,
            bool aDraining = false,
            int64_t aNow = 0)
  {
    EndpointEntry entry;
    entry.id = "i-1";
    entry.startedAtMillis = aStart;
    entry.sequence = aSequence;
    entry.draining = aDraining;
    return this->order.Take(entry, At(aNow));
  }

  EndpointEntryOrder order;
};

TEST_F(EndpointEntryOrderTest, GoesByStartThenBySequence)
{
  EXPECT_TRUE(this->Take(1000, 4));
  EXPECT_FALSE(this->Take(1000, 3));
  EXPECT_TRUE(this->Take(1000, 5, true));
  EXPECT_FALSE(this->Take(1000, 4));
  EXPECT_TRUE(this->Take(2000, 1)) << "a new incarnation counts from the start";
  EXPECT_FALSE(this->Take(1000, 6, true));
  EXPECT_TRUE(this->Take(2000, 1)) << "the same entry, read again";
}

TEST_F(EndpointEntryOrderTest, WithoutAnOrderOnlyDrainingStays)
{
  const auto unknown = std::nullopt;
  {
    SCOPED_TRACE("equal sequences");
    EXPECT_TRUE(this->Take(1000, 4, true));
    EXPECT_FALSE(this->Take(1000, 4));
    EXPECT_TRUE(this->Take(1000, 4, true));
  }
  {
    SCOPED_TRACE("an entry without a sequence");
    EXPECT_FALSE(this->Take(1000, unknown));
    EXPECT_TRUE(this->Take(2000, unknown));
    EXPECT_TRUE(this->Take(2000, 1));
    EXPECT_TRUE(this->Take(2000, unknown, true));
    EXPECT_FALSE(this->Take(2000, 2));
  }
  {
    SCOPED_TRACE("an entry without a start is older than one with it");
    EXPECT_FALSE(this->Take(0, 9));
  }
}

TEST_F(EndpointEntryOrderTest, EntriesWithoutAStartAreAllTaken)
{
  EXPECT_TRUE(this->Take(0, 5, true));
  EXPECT_TRUE(this->Take(0, 1));
}

TEST_F(EndpointEntryOrderTest, ForgetsEndpointsThatAreGone)
{
  const int64_t memory = EndpointEntryOrder::kMemory.count();
  EXPECT_TRUE(this->Take(1000, 4, true));
  EXPECT_FALSE(this->Take(1000, 3, false, memory - 1));
  EndpointEntry other;
  other.id = "i-2";
  EXPECT_TRUE(this->order.Take(other, At(memory + 20000)));
  EXPECT_EQ(this->order.Size(), 1u);
}

} // namespace
} // namespace tanagerseam
