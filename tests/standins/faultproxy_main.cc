// Fault-injecting TCP proxy for several links, controlled over HTTP.
//
//   POST /links {"name":"...","listen":PORT,"target":"IP:port"}
//   POST /fault {"link":"...","kind":"none"|"cut"|"delay"|"half_open"|
//        "one_way_up"|"one_way_down"|"freeze"|"drop_answers",
//        "delay_ms":N,"jitter_ms":N,"seed":N}
//   GET  /stats -> {"LINK":{"accepted":N,...},...}
//
// A link whose target is down accepts a connection and closes it; only "cut"
// refuses connections. Faults apply to existing and new connections.
#include <future>
#include <map>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "tests/standins/faultproxy_link.h"
#include "tests/standins/standin_server.h"

// The ABSL_FLAG macro generates these names.
// NOLINTBEGIN(readability-identifier-naming)
ABSL_FLAG(std::string, address, "127.0.0.1", "address to listen on");
ABSL_FLAG(uint16_t, port, 0, "port of the control server");
// NOLINTEND(readability-identifier-naming)

namespace tanagerseam::standin {
namespace {

// Parses "IP:port"; throws std::exception if it is malformed.
asio::ip::tcp::endpoint
ParseEndpoint(const std::string& aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("expected IP:port with port 1 to 65535, got " +
                                aText);
  }
  const int port = std::stoi(aText.substr(colon + 1));
  if (port <= 0 || port > UINT16_MAX) {
    throw std::invalid_argument("expected IP:port with port 1 to 65535, got " +
                                aText);
  }
  return { asio::ip::make_address(aText.substr(0, colon)), uint16_t(port) };
}

Fault
ParseFault(const nlohmann::json& aJson)
{
  Fault fault;
  fault.kind = aJson.at("kind").get<FaultKind>();
  if (nlohmann::json(fault.kind) != aJson.at("kind")) {
    throw std::invalid_argument("unknown fault kind " +
                                aJson.at("kind").dump());
  }
  fault.delay = Millis(aJson.value("delay_ms", 0));
  fault.jitter = Millis(aJson.value("jitter_ms", 0));
  fault.seed = aJson.value("seed", uint64_t(1));
  if (fault.delay.count() < 0 || fault.jitter.count() < 0) {
    throw std::invalid_argument("delay_ms and jitter_ms must not be negative");
  }
  return fault;
}

class FaultProxy
{
public:
  explicit FaultProxy(asio::ip::address aAddress)
    : address(std::move(aAddress))
    , thread([this] {
      auto guard = asio::make_work_guard(this->io);
      this->io.run();
    })
  {
  }

  ~FaultProxy()
  {
    this->io.stop();
    this->thread.join();
  }

  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  nlohmann::json Handle(const HttpRequest& aRequest)
  {
    if (aRequest.path == "/stats") {
      return this->RunOnIoThread([this] { return this->StatsJson(); });
    }
    const auto json = nlohmann::json::parse(aRequest.body);
    if (aRequest.path == "/links") {
      return this->RunOnIoThread([this, &json] { return this->AddLink(json); });
    }
    if (aRequest.path == "/fault") {
      return this->RunOnIoThread(
        [this, &json] { return this->SetFault(json); });
    }
    throw std::invalid_argument("unknown path");
  }

private:
  // Runs aAction on the io_context thread and waits for its result.
  template<typename Action>
  nlohmann::json RunOnIoThread(Action aAction)
  {
    std::packaged_task<nlohmann::json()> task(std::move(aAction));
    auto result = task.get_future();
    asio::post(this->io, [&task] { task(); });
    return result.get();
  }

  nlohmann::json AddLink(const nlohmann::json& aJson)
  {
    LinkSettings settings;
    settings.name = aJson.at("name").get<std::string>();
    settings.listen = { this->address, aJson.at("listen").get<uint16_t>() };
    settings.target = ParseEndpoint(aJson.at("target").get<std::string>());
    if (this->links.count(settings.name) > 0) {
      throw std::invalid_argument("link already exists: " + settings.name);
    }
    this->links[settings.name] = std::make_unique<Link>(this->io, settings);
    return { { "ok", true } };
  }

  nlohmann::json SetFault(const nlohmann::json& aJson)
  {
    const auto found = this->links.find(aJson.at("link").get<std::string>());
    if (found == this->links.end()) {
      throw std::invalid_argument("unknown link");
    }
    found->second->SetFault(ParseFault(aJson));
    return { { "ok", true } };
  }

  nlohmann::json StatsJson()
  {
    nlohmann::json json = nlohmann::json::object();
    for (const auto& [name, link] : this->links) {
      const LinkStats& stats = link->Stats();
      json[name] = { { "fault", link->ActiveFault().kind },
                     { "open", link->OpenSessions() },
                     { "accepted", stats.accepted },
                     { "closed_by_fault", stats.closedByFault },
                     { "bytes_up", stats.bytesUp },
                     { "bytes_down", stats.bytesDown },
                     { "bytes_dropped", stats.bytesDropped } };
    }
    return json;
  }

  const asio::ip::address address;
  asio::io_context io;
  std::map<std::string, std::unique_ptr<Link>> links;
  std::thread thread;
};

} // namespace
} // namespace tanagerseam::standin

int
main(int argc, char** argv)
{
  using namespace tanagerseam;
  absl::ParseCommandLine(argc, argv);
  standin::BlockStopSignals();
  const std::string address = absl::GetFlag(FLAGS_address);
  standin::FaultProxy proxy(asio::ip::make_address(address));
  standin::ServeUntilSignal(address,
                            absl::GetFlag(FLAGS_port),
                            [&proxy](const HttpRequest& aRequest,
                                     const std::shared_ptr<HttpReply>& aReply) {
                              try {
                                standin::SendJson(
                                  *aReply, 200, proxy.Handle(aRequest));
                              } catch (const std::exception& error) {
                                standin::SendError(*aReply, 400, error.what());
                              }
                            });
}
