#include <nlohmann/json.hpp>

#include "program/program.h"

namespace tanagerseam {

struct HistoryService::StoredTurn
{
  std::string id;
  std::string organisation;
  // Set if the text before the turn is not part of the record.
  std::string previous;
  std::string text;
};

HistoryService::HistoryService(PersistentLog& aLog, ProgramSettings aSettings)
  : log(aLog)
  , settings(std::move(aSettings))
{
}

std::optional<HistoryService::StoredTurn>
HistoryService::Parse(const std::string& aData)
{
  const bool strict = true;
  const bool throwing = false;
  const auto fields = nlohmann::json::from_cbor(aData, strict, throwing);
  if (!fields.is_object()) {
    LogWarn("turn_record_unreadable", {});
    return std::nullopt;
  }
  try {
    StoredTurn turn;
    turn.id = fields.at("id").get<std::string>();
    turn.organisation = fields.at("organisation").get<std::string>();
    turn.previous = fields.at("previous").get<std::string>();
    const auto& text = fields.at("text").get_binary();
    turn.text.assign(text.begin(), text.end());
    return turn;
  } catch (const nlohmann::json::exception& error) {
    LogWarn("turn_record_unreadable", { { "error", error.what() } });
    return std::nullopt;
  }
}

void
HistoryService::Remember(const std::string& aId,
                         const std::string& aOrganisation,
                         Transcript aTranscript)
{
  auto known = this->index.find(aId);
  if (known != this->index.end()) {
    this->cachedBytes -= known->second->transcript->size();
    this->cache.erase(known->second);
    this->index.erase(known);
  }
  this->cachedBytes += aTranscript->size();
  this->cache.push_front(
    { aId, aOrganisation, std::move(aTranscript), BootNow() });
  this->index[aId] = this->cache.begin();
  while (this->cachedBytes > this->settings.maxHistoryBytes ||
         BootNow() - this->cache.back().usedAt > kForgetAfter) {
    const Cached& oldest = this->cache.back();
    this->cachedBytes -= oldest.transcript->size();
    this->index.erase(oldest.id);
    this->cache.pop_back();
    if (this->cache.empty()) {
      return;
    }
  }
}

void
HistoryService::Find(const std::string& aOrganisation,
                     const std::string& aTurn,
                     TimePoint aGiveUpAt,
                     std::function<void(const HistoryResult&)> aDone)
{
  auto known = this->index.find(aTurn);
  if (known != this->index.end()) {
    Cached& entry = *known->second;
    entry.usedAt = BootNow();
    if (entry.organisation != aOrganisation) {
      aDone(HistoryMiss::kNoSuchTurn);
      return;
    }
    this->cache.splice(this->cache.begin(), this->cache, known->second);
    aDone(Transcript(entry.transcript));
    return;
  }
  this->Look(aOrganisation, aTurn, 0, aGiveUpAt, std::move(aDone));
}

void
HistoryService::Look(const std::string& aOrganisation,
                     const std::string& aTurn,
                     size_t aTry,
                     TimePoint aGiveUpAt,
                     std::function<void(const HistoryResult&)> aDone)
{
  const auto partitions = PartitionsOf(this->settings.turns, aTurn);
  this->log.ReadAll(
    partitions[aTry],
    0,
    aGiveUpAt,
    [=, done = std::move(aDone)](const ReadResult& aResult) {
      const auto* page = std::get_if<ReadRecords>(&aResult);
      if (page == nullptr) {
        done(HistoryMiss::kUnknown);
        return;
      }
      std::optional<StoredTurn> wanted;
      for (const LogRecord& record : page->records) {
        auto turn = Parse(record.data);
        if (turn && turn->id == aTurn) {
          wanted = std::move(turn);
        }
      }
      if (!wanted && aTry + 1 < partitions.size()) {
        this->Look(aOrganisation, aTurn, aTry + 1, aGiveUpAt, done);
        return;
      }
      if (!wanted || wanted->organisation != aOrganisation) {
        done(HistoryMiss::kNoSuchTurn);
        return;
      }
      if (wanted->previous.empty()) {
        this->Remember(wanted->id,
                       wanted->organisation,
                       std::make_shared<const std::string>(wanted->text));
      }
      this->Resolve(*wanted, aGiveUpAt, done);
    });
}

void
HistoryService::Resolve(const StoredTurn& aTurn,
                        TimePoint aGiveUpAt,
                        std::function<void(const HistoryResult&)> aDone)
{
  if (aTurn.previous.empty()) {
    aDone(std::make_shared<const std::string>(aTurn.text));
    return;
  }
  const std::string id = aTurn.id;
  const std::string organisation = aTurn.organisation;
  const std::string text = aTurn.text;
  this->Find(organisation,
             aTurn.previous,
             aGiveUpAt,
             [this, id, organisation, text, done = std::move(aDone)](
               const HistoryResult& aBefore) {
               const auto* before = std::get_if<Transcript>(&aBefore);
               if (before == nullptr) {
                 done(aBefore);
                 return;
               }
               auto whole =
                 std::make_shared<const std::string>(**before + text);
               this->Remember(id, organisation, whole);
               done(whole);
             });
}

void
HistoryService::Keep(KeptTurn aTurn,
                     Transcript aBefore,
                     TimePoint aGiveUpAt,
                     std::function<void(bool)> aDone)
{
  const std::string own = aTurn.input + aTurn.output;
  auto whole =
    std::make_shared<const std::string>(aBefore ? *aBefore + own : own);
  const bool inlined = !aBefore || whole->size() <= kMaxInlineBytes;
  const std::string& text = inlined ? *whole : own;
  const nlohmann::json fields = {
    { "id", aTurn.id },
    { "organisation", aTurn.organisation },
    { "previous", inlined ? "" : aTurn.previous },
    { "text",
      nlohmann::json::binary(
        std::vector<std::uint8_t>(text.begin(), text.end())) },
  };
  const auto bytes = nlohmann::json::to_cbor(fields);
  this->log.Append(PartitionsOf(this->settings.turns, aTurn.id),
                   std::string(bytes.begin(), bytes.end()),
                   aGiveUpAt,
                   [this,
                    id = aTurn.id,
                    organisation = aTurn.organisation,
                    whole,
                    done = std::move(aDone)](const AppendResult& aResult) {
                     const bool kept =
                       std::holds_alternative<Appended>(aResult);
                     if (kept) {
                       this->Remember(id, organisation, whole);
                     }
                     done(kept);
                   });
}

} // namespace tanagerseam
