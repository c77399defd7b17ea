// A child process of a test, killed at the latest when its object is destroyed.
//
//   ChildProcess tool("tanagerseam", { "apply", file }, logPath);
//   std::optional<int> exitCode = tool.Wait(Millis(30000));
#ifndef TANAGERSEAM_TESTS_SUPPORT_CHILD_PROCESS_H_
#define TANAGERSEAM_TESTS_SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam::testing_support {

// The path of a built program, searched for in the test program's folder and
// the two folders above. Throws std::runtime_error if it is not there.
std::string
ProgramPath(const std::string& aName);

// The kernel kills the process when the thread that started it ends, so start
// processes from a thread that outlives them. Each process has a process group
// of its own: in the test's group a paused process would get SIGHUP from the
// kernel when the shell that started the test ends. Not thread-safe.
class ChildProcess
{
public:
  // Starts the program and appends its output to aLogPath. Throws
  // std::runtime_error if the program is not found or fork fails; exit code 127
  // means that exec failed.
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               const std::string& aLogPath);
  // Kills the process if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Sends SIGKILL and waits until the process has ended.
  void Kill();
  // Sends SIGTERM without waiting.
  void Terminate();
  // Sends SIGSTOP and waits until the process has stopped.
  void Pause();
  // Sends SIGCONT.
  void Continue();
  // The exit code, 128 + N after signal N, or nullopt if the process still runs
  // after aLimit.
  std::optional<int> Wait(Millis aLimit);
  bool Running() { return !this->Wait(Millis(0)); }
  pid_t Id() const { return this->id; }
  const std::string& LogPath() const { return this->logPath; }
  // The last 4000 bytes of the log.
  std::string LogTail() const;

private:
  void Signal(int aSignal);

  const std::string logPath;
  pid_t id = -1;
  std::optional<int> exitCode;
};

} // namespace tanagerseam::testing_support

#endif // TANAGERSEAM_TESTS_SUPPORT_CHILD_PROCESS_H_
