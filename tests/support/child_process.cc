#include "tests/support/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace tanagerseam::testing_support {

namespace {

constexpr int kFoldersSearched = 3;
constexpr Millis kPollEvery(2);
constexpr std::streamoff kTailBytes = 4000;
constexpr int kSignalBase = 128;
constexpr int kCannotRun = 127;

// Runs in the child between fork and exec: async-signal-safe calls only.
[[noreturn]] void
RunProgram(char* const* aArguments, const char* aLogPath, pid_t aParent)
{
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != aParent) {
    _exit(kCannotRun);
  }
  setpgid(0, 0);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  const int log = open(aLogPath, O_WRONLY | O_CREAT | O_APPEND, 0644);
  const int input = open("/dev/null", O_RDONLY);
  dup2(input, STDIN_FILENO);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  // The child must not inherit the test's sockets.
  close_range(STDERR_FILENO + 1, ~0u, 0);
  execv(aArguments[0], aArguments);
  _exit(kCannotRun);
}

int
ExitCode(int aStatus)
{
  return WIFEXITED(aStatus) ? WEXITSTATUS(aStatus)
                            : kSignalBase + WTERMSIG(aStatus);
}

} // namespace

std::string
ProgramPath(const std::string& aName)
{
  namespace fs = std::filesystem;
  fs::path folder = fs::read_symlink("/proc/self/exe").parent_path();
  for (int i = 0; i < kFoldersSearched; ++i) {
    if (fs::is_regular_file(folder / aName)) {
      return (folder / aName).string();
    }
    folder = folder.parent_path();
  }
  throw std::runtime_error("program not found near the test program: " + aName);
}

ChildProcess::ChildProcess(const std::string& aProgram,
                           const std::vector<std::string>& aArguments,
                           const std::string& aLogPath)
  : logPath(aLogPath)
{
  const std::string path = ProgramPath(aProgram);
  std::vector<char*> arguments = { const_cast<char*>(path.c_str()) };
  for (const std::string& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  const pid_t parent = getpid();
  this->id = fork();
  if (this->id < 0) {
    throw std::runtime_error("fork failed for " + aProgram);
  }
  if (this->id == 0) {
    RunProgram(arguments.data(), aLogPath.c_str(), parent);
  }
  // Parent and child both set the group, so that it is set whichever runs
  // first. This call fails if the program runs already, and has its group then.
  setpgid(this->id, this->id);
}

ChildProcess::~ChildProcess()
{
  this->Kill();
}

void
ChildProcess::Signal(int aSignal)
{
  // Once the process is reaped, its id may be reused by another process.
  if (this->Running()) {
    kill(this->id, aSignal);
  }
}

void
ChildProcess::Kill()
{
  if (!this->Running()) {
    return;
  }
  kill(this->id, SIGKILL);
  int status = 0;
  waitpid(this->id, &status, 0);
  this->exitCode = ExitCode(status);
}

void
ChildProcess::Terminate()
{
  this->Signal(SIGTERM);
}

void
ChildProcess::Pause()
{
  this->Signal(SIGSTOP);
  if (this->exitCode) {
    return;
  }
  int status = 0;
  waitpid(this->id, &status, WUNTRACED);
  if (!WIFSTOPPED(status)) {
    this->exitCode = ExitCode(status);
  }
}

void
ChildProcess::Continue()
{
  this->Signal(SIGCONT);
}

std::optional<int>
ChildProcess::Wait(Millis aLimit)
{
  const TimePoint start = Now();
  while (!this->exitCode) {
    int status = 0;
    if (waitpid(this->id, &status, WNOHANG) == this->id) {
      this->exitCode = ExitCode(status);
    } else if (Now() - start >= aLimit) {
      break;
    } else {
      std::this_thread::sleep_for(kPollEvery);
    }
  }
  return this->exitCode;
}

std::string
ChildProcess::LogTail() const
{
  std::ifstream file(this->logPath, std::ios::binary | std::ios::ate);
  const std::streamoff size = file ? std::streamoff(file.tellg()) : 0;
  const std::streamoff length = std::min(size, kTailBytes);
  std::string text(size_t(length), '\0');
  file.seekg(size - length);
  file.read(text.data(), length);
  return text;
}

} // namespace tanagerseam::testing_support
