#include "gateway/stream_origin_client.h"

#include <algorithm>

namespace tanagerseam {

namespace {

struct ResultName
{
  StreamLookupResult result;
  std::string_view name;
};

constexpr ResultName kResultNames[] = {
  { StreamLookupResult::kOwn, "own" },
  { StreamLookupResult::kPeer, "peer" },
  { StreamLookupResult::kUnknown, "unknown" },
  { StreamLookupResult::kUnnamed, "unnamed" },
  { StreamLookupResult::kNoAnswer, "no_answer" },
};

} // namespace

std::string_view
NameOf(StreamLookupResult aResult)
{
  for (const ResultName& row : kResultNames) {
    if (row.result == aResult) {
      return row.name;
    }
  }
  return "";
}

// A look-up that waits for the answers of peers.
struct StreamOriginClient::Pending
{
  // Null once it was called.
  Callback done;
  size_t openAsks = 0;
  bool anySilent = false;
};

StreamOriginClient::StreamOriginClient(std::string aOwnHost,
                                       FleetLink& aLink,
                                       Metrics& aMetrics)
  : ownHost(std::move(aOwnHost))
  , link(aLink)
  , metrics(aMetrics)
{
}

void
StreamOriginClient::SetMembers(const std::vector<std::string>& aHosts)
{
  this->peers = aHosts;
  this->peers.erase(
    std::remove(this->peers.begin(), this->peers.end(), this->ownHost),
    this->peers.end());
}

void
StreamOriginClient::Announce(uint64_t aStream, const StreamOrigin& aOrigin)
{
  this->origins.Put(aStream, aOrigin, BootNow());
  for (const std::string& host :
       StreamKeepers(aStream, this->peers, kToldKeepers)) {
    this->link.TellStreamBegan(host, aStream, aOrigin);
  }
}

void
StreamOriginClient::OnAnnounced(uint64_t aStream, const StreamOrigin& aOrigin)
{
  this->origins.Put(aStream, aOrigin, BootNow());
}

const StreamOrigin*
StreamOriginClient::FindForPeer(uint64_t aStream)
{
  return this->origins.Find(aStream, BootNow());
}

void
StreamOriginClient::Find(uint64_t aStream, Callback aDone)
{
  auto pending = std::make_shared<Pending>();
  pending->done = std::move(aDone);
  if (const StreamOrigin* own = this->origins.Find(aStream, BootNow())) {
    this->Finish(*pending, { StreamLookupResult::kOwn, *own });
    return;
  }
  const auto asked = StreamKeepers(aStream, this->peers, kAskedKeepers);
  if (asked.empty()) {
    this->Finish(*pending, { StreamLookupResult::kUnknown, std::nullopt });
    return;
  }
  pending->openAsks = asked.size();
  for (const std::string& host : asked) {
    this->Ask(host, aStream, pending);
  }
}

void
StreamOriginClient::Ask(const std::string& aHost,
                        uint64_t aStream,
                        const std::shared_ptr<Pending>& aPending)
{
  this->link.FindStream(aHost,
                        aStream,
                        kPeerTimeout,
                        [this, aStream, aPending](const StreamAnswer& aAnswer) {
                          this->OnAnswer(aStream, *aPending, aAnswer);
                        });
}

void
StreamOriginClient::OnAnswer(uint64_t aStream,
                             Pending& aPending,
                             const StreamAnswer& aAnswer)
{
  --aPending.openAsks;
  aPending.anySilent = aPending.anySilent || !aAnswer.answered;
  if (!aPending.done) {
    return;
  }
  if (aAnswer.origin) {
    this->origins.Put(aStream, *aAnswer.origin, BootNow());
    this->Finish(aPending, { StreamLookupResult::kPeer, aAnswer.origin });
  } else if (aPending.openAsks == 0) {
    this->Finish(aPending,
                 { aPending.anySilent ? StreamLookupResult::kNoAnswer
                                      : StreamLookupResult::kUnknown,
                   std::nullopt });
  }
}

void
StreamOriginClient::Finish(Pending& aPending, const StreamLookup& aLookup)
{
  this->metrics.Count("tanagerseam_resumptions_total",
                      { { "origin", std::string(NameOf(aLookup.result)) } });
  const Callback done = std::move(aPending.done);
  aPending.done = nullptr;
  done(aLookup);
}

} // namespace tanagerseam
