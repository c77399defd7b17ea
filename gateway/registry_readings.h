// Lets calls wait for a reading of the endpoint registry that is newer than
// themselves. Private to this library.
//
//   RegistryReadings readings(io, registry);
//   readings.Await(call.arrivedAt, [](bool aRead) { ... });
//   readings.OnRead(startedAt);      // whenever the registry has been read
//
// What this host has read before tells nothing about now: it may have been cut
// off or suspended since, while endpoints joined and began streams. Only a
// reading that started after an event shows all that the registry had then.
#ifndef TANAGERSEAM_GATEWAY_REGISTRY_READINGS_H_
#define TANAGERSEAM_GATEWAY_REGISTRY_READINGS_H_

#include <functional>
#include <map>

#include <restinio/asio_include.hpp>

#include "gateway/gateway.h"

namespace tanagerseam {

class RegistryReadings
{
public:
  using Callback = std::function<void(bool aRead)>;

  // Limit on the wait for a reading.
  static constexpr Millis kMaxWait{ 500 };

  // aRegistry may be null: then nobody is asked for a reading.
  RegistryReadings(restinio::asio_ns::io_context& aIo,
                   EndpointRegistry* aRegistry)
    : registry(aRegistry)
    , timer(aIo)
  {
  }

  // Calls aDone(true) once a reading that started at aSince or later is done,
  // aDone(false) if the registry can't be read or at kMaxWait.
  void Await(TimePoint aSince, Callback aDone);
  // A reading that started at aStartedAt is done.
  void OnRead(TimePoint aStartedAt);
  // Reading failed.
  void OnFailed();

private:
  // Ends the waits that began up to aSince.
  void EndWaits(TimePoint aSince, bool aRead);
  void ScheduleTimeout();

  EndpointRegistry* const registry;
  restinio::asio_ns::steady_timer timer;
  // By the time since which a reading is needed.
  std::multimap<TimePoint, Callback> waits;
  TimePoint lastStartedAt{};
  bool readable = false;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_REGISTRY_READINGS_H_
