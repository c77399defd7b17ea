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
  std::vector<std::string> others = aHosts;
  others.erase(std::remove(others.begin(), others.end(), this->ownHost),
               others.end());
  if (others == this->peers) {
    return;
  }
  this->peers = std::move(others);
  // The hosts that rank highest have changed.
  for (const auto& [key, announced] : this->announcedOrigins) {
    if (this->begunOrigins.Find(key, BootNow()) != nullptr) {
      this->TellKeepers(key, announced.origin);
    }
  }
}

void
StreamOriginClient::Announce(uint64_t aStream, const StreamOrigin& aOrigin)
{
  const TimePoint now = BootNow();
  this->origins.Put(aStream, aOrigin, now);
  this->TellKeepers(aStream, aOrigin);
  this->AnnounceOrigin(aOrigin, now);
}

void
StreamOriginClient::AnnounceOrigin(const StreamOrigin& aOrigin, TimePoint aNow)
{
  const uint64_t key = OriginKey(aOrigin);
  AnnouncedOrigin& announced = this->announcedOrigins[key];
  const bool isFirst = announced.at == TimePoint{};
  if (!isFirst && aNow - announced.at < kOriginInterval) {
    return;
  }
  announced = { aOrigin, aNow };
  this->begunOrigins.Put(key, aOrigin, aNow);
  this->TellKeepers(key, aOrigin);
  if (isFirst) {
    this->ForgetAnnouncedOrigins(aNow);
  }
}

void
StreamOriginClient::ForgetAnnouncedOrigins(TimePoint aNow)
{
  for (auto it = this->announcedOrigins.begin();
       it != this->announcedOrigins.end();) {
    const bool old = aNow - it->second.at > StreamOrigins::kStreamMemory;
    it = old ? this->announcedOrigins.erase(it) : std::next(it);
  }
}

void
StreamOriginClient::TellKeepers(uint64_t aKey, const StreamOrigin& aOrigin)
{
  for (const std::string& host :
       StreamKeepers(aKey, this->peers, kToldKeepers)) {
    this->link.TellStreamBegan(host, aKey, aOrigin);
  }
}

void
StreamOriginClient::OnAnnounced(uint64_t aStream, const StreamOrigin& aOrigin)
{
  this->Put(aStream, aOrigin);
}

void
StreamOriginClient::Put(uint64_t aKey, const StreamOrigin& aOrigin)
{
  StreamOrigins& known =
    aKey == OriginKey(aOrigin) ? this->begunOrigins : this->origins;
  known.Put(aKey, aOrigin, BootNow());
}

const StreamOrigin*
StreamOriginClient::FindForPeer(uint64_t aStream)
{
  const TimePoint now = BootNow();
  const StreamOrigin* stream = this->origins.Find(aStream, now);
  return stream != nullptr ? stream : this->begunOrigins.Find(aStream, now);
}

void
StreamOriginClient::Find(uint64_t aStream, Callback aDone)
{
  this->LookUp(aStream, [this, aDone](const StreamLookup& aLookup) {
    this->metrics.Count("tanagerseam_resumptions_total",
                        { { "origin", std::string(NameOf(aLookup.result)) } });
    aDone(aLookup);
  });
}

void
StreamOriginClient::FindBegun(const std::string& aService,
                              std::vector<std::string> aVersions,
                              std::function<void(StreamLookupResult)> aDone)
{
  if (aVersions.empty()) {
    aDone(StreamLookupResult::kUnknown);
    return;
  }
  const uint64_t key = OriginKey({ aService, aVersions.back() });
  aVersions.pop_back();
  this->LookUp(key,
               [this, aService, aVersions, aDone](const StreamLookup& aLookup) {
                 if (aLookup.result != StreamLookupResult::kUnknown) {
                   aDone(aLookup.result);
                   return;
                 }
                 this->FindBegun(aService, aVersions, aDone);
               });
}

void
StreamOriginClient::LookUp(uint64_t aKey, Callback aDone)
{
  auto pending = std::make_shared<Pending>();
  pending->done = std::move(aDone);
  if (const StreamOrigin* own = this->FindForPeer(aKey)) {
    this->Finish(*pending, { StreamLookupResult::kOwn, *own });
    return;
  }
  const auto asked = StreamKeepers(aKey, this->peers, kAskedKeepers);
  if (asked.empty()) {
    this->Finish(*pending, { StreamLookupResult::kUnknown, std::nullopt });
    return;
  }
  pending->openAsks = asked.size();
  for (const std::string& host : asked) {
    this->Ask(host, aKey, pending);
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
    this->Put(aStream, *aAnswer.origin);
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
  const Callback done = std::move(aPending.done);
  aPending.done = nullptr;
  done(aLookup);
}

} // namespace tanagerseam
