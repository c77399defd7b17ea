// The story of a log whose reader stalls: nobody waits for it, lines stay
// whole, and what was left out is counted.
#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>

#include <nlohmann/json.hpp>

#include "kernel/kernel.h"

namespace tanagerseam {
namespace {

class StalledReader : public ::testing::Test
{
protected:
  void SetUp() override
  {
    ASSERT_EQ(pipe(this->ends.data()), 0);
    this->output = dup(STDOUT_FILENO);
    fflush(stdout);
    dup2(this->ends[1], STDOUT_FILENO);
    ConfigureLog("info", "host-1");
    BufferLog(true);
  }

  void TearDown() override
  {
    FlushLog();
    BufferLog(false);
    dup2(this->output, STDOUT_FILENO);
    close(this->output);
    close(this->ends[0]);
    close(this->ends[1]);
  }

  // All that can be read now.
  std::string ReadAll()
  {
    fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 65536> piece{};
    while (true) {
      const ssize_t got = read(this->ends[0], piece.data(), piece.size());
      if (got <= 0) {
        return text;
      }
      text.append(piece.data(), static_cast<size_t>(got));
    }
  }

  std::array<int, 2> ends{ -1, -1 };
  int output = -1;
};

TEST_F(StalledReader, NeverBlocksAndCountsWhatIsLeftOut)
{
  constexpr int kLines = 20000;
  const std::string text(100, 'x');
  const TimePoint begun = Now();
  for (int i = 0; i < kLines; ++i) {
    LogWarn("line", { { "text", text } });
  }
  EXPECT_LT(MillisBetween(begun, Now()), 5000);
  std::string all;
  int64_t dropped = 0;
  int lines = 0;
  // The reader comes back.
  for (int round = 0; round < 50; ++round) {
    FlushLog();
    all += this->ReadAll();
  }
  size_t at = 0;
  while (at < all.size()) {
    const size_t end = all.find('\n', at);
    ASSERT_NE(end, std::string::npos) << "a line was cut";
    const auto line = nlohmann::json::parse(all.substr(at, end - at));
    if (line["event"] == "log_lines_dropped") {
      dropped += std::stoll(line["lines"].get<std::string>());
    } else {
      ++lines;
    }
    at = end + 1;
  }
  EXPECT_GT(dropped, 0);
  EXPECT_EQ(lines + dropped, kLines);
}

TEST_F(StalledReader, InformationIsBoundedBySecond)
{
  for (int i = 0; i < 5 * kLogLinesPerSecond; ++i) {
    LogInfo("line", {});
  }
  std::string all;
  for (int round = 0; round < 50; ++round) {
    FlushLog();
    all += this->ReadAll();
  }
  const auto lines = std::count(all.begin(), all.end(), '\n');
  // The lines may fall into two or three seconds.
  EXPECT_LE(lines, 3 * kLogLinesPerSecond + 3);
  EXPECT_GE(lines, kLogLinesPerSecond);
}

} // namespace
} // namespace tanagerseam
