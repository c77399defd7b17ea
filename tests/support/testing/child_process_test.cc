// Children of a test: their process groups, and their end with the test.
#include "tests/support/child_process.h"

#include <gtest/gtest.h>

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>
#include <thread>

#include "tests/support/free_port.h"
#include "tests/support/testing/forked_process.h"

namespace tanagerseam::testing_support {
namespace {

namespace fs = std::filesystem;

constexpr Millis kLimit(10000);
constexpr Millis kPollEvery(2);
// Ends a process that the test has left behind.
constexpr unsigned kSecondsToLive = 60;

class ChildProcessTest : public ::testing::Test
{
protected:
  ChildProcessTest()
  {
    std::string name =
      (fs::temp_directory_path() / "tanagerseam-XXXXXX").string();
    EXPECT_NE(mkdtemp(name.data()), nullptr);
    this->folder = name;
    // Processes whose parents end become this process's children, so that it
    // can wait for them.
    prctl(PR_SET_CHILD_SUBREAPER, 1);
  }
  ~ChildProcessTest() override
  {
    prctl(PR_SET_CHILD_SUBREAPER, 0);
    fs::remove_all(this->folder);
  }

  // Returns once the program runs.
  std::unique_ptr<ChildProcess> StartService() const
  {
    auto service = std::make_unique<ChildProcess>(
      "standin-service",
      std::vector<std::string>{ "--port=" + std::to_string(FreePort()) },
      (this->folder / "service.log").string());
    const fs::path program = ProgramPath("standin-service");
    const fs::path link =
      fs::path("/proc") / std::to_string(service->Id()) / "exe";
    const TimePoint start = Now();
    while (fs::read_symlink(link) != program) {
      if (Now() - start > kLimit) {
        throw std::runtime_error("the service did not start");
      }
      std::this_thread::sleep_for(kPollEvery);
    }
    return service;
  }

  // The state letter of proc(5): 'T' is stopped, 'Z' is ended.
  static char StateOf(pid_t aProcess)
  {
    std::ifstream file("/proc/" + std::to_string(aProcess) + "/stat");
    std::string line;
    std::getline(file, line);
    const size_t nameEnd = line.rfind(')');
    return nameEnd == std::string::npos ? '?' : line.at(nameEnd + 2);
  }

  // The signal that ended a process without a parent of its own, or 0.
  static int SignalThatEnded(pid_t aProcess)
  {
    int status = 0;
    const TimePoint start = Now();
    while (waitpid(aProcess, &status, WNOHANG) != aProcess) {
      if (Now() - start > kLimit) {
        return 0;
      }
      std::this_thread::sleep_for(kPollEvery);
    }
    return WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  }

  fs::path folder;
};

// Regression test: a child was a member of the test's process group and
// received the signals that the kernel and shells send to it.
TEST_F(ChildProcessTest, HasAProcessGroupOfItsOwn)
{
  const auto service = this->StartService();
  EXPECT_EQ(getpgid(service->Id()), service->Id());
  EXPECT_NE(getpgid(service->Id()), getpgrp());
}

// Regression test: paused daemons of fleet_rate_test and
// calls_nonrepeatable_test ended by signal 1 (SIGHUP) when the shell that had
// started the tests ended, since the test's process group was then orphaned and
// had a stopped member.
TEST_F(ChildProcessTest, StaysPausedWhenTheShellOfItsTestEnds)
{
  // The objects are never destroyed, since that would kill the processes.
  ForkedProcess shell([this] {
    setsid();
    // The test program is a job of the shell, outlives it and handles SIGHUP.
    auto* test = new ForkedProcess([this] {
      prctl(PR_SET_PDEATHSIG, 0);
      alarm(kSecondsToLive);
      setpgid(0, 0);
      signal(SIGHUP, [](int) {});
      ChildProcess* service = this->StartService().release();
      service->Pause();
      return std::vector<int>{ getpid(), service->Id() };
    });
    return test->Reports();
  });
  const std::vector<int> ids = shell.Reports();
  ASSERT_EQ(ids.size(), 2u);
  const pid_t test = ids[0];
  const pid_t service = ids[1];
  EXPECT_EQ(StateOf(service), 'T');
  shell.Kill();
  EXPECT_EQ(StateOf(service), 'T');
  {
    SCOPED_TRACE("both end when the test program is killed");
    kill(test, SIGKILL);
    EXPECT_EQ(SignalThatEnded(test), SIGKILL);
    EXPECT_EQ(SignalThatEnded(service), SIGKILL);
  }
}

TEST_F(ChildProcessTest, EndsWithItsKilledTest)
{
  ForkedProcess test([this] {
    return std::vector<int>{ this->StartService().release()->Id() };
  });
  const std::vector<int> ids = test.Reports();
  ASSERT_EQ(ids.size(), 1u);
  test.Kill();
  EXPECT_EQ(SignalThatEnded(ids[0]), SIGKILL);
}

} // namespace
} // namespace tanagerseam::testing_support
