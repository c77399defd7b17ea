// Checks that the events of a stream follow each other. Private to this
// library.
//
//   EventOrder order;
//   order.ResumeAfter(4);          // the client has events up to 4
//   if (!order.Take(eventId)) {
//     // an event that the client has already
//   }
//
// Endpoints number events upwards. An id that does not increase belongs to an
// event that the client has: the endpoint began its stream anew, or the bytes
// are a second response behind the first. Events without a number are not
// checked.
#ifndef TANAGERSEAM_GATEWAY_EVENT_ORDER_H_
#define TANAGERSEAM_GATEWAY_EVENT_ORDER_H_

#include <cstdint>
#include <optional>

namespace tanagerseam {

class EventOrder
{
public:
  void ResumeAfter(uint64_t aLastId) { this->lastId = aLastId; }

  // False if the id does not follow the last one.
  bool Take(std::optional<uint64_t> aId)
  {
    if (!aId) {
      return true;
    }
    if (this->lastId && *aId <= *this->lastId) {
      return false;
    }
    this->lastId = aId;
    return true;
  }

private:
  std::optional<uint64_t> lastId;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_EVENT_ORDER_H_
