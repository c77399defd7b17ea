// Reservations of ports among all test programs of a machine: one lock file, in
// which the byte at offset N is locked by the process that port N belongs to.
//
//   PortReservations reservations(folder + "/ports.lock");
//   const bool isMine = reservations.Reserve(10000);
#ifndef TANAGERSEAM_TESTS_SUPPORT_PORT_RESERVATIONS_H_
#define TANAGERSEAM_TESTS_SUPPORT_PORT_RESERVATIONS_H_

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstring>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>

namespace tanagerseam::testing_support {

// The kernel drops the locks when the process ends, also when it is killed.
// fcntl's locks belong to the process: a forked child holds none of its
// parent's, and closing its copy of the file releases none of them. A process
// must have one object only for each file, since closing any descriptor of the
// file releases all of the process's locks on it. Thread-safe.
class PortReservations
{
public:
  // Creates the file if it does not exist. Throws std::runtime_error if it can
  // neither be opened nor created.
  explicit PortReservations(const std::string& aPath)
    : path(aPath)
    , file(this->Open())
  {
  }
  ~PortReservations() { close(this->file); }
  PortReservations(const PortReservations&) = delete;
  PortReservations& operator=(const PortReservations&) = delete;

  // False if any process holds the port, this one included. Throws
  // std::runtime_error if the file cannot be locked.
  bool Reserve(uint16_t aPort)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    // The kernel grants a process again what it holds already.
    if (this->held.count(aPort) != 0) {
      return false;
    }
    if (!this->SetLock(aPort, F_WRLCK)) {
      return false;
    }
    this->held.insert(aPort);
    return true;
  }

  void Release(uint16_t aPort)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->held.erase(aPort);
    this->SetLock(aPort, F_UNLCK);
  }

private:
  // Test programs of other users lock the same file.
  static constexpr mode_t kMode = 0666;

  // In a sticky folder such as /tmp the kernel may refuse O_CREAT without
  // O_EXCL for another user's file (fs.protected_regular).
  int Open() const
  {
    constexpr int kFlags = O_RDWR | O_CLOEXEC | O_NOFOLLOW;
    int opened = open(this->path.c_str(), kFlags);
    if (opened < 0 && errno == ENOENT) {
      opened = open(this->path.c_str(), kFlags | O_CREAT | O_EXCL, kMode);
      if (opened >= 0) {
        fchmod(opened, kMode);
      } else if (errno == EEXIST) {
        opened = open(this->path.c_str(), kFlags);
      }
    }
    if (opened < 0) {
      this->Throw("open");
    }
    return opened;
  }

  // False if another process holds the lock.
  bool SetLock(uint16_t aPort, short aType) const
  {
    struct flock range = {};
    range.l_type = aType;
    range.l_whence = SEEK_SET;
    range.l_start = aPort;
    range.l_len = 1;
    if (fcntl(this->file, F_SETLK, &range) == 0) {
      return true;
    }
    if (errno != EAGAIN && errno != EACCES) {
      this->Throw("lock");
    }
    return false;
  }

  [[noreturn]] void Throw(const char* aAction) const
  {
    const std::string reason = std::strerror(errno);
    throw std::runtime_error(std::string("cannot ") + aAction +
                             " the lock file of test ports " + this->path +
                             ": " + reason);
  }

  const std::string path;
  const int file;
  std::mutex mutex;
  std::set<uint16_t> held;
};

} // namespace tanagerseam::testing_support

#endif // TANAGERSEAM_TESTS_SUPPORT_PORT_RESERVATIONS_H_
