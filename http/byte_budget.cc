#include "http/byte_budget.h"

#include <algorithm>
#include <utility>

#include "kernel/log.h"

namespace tanagerseam {

bool
ByteBudget::Take(size_t aBytes)
{
  size_t before = this->used;
  do {
    if (before > this->limit || aBytes > this->limit - before) {
      return false;
    }
  } while (!this->used.compare_exchange_weak(before, before + aBytes));
  return true;
}

void
ByteBudget::GiveBack(size_t aBytes)
{
  this->used -= aBytes;
}

void
ByteBudget::Force(size_t aBytes)
{
  this->used += aBytes;
}

ByteShare::ByteShare(std::shared_ptr<ByteBudget> aBudget)
  : budget(std::move(aBudget))
{
}

ByteShare::~ByteShare()
{
  this->budget->GiveBack(this->counted);
}

bool
ByteShare::Resize(size_t aBytes)
{
  const size_t toCount = aBytes - std::min(aBytes, kUncountedBytes);
  if (toCount <= this->counted) {
    this->budget->GiveBack(this->counted - toCount);
    this->counted = toCount;
    return true;
  }
  const size_t more = toCount - this->counted;
  const bool taken = this->budget->Take(more) ||
                     (this->budget->makeRoom && this->budget->makeRoom(more) &&
                      this->budget->Take(more));
  if (!taken) {
    LogWarn("response_memory_full",
            { { "wanted", std::to_string(aBytes) },
              { "used", std::to_string(this->budget->Used()) },
              { "limit", std::to_string(this->budget->Limit()) } });
    return false;
  }
  this->counted = toCount;
  return true;
}

GatheredBody::GatheredBody(std::shared_ptr<ByteBudget> aBudget)
  : share(std::move(aBudget))
{
}

bool
GatheredBody::Append(std::string_view aPiece)
{
  if (!this->share.Resize(this->text.size() + aPiece.size())) {
    return false;
  }
  this->text.append(aPiece);
  return true;
}

std::string
GatheredBody::Take()
{
  std::string taken = std::move(this->text);
  this->text.clear();
  this->share.Resize(0);
  return taken;
}

} // namespace tanagerseam
