// What this host has sent to each endpoint in requests that are not answered
// yet. An endpoint crashes if the requests that it holds exceed its memory,
// which it does not state. Private to this library.
//
//   OutgoingBytes outgoing(8u << 20);
//   if (outgoing.Take("engine-1", body.size())) { ... }
//   outgoing.GiveBack("engine-1", body.size());
#ifndef TANAGERSEAM_GATEWAY_OUTGOING_BYTES_H_
#define TANAGERSEAM_GATEWAY_OUTGOING_BYTES_H_

#include <string>
#include <unordered_map>

namespace tanagerseam {

class OutgoingBytes
{
public:
  explicit OutgoingBytes(size_t aLimit)
    : limit(aLimit)
  {
  }

  // False if the endpoint would hold more than the limit. A request alone is
  // always sent: no other time would suit it better.
  bool Take(const std::string& aEndpoint, size_t aBytes)
  {
    const auto found = this->bytes.find(aEndpoint);
    if (found != this->bytes.end() && found->second + aBytes > this->limit) {
      return false;
    }
    if (aBytes > 0) {
      this->bytes[aEndpoint] += aBytes;
    }
    return true;
  }

  void GiveBack(const std::string& aEndpoint, size_t aBytes)
  {
    const auto found = this->bytes.find(aEndpoint);
    if (found == this->bytes.end()) {
      return;
    }
    if (found->second <= aBytes) {
      this->bytes.erase(found);
    } else {
      found->second -= aBytes;
    }
  }

  size_t At(const std::string& aEndpoint) const
  {
    const auto found = this->bytes.find(aEndpoint);
    return found == this->bytes.end() ? 0 : found->second;
  }

private:
  size_t limit;
  // Only endpoints that hold something.
  std::unordered_map<std::string, size_t> bytes;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_OUTGOING_BYTES_H_
