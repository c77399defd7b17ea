// A forked process that runs a test's steps, reports numbers such as ports and
// process ids, and then lives on until it is killed.
//
//   ForkedProcess user([] { return std::vector<int>{ FreePort() }; });
//   const std::vector<int> ports = user.Reports();
#ifndef TANAGERSEAM_TESTS_SUPPORT_TESTING_FORKED_PROCESS_H_
#define TANAGERSEAM_TESTS_SUPPORT_TESTING_FORKED_PROCESS_H_

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <iostream>
#include <stdexcept>
#include <vector>

namespace tanagerseam::testing_support {

class ForkedProcess
{
public:
  // The steps run in the forked process.
  explicit ForkedProcess(const std::function<std::vector<int>()>& aSteps)
  {
    std::array<int, 2> ends{};
    if (pipe(ends.data()) != 0) {
      throw std::runtime_error("pipe failed for a test's process");
    }
    const pid_t parent = getpid();
    this->id = fork();
    if (this->id < 0) {
      throw std::runtime_error("fork failed for a test's process");
    }
    if (this->id == 0) {
      close(ends[0]);
      RunSteps(aSteps, ends[1], parent);
    }
    close(ends[1]);
    this->reports = ends[0];
  }
  ~ForkedProcess()
  {
    this->Kill();
    close(this->reports);
  }
  ForkedProcess(const ForkedProcess&) = delete;
  ForkedProcess& operator=(const ForkedProcess&) = delete;

  // Waits until the steps are done. Empty if they threw, see standard error.
  std::vector<int> Reports()
  {
    // The pipe's end is not enough: processes forked by the steps keep it open.
    int count = 0;
    std::vector<int> numbers;
    if (!this->Read(count)) {
      return numbers;
    }
    int number = 0;
    while (int(numbers.size()) < count && this->Read(number)) {
      numbers.push_back(number);
    }
    return numbers;
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
    const std::function<std::vector<int>()>& aSteps,
    int aReports,
    pid_t aParent)
  {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != aParent) {
      _exit(1);
    }
    try {
      const std::vector<int> numbers = aSteps();
      Write(aReports, int(numbers.size()));
      for (const int number : numbers) {
        Write(aReports, number);
      }
    } catch (const std::exception& error) {
      std::cerr << "a forked process's steps: " << error.what() << std::endl;
      _exit(1);
    }
    for (;;) {
      pause();
    }
  }

  static void Write(int aReports, int aNumber)
  {
    if (write(aReports, &aNumber, sizeof(aNumber)) != sizeof(aNumber)) {
      throw std::runtime_error("cannot report a number");
    }
  }

  bool Read(int& aNumber) const
  {
    return read(this->reports, &aNumber, sizeof(aNumber)) == sizeof(aNumber);
  }

  pid_t id = -1;
  int reports = -1;
};

} // namespace tanagerseam::testing_support

#endif // TANAGERSEAM_TESTS_SUPPORT_TESTING_FORKED_PROCESS_H_
