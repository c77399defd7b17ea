// Tells other hosts at which software version streams began, and asks them.
// Private to this library; see resumption/resumption.h.
//
//   StreamOriginClient client("host-1", link, metrics);
//   client.SetMembers({ "host-1", "host-2" });
//   client.Announce(stream, { "engines", "v1.2" });
//   client.Find(stream, [](const StreamLookup& aLookup) { ... });
//   client.FindBegun("engines", { "v1.1" }, [](StreamLookupResult) { ... });
#ifndef TANAGERSEAM_GATEWAY_STREAM_ORIGIN_CLIENT_H_
#define TANAGERSEAM_GATEWAY_STREAM_ORIGIN_CLIENT_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "resumption/resumption.h"

namespace tanagerseam {

enum class StreamLookupResult
{
  // This host knew the stream.
  kOwn,
  // A peer knew it.
  kPeer,
  // All hosts that were asked answered, and none knew it.
  kUnknown,
  // The client does not name the attempt that began the stream.
  kUnnamed,
  // None knew it, and some did not answer in time.
  kNoAnswer,
};

std::string_view
NameOf(StreamLookupResult aResult);

struct StreamLookup
{
  StreamLookupResult result = StreamLookupResult::kUnknown;
  // Set if the result is kOwn or kPeer.
  std::optional<StreamOrigin> origin;
};

class StreamOriginClient
{
public:
  // Several times the round trip to another availability zone.
  static constexpr Millis kPeerTimeout{ 50 };

  // That streams begin at a version is announced this often while they do.
  static constexpr Millis kOriginInterval{ 10000 };

  using Callback = std::function<void(const StreamLookup&)>;

  StreamOriginClient(std::string aOwnHost, FleetLink& aLink, Metrics& aMetrics);

  void SetMembers(const std::vector<std::string>& aHosts);
  // A stream begins at this host.
  void Announce(uint64_t aStream, const StreamOrigin& aOrigin);
  // Calls aDone once, possibly before it returns.
  void Find(uint64_t aStream, Callback aDone);
  // Whether streams began at one of these versions lately: kUnknown if no host
  // that was asked knows of one, kNoAnswer if some did not answer. Calls aDone
  // once, possibly before it returns.
  void FindBegun(const std::string& aService,
                 std::vector<std::string> aVersions,
                 std::function<void(StreamLookupResult)> aDone);
  // A stream began at a peer.
  void OnAnnounced(uint64_t aStream, const StreamOrigin& aOrigin);
  // Null if this host does not know the stream.
  const StreamOrigin* FindForPeer(uint64_t aStream);

private:
  struct Pending;
  struct AnnouncedOrigin
  {
    StreamOrigin origin;
    TimePoint at{};
  };

  // Announces that streams begin at this origin.
  void AnnounceOrigin(const StreamOrigin& aOrigin, TimePoint aNow);
  void ForgetAnnouncedOrigins(TimePoint aNow);
  void TellKeepers(uint64_t aKey, const StreamOrigin& aOrigin);
  void Put(uint64_t aKey, const StreamOrigin& aOrigin);
  // As Find, without a metric.
  void LookUp(uint64_t aKey, Callback aDone);
  void Ask(const std::string& aHost,
           uint64_t aStream,
           const std::shared_ptr<Pending>& aPending);
  void OnAnswer(uint64_t aStream,
                Pending& aPending,
                const StreamAnswer& aAnswer);
  void Finish(Pending& aPending, const StreamLookup& aLookup);

  std::string ownHost;
  FleetLink& link;
  Metrics& metrics;
  // Without this host.
  std::vector<std::string> peers;
  StreamOrigins origins;
  // By OriginKey; apart, since many streams would displace them.
  StreamOrigins begunOrigins;
  // When this host last announced them.
  std::map<uint64_t, AnnouncedOrigin> announcedOrigins;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_STREAM_ORIGIN_CLIENT_H_
