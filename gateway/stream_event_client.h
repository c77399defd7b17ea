// Tells other hosts the events of streams that are kept as turns, and asks them
// what a client holds of one. Private to this library; see
// resumption/resumption.h.
//
//   StreamEventClient client("host-1", link);
//   client.SetMembers({ "host-1", "host-2" });
//   PassedStream passed = client.Begin(stream, attempt, lastEvent);
//   client.Tell(passed, { 5, "data" });   // before the client gets event 5
//   client.Find(stream, 5, [](const StreamBeginning& aBeginning) { ... });
//
// Events are not acknowledged. A host that looks for them asks more hosts than
// were told. A host may have events that the client never got, and not know
// that the client went on elsewhere; the hosts that are told of every attempt
// know. So nothing is certain unless one of those answers.
#ifndef TANAGERSEAM_GATEWAY_STREAM_EVENT_CLIENT_H_
#define TANAGERSEAM_GATEWAY_STREAM_EVENT_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/fleet.h"
#include "resumption/resumption.h"

namespace tanagerseam {

enum class BeginningResult
{
  kFound,
  // The hosts that answered do not know all of its events.
  kUnknown,
  // None of the hosts that were told of the stream answered in time.
  kNoAnswer,
};

std::string_view
NameOf(BeginningResult aResult);

struct StreamBeginning
{
  BeginningResult result = BeginningResult::kUnknown;
  // If found: the data of each event, each followed by a line feed.
  std::string text;
};

// A stream whose events this host passes on, as one attempt of its client.
struct PassedStream
{
  uint64_t stream = 0;
  uint64_t attempt = 0;
  // See PlacedEvent.
  std::optional<uint64_t> after;
  uint32_t nextPosition = 0;
  // The hosts that are told.
  std::vector<std::string> keepers;
};

class StreamEventClient
{
public:
  // Several times the round trip to another availability zone.
  static constexpr Millis kPeerTimeout{ 50 };

  using Callback = std::function<void(const StreamBeginning&)>;

  StreamEventClient(std::string aOwnHost, FleetLink& aLink);

  void SetMembers(const std::vector<std::string>& aHosts);
  PassedStream Begin(uint64_t aStream,
                     uint64_t aAttempt,
                     std::optional<uint64_t> aAfter) const;
  void Tell(PassedStream& aPassed, const StreamEvent& aEvent);
  // What a client holds of the stream whose last event is aLastEvent. Calls
  // aDone once, possibly before it returns.
  void Find(uint64_t aStream, uint64_t aLastEvent, Callback aDone);
  // A peer passes an event on.
  void OnTold(uint64_t aStream, PlacedEvent aEvent);
  std::vector<StreamPart> FindForPeer(uint64_t aStream, uint64_t aLastEvent);

private:
  struct Pending;

  void OnAnswer(Pending& aPending,
                bool aWasTold,
                const StreamEventsAnswer& aAnswer);
  static void Finish(const Pending& aPending);

  std::string ownHost;
  FleetLink& link;
  // Without this host.
  std::vector<std::string> peers;
  StreamEvents events;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_STREAM_EVENT_CLIENT_H_
