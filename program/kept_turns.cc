#include "program/kept_turns.h"

#include <algorithm>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace tanagerseam {

namespace {

// Hosts compare a time that another one wrote with their own clock.
constexpr Millis kSweepMargin(60000);
constexpr Millis kCallTimeout(1000);
// Bounds the size of a call.
constexpr size_t kMaxKeysPerDrop = 500;
// Fields of a copy.
constexpr char kRecordField[] = "record";
constexpr char kUntilField[] = "until_ms";
// Of a key, in hexadecimal digits.
constexpr size_t kKeyLength = 16;

struct Copy
{
  std::string record;
  // Milliseconds since the epoch.
  int64_t untilMillis = 0;
};

std::string
KeyText(uint64_t aHash)
{
  char text[kKeyLength + 1];
  snprintf(
    text, sizeof text, "%016llx", static_cast<unsigned long long>(aHash));
  return text;
}

std::string
KeyOf(const std::string& aTurn)
{
  return KeyText(StableHash(aTurn));
}

// The greatest key before that of the turn; empty if there is none.
std::string
KeyBefore(const std::string& aTurn)
{
  const uint64_t hash = StableHash(aTurn);
  return hash == 0 ? "" : KeyText(hash - 1);
}

std::optional<Copy>
ParseCopy(const std::string& aValue)
{
  const bool strict = true;
  const bool throwing = false;
  const auto fields = nlohmann::json::from_cbor(aValue, strict, throwing);
  if (!fields.is_object()) {
    LogWarn("turn_copy_unreadable", {});
    return std::nullopt;
  }
  try {
    const auto& record = fields.at(kRecordField).get_binary();
    return Copy{ std::string(record.begin(), record.end()),
                 fields.at(kUntilField).get<int64_t>() };
  } catch (const nlohmann::json::exception& error) {
    LogWarn("turn_copy_unreadable", { { "error", error.what() } });
    return std::nullopt;
  }
}

} // namespace

KeptTurns::KeptTurns(RetryingLog& aLog, const ProgramSettings& aSettings)
  : log(aLog)
  , layout(aSettings.keptTurns)
  , logRetention(aSettings.logRetention)
  , sweepAt(BootNow() + kSweepInterval)
{
}

void
KeptTurns::SetOwner(std::function<bool(const std::string&)> aIsOwner)
{
  this->isOwner = std::move(aIsOwner);
}

bool
KeptTurns::IsNeeded(Millis aKeepFor) const
{
  return aKeepFor + kTurnRetentionMargin > this->logRetention;
}

std::vector<LogPartition>
KeptTurns::PartitionsOf(const std::string& aTurn) const
{
  return CandidatePartitions(this->layout, aTurn);
}

std::string
KeptTurns::CopyOf(const std::string& aTurn,
                  const std::string& aRecord,
                  Millis aKeepFor)
{
  const Millis kept = aKeepFor + kTurnRetentionMargin;
  const nlohmann::json fields = {
    { kUntilField, WallMillis() + kept.count() },
    { kRecordField,
      nlohmann::json::binary(
        std::vector<std::uint8_t>(aRecord.begin(), aRecord.end())) },
  };
  const auto bytes = nlohmann::json::to_cbor(fields);
  return KeyedData(KeyOf(aTurn), std::string(bytes.begin(), bytes.end()));
}

std::optional<std::string>
KeptTurns::RecordIn(const std::string& aData)
{
  const auto pair = ParseKeyedData(aData);
  if (!pair || pair->key.size() != kKeyLength || pair->value.empty()) {
    return std::nullopt;
  }
  const auto copy = ParseCopy(pair->value);
  return copy ? std::optional<std::string>(copy->record) : std::nullopt;
}

void
KeptTurns::OnStored(const std::string& aTurn, Millis aKeepFor)
{
  this->stored.emplace(BootNow() + aKeepFor + kTurnRetentionMargin, aTurn);
}

void
KeptTurns::Find(const std::string& aTurn, TimePoint aDeadline, FindDone aDone)
{
  this->FindInCandidate(aTurn, 0, aDeadline, std::move(aDone));
}

void
KeptTurns::FindInCandidate(const std::string& aTurn,
                           size_t aCandidate,
                           TimePoint aDeadline,
                           FindDone aDone)
{
  const auto partitions = this->PartitionsOf(aTurn);
  if (aCandidate >= partitions.size()) {
    aDone(std::optional<std::string>());
    return;
  }
  this->log.ReadNewest(
    partitions[aCandidate],
    KeyBefore(aTurn),
    aDeadline,
    [this, aTurn, aCandidate, aDeadline, done = std::move(aDone)](
      const NewestResult& aResult) {
      if (const auto* fault = std::get_if<LogFault>(&aResult)) {
        done(*fault);
        return;
      }
      const std::string key = KeyOf(aTurn);
      for (const KeyedRecord& entry : std::get<NewestPage>(aResult).records) {
        if (entry.key != key) {
          continue;
        }
        if (const auto copy = ParseCopy(entry.value)) {
          done(std::optional<std::string>(copy->record));
          return;
        }
      }
      this->FindInCandidate(aTurn, aCandidate + 1, aDeadline, done);
    });
}

void
KeptTurns::Tick(TimePoint aNow)
{
  if (this->log.IsUnavailable(aNow)) {
    return;
  }
  if (aNow >= this->dropAt) {
    this->dropAt = aNow + kDropInterval;
    this->DropStored(aNow);
  }
  if (aNow < this->sweepAt || !this->isOwner) {
    return;
  }
  this->sweepAt = aNow + kSweepInterval;
  for (const LogPartition& partition : AllPartitions(this->layout)) {
    if (this->isOwner(NameOf(partition))) {
      this->Sweep(partition, "");
    }
  }
}

void
KeptTurns::DropStored(TimePoint aNow)
{
  std::map<LogPartition, std::vector<std::string>> due;
  const auto end = this->stored.upper_bound(aNow);
  for (auto it = this->stored.begin(); it != end; ++it) {
    // The copy may be in any of them.
    for (const LogPartition& partition : this->PartitionsOf(it->second)) {
      due[partition].push_back(KeyOf(it->second));
    }
  }
  this->stored.erase(this->stored.begin(), end);
  for (const auto& entry : due) {
    this->Drop(entry.first, entry.second);
  }
}

// What can't be dropped now is left to a sweep.
void
KeptTurns::Drop(const LogPartition& aPartition,
                const std::vector<std::string>& aKeys)
{
  for (size_t begin = 0; begin < aKeys.size(); begin += kMaxKeysPerDrop) {
    const size_t end = std::min(aKeys.size(), begin + kMaxKeysPerDrop);
    std::vector<std::string> records;
    for (size_t i = begin; i < end; ++i) {
      records.push_back(KeyedData(aKeys[i], ""));
    }
    this->log.AppendAllOnce(
      aPartition,
      records,
      kCallTimeout,
      [aPartition, count = records.size()](const AppendResult& aResult) {
        if (const auto* fault = std::get_if<LogFault>(&aResult)) {
          LogWarn("turn_copies_not_dropped",
                  { { "partition", std::to_string(aPartition.number) },
                    { "copies", std::to_string(count) },
                    { "fault", std::string(NameOf(*fault)) } });
        }
      });
  }
}

void
KeptTurns::Sweep(const LogPartition& aPartition, const std::string& aAfterKey)
{
  this->log.ReadNewest(
    aPartition,
    aAfterKey,
    BootNow() + kCallTimeout,
    [this, aPartition](const NewestResult& aResult) {
      if (const auto* fault = std::get_if<LogFault>(&aResult)) {
        LogWarn("turn_copies_not_swept",
                { { "partition", std::to_string(aPartition.number) },
                  { "fault", std::string(NameOf(*fault)) } });
        return;
      }
      this->OnSweepPage(aPartition, std::get<NewestPage>(aResult));
    });
}

void
KeptTurns::OnSweepPage(const LogPartition& aPartition, const NewestPage& aPage)
{
  const int64_t oldestMillis = WallMillis() - kSweepMargin.count();
  std::vector<std::string> outdated;
  for (const KeyedRecord& entry : aPage.records) {
    const auto copy = ParseCopy(entry.value);
    if (copy && copy->untilMillis < oldestMillis) {
      outdated.push_back(entry.key);
    }
  }
  if (!outdated.empty()) {
    LogInfo("turn_copies_swept",
            { { "partition", std::to_string(aPartition.number) },
              { "copies", std::to_string(outdated.size()) } });
    this->Drop(aPartition, outdated);
  }
  if (aPage.more && !aPage.records.empty()) {
    this->Sweep(aPartition, aPage.records.back().key);
  }
}

} // namespace tanagerseam
