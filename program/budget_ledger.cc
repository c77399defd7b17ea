#include <nlohmann/json.hpp>

#include "program/program.h"

namespace tanagerseam {

LogPartition
PartitionOf(const PartitionLayout& aLayout, const std::string& aKey)
{
  const uint64_t hash = StableHash(aKey);
  const auto topicCount = static_cast<uint64_t>(aLayout.topicCount);
  const auto partitionsPerTopic =
    static_cast<uint64_t>(aLayout.partitionsPerTopic);
  LogPartition partition;
  partition.topic = aLayout.topicPrefix + std::to_string(hash % topicCount);
  partition.number = static_cast<int>((hash / topicCount) % partitionsPerTopic);
  return partition;
}

std::vector<LogPartition>
CandidatePartitions(const PartitionLayout& aLayout, const std::string& aKey)
{
  return { PartitionOf(aLayout, aKey),
           PartitionOf(aLayout, aKey + "#1"),
           PartitionOf(aLayout, aKey + "#2") };
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
  auto applied = this->acceptedById.find(aRecord.id);
  if (applied != this->acceptedById.end()) {
    return applied->second;
  }
  int64_t& outstandingTokens = this->outstanding[aRecord.program];
  bool accepted = false;
  if (aRecord.kind == BudgetRecordKind::kReturn) {
    outstandingTokens -= aRecord.tokens;
  } else if (outstandingTokens + aRecord.tokens <= aRecord.budget) {
    outstandingTokens += aRecord.tokens;
    accepted = true;
  }
  this->acceptedById[aRecord.id] = accepted;
  return accepted;
}

bool
BudgetLedger::IsAccepted(const std::string& aGrantId) const
{
  auto applied = this->acceptedById.find(aGrantId);
  return applied != this->acceptedById.end() && applied->second;
}

int64_t
BudgetLedger::OutstandingTokens(const std::string& aProgram) const
{
  auto found = this->outstanding.find(aProgram);
  return found == this->outstanding.end() ? 0 : found->second;
}

} // namespace tanagerseam
