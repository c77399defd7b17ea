// A limit on the bytes that many holders keep together.
//
//   auto budget = std::make_shared<ByteBudget>(16u << 20);
//   ByteShare share(budget);
//   if (!share.Resize(text.size() + piece.size())) {
//     // no room: the holder that grows last gives way
//   }
//
// A limit for each response does not bound a process: many responses may grow
// at once. The first kUncountedBytes of a share are not counted, so that large
// responses don't take the place of small ones; what a process holds is bounded
// by the limit and kUncountedBytes for each share.
//
// Thread-safe: shares of one budget may belong to several threads.
#ifndef TANAGERSEAM_HTTP_BYTE_BUDGET_H_
#define TANAGERSEAM_HTTP_BYTE_BUDGET_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace tanagerseam {

class ByteBudget
{
public:
  explicit ByteBudget(size_t aLimit)
    : limit(aLimit)
  {
  }

  size_t Limit() const { return this->limit; }
  size_t Used() const { return this->used; }
  // Called when a share finds no room for so many bytes; true if there is room
  // then. Only for budgets whose shares belong to one thread.
  void SetMakeRoom(std::function<bool(size_t)> aMakeRoom)
  {
    this->makeRoom = std::move(aMakeRoom);
  }

private:
  friend class ByteShare;
  friend class HeldBytes;

  // False, with nothing taken, if fewer than aBytes are left.
  bool Take(size_t aBytes);
  void GiveBack(size_t aBytes);
  // Takes aBytes, beyond the limit if need be.
  void Force(size_t aBytes);

  const size_t limit;
  std::atomic<size_t> used{ 0 };
  std::function<bool(size_t)> makeRoom;
};

// What one holder keeps of a budget; given back with the share.
class ByteShare
{
public:
  static constexpr size_t kUncountedBytes = 16u << 10;

  explicit ByteShare(std::shared_ptr<ByteBudget> aBudget);
  ~ByteShare();
  ByteShare(const ByteShare&) = delete;
  ByteShare& operator=(const ByteShare&) = delete;

  // False, with the share unchanged and a line in the log, if the budget has no
  // room for aBytes in all.
  bool Resize(size_t aBytes);

private:
  std::shared_ptr<ByteBudget> budget;
  size_t counted = 0;
};

// A body that is gathered under a budget.
class GatheredBody
{
public:
  explicit GatheredBody(std::shared_ptr<ByteBudget> aBudget);

  // False, with the body unchanged, if the budget has no room.
  bool Append(std::string_view aPiece);
  const std::string& Text() const { return this->text; }
  // Moves the text out and gives its bytes back.
  std::string Take();

private:
  ByteShare share;
  std::string text;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_BYTE_BUDGET_H_
