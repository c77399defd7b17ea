// Copies of turns that are kept for longer than the log keeps their records.
// Private to this library.
//
//   KeptTurns keptTurns(log, settings);
//   if (keptTurns.IsNeeded(keepFor)) { write keptTurns.CopyOf(turn, record) }
//   keptTurns.OnStored("turn-7", keepFor);
//   keptTurns.Find("turn-7", deadline, [](const KeptTurnResult& aFound) { ...
//   }); keptTurns.Tick(now);   // a few times a second
//
// A copy stands in a keyed topic, which forgets no key by itself, under a hash
// of the turn's id. It is written with the turn's record, before the turn's
// client sees its end, so it does not depend on the host that wrote it.
//
// The host that stored a turn drops its copy when the turn need not be kept any
// more. What a host that has ended left behind is dropped by the owner of the
// partition, which reads it each kSweepInterval.
#ifndef TANAGERSEAM_PROGRAM_KEPT_TURNS_H_
#define TANAGERSEAM_PROGRAM_KEPT_TURNS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "program/program.h"

namespace tanagerseam {

// Covers the time that a turn takes to be stored and found.
constexpr Millis kTurnRetentionMargin{ 5000 };

// The record of a turn, nothing if there is no copy, or why the log can't tell.
using KeptTurnResult = std::variant<std::optional<std::string>, LogFault>;

class KeptTurns
{
public:
  // Copies that are due are dropped together.
  static constexpr Millis kDropInterval{ 10000 };
  static constexpr Millis kSweepInterval{ 600000 };

  KeptTurns(RetryingLog& aLog, const ProgramSettings& aSettings);

  void SetOwner(std::function<bool(const std::string&)> aIsOwner);
  // True if the log may forget a record that is written now before a turn is
  // forgotten that is kept for aKeepFor.
  bool IsNeeded(Millis aKeepFor) const;
  std::vector<LogPartition> PartitionsOf(const std::string& aTurn) const;
  // The data of a copy. aRecord is not empty.
  static std::string CopyOf(const std::string& aTurn,
                            const std::string& aRecord,
                            Millis aKeepFor);
  // The record in a copy of any turn; nothing if aData is no copy.
  static std::optional<std::string> RecordIn(const std::string& aData);
  // The copy was written, or may have been.
  void OnStored(const std::string& aTurn, Millis aKeepFor);
  void Find(const std::string& aTurn,
            TimePoint aDeadline,
            std::function<void(const KeptTurnResult&)> aDone);
  void Tick(TimePoint aNow);

private:
  using FindDone = std::function<void(const KeptTurnResult&)>;

  // Looks in the partition with index aCandidate, then in the later ones.
  void FindInCandidate(const std::string& aTurn,
                       size_t aCandidate,
                       TimePoint aDeadline,
                       FindDone aDone);
  void DropStored(TimePoint aNow);
  // Reads the partition from a key on, and drops what is out of date.
  void Sweep(const LogPartition& aPartition, const std::string& aAfterKey);
  void OnSweepPage(const LogPartition& aPartition, const NewestPage& aPage);
  void Drop(const LogPartition& aPartition,
            const std::vector<std::string>& aKeys);

  RetryingLog& log;
  const PartitionLayout layout;
  const Millis logRetention;
  std::function<bool(const std::string&)> isOwner;
  // Turns of this host, by the time at which their copies are dropped.
  std::multimap<TimePoint, std::string> stored;
  TimePoint dropAt{};
  TimePoint sweepAt{};
};

} // namespace tanagerseam

#endif // TANAGERSEAM_PROGRAM_KEPT_TURNS_H_
