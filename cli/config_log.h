// Reads the configuration versions from the log and publishes new ones.
//
// Usage:
//
//   ConfigLog config(service, Millis(10000));
//   Result<Done> read = config.Refresh();
//   Result<Verdict> verdict = config.Publish("ann", base, desired);
//
// A change is a record with the version it replaces (optimistic concurrency).
// It is in force if replaying the log accepts it, so the verdict is known only
// after reading the record back. An append without a response is retried with
// the same record header, which serves as idempotency key: replay rejects
// copies as duplicates, so the first verdict for the header is the verdict of
// the change.
#ifndef TANAGERSEAM_CLI_CONFIG_LOG_H_
#define TANAGERSEAM_CLI_CONFIG_LOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "desired/desired.h"
#include "state/state.h"

namespace tanagerseam {

class ConfigLog
{
public:
  // aTimeout bounds each call below that takes no timeout.
  ConfigLog(LogService& aService, Millis aTimeout);

  // Replays the log to its end.
  Result<Done> Refresh();
  Result<Done> Refresh(Millis aTimeout);
  // The state as of the last replay; Refresh must have succeeded before.
  const ClusterState& State() const { return *this->replayer.State(); }
  const ConfigVersion& ConfigInForce() const { return this->State().Config(); }
  // The desired state in force; empty before the first version.
  Result<DesiredState> DesiredInForce() const;
  // The desired state of a version; nullopt if the log no longer contains the
  // version or it cannot be parsed. Version 0 is the empty state.
  std::optional<DesiredState> DesiredAt(int64_t aVersion) const;

  // Appends aDesired as the successor of version aBase and reads the verdict
  // back: kAccepted or kVersionConflict.
  Result<Verdict> Publish(const std::string& aOperator,
                          int64_t aBase,
                          const DesiredState& aDesired);

  // Appends a record and reads its verdict back.
  Result<Verdict> Propose(const std::string& aOperator, RecordBody aBody);

private:
  Result<Done> Append(const std::string& aText, TimePoint aDeadline);
  void OnRecordApplied(const ClusterState& aState,
                       const Record& aRecord,
                       const ApplyOutcome& aOutcome);

  LogService& service;
  const Millis operationTimeout;
  Replayer replayer;
  std::map<int64_t, Json> versions;
  // Header of the last record proposed by this object, and its verdict once
  // read back.
  RecordHeader lastProposal;
  std::optional<Verdict> lastVerdict;
};

// Parses the desired state of aConfig; empty for version 0.
Result<DesiredState>
DesiredFromConfig(const ConfigVersion& aConfig);

} // namespace tanagerseam

#endif // TANAGERSEAM_CLI_CONFIG_LOG_H_
