// Fault injection of the platform stand-in's log service, set by POST /control.
#ifndef TANAGERSEAM_TESTS_STANDINS_PLATFORM_FAULTS_H_
#define TANAGERSEAM_TESTS_STANDINS_PLATFORM_FAULTS_H_

#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "kernel/kernel.h"

namespace tanagerseam::standin {

enum class LogMode
{
  kUp,
  // Responds 503, or holds the request if `hang` is set.
  kDown,
  // Executes requests after `delay`.
  kSlow,
  // Executes appends, then responds 504 to a share of them.
  kLoseResponses,
};

NLOHMANN_JSON_SERIALIZE_ENUM(LogMode,
                             { { LogMode::kUp, "up" },
                               { LogMode::kDown, "down" },
                               { LogMode::kSlow, "slow" },
                               { LogMode::kLoseResponses, "lose_answers" } })

struct LogFaults
{
  LogMode mode = LogMode::kUp;
  bool hang = false;
  Millis delay{ 0 };
  // Share of the appends whose response is lost, from 0 to 1.
  double loseShare = 1;
  // If set, faults apply only to appends with a record whose "host" is this.
  std::string forHost;
};

// Thread-safe.
class LogFaultInjector
{
public:
  void Set(const nlohmann::json& aControl)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    const std::string mode = aControl.at("mode").get<std::string>();
    LogFaults next;
    next.mode = aControl.at("mode").get<LogMode>();
    if (nlohmann::json(next.mode) != mode) {
      throw nlohmann::json::other_error::create(
        501, "unknown log mode " + mode, &aControl);
    }
    next.hang = aControl.value("hang", false);
    next.delay = Millis(aControl.value("delay_ms", 0));
    next.loseShare = aControl.value("lose_share", 1.0);
    next.forHost = aControl.value("for_host", "");
    this->random.seed(aControl.value("seed", uint64_t(1)));
    this->faults = next;
  }

  // Faults that apply to a read.
  LogFaults ForRead() const
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->faults.forHost.empty() ? this->faults : LogFaults();
  }

  // Faults that apply to an append of these records.
  LogFaults ForAppend(const std::vector<std::string>& aTexts) const
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    return AppliesTo(this->faults, aTexts) ? this->faults : LogFaults();
  }

  // Draws whether the next append response is lost.
  bool DrawLostResponse(const LogFaults& aFaults)
  {
    if (aFaults.mode != LogMode::kLoseResponses) {
      return false;
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    return std::uniform_real_distribution<double>()(this->random) <
           aFaults.loseShare;
  }

private:
  static bool AppliesTo(const LogFaults& aFaults,
                        const std::vector<std::string>& aTexts)
  {
    if (aFaults.forHost.empty()) {
      return true;
    }
    for (const std::string& text : aTexts) {
      const auto record = nlohmann::json::parse(text, nullptr, false);
      if (record.is_object() && record.contains("host") &&
          record["host"] == aFaults.forHost) {
        return true;
      }
    }
    return false;
  }

  mutable std::mutex mutex;
  LogFaults faults;
  std::mt19937_64 random{ 1 };
};

} // namespace tanagerseam::standin

#endif // TANAGERSEAM_TESTS_STANDINS_PLATFORM_FAULTS_H_
