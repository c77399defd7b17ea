// A forked process that runs a test's steps, reports port numbers and then
// lives on until it is killed.
//
//   PortUser user([] { return std::vector<uint16_t>{ FreePort() }; });
//   const std::vector<uint16_t> ports = user.Ports();
#ifndef TANAGERSEAM_TESTS_SUPPORT_TESTING_PORT_USER_H_
#define TANAGERSEAM_TESTS_SUPPORT_TESTING_PORT_USER_H_

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <functional>
#include <iostream>
#include <stdexcept>
#include <vector>

namespace tanagerseam::testing_support {

class PortUser
{
public:
  // The steps run in the forked process, which starts no other program.
  explicit PortUser(const std::function<std::vector<uint16_t>()>& aSteps)
  {
    std::array<int, 2> ends{};
    if (pipe(ends.data()) != 0) {
      throw std::runtime_error("pipe failed for a port user");
    }
    const pid_t parent = getpid();
    this->id = fork();
    if (this->id < 0) {
      throw std::runtime_error("fork failed for a port user");
    }
    if (this->id == 0) {
      close(ends[0]);
      RunSteps(aSteps, ends[1], parent);
    }
    close(ends[1]);
    this->reports = ends[0];
  }
  ~PortUser()
  {
    this->Kill();
    close(this->reports);
  }
  PortUser(const PortUser&) = delete;
  PortUser& operator=(const PortUser&) = delete;

  // Waits until the steps are done. Empty if they threw, see standard error.
  std::vector<uint16_t> Ports()
  {
    std::vector<uint16_t> ports;
    uint16_t port = 0;
    while (read(this->reports, &port, sizeof(port)) == sizeof(port)) {
      ports.push_back(port);
    }
    return ports;
  }

  void Kill()
  {
    if (this->id > 0) {
      kill(this->id, SIGKILL);
      waitpid(this->id, nullptr, 0);
    }
    this->id = -1;
  }

private:
  [[noreturn]] static void RunSteps(
    const std::function<std::vector<uint16_t>()>& aSteps,
    int aReports,
    pid_t aParent)
  {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != aParent) {
      _exit(1);
    }
    try {
      for (const uint16_t port : aSteps()) {
        if (write(aReports, &port, sizeof(port)) != sizeof(port)) {
          _exit(1);
        }
      }
    } catch (const std::exception& error) {
      std::cerr << "a port user's steps: " << error.what() << std::endl;
      _exit(1);
    }
    // The other side reads until the pipe is closed.
    close(aReports);
    for (;;) {
      pause();
    }
  }

  pid_t id = -1;
  int reports = -1;
};

} // namespace tanagerseam::testing_support

#endif // TANAGERSEAM_TESTS_SUPPORT_TESTING_PORT_USER_H_
