// The wire format of budget records: CBOR objects.
#include <nlohmann/json.hpp>

#include "program/program.h"

namespace tanagerseam {

namespace {

// Fields that the build before neither writes nor reads. To it a checkpoint is
// a return of no tokens.
constexpr char kKnownOffsetField[] = "known_offset";
constexpr char kKnownTokensField[] = "known_tokens";
constexpr char kSumsField[] = "sums";

nlohmann::json
SumsToJson(const std::vector<ProgramSum>& aSums)
{
  nlohmann::json rows = nlohmann::json::array();
  for (const ProgramSum& sum : aSums) {
    rows.push_back({ { "program", sum.program },
                     { "tokens", sum.outstandingTokens },
                     { "idle_ms", sum.idle.count() } });
  }
  return rows;
}

std::vector<ProgramSum>
SumsFromJson(const nlohmann::json& aRows)
{
  std::vector<ProgramSum> sums;
  for (const auto& row : aRows) {
    sums.push_back({ row.at("program").get<std::string>(),
                     row.at("tokens").get<int64_t>(),
                     Millis(row.at("idle_ms").get<int64_t>()) });
  }
  return sums;
}

BudgetRecordKind
KindOf(const nlohmann::json& aFields)
{
  if (aFields.contains(kSumsField)) {
    return BudgetRecordKind::kCheckpoint;
  }
  return aFields.at("grant").get<bool>() ? BudgetRecordKind::kGrant
                                         : BudgetRecordKind::kReturn;
}

} // namespace

std::string
Encode(const BudgetRecord& aRecord)
{
  nlohmann::json fields = {
    { "grant", aRecord.kind == BudgetRecordKind::kGrant },
    { "id", aRecord.id },
    { "program", aRecord.program },
    { "holder", aRecord.holder },
    { "tokens", aRecord.tokens },
    { "budget", aRecord.budget },
  };
  if (aRecord.known) {
    fields[kKnownOffsetField] = aRecord.known->offset;
    fields[kKnownTokensField] = aRecord.known->outstandingTokens;
  }
  if (aRecord.kind == BudgetRecordKind::kCheckpoint) {
    fields[kSumsField] = SumsToJson(aRecord.sums);
  }
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
    record.kind = KindOf(fields);
    record.id = fields.at("id").get<std::string>();
    record.program = fields.at("program").get<std::string>();
    record.holder = fields.at("holder").get<std::string>();
    record.tokens = fields.at("tokens").get<int64_t>();
    record.budget = fields.at("budget").get<int64_t>();
    if (fields.contains(kKnownOffsetField)) {
      record.known = { fields.at(kKnownOffsetField).get<int64_t>(),
                       fields.at(kKnownTokensField).get<int64_t>() };
    }
    if (record.kind == BudgetRecordKind::kCheckpoint) {
      record.sums = SumsFromJson(fields.at(kSumsField));
    }
    return record;
  } catch (const nlohmann::json::exception& error) {
    LogWarn("budget_record_unreadable", { { "error", error.what() } });
    return std::nullopt;
  }
}

} // namespace tanagerseam
