// A fleet of daemons behind fault proxies comes up, takes a desired state and
// serves calls at every entry.
#include <gtest/gtest.h>

#include <iostream>
#include <thread>

#include "kernel/kernel.h"
#include "tests/support/fleet.h"

namespace tanagerseam::testing_support {
namespace {

const std::string kKey = "key-of-stopa";

std::string
Desired()
{
  return "[organisation stopa]\nrate_per_s = 50\nburst = 100\n"
         "[key web]\norganisation = stopa\nsha256 = " +
         Sha256Hex(kKey) +
         "\n[route groom]\nendpoints = service-0\nrepeatable = false\n";
}

TEST(FleetStart, EveryEntryServesThroughAllLinks)
{
  FleetSettings settings;
  settings.engines = 1;
  settings.logLinks = true;
  settings.peerLinks = true;
  settings.endpointLinks = true;
  Fleet fleet(settings);
  fleet.Start(Desired());
  for (int i = 0; i < settings.daemons; ++i) {
    SCOPED_TRACE("entry " + std::to_string(i));
    const std::string key = "run-" + std::to_string(i);
    const HttpAnswer answer = fleet.Call(
      i,
      "POST",
      "/v1/services/groom/run/x",
      { { "Authorization", "Bearer " + kKey }, { "Idempotency-Key", key } },
      "{}");
    EXPECT_EQ(answer.status, 200) << answer.body;
    EXPECT_EQ(fleet.ExecutionCounts()[key], 1);
  }
  const auto links = fleet.LinkStats();
  int64_t betweenDaemons = 0;
  for (int i = 0; i < settings.daemons; ++i) {
    const std::string index = std::to_string(i);
    EXPECT_GT(links.at("log-" + index).at("bytes_up").get<int64_t>(), 0);
    betweenDaemons += links.at("peer-" + index).at("bytes_up").get<int64_t>();
  }
  EXPECT_GT(betweenDaemons, 0);
  EXPECT_GT(links.at("endpoint-service-0").at("bytes_up").get<int64_t>(), 0);
  EXPECT_EQ(fleet.ReceivedRequests().find(kKey), std::string::npos);
  EXPECT_EQ(fleet.DumpLog().find(kKey), std::string::npos);
  if (::testing::Test::HasFailure()) {
    std::cerr << fleet.LogTails();
  }
}

TEST(FleetStart, ANewOrganisationHasItsBurstAtOnce)
{
  constexpr int kBurst = 20;
  Fleet fleet(FleetSettings{});
  fleet.Start(Desired());
  // Longer than the new organisation's bucket takes to fill.
  std::this_thread::sleep_for(Millis(2500));
  const std::string key = "key-of-mljeko";
  ASSERT_EQ(fleet.Apply(Desired() +
                        "[organisation mljeko]\nrate_per_s = 10\nburst = 20\n"
                        "[key sheets]\norganisation = mljeko\nsha256 = " +
                        Sha256Hex(key) + "\n"),
            0);
  const TimePoint start = Now();
  for (int i = 0; i < kBurst; ++i) {
    const HttpAnswer answer =
      fleet.Call(i % 3,
                 "GET",
                 "/v1/programs/none",
                 { { "Authorization", "Bearer " + key } },
                 "");
    EXPECT_EQ(answer.status, 404) << answer.body;
  }
  // An empty bucket would give the last token after 2 s.
  EXPECT_LT(MillisBetween(start, Now()), 1000);
}

} // namespace
} // namespace tanagerseam::testing_support
