// Reads the head of a response, line by line as libcurl hands it over. Private
// to this library.
//
//   ResponseHead head;
//   switch (head.Take(line)) { ... }
//   // after HeadLine::kEnd: head.Status(), head.Headers()
//
// libcurl is lenient: it joins folded lines, takes a header with a blank before
// its colon for another one, and reads a second status line as a header. What
// it then holds for the length of the body is not what a reader of the headers
// holds for it. Such a head is malformed here (RFC 9112, sections 4 and 5), so
// that both agree on each response that is passed on.
//
// Invariant: the headers are those of one head, the last one that began.
#ifndef TANAGERSEAM_HTTP_RESPONSE_HEAD_H_
#define TANAGERSEAM_HTTP_RESPONSE_HEAD_H_

#include <optional>
#include <string_view>

#include "http/http_message.h"

namespace tanagerseam {

enum class HeadLine
{
  // The head goes on.
  kMore,
  // The head of an interim response has ended; another head follows.
  kInterimEnd,
  // The head of the final response has ended.
  kEnd,
  // The line can't be part of a head.
  kMalformed,
};

// The status of "HTTP/1.1 200 OK"; unset if aLine does not begin with a status
// line of HTTP/1.
std::optional<int>
ParseStatusLine(std::string_view aLine);

// Reads "Name: value"; unset if aLine is no header.
std::optional<std::pair<std::string, std::string>>
ParseHeaderLine(std::string_view aLine);

// aLine without the line end that it may have.
std::string_view
WithoutLineEnd(std::string_view aLine);

class ResponseHead
{
public:
  // aLine includes its line end. Not called after kEnd or kMalformed.
  HeadLine Take(std::string_view aLine);

  // 0 before the first status line.
  int Status() const { return this->status; }
  const HttpHeaders& Headers() const { return this->headers; }

private:
  HeadLine Begin(std::string_view aStatusLine);

  int status = 0;
  HttpHeaders headers;
  // A status line has come, and the empty line behind its headers has not.
  bool begun = false;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_RESPONSE_HEAD_H_
