// What was sent, answered and run, written to record.txt with times.
#ifndef TANAGERSEAM_REVIEW_SUPPORT_RECORD_H_
#define TANAGERSEAM_REVIEW_SUPPORT_RECORD_H_

#include <cstdio>
#include <mutex>
#include <string>

#include "review/support/net.h"

namespace review {

class Record
{
public:
  explicit Record(const std::string& aPath)
    : file(fopen(aPath.c_str(), "w"))
    , startedAt(Clock::now())
  {
    if (this->file == nullptr) {
      throw std::runtime_error("can't write " + aPath);
    }
  }
  ~Record() { fclose(this->file); }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  double Seconds() const
  {
    return std::chrono::duration<double>(Clock::now() - this->startedAt)
      .count();
  }

  void Add(const std::string& aLine)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    fprintf(this->file, "%8.3f %s\n", this->Seconds(), aLine.c_str());
    fflush(this->file);
  }

private:
  FILE* file;
  const Clock::time_point startedAt;
  std::mutex mutex;
};

} // namespace review

#endif // TANAGERSEAM_REVIEW_SUPPORT_RECORD_H_
