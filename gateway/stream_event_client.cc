#include "gateway/stream_event_client.h"

#include <algorithm>
#include <memory>

namespace tanagerseam {

namespace {

struct ResultName
{
  BeginningResult result;
  std::string_view name;
};

constexpr ResultName kResultNames[] = {
  { BeginningResult::kFound, "found" },
  { BeginningResult::kUnknown, "unknown" },
  { BeginningResult::kNoAnswer, "no_answer" },
};

} // namespace

std::string_view
NameOf(BeginningResult aResult)
{
  for (const ResultName& row : kResultNames) {
    if (row.result == aResult) {
      return row.name;
    }
  }
  return "";
}

// A look-up that waits for the answers of peers.
struct StreamEventClient::Pending
{
  uint64_t lastEvent = 0;
  Callback done;
  std::vector<StreamPart> parts;
  size_t openAsks = 0;
  // A host that is told of every attempt has answered.
  bool heardKeeper = false;
};

StreamEventClient::StreamEventClient(std::string aOwnHost, FleetLink& aLink)
  : ownHost(std::move(aOwnHost))
  , link(aLink)
{
}

void
StreamEventClient::SetMembers(const std::vector<std::string>& aHosts)
{
  this->peers = aHosts;
  this->peers.erase(
    std::remove(this->peers.begin(), this->peers.end(), this->ownHost),
    this->peers.end());
}

PassedStream
StreamEventClient::Begin(uint64_t aStream,
                         uint64_t aAttempt,
                         std::optional<uint64_t> aAfter) const
{
  const uint32_t nextPosition = 0;
  return { aStream,
           aAttempt,
           aAfter,
           nextPosition,
           StreamKeepers(aStream, this->peers, kToldKeepers) };
}

void
StreamEventClient::Tell(PassedStream& aPassed, const StreamEvent& aEvent)
{
  PlacedEvent placed{
    aPassed.attempt, aPassed.after, aPassed.nextPosition, aEvent
  };
  ++aPassed.nextPosition;
  if (!aPassed.keepers.empty() &&
      !this->link.TellStreamEvent(aPassed.keepers, aPassed.stream, placed)) {
    LogWarn("stream_event_too_large",
            { { "bytes", std::to_string(aEvent.data.size()) } });
  }
  this->events.Put(aPassed.stream, std::move(placed), BootNow());
}

void
StreamEventClient::OnTold(uint64_t aStream, PlacedEvent aEvent)
{
  this->events.Put(aStream, std::move(aEvent), BootNow());
}

std::vector<StreamPart>
StreamEventClient::FindForPeer(uint64_t aStream, uint64_t aLastEvent)
{
  return this->events.Find(aStream, aLastEvent, BootNow());
}

void
StreamEventClient::Find(uint64_t aStream, uint64_t aLastEvent, Callback aDone)
{
  auto pending = std::make_shared<Pending>();
  pending->lastEvent = aLastEvent;
  pending->done = std::move(aDone);
  pending->parts = this->FindForPeer(aStream, aLastEvent);
  const auto asked = StreamKeepers(aStream, this->peers, kAskedKeepers);
  if (asked.empty()) {
    // This host is the whole fleet.
    pending->heardKeeper = true;
    Finish(*pending);
    return;
  }
  pending->openAsks = asked.size();
  for (size_t rank = 0; rank < asked.size(); ++rank) {
    const bool wasTold = rank < kToldKeepers;
    this->link.FindStreamEvents(
      asked[rank],
      aStream,
      aLastEvent,
      kPeerTimeout,
      [this, pending, wasTold](const StreamEventsAnswer& aAnswer) {
        this->OnAnswer(*pending, wasTold, aAnswer);
      });
  }
}

void
StreamEventClient::OnAnswer(Pending& aPending,
                            bool aWasTold,
                            const StreamEventsAnswer& aAnswer)
{
  --aPending.openAsks;
  MergeParts(aAnswer.parts, aPending.parts);
  aPending.heardKeeper = aPending.heardKeeper || (aWasTold && aAnswer.answered);
  if (aPending.openAsks == 0) {
    Finish(aPending);
  }
}

void
StreamEventClient::Finish(const Pending& aPending)
{
  if (!aPending.heardKeeper) {
    aPending.done({ BeginningResult::kNoAnswer, "" });
    return;
  }
  auto text = TextUpTo(aPending.parts, aPending.lastEvent);
  if (!text) {
    aPending.done({ BeginningResult::kUnknown, "" });
    return;
  }
  aPending.done({ BeginningResult::kFound, std::move(*text) });
}

} // namespace tanagerseam
