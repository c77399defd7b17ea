// Parses INI files and typed values.
//
// inih parses "key = value" lines and comments, but gives no line numbers,
// does not report sections without keys, and reports only the first invalid
// line. IniLineReader therefore passes inih one line at a time, counts lines
// and parses section headers itself. Invariant: when inih reads a line, it has
// processed the previous one completely, so a line that was passed to inih and
// produced no value is invalid.
#include "settings/settings.h"

#include <arpa/inet.h>
#include <ini.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace tanagerseam {

namespace {

// In bytes: inih's line buffer holds 200, including the newline and NUL.
constexpr size_t kMaxLineLength = 198;
constexpr const char* kWhitespace = " \t\r\n\v\f";
constexpr const char* kByteOrderMark = "\xEF\xBB\xBF";

std::string
Trim(const std::string& aText)
{
  const size_t first = aText.find_first_not_of(kWhitespace);
  if (first == std::string::npos) {
    return "";
  }
  const size_t last = aText.find_last_not_of(kWhitespace);
  return aText.substr(first, last - first + 1);
}

// Passes text to inih line by line and collects sections, values and findings.
class IniLineReader
{
public:
  IniLineReader(IniFile& aFile, const std::string& aText, Findings& aFindings)
    : file(aFile)
    , text(aText)
    , findings(aFindings)
  {
  }

  // inih's reader callback, with the contract of fgets.
  static char* Read(char* aBuffer, int aSize, void* aSelf)
  {
    return static_cast<IniLineReader*>(aSelf)->NextLine(aBuffer, size_t(aSize));
  }

  // inih's value callback; non-zero means success.
  static int HandleValue(void* aSelf,
                         const char*,
                         const char* aKey,
                         const char* aValue)
  {
    static_cast<IniLineReader*>(aSelf)->Add(aKey, aValue);
    return 1;
  }

  void Finish() { this->CheckPreviousLine(); }

private:
  char* NextLine(char* aBuffer, size_t aSize)
  {
    this->CheckPreviousLine();
    if (this->position >= this->text.size()) {
      return nullptr;
    }
    size_t end = this->text.find('\n', this->position);
    end = end == std::string::npos ? this->text.size() : end;
    std::string content =
      this->text.substr(this->position, end - this->position);
    this->position = end + 1;
    ++this->line;
    // Trimmed because inih treats indented lines as continuation lines.
    content =
      this->FilterLine(Trim(content), std::min(aSize - 2, kMaxLineLength));
    content += '\n';
    std::memcpy(aBuffer, content.c_str(), content.size() + 1);
    return aBuffer;
  }

  // Returns the text to pass to inih: empty for comments, section headers and
  // invalid lines.
  std::string FilterLine(std::string aLine, size_t aMaxLength)
  {
    if (this->line == 1 && aLine.rfind(kByteOrderMark, 0) == 0) {
      aLine = Trim(aLine.substr(std::strlen(kByteOrderMark)));
    }
    if (aLine.empty() || aLine[0] == ';' || aLine[0] == '#') {
      return "";
    }
    if (aLine.size() > aMaxLength) {
      this->Report("the line has more than " + std::to_string(aMaxLength) +
                   " characters");
      return "";
    }
    if (aLine.find('\0') != std::string::npos) {
      this->Report("the line contains a NUL character");
      return "";
    }
    if (aLine[0] == '[') {
      this->AddSection(aLine);
      return "";
    }
    this->valuePending = true;
    return aLine;
  }

  void AddSection(const std::string& aLine)
  {
    const size_t close = aLine.find(']');
    const std::string rest =
      close == std::string::npos ? "" : Trim(aLine.substr(close + 1));
    const bool restIsComment = rest.empty() || rest[0] == ';' || rest[0] == '#';
    if (close == std::string::npos || !restIsComment) {
      this->Report(
        "invalid section header; expected \"[kind]\" or \"[kind name]\"");
      return;
    }
    const std::string header = Trim(aLine.substr(1, close - 1));
    const size_t separator = header.find_first_of(kWhitespace);
    IniSection section;
    section.kind = header.substr(0, separator);
    if (separator != std::string::npos) {
      section.name = Trim(header.substr(separator));
    }
    section.line = this->line;
    if (section.kind.empty()) {
      this->Report("the section header is empty");
    }
    this->file.sections.push_back(section);
  }

  void Add(const char* aKey, const char* aValue)
  {
    this->valuePending = false;
    if (this->file.sections.empty()) {
      this->Report("the key precedes the first section");
      return;
    }
    this->file.sections.back().values.push_back({ aKey, aValue, this->line });
  }

  void CheckPreviousLine()
  {
    if (this->valuePending) {
      this->Report("the line is neither \"key = value\" nor a section header");
    }
    this->valuePending = false;
  }

  void Report(const std::string& aMessage)
  {
    const std::string key = this->file.sections.empty()
                              ? ""
                              : SectionHeader(this->file.sections.back());
    this->findings.Add({ this->file.name, this->line, key }, aMessage);
  }

  IniFile& file;
  const std::string& text;
  Findings& findings;
  size_t position = 0;
  int line = 0;
  // Whether a line was passed to inih that has not produced a value yet.
  bool valuePending = false;
};

template<typename Number>
bool
ParseNumber(const std::string& aText, Number& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aNumber);
  return result.ec == std::errc() && result.ptr == end;
}

// "IP:port", with an IPv6 address in brackets.
bool
IsAddress(const std::string& aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return false;
  }
  int port = 0;
  if (!ParseNumber(aText.substr(colon + 1), port) || port < 1 || port > 65535) {
    return false;
  }
  std::string host = aText.substr(0, colon);
  in6_addr parsed{};
  if (host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), &parsed) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), &parsed) == 1;
}

template<typename Number>
std::string
FormatRange(Number aMin, Number aMax)
{
  std::ostringstream text;
  text << "from " << aMin << " to " << aMax;
  return text.str();
}

} // namespace

std::string
SectionHeader(const IniSection& aSection)
{
  return aSection.name.empty() ? aSection.kind
                               : aSection.kind + " " + aSection.name;
}

IniFile
ParseIni(const std::string& aName,
         const std::string& aText,
         Findings& aFindings)
{
  IniFile file;
  file.name = aName;
  IniLineReader source(file, aText, aFindings);
  ini_parse_stream(
    &IniLineReader::Read, &source, &IniLineReader::HandleValue, &source);
  source.Finish();
  return file;
}

IniFile
LoadIni(const std::string& aPath, Findings& aFindings)
{
  std::ifstream stream(aPath, std::ios::binary);
  std::error_code ignored;
  // A directory opens like a file and would read as an empty one.
  if (!stream || std::filesystem::is_directory(aPath, ignored)) {
    aFindings.Add({ aPath, 0, "" }, "the file cannot be read");
    return IniFile{ aPath, {} };
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseIni(aPath, text.str(), aFindings);
}

SectionReader::SectionReader(const std::string& aFile,
                             const IniSection& aSection,
                             Findings& aFindings)
  : file(aFile)
  , section(aSection)
  , findings(aFindings)
{
  std::set<std::string> seen;
  for (const IniValue& value : aSection.values) {
    if (!seen.insert(value.key).second) {
      aFindings.Add(
        { aFile, value.line, SectionHeader(aSection) + "." + value.key },
        "duplicate key");
    }
  }
}

bool
SectionReader::Has(const std::string& aKey) const
{
  for (const IniValue& value : this->section.values) {
    if (value.key == aKey) {
      return true;
    }
  }
  return false;
}

const IniValue*
SectionReader::Find(const std::string& aKey)
{
  this->requestedKeys.insert(aKey);
  for (const IniValue& value : this->section.values) {
    if (value.key == aKey) {
      return &value;
    }
  }
  return nullptr;
}

std::string
SectionReader::Text(const std::string& aKey, const std::string& aDefault)
{
  const IniValue* found = this->Find(aKey);
  return found == nullptr ? aDefault : found->value;
}

std::string
SectionReader::RequiredText(const std::string& aKey)
{
  const IniValue* found = this->Find(aKey);
  if (found == nullptr) {
    this->Report(aKey, "the key is missing");
    return "";
  }
  if (found->value.empty()) {
    this->Report(aKey, "the value is empty");
  }
  return found->value;
}

int64_t
SectionReader::Integer(const std::string& aKey,
                       int64_t aDefault,
                       int64_t aMin,
                       int64_t aMax)
{
  const IniValue* found = this->Find(aKey);
  if (found == nullptr) {
    return aDefault;
  }
  int64_t number = 0;
  if (!ParseNumber(found->value, number) || number < aMin || number > aMax) {
    this->Report(aKey, "must be an integer " + FormatRange(aMin, aMax));
    return aDefault;
  }
  return number;
}

double
SectionReader::Real(const std::string& aKey,
                    double aDefault,
                    double aMin,
                    double aMax)
{
  const IniValue* found = this->Find(aKey);
  if (found == nullptr) {
    return aDefault;
  }
  double number = 0;
  // These comparisons also reject "nan".
  const bool inRange =
    ParseNumber(found->value, number) && number >= aMin && number <= aMax;
  if (!inRange) {
    this->Report(aKey, "must be a number " + FormatRange(aMin, aMax));
    return aDefault;
  }
  return number;
}

bool
SectionReader::Flag(const std::string& aKey, bool aDefault)
{
  const std::string text = aDefault ? "true" : "false";
  return this->Choice(aKey, text, { "true", "false" }) == "true";
}

std::vector<std::string>
SectionReader::List(const std::string& aKey)
{
  std::vector<std::string> words;
  const IniValue* found = this->Find(aKey);
  if (found == nullptr) {
    return words;
  }
  std::istringstream stream(found->value);
  std::string word;
  while (std::getline(stream, word, ',')) {
    word = Trim(word);
    if (!word.empty()) {
      words.push_back(word);
    }
  }
  return words;
}

std::string
SectionReader::Choice(const std::string& aKey,
                      const std::string& aDefault,
                      const std::vector<std::string>& aNames)
{
  const IniValue* found = this->Find(aKey);
  if (found == nullptr) {
    return aDefault;
  }
  if (std::find(aNames.begin(), aNames.end(), found->value) != aNames.end()) {
    return found->value;
  }
  std::string names;
  for (const std::string& name : aNames) {
    names += (names.empty() ? "" : ", ") + name;
  }
  this->Report(aKey, "must be one of: " + names);
  return aDefault;
}

std::string
SectionReader::Address(const std::string& aKey, const std::string& aDefault)
{
  const IniValue* found = this->Find(aKey);
  if (found == nullptr) {
    return aDefault;
  }
  if (!IsAddress(found->value)) {
    this->Report(aKey, "must be IP:port with a numeric IP");
    return aDefault;
  }
  return found->value;
}

void
SectionReader::Report(const std::string& aKey, const std::string& aMessage)
{
  const IniValue* found = this->Find(aKey);
  const int line = found == nullptr ? this->section.line : found->line;
  this->findings.Add(
    { this->file, line, SectionHeader(this->section) + "." + aKey }, aMessage);
}

void
SectionReader::RejectUnknown()
{
  const std::set<std::string> knownKeys = this->requestedKeys;
  for (const IniValue& value : this->section.values) {
    if (knownKeys.count(value.key) == 0) {
      this->findings.Add({ this->file,
                           value.line,
                           SectionHeader(this->section) + "." + value.key },
                         "unknown key");
    }
  }
}

} // namespace tanagerseam
