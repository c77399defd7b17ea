#include "daemon/admin_front.h"

namespace tanagerseam {

namespace {

using Json = nlohmann::json;

const HttpHeaders kJsonHeaders = { { "Content-Type", "application/json" } };
const HttpHeaders kTextHeaders = { { "Content-Type",
                                     "text/plain; version=0.0.4" } };

} // namespace

AdminFront::AdminFront(const DaemonContext& aContext,
                       const ClusterLoop& aCluster,
                       std::function<bool()> aIsDraining,
                       std::function<void()> aRequestDrain)
  : context(aContext)
  , cluster(aCluster)
  , isDraining(std::move(aIsDraining))
  , requestDrain(std::move(aRequestDrain))
{
}

void
AdminFront::Handle(const HttpRequest& aRequest,
                   std::shared_ptr<HttpReply> aReply)
{
  if (aRequest.path == "/health") {
    aReply->Send(200, kTextHeaders, "ok\n");
  } else if (aRequest.path == "/ready") {
    const bool ready = this->IsReady();
    aReply->Send(
      ready ? 200 : 503, kTextHeaders, ready ? "ready\n" : "not ready\n");
  } else if (aRequest.path == "/status") {
    aReply->Send(200, kJsonHeaders, this->StatusJson());
  } else if (aRequest.path == "/programs") {
    aReply->Send(200, kJsonHeaders, this->ProgramsJson());
  } else if (aRequest.path == "/metrics") {
    aReply->Send(200, kTextHeaders, this->context.metrics.Text());
  } else if (aRequest.path == "/drain" && aRequest.method == "POST") {
    aReply->Send(202, kTextHeaders, "draining\n");
    this->requestDrain();
  } else {
    aReply->Send(404, kTextHeaders, "unknown route\n");
  }
}

bool
AdminFront::IsReady() const
{
  if (this->isDraining() || this->context.journal.Config()->version == 0) {
    return false;
  }
  // While the log is unavailable, the daemon still serves within the limits of
  // its configuration and peers.
  return this->cluster.IsMember() || this->context.journal.LogFailing();
}

std::string
AdminFront::StatusJson() const
{
  Json json;
  json["host"] = this->context.settings.host;
  json["incarnation"] = this->context.journal.Incarnation();
  json["zone"] = this->context.settings.zone;
  json["ready"] = this->IsReady();
  json["draining"] = this->isDraining();
  json["lease_valid"] = this->cluster.LeaseValid();
  json["log_failing"] = this->context.journal.LogFailing();
  json["config_version"] = this->context.journal.Config()->version;
  json["log_position"] = this->context.journal.Position();
  json["slots_owned"] = this->cluster.OwnedSlots();
  json["waiting_records"] = this->context.journal.WaitingRecords();
  this->context.journal.With([&json](const ClusterState& aState) {
    json["programs"] = aState.Programs().size();
    json["members"] = Json::array();
    for (const auto& entry : aState.Members()) {
      json["members"].push_back(entry.first);
    }
    json["slots_free"] = 0;
    for (const Slot& slot : aState.Slots()) {
      json["slots_free"] =
        json["slots_free"].get<int>() + (slot.owner.empty() ? 1 : 0);
    }
  });
  return json.dump();
}

std::string
AdminFront::ProgramsJson() const
{
  Json json = Json::array();
  this->context.journal.With([&json](const ClusterState& aState) {
    for (const auto& entry : aState.Programs()) {
      const ProgramState& program = *entry.second;
      json.push_back(Json{ { "id", program.id },
                           { "organisation", program.organisation },
                           { "turns", program.turns.size() },
                           { "spent_tokens", program.spentTokens },
                           { "budget_tokens", program.budgetTokens },
                           { "urgency", program.urgency },
                           { "ended", program.ended } });
    }
  });
  return json.dump();
}

} // namespace tanagerseam
