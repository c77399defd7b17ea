#include "state/record.h"

#include <array>

namespace tanagerseam {

// Per-field JSON codecs; the member names are the stored field names.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MemberJoined,
                                                zone,
                                                peerAddress,
                                                callerAddress,
                                                adminAddress,
                                                replayedOffset)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MemberRenewed,
                                                replayedOffset,
                                                draining,
                                                others,
                                                sparePromises)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MemberExpired,
                                                member,
                                                memberIncarnation,
                                                observedRenewal,
                                                maxOutagePassed)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MemberRemoved,
                                                member,
                                                memberIncarnation,
                                                observedRenewal,
                                                author)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SlotClaim, slot, expectedEpoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SlotsClaimed, claims)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SlotsReleased, slots, levels)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ConfigApplied,
                                                base,
                                                config,
                                                author,
                                                wallMillis)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ProgramOpened,
                                                program,
                                                organisation,
                                                parent,
                                                urgency,
                                                budgetTokens,
                                                maxTurns,
                                                endsAtMillis,
                                                epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallStarted,
                                                program,
                                                call,
                                                attempt,
                                                epoch,
                                                reservedTokens,
                                                repeatable,
                                                requestDigest)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallFinished,
                                                program,
                                                call,
                                                attempt,
                                                previousDigest,
                                                kind,
                                                request,
                                                answer,
                                                message,
                                                httpStatus,
                                                contentType,
                                                usedTokens,
                                                endpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallVoided,
                                                program,
                                                call,
                                                attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ProgramEnded, program, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RequestStarted,
                                                key,
                                                requestDigest,
                                                epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RequestFinished,
                                                key,
                                                httpStatus,
                                                contentType,
                                                body,
                                                bodyKept)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RequestVoided, key, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Snapshot, covers, state)

void
to_json(Json& aJson, const MemberLeft&)
{
  aJson = Json::object();
}

void
from_json(const Json&, MemberLeft&)
{
}

namespace {

constexpr size_t kRecordTypeCount = std::variant_size_v<RecordBody>;

// Indexed by RecordBody alternative.
constexpr std::array<const char*, kRecordTypeCount> kRecordTypeNames = {
  "member_joined",  "member_renewed",  "member_left",      "member_expired",
  "member_removed", "slots_claimed",   "slots_released",   "config_applied",
  "program_opened", "call_started",    "call_finished",    "call_voided",
  "program_ended",  "request_started", "request_finished", "request_voided",
  "snapshot",
};

template<size_t Index>
RecordBody
DecodeBody(size_t aIndex, const Json& aJson)
{
  if constexpr (Index < kRecordTypeCount) {
    if (aIndex == Index) {
      return aJson.get<std::variant_alternative_t<Index, RecordBody>>();
    }
    return DecodeBody<Index + 1>(aIndex, aJson);
  } else {
    throw std::out_of_range("unknown record type");
  }
}

size_t
RecordTypeIndex(const std::string& aName)
{
  for (size_t i = 0; i < kRecordTypeCount; ++i) {
    if (aName == kRecordTypeNames[i]) {
      return i;
    }
  }
  throw std::out_of_range("unknown record type " + aName);
}

} // namespace

std::string
RecordTypeName(const RecordBody& aBody)
{
  return kRecordTypeNames[aBody.index()];
}

std::string
EncodeRecord(const Record& aRecord)
{
  Json json;
  json["type"] = RecordTypeName(aRecord.body);
  json["host"] = aRecord.header.host;
  json["incarnation"] = aRecord.header.incarnation;
  json["sequence"] = aRecord.header.sequence;
  std::visit([&json](const auto& aBody) { json["body"] = aBody; },
             aRecord.body);
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Record>
DecodeRecord(const std::string& aText)
{
  try {
    const Json json = Json::parse(aText);
    Record record;
    record.header.host = json.at("host").get<std::string>();
    record.header.incarnation = json.at("incarnation").get<std::string>();
    record.header.sequence = json.at("sequence").get<uint64_t>();
    const size_t index = RecordTypeIndex(json.at("type").get<std::string>());
    record.body = DecodeBody<0>(index, json.at("body"));
    return record;
  } catch (const std::exception& error) {
    return MakeRefusal(RefusalReason::kMalformedRequest,
                       std::string("malformed log record: ") + error.what());
  }
}

std::string
LedgerKey(const std::string& aOrganisation,
          const std::string& aRoute,
          const std::string& aIdempotencyKey)
{
  // Length prefixes make the concatenation unambiguous for any content.
  return std::to_string(aOrganisation.size()) + ":" + aOrganisation +
         std::to_string(aRoute.size()) + ":" + aRoute + aIdempotencyKey;
}

} // namespace tanagerseam
