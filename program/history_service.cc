#include <algorithm>

#include <nlohmann/json.hpp>

#include "program/kept_turns.h"
#include "program/program.h"

namespace tanagerseam {

struct HistoryService::TurnRecord
{
  std::string id;
  std::string organisation;
  // Id of the previous turn if the text of earlier turns is not inlined.
  std::string previous;
  std::string text;
};

namespace {

void
LogForeignTurn(const std::string& aTurn,
               const std::string& aAsking,
               const std::string& aHolding)
{
  LogInfo("turn_of_another_organisation",
          { { "turn", aTurn },
            { "organisation", aAsking },
            { "held_by", aHolding } });
}

} // namespace

HistoryService::HistoryService(RetryingLog& aLog, ProgramSettings aSettings)
  : log(aLog)
  , settings(std::move(aSettings))
  , keptTurns(std::make_unique<KeptTurns>(aLog, this->settings))
{
}

HistoryService::~HistoryService() = default;

void
HistoryService::SetOwner(std::function<bool(const std::string&)> aIsOwner)
{
  this->keptTurns->SetOwner(std::move(aIsOwner));
}

void
HistoryService::Tick(TimePoint aNow)
{
  this->keptTurns->Tick(aNow);
}

std::optional<HistoryService::TurnRecord>
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
    TurnRecord turn;
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
HistoryService::AddToCache(const std::string& aId,
                           const std::string& aOrganisation,
                           Transcript aTranscript,
                           TimePoint aRecordsWrittenAt)
{
  auto cached = this->cacheById.find(aId);
  if (cached != this->cacheById.end()) {
    this->cachedBytes -= cached->second->transcript->size();
    this->cache.erase(cached->second);
    this->cacheById.erase(cached);
  }
  this->cachedBytes += aTranscript->size();
  this->cache.push_front({ aId,
                           aOrganisation,
                           std::move(aTranscript),
                           aRecordsWrittenAt,
                           BootNow() });
  this->cacheById[aId] = this->cache.begin();
  while (this->cachedBytes > this->settings.maxHistoryCacheBytes ||
         BootNow() - this->cache.back().lastUsedAt > kEvictAfterIdle) {
    const CacheEntry& oldest = this->cache.back();
    this->cachedBytes -= oldest.transcript->size();
    this->cacheById.erase(oldest.id);
    this->cache.pop_back();
    if (this->cache.empty()) {
      return;
    }
  }
}

TimePoint
HistoryService::RecordsWrittenAt(const std::string& aTurn) const
{
  const auto cached = this->cacheById.find(aTurn);
  return cached == this->cacheById.end() ? TimePoint{}
                                         : cached->second->recordsWrittenAt;
}

bool
HistoryService::RecordsLast(TimePoint aWrittenAt, Millis aKeepFor) const
{
  return aWrittenAt + this->settings.logRetention >
         BootNow() + aKeepFor + kTurnRetentionMargin;
}

void
HistoryService::Find(const std::string& aOrganisation,
                     const std::string& aTurn,
                     TimePoint aDeadline,
                     std::function<void(const HistoryResult&)> aDone)
{
  auto cached = this->cacheById.find(aTurn);
  if (cached != this->cacheById.end()) {
    CacheEntry& entry = *cached->second;
    entry.lastUsedAt = BootNow();
    if (entry.organisation != aOrganisation) {
      LogForeignTurn(aTurn, aOrganisation, entry.organisation);
      aDone(HistoryMiss::kNoSuchTurn);
      return;
    }
    this->cache.splice(this->cache.begin(), this->cache, cached->second);
    aDone(Transcript(entry.transcript));
    return;
  }
  auto lookup = std::make_shared<Lookup>();
  lookup->organisation = aOrganisation;
  lookup->turn = aTurn;
  lookup->deadline = aDeadline;
  lookup->done = std::move(aDone);
  this->FindInCandidate(lookup, 0);
}

void
HistoryService::FindInCandidate(const std::shared_ptr<Lookup>& aLookup,
                                size_t aCandidate)
{
  const auto partitions =
    CandidatePartitions(this->settings.turns, aLookup->turn);
  if (aCandidate >= partitions.size()) {
    if (aLookup->hasForgotten) {
      this->FindInCopies(aLookup);
    } else {
      this->OnLookedUp(*aLookup, nullptr);
    }
    return;
  }
  this->log.ReadAll(partitions[aCandidate],
                    0,
                    aLookup->deadline,
                    [this, aLookup, aCandidate](const ReadResult& aResult) {
                      const auto* page = std::get_if<RecordPage>(&aResult);
                      if (page == nullptr) {
                        aLookup->done(HistoryMiss::kUnavailable);
                        return;
                      }
                      aLookup->hasForgotten =
                        aLookup->hasForgotten || page->first > 0;
                      std::optional<TurnRecord> wanted;
                      for (const LogRecord& record : page->records) {
                        auto turn = Parse(record.data);
                        if (turn && turn->id == aLookup->turn) {
                          wanted = std::move(turn);
                        }
                      }
                      if (wanted) {
                        this->OnLookedUp(*aLookup, &*wanted);
                      } else {
                        this->FindInCandidate(aLookup, aCandidate + 1);
                      }
                    });
}

void
HistoryService::FindInCopies(const std::shared_ptr<Lookup>& aLookup)
{
  this->keptTurns->Find(
    aLookup->turn, aLookup->deadline, [this, aLookup](const auto& aResult) {
      const auto* record = std::get_if<std::optional<std::string>>(&aResult);
      if (record == nullptr) {
        aLookup->done(HistoryMiss::kUnavailable);
        return;
      }
      const auto turn = *record ? Parse(**record) : std::nullopt;
      const bool found = turn && turn->id == aLookup->turn;
      LogInfo("turn_looked_up_in_copies",
              { { "turn", aLookup->turn }, { "found", found ? "yes" : "no" } });
      this->OnLookedUp(*aLookup, found ? &*turn : nullptr);
    });
}

void
HistoryService::OnLookedUp(const Lookup& aLookup, const TurnRecord* aFound)
{
  if (aFound == nullptr) {
    aLookup.done(HistoryMiss::kNoSuchTurn);
    return;
  }
  if (aFound->organisation != aLookup.organisation) {
    LogForeignTurn(aLookup.turn, aLookup.organisation, aFound->organisation);
    aLookup.done(HistoryMiss::kNoSuchTurn);
    return;
  }
  if (aFound->previous.empty()) {
    this->AddToCache(aFound->id,
                     aFound->organisation,
                     std::make_shared<const std::string>(aFound->text),
                     TimePoint{});
  }
  this->PrependPrior(*aFound, aLookup.deadline, aLookup.done);
}

void
HistoryService::PrependPrior(const TurnRecord& aTurn,
                             TimePoint aDeadline,
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
             aDeadline,
             [this, id, organisation, text, done = std::move(aDone)](
               const HistoryResult& aPrior) {
               const auto* prior = std::get_if<Transcript>(&aPrior);
               if (prior == nullptr) {
                 done(aPrior);
                 return;
               }
               auto transcript =
                 std::make_shared<const std::string>(**prior + text);
               this->AddToCache(id, organisation, transcript, TimePoint{});
               done(transcript);
             });
}

std::string
HistoryService::Encode(const TurnRecord& aTurn)
{
  const nlohmann::json fields = {
    { "id", aTurn.id },
    { "organisation", aTurn.organisation },
    { "previous", aTurn.previous },
    { "text",
      nlohmann::json::binary(
        std::vector<std::uint8_t>(aTurn.text.begin(), aTurn.text.end())) },
  };
  const auto bytes = nlohmann::json::to_cbor(fields);
  return std::string(bytes.begin(), bytes.end());
}

bool
HistoryService::IsTurnRecord(const LogPartition& aPartition,
                             const std::string& aRecord) const
{
  const bool isCopy =
    aPartition.topic.rfind(this->settings.keptTurns.topicPrefix, 0) == 0;
  const auto record = isCopy ? KeptTurns::RecordIn(aRecord) : aRecord;
  const auto turn = record ? Parse(*record) : std::nullopt;
  if (!turn) {
    return false;
  }
  const auto candidates =
    isCopy ? this->keptTurns->PartitionsOf(turn->id)
           : CandidatePartitions(this->settings.turns, turn->id);
  return std::any_of(
    candidates.begin(), candidates.end(), [&aPartition](const auto& aOther) {
      return !(aOther < aPartition) && !(aPartition < aOther);
    });
}

void
HistoryService::WriteCopy(const TurnWrite& aTurn,
                          Millis aKeepFor,
                          const WriteTurn& aWrite,
                          std::function<void(const AppendResult&)> aDone)
{
  TurnWrite copy;
  copy.turn = aTurn.turn;
  copy.partitions = this->keptTurns->PartitionsOf(aTurn.turn);
  copy.record = KeptTurns::CopyOf(aTurn.turn, aTurn.record, aKeepFor);
  copy.shortRecord = [turn = aTurn.turn, record = aTurn.shortRecord, aKeepFor] {
    return KeptTurns::CopyOf(turn, record(), aKeepFor);
  };
  copy.deadline = aTurn.deadline;
  this->keptTurns->OnStored(aTurn.turn, aKeepFor);
  aWrite(std::move(copy), std::move(aDone));
}

void
HistoryService::Store(CompletedTurn aTurn,
                      Transcript aPrior,
                      TimePoint aDeadline,
                      std::function<void(bool)> aDone)
{
  this->Store(
    std::move(aTurn),
    std::move(aPrior),
    aDeadline,
    [this](TurnWrite aWrite, auto aWritten) {
      this->log.Append(std::move(aWrite.partitions),
                       std::move(aWrite.record),
                       aWrite.deadline,
                       std::move(aWritten));
    },
    std::move(aDone));
}

void
HistoryService::Store(CompletedTurn aTurn,
                      Transcript aPrior,
                      TimePoint aDeadline,
                      const WriteTurn& aWrite,
                      std::function<void(bool)> aDone)
{
  TurnRecord shortForm{ aTurn.id,
                        aTurn.organisation,
                        aPrior ? aTurn.previous : "",
                        aTurn.input + aTurn.output };
  auto transcript = std::make_shared<const std::string>(
    aPrior ? *aPrior + shortForm.text : shortForm.text);
  const TimePoint priorWrittenAt = this->RecordsWrittenAt(aTurn.previous);
  const bool priorLasts = this->RecordsLast(priorWrittenAt, aTurn.keepFor);
  const bool inlinesPrior =
    aPrior &&
    transcript->size() <= (priorLasts ? kMaxInlineBytes : kMaxRecordTextBytes);
  if (aPrior && !inlinesPrior && !priorLasts) {
    LogWarn("turn_outlasts_earlier_turns",
            { { "turn", aTurn.id },
              { "bytes", std::to_string(transcript->size()) } });
  }
  const TimePoint writtenAt =
    inlinesPrior || !aPrior ? BootNow() : priorWrittenAt;
  TurnWrite write;
  write.turn = aTurn.id;
  write.partitions = CandidatePartitions(this->settings.turns, aTurn.id);
  write.record = inlinesPrior
                   ? Encode({ aTurn.id, aTurn.organisation, "", *transcript })
                   : Encode(shortForm);
  write.shortRecord = [shortForm = std::move(shortForm)] {
    return Encode(shortForm);
  };
  write.deadline = aDeadline;
  const int writes = this->keptTurns->IsNeeded(aTurn.keepFor) ? 2 : 1;
  const auto onWritten = [this,
                          id = aTurn.id,
                          organisation = aTurn.organisation,
                          transcript,
                          writtenAt,
                          left = std::make_shared<int>(writes),
                          stored = std::make_shared<bool>(true),
                          done =
                            std::move(aDone)](const AppendResult& aResult) {
    *stored = *stored && std::holds_alternative<Appended>(aResult);
    if (--*left > 0) {
      return;
    }
    if (*stored) {
      this->AddToCache(id, organisation, transcript, writtenAt);
    }
    done(*stored);
  };
  if (writes > 1) {
    this->WriteCopy(write, aTurn.keepFor, aWrite, onWritten);
  }
  aWrite(std::move(write), onWritten);
}

} // namespace tanagerseam
