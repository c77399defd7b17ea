// Fixture of tests with several gateways as real processes, before a stand-in
// of the users' store and an endpoint that serves an engine and a tool.
#ifndef TANAGERSEAM_TESTS_SUPPORT_GATEWAY_FLEET_H_
#define TANAGERSEAM_TESTS_SUPPORT_GATEWAY_FLEET_H_

#include <gtest/gtest.h>

#include <filesystem>
#include <iostream>

#include "gateway/testing/raw_peer.h"
#include "tests/support/gateway_host.h"
#include "tests/support/store_standin.h"

namespace tanagerseam::testing_support {

// The hosts' key_freshness.
constexpr Millis kFreshness(2000);

inline PresetResponse
AnswerAs(const std::string& aRequest)
{
  const std::string head = SuccessHead(aRequest);
  if (aRequest.find("/ask/") != std::string::npos) {
    return { head + "Content-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"
                    "15\r\nid: 1\ndata: an answer\r\n2\r\n\n\n\r\n0\r\n\r\n" };
  }
  PresetResponse action{ head + "Content-Length: 4\r\n\r\n" };
  if (aRequest.find("/look/slow") != std::string::npos) {
    action.delay = Millis(700);
    action.delayedBytes = "done";
  } else {
    action.bytes += "done";
  }
  return action;
}

class GatewayFleet : public ::testing::Test
{
protected:
  explicit GatewayFleet(size_t aHosts = 2,
                        RawEndpoint::Script aScript = AnswerAs)
    : endpoint(io, std::move(aScript))
    , hosts(aHosts)
  {
  }

  void SetUp() override
  {
    this->folder = std::filesystem::temp_directory_path() /
                   ("gateway_fleet_" + std::to_string(getpid()));
    std::filesystem::create_directories(this->folder);
    this->Configure(1, "key-1");
    this->Register("e-1", "engines", this->endpoint.Address());
    this->Register("t-1", "tools", this->endpoint.Address());
    for (size_t i = 0; i < this->hosts.size(); ++i) {
      this->hosts[i] = std::make_unique<GatewayHost>(
        GatewayHostSettings{ this->folder,
                             "host-" + std::to_string(i),
                             this->store.Address(),
                             kFreshness,
                             this->shutdownNotice });
      this->hosts[i]->Start();
    }
    ASSERT_TRUE(this->Until([this] { return this->AllReady(); }));
  }

  void TearDown() override
  {
    for (auto& host : this->hosts) {
      if (this->HasFailure() && host) {
        std::cout << host->process->LogTail() << "\n";
      }
      host.reset();
    }
    std::filesystem::remove_all(this->folder);
  }

  void Configure(int aVersion, const std::string& aKey)
  {
    this->store.PutKeyed(
      "keyed.op", "config", ConfigurationJson(aVersion, { { "club", aKey } }));
  }

  void Register(const std::string& aId,
                const std::string& aService,
                const std::string& aAddress,
                const std::string& aState = "ready")
  {
    this->store.PutKeyed(
      "keyed.servers", aId, EndpointJson(aService, aAddress, aState));
  }

  bool Until(const std::function<bool()>& aDone, Millis aLimit = Millis(10000))
  {
    const TimePoint end = BootNow() + aLimit;
    while (!aDone() && BootNow() < end) {
      this->io.restart();
      this->io.run_for(Millis(5));
    }
    return aDone();
  }

  void RunFor(Millis aTime)
  {
    this->Until([] { return false; }, aTime);
  }

  // The whole answer; empty if the connection was refused or broke.
  std::string Ask(uint16_t aPort, const std::string& aRequest)
  {
    try {
      RawClient client(this->io, aPort);
      client.Send(aRequest);
      this->Until(
        [&client] {
          return IsCompleteResponse(client.Received()) || client.Closed();
        },
        Millis(4000));
      return IsCompleteResponse(client.Received()) ? client.Received() : "";
    } catch (const std::exception&) {
      return "";
    }
  }

  int Look(size_t aHost, const std::string& aPath = "/look/1")
  {
    return StatusOf(this->Ask(
      this->hosts[aHost]->callPort,
      "GET " + aPath + " HTTP/1.1\r\nHost: reports.example\r\nX-Request-Id: r" +
        std::to_string(this->nextId++) +
        "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n\r\n"));
  }

  int Turn(size_t aHost, const std::string& aId, const std::string& aPrevious)
  {
    std::string request =
      "POST /ask/1 HTTP/1.1\r\nHost: reports.example\r\nX-Request-Id: " + aId +
      "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n"
      "X-Program-Id: p\r\nX-Session-Id: s\r\nX-Token-Usage: 10,50\r\n"
      "X-Token-Budget: 5000\r\n";
    if (!aPrevious.empty()) {
      request += "X-Previous-Turn: " + aPrevious + "\r\n";
    }
    return StatusOf(this->Ask(this->hosts[aHost]->callPort,
                              request + "Content-Length: 5\r\n\r\ninput"));
  }

  bool Ready(size_t aHost)
  {
    return StatusOf(this->Ask(this->hosts[aHost]->readyPort,
                              "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")) == 200;
  }

  bool AllReady()
  {
    bool all = true;
    for (size_t i = 0; i < this->hosts.size(); ++i) {
      all = all && this->Ready(i);
    }
    return all;
  }

  restinio::asio_ns::io_context io{ 1 };
  std::filesystem::path folder;
  StoreStandin store{ io };
  RawEndpoint endpoint;
  std::vector<std::unique_ptr<GatewayHost>> hosts;
  // Of the hosts; set before SetUp.
  Millis shutdownNotice = GatewayHostSettings{}.shutdownNotice;
  int nextId = 0;
};

} // namespace tanagerseam::testing_support

#endif // TANAGERSEAM_TESTS_SUPPORT_GATEWAY_FLEET_H_
