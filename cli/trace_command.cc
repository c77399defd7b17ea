#include "cli/trace_command.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>

namespace tanagerseam {

namespace {

// How long before a story what its hosts believed is told.
constexpr int64_t kBeliefMillis = 3000;

constexpr std::string_view kBeliefEvents[] = {
  "started",         "stopping",         "reloaded",    "dependency_lost",
  "dependency_back", "catalog_applied",  "member_gone", "endpoint_changed",
  "catalog_fresh",   "endpoint_removed",
};

struct LogLine
{
  int64_t at = 0;
  std::string host;
  std::string event;
  Json fields;
};

struct LogLines
{
  std::vector<LogLine> lines;
  // Lines that are no JSON object with a time; some outputs cut them.
  size_t unreadable = 0;
};

std::string
TextOf(const Json& aFields, const char* aName)
{
  auto found = aFields.find(aName);
  return found == aFields.end() || !found->is_string()
           ? ""
           : found->get<std::string>();
}

// A line may follow a prefix that the collector of logs wrote.
void
ReadLines(std::istream& aIn, LogLines& aOut)
{
  std::string text;
  while (std::getline(aIn, text)) {
    const size_t begin = text.find('{');
    if (begin == std::string::npos) {
      continue;
    }
    const bool throwing = false;
    Json fields = Json::parse(text.substr(begin), nullptr, throwing);
    const bool readable = fields.is_object() && fields.contains("ts") &&
                          fields["ts"].is_number_integer();
    if (!readable) {
      ++aOut.unreadable;
      continue;
    }
    LogLine line;
    line.at = fields["ts"].get<int64_t>();
    line.host = TextOf(fields, "host");
    line.event = TextOf(fields, "event");
    line.fields = std::move(fields);
    aOut.lines.push_back(std::move(line));
  }
}

bool
IsOf(const LogLine& aLine, const std::string& aId)
{
  const std::string program = TextOf(aLine.fields, "program");
  const bool inProgram =
    program == aId ||
    (program.size() > aId.size() &&
     program.substr(program.size() - aId.size() - 1) == "/" + aId);
  return inProgram || TextOf(aLine.fields, "request") == aId;
}

bool
IsBelief(const LogLine& aLine)
{
  return std::find(std::begin(kBeliefEvents),
                   std::end(kBeliefEvents),
                   aLine.event) != std::end(kBeliefEvents);
}

// The lines of the story and the beliefs before it, in order.
std::vector<const LogLine*>
PickStory(const std::vector<LogLine>& aLines, const std::string& aId)
{
  std::vector<const LogLine*> story;
  std::set<std::string> hosts;
  int64_t first = 0;
  for (const LogLine& line : aLines) {
    if (IsOf(line, aId)) {
      first = story.empty() ? line.at : std::min(first, line.at);
      story.push_back(&line);
      hosts.insert(line.host);
    }
  }
  if (story.empty()) {
    return story;
  }
  for (const LogLine& line : aLines) {
    const bool before = line.at <= first && line.at >= first - kBeliefMillis;
    if (before && IsBelief(line) && hosts.count(line.host) > 0) {
      story.push_back(&line);
    }
  }
  std::stable_sort(story.begin(), story.end(), [](auto* aLeft, auto* aRight) {
    return aLeft->at < aRight->at;
  });
  return story;
}

std::string
Tell(const LogLine& aLine, int64_t aStart)
{
  std::string text = (aLine.at >= aStart ? "+" : "") +
                     std::to_string(aLine.at - aStart) + " ms  " + aLine.host +
                     "  " + aLine.event;
  for (const auto& field : aLine.fields.items()) {
    const std::string& name = field.key();
    const bool told =
      name == "ts" || name == "host" || name == "event" || name == "level";
    if (!told && field.value().is_string() &&
        !field.value().get<std::string>().empty()) {
      text += "  " + name + "=" + field.value().get<std::string>();
    }
  }
  return text;
}

// How often each kind of line occurs.
Json
CountEvents(const std::vector<const LogLine*>& aStory)
{
  Json counts = Json::object();
  for (const LogLine* line : aStory) {
    counts[line->event] = counts.value(line->event, 0) + 1;
  }
  return counts;
}

} // namespace

ExitCode
RunTrace(const CommandContext& aContext, const std::vector<std::string>& aWords)
{
  const std::string& id = aWords[0];
  LogLines read;
  for (size_t i = 1; i < aWords.size(); ++i) {
    if (aWords[i] == "-") {
      ReadLines(std::cin, read);
      continue;
    }
    std::ifstream file(aWords[i]);
    if (!file) {
      return Fail(
        aContext, ExitCode::kNotFound, "can't read the file " + aWords[i]);
    }
    ReadLines(file, read);
  }
  const auto story = PickStory(read.lines, id);
  if (story.empty()) {
    return Fail(aContext,
                ExitCode::kNotFound,
                "no line of " + std::to_string(read.lines.size()) +
                  " names a request or program " + id);
  }
  const auto own = std::find_if(story.begin(), story.end(), [&id](auto* aLine) {
    return IsOf(*aLine, id);
  });
  std::vector<std::string> lines;
  Json json{ { "id", id }, { "events", CountEvents(story) } };
  for (const LogLine* line : story) {
    lines.push_back(Tell(*line, (*own)->at));
    json["lines"].push_back(line->fields);
  }
  if (read.unreadable > 0) {
    json["unreadable_lines"] = read.unreadable;
    lines.push_back(std::to_string(read.unreadable) +
                    " lines could not be read");
  }
  PrintResult(aContext, json, lines);
  return ExitCode::kOk;
}

} // namespace tanagerseam
