#include "http/held_memory.h"

#include <algorithm>
#include <utility>

#include "kernel/log.h"

namespace tanagerseam {

HeldMemory::HeldMemory(restinio::asio_ns::io_context& aIo, size_t aLimit)
  : io(aIo)
  , budget(std::make_shared<ByteBudget>(aLimit))
{
  this->budget->SetMakeRoom(
    [this](size_t aBytes) { return this->MakeRoom(aBytes); });
}

HeldMemory::~HeldMemory()
{
  // Shares may outlive this object.
  this->budget->SetMakeRoom(nullptr);
}

bool
HeldMemory::HasRoom(HeldKind aKind, size_t aBytes) const
{
  const size_t used = this->budget->Used();
  const bool fits = used + aBytes <= this->budget->Limit();
  return fits && (aKind == HeldKind::kResponse ||
                  this->requestBytes + aBytes <= this->RequestLimit());
}

HeldBytes*
HeldMemory::NextRequest() const
{
  const TimePoint now = BootNow();
  HeldBytes* next = nullptr;
  std::pair<bool, size_t> nextRank;
  for (HeldBytes* holder : this->holders) {
    const std::pair<bool, size_t> rank{ holder->IsStalled(now),
                                        holder->counted };
    if (!holder->IsResponse() && holder->counted > 0 && rank > nextRank) {
      next = holder;
      nextRank = rank;
    }
  }
  return next;
}

HeldBytes*
HeldMemory::NextResponse() const
{
  HeldBytes* next = nullptr;
  for (HeldBytes* holder : this->holders) {
    if (holder->IsResponse() && holder->counted > 0 &&
        (next == nullptr || holder->counted > next->counted)) {
      next = holder;
    }
  }
  return next;
}

bool
HeldBytes::IsStalled(TimePoint aNow) const
{
  return this->kind == HeldKind::kUpload &&
         aNow > this->askedAt + kStalledAfter;
}

bool
HeldMemory::MakeRoomForRequest(size_t aBytes)
{
  while (!this->HasRoom(HeldKind::kRequest, aBytes)) {
    HeldBytes* holder = this->NextRequest();
    if (holder == nullptr) {
      return false;
    }
    this->TakeFrom(*holder);
  }
  return true;
}

bool
HeldMemory::MakeRoom(size_t aBytes)
{
  while (!this->HasRoom(HeldKind::kResponse, aBytes)) {
    HeldBytes* holder = this->NextRequest();
    holder = holder == nullptr ? this->NextResponse() : holder;
    if (holder == nullptr) {
      return false;
    }
    this->TakeFrom(*holder);
  }
  return true;
}

void
HeldMemory::TakeFrom(HeldBytes& aHolder)
{
  LogWarn("holder_gave_way",
          { { "kind", aHolder.IsResponse() ? "response" : "request" },
            { "bytes", std::to_string(aHolder.counted) },
            { "used", std::to_string(this->budget->Used()) },
            { "limit", std::to_string(this->budget->Limit()) } });
  ++this->givenWay;
  auto giveWay = std::move(aHolder.giveWay);
  aHolder.OnGiveWay(nullptr);
  aHolder.Force(0);
  restinio::asio_ns::post(this->io, std::move(giveWay));
}

HeldBytes::HeldBytes(std::shared_ptr<HeldMemory> aMemory, HeldKind aKind)
  : memory(std::move(aMemory))
  , kind(aKind)
  , askedAt(BootNow())
{
}

HeldBytes::~HeldBytes()
{
  this->OnGiveWay(nullptr);
  this->Force(0);
}

bool
HeldBytes::Resize(size_t aBytes)
{
  this->askedAt = BootNow();
  const size_t toCount = aBytes - std::min(aBytes, ByteShare::kUncountedBytes);
  if (toCount > this->counted &&
      !this->memory->HasRoom(this->kind, toCount - this->counted)) {
    return false;
  }
  this->Force(aBytes);
  return true;
}

void
HeldBytes::Force(size_t aBytes)
{
  const size_t toCount = aBytes - std::min(aBytes, ByteShare::kUncountedBytes);
  this->memory->budget->GiveBack(this->counted);
  this->memory->budget->Force(toCount);
  if (!this->IsResponse()) {
    this->memory->requestBytes -= this->counted;
    this->memory->requestBytes += toCount;
  }
  this->counted = toCount;
}

void
HeldBytes::OnGiveWay(std::function<void()> aGiveWay)
{
  this->giveWay = std::move(aGiveWay);
  if (this->giveWay) {
    this->memory->holders.insert(this);
  } else {
    this->memory->holders.erase(this);
  }
}

} // namespace tanagerseam
