#include "zones/zones.h"

#include <gtest/gtest.h>

namespace tanagerseam {
namespace {

TEST(EvacuatedZonesTest, AnEvacuationHoldsUntilItIsTakenBack)
{
  EvacuatedZones zones;
  EXPECT_FALSE(zones.IsEvacuated("a"));
  EXPECT_TRUE(zones.OnStoreRecord({ "a", true, 3 }));
  EXPECT_TRUE(zones.IsEvacuated("a"));
  EXPECT_FALSE(zones.IsEvacuated("b"));
  EXPECT_EQ(zones.Count(), 1u);
  {
    SCOPED_TRACE("the same record again changes nothing");
    EXPECT_FALSE(zones.OnStoreRecord({ "a", true, 3 }));
  }
  EXPECT_TRUE(zones.OnStoreRecord({ "a", false, 5 }));
  EXPECT_FALSE(zones.IsEvacuated("a"));
}

// A report that a peer sent before the evacuation was taken back once more
// would bring it into force again.
TEST(EvacuatedZonesTest, AReportThatArrivesLateChangesNothing)
{
  EvacuatedZones zones;
  EXPECT_TRUE(zones.OnPeerRecord({ "a", true, 3 }));
  EXPECT_TRUE(zones.OnPeerRecord({ "a", false, 5 }));
  EXPECT_FALSE(zones.OnPeerRecord({ "a", true, 3 }));
  EXPECT_FALSE(zones.IsEvacuated("a"));
}

TEST(EvacuatedZonesTest, AHostThatCanNotReadTheStoreHearsOfItFromPeers)
{
  EvacuatedZones zones;
  zones.OnStoreRead(10);
  EXPECT_TRUE(zones.OnPeerRecord({ "a", true, 12 }));
  EXPECT_TRUE(zones.IsEvacuated("a"));
  {
    SCOPED_TRACE("once it reads the store again, that has the record, too");
    EXPECT_FALSE(zones.OnStoreRecord({ "a", true, 12 }));
    EXPECT_TRUE(zones.OnStoreRead(15).empty());
    EXPECT_TRUE(zones.IsEvacuated("a"));
  }
}

// The store deletes the record when the evacuation is taken back, so a host
// that starts later reads nothing of it, and may hear of it from a peer that
// has lost the store since.
TEST(EvacuatedZonesTest, AnEvacuationThatTheStoreNoLongerHasEnds)
{
  EvacuatedZones zones;
  EXPECT_TRUE(zones.OnPeerRecord({ "a", true, 12 }));
  EXPECT_EQ(zones.OnStoreRead(20), std::vector<std::string>{ "a" });
  EXPECT_FALSE(zones.IsEvacuated("a"));
  EXPECT_FALSE(zones.OnPeerRecord({ "a", true, 12 }));
}

TEST(EvacuatedZonesTest, ZonesAreBoundedAndEvacuatedOnesAreKept)
{
  EvacuatedZones zones;
  zones.OnStoreRecord({ "a", true, 1 });
  for (int i = 0; i < 1000; ++i) {
    const std::string zone = "z" + std::to_string(i);
    zones.OnStoreRecord({ zone, true, 2 + 2 * i });
    zones.OnStoreRecord({ zone, false, 3 + 2 * i });
  }
  EXPECT_TRUE(zones.IsEvacuated("a"));
  EXPECT_LE(zones.Records().size(), EvacuatedZones::kMaxZones);
}

TEST(ZoneRegionsTest, BothListsBind)
{
  EXPECT_FALSE(IntersectRegions({}, {}).has_value());
  EXPECT_EQ(IntersectRegions({ "n" }, {}), RegionSet({ { "n" } }));
  EXPECT_EQ(IntersectRegions({}, { "s" }), RegionSet({ { "s" } }));
  EXPECT_EQ(IntersectRegions({ "n", "s" }, { "s" }), RegionSet({ { "s" } }));
  EXPECT_EQ(IntersectRegions({ "n" }, { "s" }),
            RegionSet(std::set<std::string>{}));
}

TEST(ZoneRegionsTest, AZoneInNoKnownRegionIsAllowedOnlyWhereAllAre)
{
  const ZoneRegions regions({ { "a", "n" }, { "b", "s" } });
  EXPECT_TRUE(regions.Allows(std::nullopt, "unknown"));
  EXPECT_FALSE(regions.Allows(RegionSet({ { "n", "" } }), "unknown"));
  EXPECT_TRUE(regions.Allows(RegionSet({ { "n" } }), "a"));
  EXPECT_FALSE(regions.Allows(RegionSet({ { "n" } }), "b"));
  EXPECT_TRUE(regions.HasSeveralRegions());
  EXPECT_FALSE(ZoneRegions({ { "a", "n" }, { "b", "n" } }).HasSeveralRegions());
}

} // namespace
} // namespace tanagerseam
