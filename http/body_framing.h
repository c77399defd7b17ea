// How the head of a response says where its body ends (RFC 9112, section 6.3).
//
//   switch (FramingOf(call.method, status, headers)) { ... }
//
// Only a length or a last chunk proves that a body is whole. A body that ends
// with its connection may be cut at any place: an orderly close is all that
// tells its end.
#ifndef TANAGERSEAM_HTTP_BODY_FRAMING_H_
#define TANAGERSEAM_HTTP_BODY_FRAMING_H_

#include <string>
#include <string_view>

#include "http/http_message.h"

namespace tanagerseam {

enum class BodyFraming
{
  // No whole head has arrived.
  kUnknown,
  // The method or the status forbids a body.
  kNoBody,
  kLength,
  kChunks,
  // The body ends with its connection.
  kClose,
  // The head gives no usable length, or several, or a coding besides chunks.
  kInvalid,
};

// The name of a framing, for logs.
std::string_view
NameOf(BodyFraming aFraming);

// aMethod is the request's, the rest the final response's.
BodyFraming
FramingOf(const std::string& aMethod, int aStatus, const HttpHeaders& aHeaders);

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_BODY_FRAMING_H_
