// Watches a body that ends with its connection for the head of another
// response. Private to this library.
//
//   UnframedBody body({ "X-Request-Id", "X-Digest" });
//   if (!body.Take(piece)) { ... another response follows ... }
//   if (body.EndsWithinHead()) { ... a cut one does ... }
//
// Nothing but the close marks the end of such a body, so a server that responds
// twice before it closes makes one body of two responses. A status line with
// one of the named headers behind it is taken for the head of the second one; a
// status line alone may be text. Bytes of a second response that bears none of
// these headers, or is cut within its status line, can't be told from the body.
#ifndef TANAGERSEAM_HTTP_UNFRAMED_BODY_H_
#define TANAGERSEAM_HTTP_UNFRAMED_BODY_H_

#include <string>
#include <string_view>
#include <vector>

namespace tanagerseam {

class UnframedBody
{
public:
  // aMarks: headers that responses of the server bear.
  explicit UnframedBody(std::vector<std::string> aMarks)
    : marks(std::move(aMarks))
  {
  }

  // False once the body holds the head of another response.
  bool Take(std::string_view aPiece);
  // The body, as far as it has come, ends within a head.
  bool EndsWithinHead() const { return this->withinHead; }

private:
  void TakePart(std::string_view aPart);
  void EndLine();
  bool IsMark(std::string_view aLine) const;

  const std::vector<std::string> marks;
  // The end of the line that has not ended; all of it within a head.
  std::string line;
  // That line holds a status line.
  bool lineHasStatus = false;
  bool withinHead = false;
  bool found = false;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_UNFRAMED_BODY_H_
