// Remembers at which software version of a service each event stream began, so
// that a stream that broke off goes on at that version only.
//
//   StreamOrigins origins;
//   const uint64_t stream = StreamKey("ski-club", "r-17");
//   origins.Put(stream, { "engines", "v1.2" }, now);
//   if (const StreamOrigin* origin = origins.Find(stream, now)) { ... }
//
//   // Hosts that are told, and hosts that are asked:
//   StreamKeepers(stream, otherHosts, kToldKeepers);
//   StreamKeepers(stream, otherHosts, kAskedKeepers);
//
// What two versions generate does not fit together, and endpoints don't check
// it. A client resumes its stream through any host, so the host that passes on
// the first event tells others: the hosts with the highest rendezvous hash of
// stream and host. Any host that looks for the stream ranks them the same way,
// as far as it knows the same members; it asks more hosts than were told, since
// their lists of members may differ. Each host may itself be among those that
// rank highest, so it leaves itself out.
//
// Where nobody knows the stream, or the client does not name it, it may go on
// if its service had one version only since before it can have begun:
//
//   VersionHistory versions;
//   versions.See("engines", "v1.2", now);     // also when it leaves
//   versions.Confirm(readStartedAt);          // the registry was read
//   versions.HasWatchedSince(now - StreamOrigins::kStreamMemory, now);
//   versions.SoleVersion("engines", now - longestStream, now);
//   versions.VersionsSince("engines", now - StreamOrigins::kStreamMemory);
//
// A client may outlast longestStream, so no other version of the last
// kStreamMemory may have begun a stream. Hosts announce, under its OriginKey,
// that streams begin at a version, in the same way as they announce a stream.
//
// A host can't say so before it has read the registry for as long as clients
// may come back, nor if it has not read it lately: what left the registry
// before it started is unknown to it, and after a loss of all hosts no other
// one knows it. A host of a fleet that starts for the first time (OnNewFleet)
// can, since no stream began before.
//
// Bounds: kMaxStreams origins for kStreamMemory each; the oldest is forgotten
// first. A version is forgotten kStreamMemory after it was last seen.
// Deterministic: the time is an argument.
#ifndef TANAGERSEAM_RESUMPTION_RESUMPTION_H_
#define TANAGERSEAM_RESUMPTION_RESUMPTION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam {

// Where a stream began.
struct StreamOrigin
{
  std::string service;
  // Of the endpoint's software.
  std::string version;
};

// Hosts that are told of a stream that begins.
inline constexpr size_t kToldKeepers = 2;
// Hosts that are asked where a stream began.
inline constexpr size_t kAskedKeepers = 4;

// Identifies the stream that an organisation's attempt began.
uint64_t
StreamKey(const std::string& aOrganisation, const std::string& aRequestId);

// The aCount hosts of aHosts that rank highest for the stream, best first.
std::vector<std::string>
StreamKeepers(uint64_t aStream,
              const std::vector<std::string>& aHosts,
              size_t aCount);

// Identifies the fact that streams began at this origin within kStreamMemory.
uint64_t
OriginKey(const StreamOrigin& aOrigin);

class StreamOrigins
{
public:
  // The longest time for which a client may come back.
  static constexpr Millis kStreamMemory{ 600000 };
  static constexpr size_t kMaxStreams = 16384;

  // A known stream keeps its origin and is remembered from now on.
  void Put(uint64_t aStream, StreamOrigin aOrigin, TimePoint aNow);
  // Null if the stream is not known.
  const StreamOrigin* Find(uint64_t aStream, TimePoint aNow);
  size_t Size() const { return this->origins.size(); }

private:
  struct Arrival
  {
    TimePoint at{};
    uint64_t stream = 0;
  };

  void Forget(TimePoint aNow);

  struct Entry
  {
    StreamOrigin origin;
    TimePoint putAt{};
  };

  std::unordered_map<uint64_t, Entry> origins;
  // Oldest first. An arrival is outdated if its stream was put again later.
  std::deque<Arrival> arrivals;
};

class VersionHistory
{
public:
  // The registry must have been read this recently.
  static constexpr Millis kMaxConfirmationAge{ 2500 };
  // After a longer time without a reading, such as a suspension of the host,
  // watching begins anew: a reading gives the newest record of each key only,
  // so an entry that came and went in between is not seen.
  static constexpr Millis kMaxGap{ 10000 };

  // An endpoint of the service has this version, or had it until now.
  void See(const std::string& aService,
           const std::string& aVersion,
           TimePoint aNow);
  // A reading of the registry that began at aReadStartedAt is done, and See was
  // called for all its entries. It tells nothing about the time after that
  // begin: the host may have been suspended before it saw the response.
  void Confirm(TimePoint aReadStartedAt);
  // The registry could not be read.
  void MarkUnavailable() { this->confirmedAt = TimePoint{}; }
  // The fleet starts for the first time, so no stream began before this host
  // started.
  void OnNewFleet() { this->isNewFleet = true; }
  // True if this host knows all versions since aSince that can have begun a
  // stream.
  bool HasWatchedSince(TimePoint aSince, TimePoint aNow) const;
  // The versions that an endpoint of the service has had since aSince.
  std::vector<std::string> VersionsSince(const std::string& aService,
                                         TimePoint aSince) const;
  // The only version that an endpoint of the service has had since aSince;
  // unset if there were several, none, or if this host can't be certain.
  std::optional<std::string> SoleVersion(const std::string& aService,
                                         TimePoint aSince,
                                         TimePoint aNow) const;
  // Number of versions that are remembered, of all services.
  size_t Size() const;

private:
  void Forget(TimePoint aNow);

  // When each version was last seen, by service.
  std::map<std::string, std::map<std::string, TimePoint>> lastSeen;
  // Since when the registry has been read without a gap.
  TimePoint watchedSince{};
  TimePoint lastReadAt{};
  // The same as lastReadAt; unset while the registry can't be read.
  TimePoint confirmedAt{};
  bool isNewFleet = false;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_RESUMPTION_RESUMPTION_H_
