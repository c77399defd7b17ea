// Headers shared by both sides.
#ifndef TANAGERSEAM_HTTP_HTTP_MESSAGE_H_
#define TANAGERSEAM_HTTP_HTTP_MESSAGE_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tanagerseam {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// ASCII comparison that ignores case, as header names ask.
bool
EqualsIgnoringCase(const std::string& aLeft, const std::string& aRight);

// Every value of the header with this name, in order.
std::vector<std::string>
HeaderValues(const HttpHeaders& aHeaders, const std::string& aName);

// The first value of the header with this name.
std::optional<std::string>
FirstHeader(const HttpHeaders& aHeaders, const std::string& aName);

// True if a header can be sent as it is: the name is a token and the value
// holds no byte that ends a line or a string.
bool
IsSoundHeader(const std::string& aName, const std::string& aValue);

// aText with all but unreserved characters percent-encoded, for a query.
std::string
PercentEncode(const std::string& aText);

// The value of a query parameter in "a=1&b=2"; percent signs are decoded.
std::optional<std::string>
QueryValue(const std::string& aQuery, const std::string& aName);

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_HTTP_MESSAGE_H_
