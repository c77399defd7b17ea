// Fixture for tests of single services: one daemon's DaemonContext over an
// in-memory log.
//
//   class LedgerServiceTest : public SingleDaemonTest
//   {
//   protected:
//     LedgerServiceTest() : SingleDaemonTest(Millis(100)) {}
//   };
#ifndef TANAGERSEAM_DAEMON_TESTING_ONE_DAEMON_H_
#define TANAGERSEAM_DAEMON_TESTING_ONE_DAEMON_H_

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "daemon/context.h"
#include "daemon/testing/shared_log.h"

namespace tanagerseam {

class SingleDaemonTest : public ::testing::Test
{
protected:
  using RecordTexts = std::vector<std::string>;

  // The daemon may act as owner of every slot; each replication succeeds and is
  // noted in replicatedBatches.
  explicit SingleDaemonTest(Millis aVerdictTimeout)
    : journal(MakeSettings(this->settings, aVerdictTimeout), this->log)
    , context{ this->settings,
               this->journal,
               this->peers,
               this->http,
               this->metrics,
               [](int) { return true; },
               [this](const RecordTexts& aTexts) {
                 this->replicatedBatches.push_back(aTexts);
                 return true;
               } }
  {
  }

  ~SingleDaemonTest() override { this->journal.Stop(); }

  DaemonSettings settings;
  InMemoryLog log;
  Journal journal;
  PeerClient peers;
  HttpClient http;
  Metrics metrics;
  // The encoded records of each call of DaemonContext::replicate.
  std::vector<RecordTexts> replicatedBatches;
  DaemonContext context;

private:
  static const DaemonSettings& MakeSettings(DaemonSettings& aSettings,
                                            Millis aVerdictTimeout)
  {
    aSettings.host = "host-1";
    aSettings.verdictTimeout = aVerdictTimeout;
    return aSettings;
  }
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_TESTING_ONE_DAEMON_H_
