#include "http/unframed_body.h"

#include <algorithm>

#include "http/response_head.h"

namespace tanagerseam {

namespace {

constexpr std::string_view kVersion = "HTTP/1.";
// "HTTP/1.1 200": so much of a line says whether it is a status line.
constexpr size_t kStatusLineBytes = 12;
// A longer line is no header that this class looks for.
constexpr size_t kMaxHeaderBytes = 16u << 10;

// True if a status line begins anywhere in aText: the body before it need not
// end with a line.
bool
HoldsStatusLine(std::string_view aText)
{
  for (size_t at = aText.find(kVersion); at != std::string_view::npos;
       at = aText.find(kVersion, at + 1)) {
    if (ParseStatusLine(aText.substr(at, kStatusLineBytes))) {
      return true;
    }
  }
  return false;
}

} // namespace

bool
UnframedBody::Take(std::string_view aPiece)
{
  while (!aPiece.empty() && !this->found) {
    const size_t end = aPiece.find('\n');
    this->TakePart(aPiece.substr(0, end));
    if (end == std::string_view::npos) {
      break;
    }
    this->EndLine();
    aPiece.remove_prefix(end + 1);
  }
  return !this->found;
}

void
UnframedBody::TakePart(std::string_view aPart)
{
  this->line.append(aPart);
  if (this->withinHead && this->line.size() <= kMaxHeaderBytes) {
    return;
  }
  this->withinHead = false;
  this->lineHasStatus = this->lineHasStatus || HoldsStatusLine(this->line);
  if (this->line.size() >= kStatusLineBytes) {
    this->line.erase(0, this->line.size() - (kStatusLineBytes - 1));
  }
}

void
UnframedBody::EndLine()
{
  const std::string ended = std::move(this->line);
  this->line.clear();
  if (!this->withinHead) {
    this->withinHead = this->lineHasStatus;
    this->lineHasStatus = false;
    return;
  }
  const std::string_view header = WithoutLineEnd(ended);
  this->found = this->IsMark(header);
  // Text that is no header may hold the next status line.
  this->withinHead = ParseHeaderLine(header) || HoldsStatusLine(header);
}

bool
UnframedBody::IsMark(std::string_view aLine) const
{
  const auto header = ParseHeaderLine(aLine);
  return header &&
         std::any_of(this->marks.begin(),
                     this->marks.end(),
                     [&header](const std::string& aMark) {
                       return EqualsIgnoringCase(header->first, aMark);
                     });
}

} // namespace tanagerseam
