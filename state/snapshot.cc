// JSON serialization of ClusterState. A state restored from its JSON form gives
// the same results as the original in every later Apply.
#include "state/cluster_state.h"

namespace tanagerseam {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Member,
                                                host,
                                                incarnation,
                                                zone,
                                                peerAddress,
                                                callerAddress,
                                                adminAddress,
                                                joinedOffset,
                                                renewedOffset,
                                                replayedOffset,
                                                draining,
                                                others,
                                                sparePromises,
                                                expiryVotes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Slot,
                                                owner,
                                                ownerIncarnation,
                                                epoch,
                                                previousEpoch,
                                                levels)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Turn,
                                                call,
                                                kind,
                                                request,
                                                answer,
                                                message,
                                                requestDigest,
                                                httpStatus,
                                                contentType,
                                                usedTokens,
                                                endpoint,
                                                digest)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OpenCall,
                                                call,
                                                attempt,
                                                epoch,
                                                reservedTokens,
                                                lastReservation,
                                                repeatable,
                                                requestDigest)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ConfigVersion,
                                                version,
                                                config,
                                                author,
                                                wallMillis)
NLOHMANN_JSON_SERIALIZE_ENUM(LedgerPhase,
                             { { LedgerPhase::kStarted, "started" },
                               { LedgerPhase::kFinished, "finished" },
                               { LedgerPhase::kVoided, "voided" } })
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LedgerEntry,
                                                phase,
                                                requestDigest,
                                                startedOffset,
                                                epoch,
                                                httpStatus,
                                                contentType,
                                                body,
                                                bodyKept)

namespace {

Json
ProgramToJson(const ProgramState& aProgram)
{
  Json json{ { "id", aProgram.id },
             { "organisation", aProgram.organisation },
             { "parent", aProgram.parent },
             { "urgency", aProgram.urgency },
             { "budgetTokens", aProgram.budgetTokens },
             { "maxTurns", aProgram.maxTurns },
             { "endsAtMillis", aProgram.endsAtMillis },
             { "spentTokens", aProgram.spentTokens },
             { "reservedTokens", aProgram.reservedTokens },
             { "children", aProgram.children },
             { "ended", aProgram.ended },
             { "endReason", aProgram.endReason } };
  json["turns"] = Json::array();
  for (const auto& turn : aProgram.turns) {
    json["turns"].push_back(*turn);
  }
  if (aProgram.open) {
    json["open"] = *aProgram.open;
  }
  return json;
}

std::shared_ptr<ProgramState>
ProgramFromJson(const Json& aJson)
{
  auto program = std::make_shared<ProgramState>();
  program->id = aJson.at("id");
  program->organisation = aJson.at("organisation");
  program->parent = aJson.at("parent");
  program->urgency = aJson.at("urgency");
  program->budgetTokens = aJson.at("budgetTokens");
  program->maxTurns = aJson.at("maxTurns");
  program->endsAtMillis = aJson.at("endsAtMillis");
  program->spentTokens = aJson.at("spentTokens");
  program->reservedTokens = aJson.at("reservedTokens");
  program->children = aJson.at("children").get<std::set<std::string>>();
  program->ended = aJson.at("ended");
  program->endReason = aJson.at("endReason");
  for (const Json& turn : aJson.at("turns")) {
    program->turns.push_back(std::make_shared<Turn>(turn.get<Turn>()));
  }
  if (aJson.contains("open")) {
    program->open = aJson.at("open").get<OpenCall>();
  }
  return program;
}

} // namespace

Json
ClusterState::ToJson() const
{
  Json json;
  json["lastOffset"] = this->lastOffset;
  json["members"] = this->members;
  json["slots"] = this->slots;
  json["config"] = this->config;
  json["endedPrograms"] = this->endedPrograms;
  json["ledger"] = this->ledger;
  json["programs"] = Json::array();
  for (const auto& entry : this->programs) {
    json["programs"].push_back(ProgramToJson(*entry.second));
  }
  json["writers"] = Json::object();
  for (const auto& entry : this->writers) {
    json["writers"][entry.first] = Json{ { "floor", entry.second.floor },
                                         { "above", entry.second.above },
                                         { "last", entry.second.lastOffset } };
  }
  return json;
}

ClusterState
ClusterState::FromJson(const Json& aJson)
{
  ClusterState state(int(aJson.at("slots").size()));
  state.lastOffset = aJson.at("lastOffset");
  state.members = aJson.at("members").get<std::map<std::string, Member>>();
  state.slots = aJson.at("slots").get<std::vector<Slot>>();
  state.config = aJson.at("config").get<ConfigVersion>();
  state.endedPrograms =
    aJson.at("endedPrograms").get<std::vector<std::string>>();
  state.ledger = aJson.at("ledger").get<std::map<std::string, LedgerEntry>>();
  for (const auto& entry : state.ledger) {
    if (entry.second.phase == LedgerPhase::kFinished) {
      state.finishedRequests[entry.second.startedOffset] = entry.first;
    }
  }
  for (const Json& program : aJson.at("programs")) {
    auto parsed = ProgramFromJson(program);
    state.programs[parsed->id] = parsed;
  }
  for (const auto& entry : aJson.at("writers").items()) {
    SequenceWindow window;
    window.floor = entry.value().at("floor");
    window.above = entry.value().at("above").get<std::set<uint64_t>>();
    window.lastOffset = entry.value().at("last");
    state.writers[entry.key()] = window;
  }
  return state;
}

} // namespace tanagerseam
