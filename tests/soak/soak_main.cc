// Randomized soak: real gateways, clients, endpoints and a store on loopback,
// and faults in series that overlap, drawn from a seed. Prints each promise
// that was broken and ends with 1 if there was any.
//
//   tanagerseam-soak --seed=7 --seeds=50 --fault_seconds=15 --hosts=3
//
// Each seed is one fleet from its start to its end: faults for
// --fault_seconds, then --calm_seconds without any, in which clients have to
// complete programs again.
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "tests/soak/soak_client.h"

// Abseil gives these names.
// NOLINTBEGIN(readability-identifier-naming)
ABSL_FLAG(uint64_t, seed, 1, "first seed");
ABSL_FLAG(int, seeds, 1, "number of seeds, one after the other");
ABSL_FLAG(int, fault_seconds, 15, "time with faults");
ABSL_FLAG(int, calm_seconds, 12, "time after the last fault");
ABSL_FLAG(int, hosts, 3, "gateways");
ABSL_FLAG(int,
          clients,
          12,
          "clients, half of them of the limited organisation");
ABSL_FLAG(std::string, only, "", "draw this fault alone");
ABSL_FLAG(bool, verbose, false, "print each fault");
// NOLINTEND(readability-identifier-naming)

namespace tanagerseam::soak {
namespace {

constexpr Millis kStep(5);
constexpr Millis kShortestGap(100);
constexpr Millis kLongestGap(1200);
constexpr Millis kStartTime(3000);

struct SoakOptions
{
  uint64_t seed = 1;
  Millis faults{ 0 };
  Millis calm{ 0 };
  size_t hosts = 3;
  int clients = 12;
  std::vector<SoakFault> drawn;
  bool verbose = false;
};

class Soak
{
public:
  explicit Soak(const SoakOptions& aOptions)
    : options(aOptions)
    , folder(std::filesystem::temp_directory_path() /
             ("tanagerseam_soak_" + std::to_string(getpid()) + "_" +
              std::to_string(aOptions.seed)))
    , random(aOptions.seed)
    , judge(JudgeFor(this->fleetSettings))
  {
    std::filesystem::create_directories(this->folder);
    this->fleetSettings.hosts = aOptions.hosts;
    this->fleetSettings.folder = this->folder;
    this->fleet = std::make_unique<SoakFleet>(
      this->io, this->fleetSettings, this->judge, aOptions.seed);
    for (int i = 0; i < aOptions.clients; ++i) {
      const auto& organisation = i % 2 == 0 ? this->fleetSettings.club.name
                                            : this->fleetSettings.market.name;
      this->clients.push_back(std::make_unique<SoakClient>(
        this->io,
        *this->fleet,
        this->judge,
        organisation,
        aOptions.seed * 1000 + static_cast<uint64_t>(i)));
    }
  }

  // True if no promise was broken. The logs of a failed soak stay.
  bool Run()
  {
    this->fleet->Start();
    this->RunFor(kStartTime, false, false);
    this->RunFor(this->options.faults, true, true);
    this->fleet->Heal(BootNow());
    this->RunFor(this->options.calm / 2, true, false);
    int underFaults = 0;
    for (const auto& client : this->clients) {
      underFaults += client->TakeCompleted();
    }
    this->RunFor(this->options.calm / 2, true, false);
    this->CheckRecovery();
    return this->Tell(underFaults);
  }

private:
  static JudgeSettings JudgeFor(const FleetSettings& aFleet)
  {
    JudgeSettings settings;
    settings.keyFreshness = aFleet.keyFreshness;
    settings.limited = aFleet.market.name;
    settings.ratePerSecond = aFleet.market.ratePerSecond;
    settings.burst = aFleet.market.burst;
    return settings;
  }

  void RunFor(Millis aTime, bool aWithClients, bool aWithFaults)
  {
    const TimePoint end = BootNow() + aTime;
    TimePoint nextFault = BootNow();
    for (TimePoint now = BootNow(); now < end; now = BootNow()) {
      if (aWithFaults && now >= nextFault) {
        this->ApplyFault(now);
        std::uniform_int_distribution<int64_t> gap(kShortestGap.count(),
                                                   kLongestGap.count());
        nextFault = now + Millis(gap(this->random));
      }
      this->fleet->Step(now);
      for (const auto& client : this->clients) {
        if (aWithClients) {
          client->Step(now);
        }
      }
      this->io.restart();
      this->io.run_for(kStep);
    }
  }

  void ApplyFault(TimePoint aNow)
  {
    std::uniform_int_distribution<size_t> draw(0,
                                               this->options.drawn.size() - 1);
    const SoakFault fault = this->options.drawn[draw(this->random)];
    if (this->options.verbose) {
      std::cout << "fault " << NameOf(fault) << "\n";
    }
    this->fleet->Apply(fault, aNow);
  }

  void CheckRecovery()
  {
    for (size_t i = 0; i < this->clients.size(); ++i) {
      const int completed = this->clients[i]->TakeCompleted();
      this->afterwards += completed;
    }
    if (this->afterwards < static_cast<int>(this->clients.size()) / 2) {
      this->judge.Report("recover: " + std::to_string(this->afterwards) +
                         " programs completed after the last fault");
    }
  }

  bool Tell(int aUnderFaults)
  {
    this->fleet.reset();
    const auto broken = this->judge.Verdict();
    std::cout << "seed " << this->options.seed << ": " << this->judge.Calls()
              << " calls, " << this->judge.WholeAnswers() << " answered, "
              << aUnderFaults << " programs under faults and "
              << this->afterwards << " afterwards, " << broken.size()
              << " promises broken" << std::endl;
    for (const std::string& line : broken) {
      std::cout << "  " << line << "\n";
    }
    if (broken.empty()) {
      std::filesystem::remove_all(this->folder);
    } else {
      std::cout << "  logs: " << this->folder << std::endl;
    }
    return broken.empty();
  }

  SoakOptions options;
  std::filesystem::path folder;
  std::mt19937_64 random;
  FleetSettings fleetSettings;
  SoakJudge judge;
  restinio::asio_ns::io_context io{ 1 };
  std::unique_ptr<SoakFleet> fleet;
  std::vector<std::unique_ptr<SoakClient>> clients;
  int afterwards = 0;
};

std::vector<SoakFault>
FaultsNamed(const std::string& aName)
{
  std::vector<SoakFault> named;
  for (SoakFault fault : AllFaults()) {
    if (aName.empty() || NameOf(fault) == aName) {
      named.push_back(fault);
    }
  }
  return named;
}

} // namespace
} // namespace tanagerseam::soak

int
main(int aCount, char** aArguments)
{
  using namespace tanagerseam::soak;
  using tanagerseam::Millis;
  absl::SetProgramUsageMessage("Faults on a fleet of gateways, from a seed.");
  absl::ParseCommandLine(aCount, aArguments);
  SoakOptions options;
  options.faults = Millis(1000 * absl::GetFlag(FLAGS_fault_seconds));
  options.calm = Millis(1000 * absl::GetFlag(FLAGS_calm_seconds));
  options.hosts = static_cast<size_t>(absl::GetFlag(FLAGS_hosts));
  options.clients = absl::GetFlag(FLAGS_clients);
  options.verbose = absl::GetFlag(FLAGS_verbose);
  options.drawn = FaultsNamed(absl::GetFlag(FLAGS_only));
  if (options.drawn.empty()) {
    std::cerr << "--only names no fault\n";
    return 2;
  }
  int failed = 0;
  for (int i = 0; i < absl::GetFlag(FLAGS_seeds); ++i) {
    options.seed = absl::GetFlag(FLAGS_seed) + static_cast<uint64_t>(i);
    failed += Soak(options).Run() ? 0 : 1;
  }
  std::cout << failed << " of " << absl::GetFlag(FLAGS_seeds) << " seeds failed"
            << std::endl;
  return failed == 0 ? 0 : 1;
}
