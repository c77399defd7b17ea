// Requests of one incarnation of a peer, so that each is executed once and its
// retransmissions get the first response. Private to this library.
#ifndef TANAGERSEAM_FLEET_PEER_REQUESTS_H_
#define TANAGERSEAM_FLEET_PEER_REQUESTS_H_

#include <deque>
#include <optional>
#include <unordered_map>

#include "fleet/fleet.h"

namespace tanagerseam {

// A reservation, a call on a quota or an append that a peer has requested.
struct PeerRequest
{
  bool IsReserved() const
  {
    return this->response && this->response->status == ReserveStatus::kReserved;
  }

  // Empty for a call on a quota and for an append.
  TokenRequest request;
  // Empty until onReserve has responded.
  std::optional<ReserveResponse> response;
  // The reservation has ended, or there is none.
  bool settled = false;
  TimePoint receivedAt{};
  // Empty until onAppendRecord has responded.
  std::optional<PeerAppendAnswer> appendAnswer;
};

struct PeerRequests
{
  // Requests remembered to answer retransmissions. Those that are settled are
  // remembered for kSettledMemory only.
  static constexpr size_t kMaxRemembered = 2048;
  static constexpr Millis kSettledMemory{ 5000 };

  // False for a retransmission of a known request.
  bool Remember(uint64_t aId, PeerRequest aRequest)
  {
    if (!this->byId.emplace(aId, std::move(aRequest)).second) {
      return false;
    }
    this->order.push_back(aId);
    while (this->MayForgetFirst()) {
      this->byId.erase(this->order.front());
      this->order.pop_front();
    }
    return true;
  }

  uint64_t startTime = 0;
  TimePoint lastMessageAt{};
  // Ids in order of arrival.
  std::deque<uint64_t> order;
  std::unordered_map<uint64_t, PeerRequest> byId;

private:
  bool MayForgetFirst() const
  {
    const PeerRequest& first = this->byId.at(this->order.front());
    const bool old = BootNow() - first.receivedAt > kSettledMemory;
    return this->order.size() > kMaxRemembered || (first.settled && old);
  }
};

} // namespace tanagerseam

#endif // TANAGERSEAM_FLEET_PEER_REQUESTS_H_
