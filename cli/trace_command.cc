#include "cli/trace_command.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>

namespace tanagerseam {

namespace {

// State changes of the hosts are included from this long before the first line.
constexpr int64_t kContextWindowMillis = 3000;

constexpr std::string_view kContextEvents[] = {
  "started",          "stopping",         "reloaded",
  "dependency_lost",  "dependency_back",  "catalog_applied",
  "member_gone",      "endpoint_changed", "catalog_fresh",
  "endpoint_removed", "zone_evacuated",   "zone_evacuation_ended",
};

struct LogLine
{
  int64_t timeMillis = 0;
  std::string host;
  std::string event;
  Json fields;
};

struct LogLines
{
  std::vector<LogLine> lines;
  // Lines with a '{' but without a JSON object with a timestamp; some outputs
  // truncate lines.
  size_t unreadable = 0;
};

std::string
StringField(const Json& aFields, const char* aName)
{
  auto found = aFields.find(aName);
  return found == aFields.end() || !found->is_string()
           ? ""
           : found->get<std::string>();
}

// Skips the prefix of a line up to '{', which a log collector may have added.
void
ReadLines(std::istream& aIn, LogLines& aOut)
{
  std::string text;
  while (std::getline(aIn, text)) {
    const size_t begin = text.find('{');
    if (begin == std::string::npos) {
      continue;
    }
    const bool allowExceptions = false;
    Json fields = Json::parse(text.substr(begin), nullptr, allowExceptions);
    const bool readable = fields.is_object() && fields.contains("ts") &&
                          fields["ts"].is_number_integer();
    if (!readable) {
      ++aOut.unreadable;
      continue;
    }
    LogLine line;
    line.timeMillis = fields["ts"].get<int64_t>();
    line.host = StringField(fields, "host");
    line.event = StringField(fields, "event");
    line.fields = std::move(fields);
    aOut.lines.push_back(std::move(line));
  }
}

bool
MatchesId(const LogLine& aLine, const std::string& aId)
{
  const std::string program = StringField(aLine.fields, "program");
  const bool inProgram =
    program == aId ||
    (program.size() > aId.size() &&
     program.substr(program.size() - aId.size() - 1) == "/" + aId);
  return inProgram || StringField(aLine.fields, "request") == aId;
}

bool
IsContextEvent(const LogLine& aLine)
{
  return std::find(std::begin(kContextEvents),
                   std::end(kContextEvents),
                   aLine.event) != std::end(kContextEvents);
}

// Returns the lines that match aId and the state changes before them, by time.
std::vector<const LogLine*>
SelectLines(const std::vector<LogLine>& aLines, const std::string& aId)
{
  std::vector<const LogLine*> selected;
  std::set<std::string> hosts;
  int64_t first = 0;
  for (const LogLine& line : aLines) {
    if (MatchesId(line, aId)) {
      first =
        selected.empty() ? line.timeMillis : std::min(first, line.timeMillis);
      selected.push_back(&line);
      hosts.insert(line.host);
    }
  }
  if (selected.empty()) {
    return selected;
  }
  for (const LogLine& line : aLines) {
    const bool inWindow = line.timeMillis <= first &&
                          line.timeMillis >= first - kContextWindowMillis;
    if (inWindow && IsContextEvent(line) && hosts.count(line.host) > 0) {
      selected.push_back(&line);
    }
  }
  std::stable_sort(
    selected.begin(), selected.end(), [](auto* aLeft, auto* aRight) {
      return aLeft->timeMillis < aRight->timeMillis;
    });
  return selected;
}

std::string
FormatLine(const LogLine& aLine, int64_t aOriginMillis)
{
  std::string text = (aLine.timeMillis >= aOriginMillis ? "+" : "") +
                     std::to_string(aLine.timeMillis - aOriginMillis) +
                     " ms  " + aLine.host + "  " + aLine.event;
  for (const auto& field : aLine.fields.items()) {
    const std::string& name = field.key();
    const bool printedElsewhere =
      name == "ts" || name == "host" || name == "event" || name == "level";
    if (!printedElsewhere && field.value().is_string() &&
        !field.value().get<std::string>().empty()) {
      text += "  " + name + "=" + field.value().get<std::string>();
    }
  }
  return text;
}

// Returns the number of lines by event.
Json
CountEvents(const std::vector<const LogLine*>& aLines)
{
  Json counts = Json::object();
  for (const LogLine* line : aLines) {
    counts[line->event] = counts.value(line->event, 0) + 1;
  }
  return counts;
}

} // namespace

ExitCode
RunTrace(const CommandContext& aContext, const std::vector<std::string>& aWords)
{
  const std::string& id = aWords[0];
  LogLines logLines;
  for (size_t i = 1; i < aWords.size(); ++i) {
    if (aWords[i] == "-") {
      ReadLines(std::cin, logLines);
      continue;
    }
    std::ifstream file(aWords[i]);
    if (!file) {
      return Fail(
        aContext, ExitCode::kNotFound, "cannot read the file " + aWords[i]);
    }
    ReadLines(file, logLines);
  }
  const auto selected = SelectLines(logLines.lines, id);
  if (selected.empty()) {
    return Fail(aContext,
                ExitCode::kNotFound,
                "no line of " + std::to_string(logLines.lines.size()) +
                  " matches a request or program " + id);
  }
  const auto firstMatch =
    std::find_if(selected.begin(), selected.end(), [&id](auto* aLine) {
      return MatchesId(*aLine, id);
    });
  std::vector<std::string> lines;
  Json json{ { "id", id }, { "events", CountEvents(selected) } };
  for (const LogLine* line : selected) {
    lines.push_back(FormatLine(*line, (*firstMatch)->timeMillis));
    json["lines"].push_back(line->fields);
  }
  if (logLines.unreadable > 0) {
    json["unreadable_lines"] = logLines.unreadable;
    lines.push_back(std::to_string(logLines.unreadable) +
                    " lines could not be read");
  }
  PrintResult(aContext, json, lines);
  return ExitCode::kOk;
}

} // namespace tanagerseam
