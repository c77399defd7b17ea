// The version of the configuration in force never decreases, whether versions
// arrive through the log or from peers.
#include <gtest/gtest.h>

#include <thread>

#include "daemon/journal.h"
#include "daemon/testing/shared_log.h"

namespace tanagerseam {
namespace {

constexpr Millis kStartTimeout(200);
constexpr Millis kReplayTimeout(5000);
constexpr Millis kPollInterval(5);

// A configuration with one organisation, named after its version.
Json
ConfigOf(int64_t aVersion)
{
  DesiredState desired;
  const std::string name = "version-" + std::to_string(aVersion);
  desired.organisations[name].name = name;
  return ToJson(desired);
}

class JournalConfigTest : public ::testing::Test
{
protected:
  JournalConfigTest() { this->settings.host = "host-1"; }

  // Appends version aBase + 1, as an operator's change of version aBase.
  void AppendConfig(int64_t aBase)
  {
    Record record;
    record.header = { "operator/anna", "run-" + std::to_string(aBase), 1 };
    record.body = ConfigApplied{ aBase, ConfigOf(aBase + 1), "anna", 1 };
    this->log.Append({ EncodeRecord(record) });
  }

  static ConfigVersion FromPeer(int64_t aVersion)
  {
    ConfigVersion version;
    version.version = aVersion;
    version.config = ConfigOf(aVersion);
    return version;
  }

  // Also checks that the content in force belongs to its version.
  static int64_t VersionInForce(const Journal& aJournal)
  {
    const auto config = aJournal.Config();
    const std::string name = "version-" + std::to_string(config->version);
    EXPECT_EQ(config->desired.organisations.count(name),
              config->version == 0 ? 0u : 1u);
    return config->version;
  }

  // Waits for the replay to reach aOffset; expects the version in force to be
  // at least aFloor all the time.
  void ExpectReplayedTo(const Journal& aJournal,
                        int64_t aOffset,
                        int64_t aFloor)
  {
    const TimePoint start = Now();
    int64_t replayed = -1;
    while (replayed < aOffset && Now() - start < kReplayTimeout) {
      EXPECT_GE(VersionInForce(aJournal), aFloor);
      replayed = aJournal.With(
        [](const ClusterState& aState) { return aState.LastOffset(); });
    }
    EXPECT_GE(replayed, aOffset);
  }

  DaemonSettings settings;
  InMemoryLog log;
};

TEST_F(JournalConfigTest, KeepsHighestVersionOfLogAndPeers)
{
  for (int64_t base = 0; base < 3; ++base) {
    this->AppendConfig(base);
  }
  this->log.SetDown(true);
  Journal journal(this->settings, this->log);
  EXPECT_FALSE(journal.Start(kStartTimeout));
  EXPECT_EQ(VersionInForce(journal), 0);
  {
    SCOPED_TRACE("a peer has a newer version than the replay");
    journal.AdoptConfig(FromPeer(5));
    EXPECT_EQ(VersionInForce(journal), 5);
  }
  {
    SCOPED_TRACE("a peer has an older version");
    journal.AdoptConfig(FromPeer(4));
    EXPECT_EQ(VersionInForce(journal), 5);
  }
  {
    SCOPED_TRACE("the log recovers with versions 1 to 3");
    this->log.SetDown(false);
    this->ExpectReplayedTo(journal, 2, 5);
    EXPECT_EQ(VersionInForce(journal), 5);
  }
  {
    SCOPED_TRACE("the log advances to version 6");
    for (int64_t base = 3; base < 6; ++base) {
      this->AppendConfig(base);
    }
    this->ExpectReplayedTo(journal, 5, 5);
    const TimePoint start = Now();
    while (VersionInForce(journal) < 6 && Now() - start < kReplayTimeout) {
      std::this_thread::sleep_for(kPollInterval);
    }
    EXPECT_EQ(VersionInForce(journal), 6);
  }
}

TEST_F(JournalConfigTest, IgnoresUnparseableConfig)
{
  this->AppendConfig(0);
  Journal journal(this->settings, this->log);
  EXPECT_TRUE(journal.Start(kReplayTimeout));
  EXPECT_EQ(VersionInForce(journal), 1);
  ConfigVersion broken = FromPeer(9);
  broken.config = Json::parse("{", nullptr, false);
  journal.AdoptConfig(broken);
  EXPECT_EQ(VersionInForce(journal), 1);
}

} // namespace
} // namespace tanagerseam
