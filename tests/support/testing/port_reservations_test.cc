// Reservations in a lock file of this test's own, so that other test programs
// are not in the way.
#include "tests/support/port_reservations.h"

#include <gtest/gtest.h>

#include <sys/stat.h>

#include <filesystem>

#include "tests/support/testing/forked_process.h"

namespace tanagerseam::testing_support {
namespace {

constexpr uint16_t kPort = 10000;
constexpr uint16_t kOtherPort = 10001;
constexpr uint16_t kThirdPort = 10002;

class PortReservationsTest : public ::testing::Test
{
protected:
  PortReservationsTest()
  {
    std::string name =
      (std::filesystem::temp_directory_path() / "tanagerseam-XXXXXX").string();
    EXPECT_NE(mkdtemp(name.data()), nullptr);
    this->folder = name;
    this->path = (this->folder / "ports.lock").string();
  }
  ~PortReservationsTest() override
  {
    std::filesystem::remove_all(this->folder);
  }

  std::filesystem::path folder;
  std::string path;
};

TEST_F(PortReservationsTest, LastAsLongAsTheirProcess)
{
  PortReservations mine(this->path);
  ASSERT_TRUE(mine.Reserve(kOtherPort));
  // It inherits the descriptor.
  ForkedProcess forked([&mine] {
    return mine.Reserve(kPort) ? std::vector<int>{ kPort } : std::vector<int>{};
  });
  ASSERT_EQ(forked.Reports().size(), 1u);
  {
    SCOPED_TRACE("its port is refused to others while it lives");
    EXPECT_FALSE(mine.Reserve(kPort));
  }
  {
    SCOPED_TRACE("its port is free again when it was killed");
    forked.Kill();
    EXPECT_TRUE(mine.Reserve(kPort));
  }
  {
    SCOPED_TRACE("its end released no port of its parent");
    // It opens the file itself.
    ForkedProcess another([this] {
      PortReservations own(this->path);
      std::vector<int> granted;
      for (const uint16_t port : { kPort, kOtherPort, kThirdPort }) {
        if (own.Reserve(port)) {
          granted.push_back(port);
        }
      }
      return granted;
    });
    EXPECT_EQ(another.Reports(), std::vector<int>{ kThirdPort });
  }
}

TEST_F(PortReservationsTest, AreRefusedTwiceInOneProcess)
{
  PortReservations mine(this->path);
  EXPECT_TRUE(mine.Reserve(kPort));
  EXPECT_FALSE(mine.Reserve(kPort));
  EXPECT_TRUE(mine.Reserve(kOtherPort));
  mine.Release(kPort);
  EXPECT_TRUE(mine.Reserve(kPort));
}

TEST_F(PortReservationsTest, AreOpenToProcessesOfOtherUsers)
{
  const mode_t before = umask(0077);
  {
    PortReservations mine(this->path);
  }
  umask(before);
  struct stat status = {};
  ASSERT_EQ(stat(this->path.c_str(), &status), 0);
  EXPECT_EQ(status.st_mode & 0777, mode_t(0666));
}

TEST_F(PortReservationsTest, SayWhichFileCannotBeCreated)
{
  const std::string missing = (this->folder / "none" / "ports.lock").string();
  try {
    PortReservations mine(missing);
    ADD_FAILURE() << "a lock file in a folder that does not exist";
  } catch (const std::runtime_error& error) {
    EXPECT_EQ(std::string(error.what()),
              "cannot open the lock file of test ports " + missing +
                ": No such file or directory");
  }
}

} // namespace
} // namespace tanagerseam::testing_support
