// Reads INI files into sections with line numbers, and typed values from the
// sections. Based on inih.
//
// Usage:
//
//   Findings findings;
//   IniFile file = LoadIni("daemon.ini", findings);
//   for (IniSection& section : file.sections) {
//     SectionReader reader(file.name, section, findings);
//     settings.port = reader.Integer("port", 8080, 1, 65535);
//     reader.RejectUnknown();
//   }
//   if (!findings.Empty()) { std::cerr << findings.Text(); }
//
// Reading continues after an error: each error adds a finding with file, line
// and key, and the call returns the default. Sections of one kind are
// distinguished by a name: "[key storm-alerts]" has kind "key" and name
// "storm-alerts". Repeated section headers are not checked here. Lines are at
// most 198 bytes long (a limit of inih).
#ifndef TANAGERSEAM_SETTINGS_SETTINGS_H_
#define TANAGERSEAM_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam {

struct IniValue
{
  std::string key;
  std::string value;
  int line = 0;
};

struct IniSection
{
  // The first word of the header.
  std::string kind;
  // The rest of the header; empty for sections such as "[daemon]".
  std::string name;
  int line = 0;
  std::vector<IniValue> values;
};

// Returns "kind name", or "kind" for a section without a name.
std::string
SectionHeader(const IniSection& aSection);

struct IniFile
{
  std::string name;
  std::vector<IniSection> sections;
};

// Reads a file. An unreadable file or an invalid line adds a finding.
IniFile
LoadIni(const std::string& aPath, Findings& aFindings);

// Parses aText; findings give aName as the file.
IniFile
ParseIni(const std::string& aName,
         const std::string& aText,
         Findings& aFindings);

// Reads typed values from one section; the constructor reports duplicate keys.
// Keeps references to its arguments, which must outlive it. Absent keys, and
// values out of range, give the default.
class SectionReader
{
public:
  SectionReader(const std::string& aFile,
                const IniSection& aSection,
                Findings& aFindings);

  bool Has(const std::string& aKey) const;
  std::string Text(const std::string& aKey, const std::string& aDefault);
  // Adds a finding when the key is missing or empty.
  std::string RequiredText(const std::string& aKey);
  // An integer in [aMin, aMax].
  int64_t Integer(const std::string& aKey,
                  int64_t aDefault,
                  int64_t aMin,
                  int64_t aMax);
  double Real(const std::string& aKey,
              double aDefault,
              double aMin,
              double aMax);
  // "true" or "false".
  bool Flag(const std::string& aKey, bool aDefault);
  // Comma-separated words, trimmed; empty words are dropped.
  std::vector<std::string> List(const std::string& aKey);
  // One of aNames; any other value adds a finding that lists them.
  std::string Choice(const std::string& aKey,
                     const std::string& aDefault,
                     const std::vector<std::string>& aNames);
  // "IP:port" with a numeric IP; any other value adds a finding.
  std::string Address(const std::string& aKey, const std::string& aDefault);
  // Adds a finding at the line of the key, or of the section header if the key
  // is absent.
  void Report(const std::string& aKey, const std::string& aMessage);
  // Adds a finding for each key that was not passed to a read or to Report
  // before; Has does not count.
  void RejectUnknown();

private:
  const IniValue* Find(const std::string& aKey);

  const std::string& file;
  const IniSection& section;
  Findings& findings;
  std::set<std::string> requestedKeys;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_SETTINGS_SETTINGS_H_
