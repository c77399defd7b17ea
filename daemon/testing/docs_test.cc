// Checks that the pages in docs/ match the code: the table of refusals, the
// keys of the daemon's settings with their limits and defaults, and the metric
// names.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

#include <unistd.h>

#include "daemon/daemon_settings.h"

namespace tanagerseam {
namespace {

const std::filesystem::path kSourceDir = TANAGERSEAM_SOURCE_DIR;

std::string
ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  EXPECT_TRUE(file.is_open()) << aPath;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::vector<std::string>
TableCells(const std::string& aLine)
{
  std::vector<std::string> cells;
  std::istringstream parts(aLine);
  std::string cell;
  std::getline(parts, cell, '|');
  while (std::getline(parts, cell, '|')) {
    const size_t first = cell.find_first_not_of(" `");
    const size_t last = cell.find_last_not_of(" `");
    cells.push_back(
      first == std::string::npos ? "" : cell.substr(first, last - first + 1));
  }
  return cells;
}

// One row of a table of keys in CONFIGURATION.md.
struct KeyRow
{
  std::string section;
  std::string key;
  std::string defaultValue;
  std::string limits;
};

std::vector<KeyRow>
DaemonKeyRows()
{
  std::istringstream lines(ReadFile(kSourceDir / "docs/CONFIGURATION.md"));
  std::vector<KeyRow> rows;
  std::string line;
  std::string section;
  bool inDaemon = false;
  while (std::getline(lines, line)) {
    inDaemon = inDaemon || line == "## Settings of a daemon";
    if (line.rfind("### [", 0) == 0) {
      section = line.substr(5, line.find(']') - 5);
    }
    if (inDaemon && line.rfind("| `", 0) == 0) {
      const auto cells = TableCells(line);
      EXPECT_EQ(cells.size(), 4u) << line;
      rows.push_back({ section, cells[0], cells[2], cells[3] });
    }
  }
  return rows;
}

class DaemonSettingsParser : public ::testing::Test
{
protected:
  ~DaemonSettingsParser() override { std::filesystem::remove(this->path); }

  // Findings for a file with the required keys and the key of aRow.
  Findings Parse(const KeyRow& aRow, const std::string& aValue)
  {
    std::map<std::string, std::map<std::string, std::string>> sections = {
      { "daemon",
        { { "host", "h" },
          { "zone", "z" },
          { "caller_address", "127.0.0.1:1" },
          { "peer_address", "127.0.0.1:2" },
          { "admin_address", "127.0.0.1:3" } } },
      { "log", { { "address", "127.0.0.1:4" } } },
    };
    // renew_every_ms is at most half of lease_ms, so the other key is set such
    // that each can reach its own limits.
    if (aRow.key == "renew_every_ms") {
      sections["lease"]["lease_ms"] = "600000";
    }
    if (aRow.key == "lease_ms") {
      sections["lease"]["renew_every_ms"] = "20";
    }
    sections[aRow.section][aRow.key] = aValue;
    std::ofstream file(this->path);
    for (const auto& section : sections) {
      file << "[" << section.first << "]\n";
      for (const auto& entry : section.second) {
        file << entry.first << " = " << entry.second << "\n";
      }
    }
    file.close();
    Findings findings;
    ParseDaemonSettings(this->path.string(), findings);
    return findings;
  }

  const std::filesystem::path path =
    std::filesystem::temp_directory_path() /
    ("daemon-settings-" + std::to_string(getpid()) + ".ini");
};

TEST(ApiPage, RefusalTableMatchesCode)
{
  std::ostringstream expected;
  for (const RefusalRow& row : RefusalTable()) {
    expected << "| `" << row.name << "` | " << row.httpStatus << " | "
             << (row.ran == RanState::kNo ? "no" : "unknown") << " | "
             << (row.retryAfter ? std::to_string(row.retryAfter->count()) : "-")
             << " | " << row.advice << " |\n";
  }
  const std::string page = ReadFile(kSourceDir / "docs/API.md");
  const std::string tableHead = "|---|---|---|---|---|\n";
  const size_t start = page.find(tableHead);
  ASSERT_NE(start, std::string::npos);
  const size_t first = start + tableHead.size();
  EXPECT_EQ(page.substr(first, page.find("\n\n", first) + 1 - first),
            expected.str());
}

TEST(OperationsPage, ListsAllRefusalsAndMetrics)
{
  const std::string page = ReadFile(kSourceDir / "docs/OPERATIONS.md");
  for (const RefusalRow& row : RefusalTable()) {
    EXPECT_NE(page.find("`" + std::string(row.name) + "`"), std::string::npos)
      << row.name;
  }
  const std::regex metric("\"(tanagerseam_[a-z_]+)\"");
  for (const auto& entry :
       std::filesystem::directory_iterator(kSourceDir / "daemon")) {
    if (entry.path().extension() != ".cc") {
      continue;
    }
    const std::string code = ReadFile(entry.path());
    for (std::sregex_iterator it(code.begin(), code.end(), metric), end;
         it != end;
         ++it) {
      EXPECT_NE(page.find((*it)[1].str()), std::string::npos) << (*it)[1];
    }
  }
}

TEST_F(DaemonSettingsParser, AcceptsDocumentedKeysAndLimits)
{
  const auto rows = DaemonKeyRows();
  ASSERT_FALSE(rows.empty());
  const std::regex range("^([0-9.]+) to ([0-9.]+)");
  for (const KeyRow& row : rows) {
    SCOPED_TRACE("[" + row.section + "] " + row.key);
    std::smatch limits;
    if (std::regex_search(row.limits, limits, range)) {
      const double low = std::stod(limits[1]);
      const double high = std::stod(limits[2]);
      const bool isReal = limits[2].str().find('.') != std::string::npos;
      const double step = isReal ? 0.01 : 1;
      const auto text = [isReal](double aValue) {
        return isReal ? std::to_string(aValue)
                      : std::to_string(int64_t(aValue));
      };
      EXPECT_EQ(this->Parse(row, text(low)).Text(), "");
      EXPECT_EQ(this->Parse(row, text(high)).Text(), "");
      EXPECT_FALSE(this->Parse(row, text(low - step)).Empty());
      EXPECT_FALSE(this->Parse(row, text(high + step)).Empty());
    }
    const bool isValue = row.defaultValue != "required" &&
                         row.defaultValue != "none" &&
                         row.defaultValue != "peer_address";
    const std::string value = isValue ? row.defaultValue : "127.0.0.1:9";
    EXPECT_EQ(this->Parse(row, value).Text(), "");
  }
}

// Compares the documented keys with those found in the parser's source.
TEST(ConfigurationPage, ListsAllDaemonKeys)
{
  std::set<std::string> documented;
  for (const KeyRow& row : DaemonKeyRows()) {
    documented.insert(row.key);
  }
  const std::string code = ReadFile(kSourceDir / "daemon/daemon_settings.cc");
  const std::regex key(
    "(?:Text|Integer|Real|List|Choice|Address|ReadMillis|RequiredAddress)\\("
    "\\s*(?:aReader,\\s*)?\"([a-z_]+)\"");
  std::set<std::string> parsedKeys;
  for (std::sregex_iterator it(code.begin(), code.end(), key), end; it != end;
       ++it) {
    parsedKeys.insert((*it)[1]);
  }
  EXPECT_EQ(documented, parsedKeys);
}

// Compares the documented defaults with those of DaemonSettings.
TEST(ConfigurationPage, ListsDaemonDefaults)
{
  const DaemonSettings defaults;
  const auto number = [](double aValue) {
    std::ostringstream text;
    text.precision(12);
    text << aValue;
    return text.str();
  };
  const auto millis = [](Millis aValue) {
    return std::to_string(aValue.count());
  };
  const std::map<std::string, std::string> expected = {
    { "daemon.log_level", defaults.logLevel },
    { "daemon.max_workers", number(double(defaults.maxWorkers)) },
    { "daemon.max_body_bytes", number(double(defaults.maxBodyBytes)) },
    { "daemon.read_timeout_ms", millis(defaults.readTimeout) },
    { "daemon.call_timeout_ms", millis(defaults.defaultCallTimeout) },
    { "daemon.drain_notice_ms", millis(defaults.drainNotice) },
    { "daemon.drain_limit_ms", millis(defaults.drainLimit) },
    { "log.stream", defaults.logStream },
    { "log.spacing_ms", millis(defaults.logWriter.appendInterval) },
    { "log.burst_appends", number(defaults.logWriter.burst) },
    { "log.retry_pause_ms", millis(defaults.logWriter.retryDelay) },
    { "log.max_waiting", number(double(defaults.logWriter.maxQueuedRecords)) },
    { "log.verdict_timeout_ms", millis(defaults.verdictTimeout) },
    { "log.snapshot_every", number(double(defaults.snapshotInterval)) },
    { "lease.lease_ms", millis(defaults.lease.duration) },
    { "lease.margin_ms", millis(defaults.lease.margin) },
    { "lease.renew_every_ms", millis(defaults.lease.renewInterval) },
    { "lease.settle_ms", millis(defaults.lease.settleTime) },
    { "lease.max_outage_ms", millis(defaults.lease.maxOutage) },
    { "limits.lendable_part", number(defaults.limit.lendableFraction) },
    { "limits.loan_term_ms", millis(defaults.limit.loanTerm) },
    { "limits.loan_margin_ms", millis(defaults.limit.loanMargin) },
    { "limits.takeover_grace_ms", millis(defaults.limit.takeoverGrace) },
    { "limits.rate_policy", defaults.ratePolicy },
    { "limits.default_budget_tokens",
      number(double(defaults.defaultBudgetTokens)) },
    { "limits.default_max_turns", number(double(defaults.defaultMaxTurns)) },
    { "limits.default_max_tokens", number(double(defaults.defaultMaxTokens)) },
    { "limits.max_program_time_ms", millis(defaults.maxProgramTime) },
    { "limits.max_idle_ms", millis(defaults.maxIdleTime) },
    { "limits.retry_share", number(defaults.retryBudgetShare) },
    { "limits.retry_max", number(defaults.retryBudgetMax) },
    { "route.queue_policy", defaults.scheduler.queuePolicy },
    { "route.endpoint_policy", defaults.scheduler.endpointPolicy },
    { "route.max_waiting", number(double(defaults.scheduler.maxWaiting)) },
    { "route.breaker_failures",
      number(double(defaults.scheduler.breakerFailures)) },
    { "route.breaker_pause_ms", millis(defaults.scheduler.breakerPause) },
    { "route.wind_down", defaults.windDown },
    { "route.load_poll_ms", millis(defaults.loadPollInterval) },
    { "route.wind_down", defaults.windDown },
  };
  std::map<std::string, std::string> found;
  for (const KeyRow& row : DaemonKeyRows()) {
    const bool isValue = row.defaultValue != "required" &&
                         row.defaultValue != "none" &&
                         row.defaultValue != "peer_address";
    if (isValue) {
      found[row.section + "." + row.key] = row.defaultValue;
    }
  }
  EXPECT_EQ(found, expected);
}

} // namespace
} // namespace tanagerseam
