// Plug-ins that register themselves.
//
//   // in one .cc file of the plug-in:
//   static const Registration<RoutePolicy> kRegistration(
//     "round_robin", [] { return std::make_unique<RoundRobin>(); });
//
//   // anywhere:
//   std::unique_ptr<RoutePolicy> policy =
//     Registry<RoutePolicy>::Instance().Make("round_robin");
//
// Registration happens before main() on one thread; later use only reads, so
// the table needs no lock.
#ifndef TANAGERSEAM_KERNEL_REGISTRY_H_
#define TANAGERSEAM_KERNEL_REGISTRY_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tanagerseam {

template<typename Interface>
class Registry
{
public:
  using Factory = std::function<std::unique_ptr<Interface>()>;

  static Registry& Instance()
  {
    static Registry registry;
    return registry;
  }

  void Add(const std::string& aName, Factory aFactory)
  {
    this->factories[aName] = std::move(aFactory);
  }

  // A new plug-in, or nullptr if no plug-in has this name.
  std::unique_ptr<Interface> Make(const std::string& aName) const
  {
    auto found = this->factories.find(aName);
    return found == this->factories.end() ? nullptr : found->second();
  }

  // All registered names in alphabetical order, for findings and help texts.
  std::vector<std::string> Names() const
  {
    std::vector<std::string> names;
    for (const auto& entry : this->factories) {
      names.push_back(entry.first);
    }
    return names;
  }

private:
  std::map<std::string, Factory> factories;
};

template<typename Interface>
struct Registration
{
  Registration(const std::string& aName,
               typename Registry<Interface>::Factory aFactory)
  {
    Registry<Interface>::Instance().Add(aName, std::move(aFactory));
  }
};

} // namespace tanagerseam

#endif // TANAGERSEAM_KERNEL_REGISTRY_H_
