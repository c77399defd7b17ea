#include "cli/command_line.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>

#include <algorithm>

#include "cli/config_commands.h"
#include "cli/explain_command.h"
#include "cli/fleet_commands.h"
#include "cli/key_commands.h"
#include "cli/trace_command.h"

namespace tanagerseam {

namespace {

using Words = std::vector<std::string>;

constexpr size_t kMaxFileArguments = 1000;

struct CommandRow
{
  // One word, or two for commands such as "key issue".
  Words name;
  const char* arguments;
  const char* help;
  size_t minArguments;
  size_t maxArguments;
  std::function<ExitCode(const CommandContext&, const Words&)> run;
};

const std::vector<CommandRow>&
Commands()
{
  using Context = CommandContext;
  static const std::vector<CommandRow> kCommands = {
    { { "check" },
      "FILE...",
      "print all findings",
      1,
      kMaxFileArguments,
      RunCheck },
    { { "apply" },
      "FILE... [--base=VERSION] [--wait]",
      "put the files in force as a whole",
      1,
      kMaxFileArguments,
      RunApply },
    { { "diff" },
      "FILE...",
      "what apply would change",
      1,
      kMaxFileArguments,
      RunDiff },
    { { "status" },
      "",
      "configuration in force and all daemons",
      0,
      0,
      [](const Context& aContext, const Words&) {
        return RunStatus(aContext);
      } },
    { { "programs" },
      "",
      "programs of all daemons",
      0,
      0,
      [](const Context& aContext, const Words&) {
        return RunPrograms(aContext);
      } },
    { { "drain" },
      "HOST",
      "make a daemon finish its work and leave",
      1,
      1,
      [](const Context& aContext, const Words& aWords) {
        return RunDrain(aContext, aWords[0]);
      } },
    { { "remove" },
      "HOST",
      "record that a host is permanently lost; frees its slots",
      1,
      1,
      [](const Context& aContext, const Words& aWords) {
        return RunRemove(aContext, aWords[0]);
      } },
    { { "key", "issue" },
      "ORGANISATION --name=NAME [--wait]",
      "print a new key; only its digest is stored",
      1,
      1,
      [](const Context& aContext, const Words& aWords) {
        return RunKeyIssue(aContext, aWords[0]);
      } },
    { { "key", "withdraw" },
      "NAME [--wait]",
      "make a key stop working",
      1,
      1,
      [](const Context& aContext, const Words& aWords) {
        return RunKeyWithdraw(aContext, aWords[0]);
      } },
    { { "explain" },
      "REFUSAL",
      "what a refusal means and what to do",
      1,
      1,
      [](const Context& aContext, const Words& aWords) {
        return RunExplain(aContext, aWords[0]);
      } },
    { { "trace" },
      "ID FILE...",
      "log lines of a request or program from hosts' logs; - is standard input",
      2,
      kMaxFileArguments,
      RunTrace },
  };
  return kCommands;
}

std::string
JoinWords(const Words& aWords)
{
  std::string text;
  for (const std::string& word : aWords) {
    text += (text.empty() ? "" : " ") + word;
  }
  return text;
}

// A flag argument: the flag, null if unknown, and the value that the argument
// itself gives.
struct FlagArgument
{
  absl::CommandLineFlag* flag = nullptr;
  std::optional<std::string> value;
};

FlagArgument
FindFlag(const std::string& aArgument)
{
  const size_t equals = aArgument.find('=');
  const std::string name = aArgument.substr(2, equals - 2);
  FlagArgument flagArgument;
  flagArgument.flag = absl::FindCommandLineFlag(name);
  if (equals != std::string::npos) {
    flagArgument.value = aArgument.substr(equals + 1);
    return flagArgument;
  }
  if (flagArgument.flag != nullptr && flagArgument.flag->IsOfType<bool>()) {
    flagArgument.value = "true";
  }
  if (flagArgument.flag == nullptr && name.rfind("no", 0) == 0) {
    auto* positive = absl::FindCommandLineFlag(name.substr(2));
    const bool isBool = positive != nullptr && positive->IsOfType<bool>();
    flagArgument.flag = isBool ? positive : nullptr;
    flagArgument.value = "false";
  }
  return flagArgument;
}

const CommandRow*
FindCommand(const Words& aWords)
{
  for (const CommandRow& row : Commands()) {
    if (aWords.size() >= row.name.size() &&
        std::equal(row.name.begin(), row.name.end(), aWords.begin())) {
      return &row;
    }
  }
  return nullptr;
}

} // namespace

std::variant<std::vector<std::string>, UsageError>
ParseFlags(const std::vector<std::string>& aArguments)
{
  Words words;
  for (size_t i = 0; i < aArguments.size(); ++i) {
    const std::string& argument = aArguments[i];
    if (argument == "--") {
      words.insert(words.end(), aArguments.begin() + i + 1, aArguments.end());
      break;
    }
    if (argument.rfind("--", 0) != 0) {
      words.push_back(argument);
      continue;
    }
    FlagArgument flagArgument = FindFlag(argument);
    if (flagArgument.flag == nullptr) {
      return UsageError{ "unknown flag " + argument };
    }
    if (!flagArgument.value && i + 1 < aArguments.size()) {
      flagArgument.value = aArguments[++i];
    }
    std::string error = "a value is missing";
    if (!flagArgument.value ||
        !flagArgument.flag->ParseFrom(*flagArgument.value, &error)) {
      return UsageError{ argument + ": " + error };
    }
  }
  return words;
}

std::string
HelpText()
{
  std::string text = "Usage: tanagerseam COMMAND [ARGUMENT...] [FLAG...]\n\n";
  for (const CommandRow& row : Commands()) {
    text += "  " + JoinWords(row.name) + " " + row.arguments + "\n      " +
            row.help + "\n";
  }
  text += "\nFlags:\n"
          "  --log=IP:port     the platform's log service\n"
          "  --stream=NAME     its stream (tanagerseam)\n"
          "  --operator=NAME   who makes the change\n"
          "  --base=VERSION    the version that apply replaces (in force)\n"
          "  --wait            until every daemon has the change\n"
          "  --timeout_ms=N    for the log and for --wait, each (10000)\n"
          "  --name=NAME       name of the key to issue\n"
          "  --json            one JSON object on standard output\n\n";
  return text + ExitHelp();
}

ExitCode
RunCommand(const CommandContext& aContext,
           const std::vector<std::string>& aWords)
{
  const CommandRow* row = FindCommand(aWords);
  if (row == nullptr) {
    return Fail(aContext,
                ExitCode::kUsage,
                "unknown command \"" + JoinWords(aWords) + "\"; see --help");
  }
  if (aContext.options.timeout <= Millis(0)) {
    return Fail(aContext, ExitCode::kUsage, "--timeout_ms must be above 0");
  }
  const Words arguments(aWords.begin() + row->name.size(), aWords.end());
  if (arguments.size() < row->minArguments ||
      arguments.size() > row->maxArguments) {
    return Fail(aContext,
                ExitCode::kUsage,
                "usage: " + JoinWords(row->name) + " " + row->arguments);
  }
  return row->run(aContext, arguments);
}

} // namespace tanagerseam
