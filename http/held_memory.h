// A limit on what one event loop holds for clients and endpoints that read
// slowly: requests that arrive or wait, and responses that wait to be sent.
//
//   auto memory = std::make_shared<HeldMemory>(io, 24u << 20);
//   HeldBytes upload(memory, HeldKind::kRequest);
//   upload.OnGiveWay([] { ... });      // refuse the request, free its bytes
//   if (!upload.Resize(bytes)) { ... } // no room: stop reading
//   ByteShare share(memory->Budget()); // a response that grows
//
// Requests take at most two thirds, so that a call that has run finds room for
// its response. A share of Budget() that finds no room makes the largest
// holders give way that can: requests that have not been sent to an endpoint,
// then responses whose readers are slow.
//
// The first ByteShare::kUncountedBytes of each holder are not counted, so small
// requests always pass.
//
// Not thread-safe: all holders and shares belong to the loop's thread.
#ifndef TANAGERSEAM_HTTP_HELD_MEMORY_H_
#define TANAGERSEAM_HTTP_HELD_MEMORY_H_

#include <functional>
#include <memory>
#include <set>

#include <restinio/asio_include.hpp>

#include "http/byte_budget.h"
#include "kernel/kernel.h"

namespace tanagerseam {

enum class HeldKind
{
  // A request that arrives.
  kUpload,
  // A whole request.
  kRequest,
  kResponse,
};

class HeldBytes;

class HeldMemory
{
public:
  HeldMemory(restinio::asio_ns::io_context& aIo, size_t aLimit);
  ~HeldMemory();
  HeldMemory(const HeldMemory&) = delete;
  HeldMemory& operator=(const HeldMemory&) = delete;

  const std::shared_ptr<ByteBudget>& Budget() const { return this->budget; }
  size_t RequestLimit() const { return this->budget->Limit() / 3 * 2; }
  size_t RequestBytes() const { return this->requestBytes; }
  // Makes requests give way until aBytes more fit: the largest upload that is
  // stalled, or else the largest of all. False if none is left that can.
  bool MakeRoomForRequest(size_t aBytes);
  // Holders that gave way.
  size_t GivenWay() const { return this->givenWay; }

private:
  friend class HeldBytes;

  bool HasRoom(HeldKind aKind, size_t aBytes) const;
  // For shares of the budget.
  bool MakeRoom(size_t aBytes);
  // The holder to give way next; null if there is none that can.
  HeldBytes* NextRequest() const;
  HeldBytes* NextResponse() const;
  // The callback runs later on the loop, as the caller may be anywhere.
  void TakeFrom(HeldBytes& aHolder);

  restinio::asio_ns::io_context& io;
  std::shared_ptr<ByteBudget> budget;
  size_t requestBytes = 0;
  size_t givenWay = 0;
  // Those that can give way.
  std::set<HeldBytes*> holders;
};

// What one holder keeps; given back with it.
class HeldBytes
{
public:
  // An upload that has not asked for more for so long is stalled: its client
  // sends nothing. One that is paused asks all the time.
  static constexpr Millis kStalledAfter{ 300 };

  HeldBytes(std::shared_ptr<HeldMemory> aMemory, HeldKind aKind);
  ~HeldBytes();
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  // False, with nothing changed, if there is no room for aBytes in all.
  bool Resize(size_t aBytes);
  // As Resize, beyond the limit if need be: for bytes that are there already.
  void Force(size_t aBytes);
  // Called at most once, to free what is held. Null: it can't be freed.
  void OnGiveWay(std::function<void()> aGiveWay);
  // The upload is whole.
  void EndUpload() { this->kind = HeldKind::kRequest; }

private:
  friend class HeldMemory;

  bool IsStalled(TimePoint aNow) const;
  bool IsResponse() const { return this->kind == HeldKind::kResponse; }

  std::shared_ptr<HeldMemory> memory;
  HeldKind kind;
  size_t counted = 0;
  TimePoint askedAt{};
  std::function<void()> giveWay;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_HELD_MEMORY_H_
