#include <gtest/gtest.h>

#include <atomic>

#include "kernel/kernel.h"

namespace tanagerseam {
namespace {

TEST(Refusals, TheTableFollowsTheEnum)
{
  const auto& table = RefusalTable();
  for (size_t i = 0; i < table.size(); ++i) {
    SCOPED_TRACE(table[i].name);
    EXPECT_EQ(static_cast<size_t>(table[i].reason), i);
    EXPECT_EQ(FindRefusal(table[i].name), &table[i]);
  }
  EXPECT_EQ(table.back().reason, RefusalReason::kInternalError);
}

TEST(WorkerPool, RunsWhatItTookAndRefusesBeyondItsLimits)
{
  std::atomic<int> started{ 0 };
  std::atomic<int> ran{ 0 };
  std::atomic<bool> go{ false };
  WorkerPool pool(1, 1);
  auto task = [&] {
    ++started;
    while (!go) {
      std::this_thread::yield();
    }
    ++ran;
  };
  EXPECT_TRUE(pool.Post(task));
  while (started == 0) {
    std::this_thread::yield();
  }
  EXPECT_TRUE(pool.Post(task));
  EXPECT_FALSE(pool.Post(task));
  go = true;
  pool.Stop();
  EXPECT_EQ(ran, 2);
}

TEST(Metrics, PrintsCountersAndHistograms)
{
  Metrics metrics;
  metrics.Count("refusals_total", { { "reason", "no_endpoint" } });
  for (int i = 1; i <= 100; ++i) {
    metrics.Observe("call_seconds", { { "kind", "stream" } }, i / 10.0);
  }
  metrics.Observe("call_seconds", { { "kind", "stream" } }, 99);
  const std::string text = metrics.Text();
  for (const char* line : {
         "refusals_total{reason=\"no_endpoint\"} 1",
         "# TYPE call_seconds histogram",
         "call_seconds_bucket{kind=\"stream\",le=\"0.05\"} 0",
         "call_seconds_bucket{kind=\"stream\",le=\"0.1\"} 1",
         "call_seconds_bucket{kind=\"stream\",le=\"2.5\"} 25",
         "call_seconds_bucket{kind=\"stream\",le=\"10\"} 100",
         "call_seconds_bucket{kind=\"stream\",le=\"+Inf\"} 101",
         "call_seconds_sum{kind=\"stream\"} 604",
         "call_seconds_count{kind=\"stream\"} 101",
       }) {
    EXPECT_NE(text.find(std::string(line) + "\n"), std::string::npos) << line;
  }
}

} // namespace
} // namespace tanagerseam
