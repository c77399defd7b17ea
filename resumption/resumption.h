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
// A turn of a route that keeps history is stored whole, so a host that resumes
// its stream needs the events that the client got before. Those who know are
// the keepers: the host that passes an event on tells them first.
//
//   StreamEvents known;
//   known.Put(stream, { attempt, after, position, { 4, "data" } }, now);
//   std::vector<StreamPart> parts = known.Find(stream, lastEvent);
//   MergeParts(partsOfAPeer, parts);
//   std::optional<std::string> text = TextUpTo(parts, lastEvent);
//
// Each attempt of the client is a part: it begins behind the last event that
// the client then had. So what the client holds of a part ends where the next
// part begins, whatever its host passed on behind that. Where an event is
// missing, or two parts begin at the same event, there is no text: no guess is
// stored.
//
// Bounds: kMaxStreams origins for kStreamMemory each; the oldest is forgotten
// first. A version is forgotten kStreamMemory after it was last seen. Events of
// streams: kMaxBytes, and kEventMemory after the stream's last one.
// Deterministic: the time is an argument.
#ifndef TANAGERSEAM_RESUMPTION_RESUMPTION_H_
#define TANAGERSEAM_RESUMPTION_RESUMPTION_H_

#include <cstdint>
#include <deque>
#include <list>
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

// An event of a stream.
struct StreamEvent
{
  uint64_t id = 0;
  std::string data;
};

// An event with its place, as hosts tell it.
struct PlacedEvent
{
  // StreamKey of the attempt that brought the event.
  uint64_t attempt = 0;
  // The last event that the client had when the attempt began; unset for an
  // attempt that began the stream.
  std::optional<uint64_t> after;
  // Counted from 0 in the attempt.
  uint32_t position = 0;
  StreamEvent event;
};

// The events of one attempt, as far as they are known.
struct StreamPart
{
  uint64_t attempt = 0;
  std::optional<uint64_t> after;
  // By position.
  std::map<uint32_t, StreamEvent> events;
};

// Adds to aParts what aOther knows beyond them.
void
MergeParts(const std::vector<StreamPart>& aOther,
           std::vector<StreamPart>& aParts);

// The data of the events that a client has whose last one is aLastEvent, each
// followed by a line feed. Unset unless they are certain.
std::optional<std::string>
TextUpTo(const std::vector<StreamPart>& aParts, uint64_t aLastEvent);

class StreamEvents
{
public:
  // Attempts of a client at one stream follow each other within seconds.
  static constexpr Millis kEventMemory{ 60000 };
  static constexpr size_t kMaxBytes = 4u << 20;

  void Put(uint64_t aStream, PlacedEvent aEvent, TimePoint aNow);
  // The events up to aLastEvent, and the parts that begin before it. Empty if
  // the stream is not known.
  std::vector<StreamPart> Find(uint64_t aStream,
                               uint64_t aLastEvent,
                               TimePoint aNow);
  size_t Bytes() const { return this->bytes; }

private:
  struct Entry
  {
    uint64_t stream = 0;
    std::vector<StreamPart> parts;
    size_t bytes = 0;
    TimePoint lastPutAt{};
  };

  void Forget(TimePoint aNow);

  // The stream with the oldest last event first.
  std::list<Entry> entries;
  std::unordered_map<uint64_t, std::list<Entry>::iterator> byStream;
  size_t bytes = 0;
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
