// Writes a fleet's INI files: daemon settings and endpoint sections.
#include "tests/support/fleet.h"

#include <fstream>
#include <sstream>

#include "tests/support/free_port.h"

namespace tanagerseam::testing_support {

std::string
Fleet::WriteDesiredFile(const std::string& aName, const std::string& aDesired)
{
  return this->WriteFile(aName, this->EndpointSections() + "\n" + aDesired);
}

std::string
Fleet::Zone(int aIndex) const
{
  return "zone-" + std::to_string(aIndex % this->settings.zones);
}

std::string
Fleet::DaemonIni(int aIndex) const
{
  const DaemonProcess& parts = this->daemons.at(aIndex);
  std::string seeds;
  for (size_t i = 0; i < this->daemons.size(); ++i) {
    if (int(i) != aIndex) {
      seeds += (seeds.empty() ? "" : ",") +
               LoopbackAddress(this->daemons[i].advertisedPort);
    }
  }
  std::ostringstream ini;
  ini << "[daemon]\nhost = host-" << aIndex << "\nzone = " << Zone(aIndex)
      << "\ncaller_address = " << LoopbackAddress(parts.callerPort)
      << "\npeer_address = " << LoopbackAddress(parts.peerPort)
      << "\nadmin_address = " << LoopbackAddress(parts.adminPort)
      << "\nlog_level = " << this->settings.logLevel << "\n";
  if (!seeds.empty()) {
    ini << "seeds = " << seeds << "\n";
  }
  if (this->settings.peerLinks) {
    ini << "advertised_peer_address = " << LoopbackAddress(parts.advertisedPort)
        << "\n";
  }
  ini << this->settings.daemonKeys
      << "\n[log]\naddress = " << LoopbackAddress(parts.logPort)
      << "\nstream = tanagerseam\n"
      << this->settings.daemonSections << "\n";
  return ini.str();
}

std::string
Fleet::EndpointSections() const
{
  std::string text;
  for (size_t i = 0; i < this->engines.size(); ++i) {
    text += this->EndpointSection(this->engines[i], "model_engine", int(i));
    text += "models = " + this->settings.models + "\n";
  }
  for (size_t i = 0; i < this->services.size(); ++i) {
    text += this->EndpointSection(this->services[i], "plain", int(i));
  }
  return text;
}

std::string
Fleet::EndpointSection(const Standin& aStandin,
                       const std::string& aKind,
                       int aIndex) const
{
  std::string text =
    "[endpoint " + aStandin.name + "]\nkind = " + aKind +
    "\naddress = " + LoopbackAddress(this->endpointPorts.at(aStandin.name)) +
    "\nzone = " + this->Zone(aIndex) + "\n";
  const auto more = this->settings.endpointKeys.find(aStandin.name);
  if (more != this->settings.endpointKeys.end()) {
    text += more->second + "\n";
  }
  return text;
}

std::string
Fleet::WriteFile(const std::string& aName, const std::string& aText)
{
  const std::string path = this->folder + "/" + aName;
  std::ofstream(path, std::ios::binary) << aText;
  return path;
}

} // namespace tanagerseam::testing_support
