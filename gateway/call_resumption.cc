// Where a stream began that a call resumes: looked up, or inferred where one
// version only can have begun it.
#include <algorithm>

#include "gateway/call_flow.h"

namespace tanagerseam {

namespace {

// Attempts of a client at one stream, each as long as the route's timeout,
// after which it begins anew.
constexpr int64_t kAttemptsOfAStream = 2;

} // namespace

void
CallFlow::FindStreamOrigin()
{
  if (!this->call.resumption || this->route->kind != CallKind::kStream) {
    this->LoadHistory();
    return;
  }
  const std::string& first = this->call.resumption->firstRequest;
  if (first.empty()) {
    this->OnStreamOrigin({ StreamLookupResult::kUnnamed, std::nullopt });
    return;
  }
  this->state.streamOrigins.Find(
    StreamKey(this->OrganisationName(), first),
    [self = this->shared_from_this()](const StreamLookup& aLookup) {
      if (!self->ended) {
        self->OnStreamOrigin(aLookup);
      }
    });
}

// The stream began before this call came, so a reading of the registry that
// starts now shows its version, unless that has left.
void
CallFlow::InferStreamOrigin(StreamLookupResult aLookup)
{
  const TimePoint now = BootNow();
  const bool severalVersions =
    this->state.versions.VersionsSince(this->service, this->EarliestBegin(now))
      .size() > 1;
  if (severalVersions || this->route->targets.size() > 1 ||
      this->state.HasMovedSince(*this->route,
                                now - StreamOrigins::kStreamMemory)) {
    this->ContinueAtOrigin(aLookup);
    return;
  }
  this->state.registryReadings.Await(
    this->arrivedAt, [self = this->shared_from_this(), aLookup](bool aRead) {
      if (self->ended) {
        return;
      }
      if (aRead) {
        self->InferFromRegistry(aLookup);
      } else {
        self->ContinueAtOrigin(StreamLookupResult::kNoAnswer);
      }
    });
}

TimePoint
CallFlow::EarliestBegin(TimePoint aNow) const
{
  return aNow - kAttemptsOfAStream * this->route->timeout;
}

void
CallFlow::InferFromRegistry(StreamLookupResult aLookup)
{
  const TimePoint now = BootNow();
  const TimePoint earliestResumable = now - StreamOrigins::kStreamMemory;
  // Clients set their own number of attempts and pauses, so what this host has
  // not watched is unknown for as long as any stream may be resumed.
  if (!this->state.versions.HasWatchedSince(earliestResumable, now)) {
    this->ContinueAtOrigin(aLookup);
    return;
  }
  const auto sole =
    this->state.SoleVersion(this->service, this->EarliestBegin(now));
  std::vector<std::string> former =
    this->state.versions.VersionsSince(this->service, earliestResumable);
  former.erase(std::remove(former.begin(), former.end(), sole.value_or("")),
               former.end());
  // Streams of other routes are not announced.
  if (!sole || (!former.empty() && !this->route->resumable)) {
    this->ContinueAtOrigin(aLookup);
    return;
  }
  this->state.streamOrigins.FindBegun(
    this->service,
    former,
    [self = this->shared_from_this(), aLookup, version = *sole](
      StreamLookupResult aBegun) {
      if (self->ended) {
        return;
      }
      if (aBegun == StreamLookupResult::kUnknown) {
        self->origin = StreamOrigin{ self->service, version };
      }
      const bool noAnswer = aBegun == StreamLookupResult::kNoAnswer;
      self->ContinueAtOrigin(noAnswer ? aBegun : aLookup);
    });
}

void
CallFlow::OnStreamOrigin(const StreamLookup& aLookup)
{
  this->origin = aLookup.origin;
  if (this->origin) {
    this->ContinueAtOrigin(aLookup.result);
  } else {
    this->InferStreamOrigin(aLookup.result);
  }
}

void
CallFlow::ContinueAtOrigin(StreamLookupResult aLookup)
{
  if (!this->origin) {
    this->RefuseUnknownStream("origin " + std::string(NameOf(aLookup)),
                              aLookup == StreamLookupResult::kNoAnswer);
    return;
  }
  LogInfo("stream_resumed",
          this->WithCallIds({ { "origin", std::string(NameOf(aLookup)) },
                              { "service", this->origin->service },
                              { "version", this->origin->version } }));
  const auto& targets = this->route->targets;
  const bool served =
    std::any_of(targets.begin(), targets.end(), [this](const auto& aTarget) {
      return aTarget.service == this->origin->service;
    });
  if (!served) {
    this->Refuse(RefusalReason::kStreamVersionGone,
                 "the route no longer leads to service " +
                   this->origin->service);
    return;
  }
  this->SetService(this->origin->service);
  this->LoadBeginning();
}

void
CallFlow::RefuseUnknownStream(const std::string& aDetail, bool aMayFindLater)
{
  const auto retryAfter = aMayFindLater
                            ? std::optional<Millis>(this->DrawRetryAfter())
                            : std::nullopt;
  this->RefuseWithRetryAfter(
    RefusalReason::kStreamUnknown, aDetail, retryAfter);
}

void
CallFlow::LoadBeginning()
{
  const StreamResumption& resumption = *this->call.resumption;
  if (!this->route->retainsHistory || resumption.lastEvent.empty()) {
    this->LoadHistory();
    return;
  }
  const auto lastEvent = ParseEventId(resumption.lastEvent);
  if (!lastEvent || (resumption.firstRequest.empty() && *lastEvent > 0)) {
    this->OnBeginning({ BeginningResult::kUnknown, "" });
    return;
  }
  this->state.streamEvents.Find(
    StreamKey(this->OrganisationName(), resumption.firstRequest),
    *lastEvent,
    [self = this->shared_from_this()](const StreamBeginning& aBeginning) {
      if (!self->ended) {
        self->OnBeginning(aBeginning);
      }
    });
}

void
CallFlow::OnBeginning(const StreamBeginning& aBeginning)
{
  const std::string result(NameOf(aBeginning.result));
  this->state.dependencies.metrics.Count("tanagerseam_turn_beginnings_total",
                                         { { "result", result } });
  LogInfo(
    "turn_beginning",
    this->WithCallIds({ { "result", result },
                        { "bytes", std::to_string(aBeginning.text.size()) } }));
  if (aBeginning.result != BeginningResult::kFound) {
    this->RefuseUnknownStream("events before the break " + result,
                              aBeginning.result == BeginningResult::kNoAnswer);
    return;
  }
  if (!this->turnOutput.Append(aBeginning.text)) {
    this->RefuseWithRetryAfter(RefusalReason::kOverloaded,
                               "no memory for the events before the break",
                               this->DrawRetryAfter());
    return;
  }
  this->LoadHistory();
}

} // namespace tanagerseam
