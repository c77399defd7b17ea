#include <nlohmann/json.hpp>

#include "program/program.h"

namespace tanagerseam {

LogPartition
PartitionOf(const PartitionSpread& aSpread, const std::string& aKey)
{
  const uint64_t hash = StableHash(aKey);
  const auto topics = static_cast<uint64_t>(aSpread.topics);
  const auto parts = static_cast<uint64_t>(aSpread.partsPerTopic);
  LogPartition partition;
  partition.topic = aSpread.topicPrefix + std::to_string(hash % topics);
  partition.part = static_cast<int>((hash / topics) % parts);
  return partition;
}

std::vector<LogPartition>
PartitionsOf(const PartitionSpread& aSpread, const std::string& aKey)
{
  return { PartitionOf(aSpread, aKey),
           PartitionOf(aSpread, aKey + "#1"),
           PartitionOf(aSpread, aKey + "#2") };
}

std::string
Encode(const BudgetRecord& aRecord)
{
  const nlohmann::json fields = {
    { "grant", aRecord.kind == BudgetRecordKind::kGrant },
    { "id", aRecord.id },
    { "program", aRecord.program },
    { "holder", aRecord.holder },
    { "tokens", aRecord.tokens },
    { "budget", aRecord.budget },
  };
  const auto bytes = nlohmann::json::to_cbor(fields);
  return std::string(bytes.begin(), bytes.end());
}

std::optional<BudgetRecord>
ParseBudgetRecord(const std::string& aData)
{
  const bool strict = true;
  const bool throwing = false;
  const auto fields = nlohmann::json::from_cbor(aData, strict, throwing);
  if (!fields.is_object()) {
    return std::nullopt;
  }
  try {
    BudgetRecord record;
    record.kind = fields.at("grant").get<bool>() ? BudgetRecordKind::kGrant
                                                 : BudgetRecordKind::kReturn;
    record.id = fields.at("id").get<std::string>();
    record.program = fields.at("program").get<std::string>();
    record.holder = fields.at("holder").get<std::string>();
    record.tokens = fields.at("tokens").get<int64_t>();
    record.budget = fields.at("budget").get<int64_t>();
    return record;
  } catch (const nlohmann::json::exception& error) {
    LogWarn("budget_record_unreadable", { { "error", error.what() } });
    return std::nullopt;
  }
}

bool
BudgetLedger::Apply(const BudgetRecord& aRecord)
{
  auto known = this->verdicts.find(aRecord.id);
  if (known != this->verdicts.end()) {
    return known->second;
  }
  int64_t& sum = this->granted[aRecord.program];
  bool holds = false;
  if (aRecord.kind == BudgetRecordKind::kReturn) {
    sum -= aRecord.tokens;
  } else if (sum + aRecord.tokens <= aRecord.budget) {
    sum += aRecord.tokens;
    holds = true;
  }
  this->verdicts[aRecord.id] = holds;
  return holds;
}

bool
BudgetLedger::Holds(const std::string& aGrantId) const
{
  auto known = this->verdicts.find(aGrantId);
  return known != this->verdicts.end() && known->second;
}

int64_t
BudgetLedger::Granted(const std::string& aProgram) const
{
  auto found = this->granted.find(aProgram);
  return found == this->granted.end() ? 0 : found->second;
}

} // namespace tanagerseam
