#include "http/http_message.h"

#include <curl/curl.h>

#include <strings.h>

#include <algorithm>
#include <cctype>
#include <string_view>

#include <restinio/uri_helpers.hpp>

namespace tanagerseam {

namespace {

// A character of a header's name.
bool
IsTokenCharacter(unsigned char aByte)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return std::isalnum(aByte) != 0 ||
         kMarks.find(static_cast<char>(aByte)) != std::string_view::npos;
}

} // namespace

bool
EqualsIgnoringCase(const std::string& aLeft, const std::string& aRight)
{
  return strcasecmp(aLeft.c_str(), aRight.c_str()) == 0;
}

std::vector<std::string>
HeaderValues(const HttpHeaders& aHeaders, const std::string& aName)
{
  std::vector<std::string> values;
  for (const auto& header : aHeaders) {
    if (EqualsIgnoringCase(header.first, aName)) {
      values.push_back(header.second);
    }
  }
  return values;
}

std::optional<std::string>
FirstHeader(const HttpHeaders& aHeaders, const std::string& aName)
{
  for (const auto& header : aHeaders) {
    if (EqualsIgnoringCase(header.first, aName)) {
      return header.second;
    }
  }
  return std::nullopt;
}

std::optional<std::string>
QueryValue(const std::string& aQuery, const std::string& aName)
{
  auto parsed = restinio::try_parse_query<
    restinio::parse_query_traits::javascript_compatible>(aQuery);
  if (!parsed || !parsed->has(aName)) {
    return std::nullopt;
  }
  const auto value = (*parsed)[aName];
  return std::string(value.data(), value.size());
}

std::string
PercentEncode(const std::string& aText)
{
  char* text =
    curl_easy_escape(nullptr, aText.data(), static_cast<int>(aText.size()));
  const std::string encoded = text == nullptr ? "" : text;
  curl_free(text);
  return encoded;
}

bool
IsSoundHeader(const std::string& aName, const std::string& aValue)
{
  return !aName.empty() &&
         std::all_of(aName.begin(), aName.end(), IsTokenCharacter) &&
         aValue.find_first_of(std::string("\r\n\0", 3)) == std::string::npos;
}

} // namespace tanagerseam
