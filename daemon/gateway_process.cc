#include "daemon/gateway_process.h"

#include <absl/strings/numbers.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <restinio/asio_include.hpp>
#include <sstream>

#include "fleet/member_table.h"
#include "gateway/gateway.h"
#include "http/event_client.h"
#include "http/event_server.h"
#include "platform/platform.h"

namespace tanagerseam {

namespace {

namespace asio = restinio::asio_ns;

// Server entries come all the time; they are read in bundles.
constexpr Millis kLongestConfirmWait(1000);
constexpr int kConfirmsInFreshness = 6;
constexpr Millis kServersWait(1500);
constexpr Millis kServersSpacing(700);
constexpr Millis kMembersSpacing(2000);
constexpr Millis kAnnounceAgainAfter(700);
constexpr Millis kAnnounceTimeout(1500);
constexpr Millis kLookAtFileEvery(2000);
// Before the end, for calls that were taken to be answered: longer than the
// timeouts of routes usually are.
constexpr Millis kLastCallTime(3300);
// Before the kill, for what is left to be written.
constexpr Millis kShutdownMargin(700);
constexpr Millis kShutdownPoll(50);
constexpr int kIdlePollsBeforeExit = 3;

struct HostPort
{
  std::string ip;
  uint16_t port = 0;
};

HostPort
SplitAddress(const std::string& aAddress)
{
  HostPort parts;
  const size_t colon = aAddress.rfind(':');
  parts.ip = aAddress.substr(0, colon);
  int port = 0;
  if (colon != std::string::npos &&
      absl::SimpleAtoi(aAddress.substr(colon + 1), &port)) {
    parts.port = static_cast<uint16_t>(port);
  }
  return parts;
}

std::string
ReadWhole(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

HttpAnswer
AnswerToFault(InputFault aFault)
{
  HttpAnswer answer;
  answer.status = aFault == InputFault::kBodyTooLarge      ? 413
                  : aFault == InputFault::kHeadersTooLarge ? 431
                  : aFault == InputFault::kTooSlow         ? 408
                                                           : 400;
  return answer;
}

std::optional<FleetMember>
ReadMember(const std::string& aHost, const std::string& aText)
{
  const bool throwing = false;
  const auto fields = nlohmann::json::parse(aText, nullptr, throwing);
  if (!fields.is_object() || !fields.contains("address") ||
      !fields["address"].is_string()) {
    LogWarn("member_entry_unreadable", { { "member", aHost } });
    return std::nullopt;
  }
  const HostPort address = SplitAddress(fields["address"].get<std::string>());
  return FleetMember{ aHost, address.ip, address.port };
}

} // namespace

struct GatewayProcess::Impl
{
  Impl(GatewayProcessSettings aSettings, std::string aPath)
    : settings(std::move(aSettings))
    , path(std::move(aPath))
    , started(static_cast<uint64_t>(WallMillis()))
    , client(io, EventClientSettings{})
    , store(io, client, settings.storeAddress, metrics)
    , link(io, LinkSettingsOf(settings, started))
    , gateway(SettingsOf(settings, started),
              GatewayDependencies{ io, client, dialect, store, link, metrics })
    , configuration(io,
                    store,
                    { kConfigurationTopic, ConfirmWait(settings) },
                    ConfigurationHandlers())
    , servers(io,
              store,
              { kServersTopic, kServersWait, kServersSpacing },
              ServerHandlers())
    , members(io,
              store,
              { kMembersTopic, Millis(0), kMembersSpacing },
              MemberHandlers())
    , signals(io, SIGTERM, SIGINT)
    , hangups(io, SIGHUP)
    , announceTimer(io)
    , fileTimer(io)
    , shutdownTimer(io)
    , fileText(ReadWhole(path))
  {
  }

  static GatewaySettings SettingsOf(const GatewayProcessSettings& aSettings,
                                    uint64_t aStarted)
  {
    GatewaySettings settings;
    settings.host = aSettings.host;
    settings.zone = aSettings.zone;
    settings.callAddress = aSettings.callAddress;
    settings.startTime = aStarted;
    settings.freshStart = aSettings.freshStart;
    settings.keyFreshness = aSettings.keyFreshness;
    settings.quotaSlack = aSettings.quotaSlack;
    settings.logPartitions = aSettings.storeParts;
    return settings;
  }

  static FleetLinkSettings LinkSettingsOf(
    const GatewayProcessSettings& aSettings,
    uint64_t aStarted)
  {
    const HostPort address = SplitAddress(aSettings.exchangeAddress);
    return { aSettings.host, aStarted, address.ip, address.port };
  }

  // A read that waits confirms the configuration as of its begin, so it may
  // take only a small part of the time for which that is good.
  static Millis ConfirmWait(const GatewayProcessSettings& aSettings)
  {
    return std::min(kLongestConfirmWait,
                    aSettings.keyFreshness / kConfirmsInFreshness);
  }

  EventServerSettings ServerAt(const std::string& aAddress) const
  {
    EventServerSettings server;
    const HostPort parts = SplitAddress(aAddress);
    server.address = parts.ip;
    server.port = parts.port;
    server.faultAnswer = AnswerToFault;
    return server;
  }

  // ---- feeds

  // Says once that a dependency was lost or is back.
  void NoteDependency(const char* aName, bool& aLost, bool aNowLost)
  {
    if (aLost == aNowLost) {
      return;
    }
    aLost = aNowLost;
    LogInfo(aNowLost ? "dependency_lost" : "dependency_back",
            { { "dependency", aName } });
  }

  KeyedFeedHandlers ConfigurationHandlers()
  {
    KeyedFeedHandlers handlers;
    handlers.onRecord = [this](const std::string& aKey, const auto& aValue) {
      if (aKey != kConfigurationKey || !aValue) {
        return;
      }
      auto content = ReadConfiguration(*aValue);
      if (content) {
        this->gateway.SetCatalog(
          std::make_shared<const Catalog>(std::move(*content)));
      }
    };
    handlers.onConfirmed = [this](TimePoint aAskedAt) {
      this->NoteDependency("configuration", this->configurationLost, false);
      this->gateway.ConfirmCatalog(aAskedAt);
    };
    handlers.onLost = [this](LogFault) {
      this->NoteDependency("configuration", this->configurationLost, true);
      this->gateway.MarkCatalogUnavailable();
    };
    return handlers;
  }

  void TakeServer(const std::string& aId,
                  const std::optional<std::string>& aText)
  {
    if (!aText) {
      this->gateway.RemoveEndpoint(aId);
      return;
    }
    auto entry = ReadServerEntry(aId, *aText);
    if (!entry) {
      this->gateway.RemoveEndpoint(aId);
      return;
    }
    int64_t& born = this->newestBorn[aId];
    if (entry->born < born) {
      LogInfo("server_entry_outdated", { { "endpoint", aId } });
      return;
    }
    born = entry->born;
    this->gateway.PutEndpoint(std::move(entry->endpoint));
  }

  KeyedFeedHandlers ServerHandlers()
  {
    KeyedFeedHandlers handlers;
    handlers.onRecord = [this](const std::string& aKey, const auto& aValue) {
      this->TakeServer(aKey, aValue);
    };
    handlers.onConfirmed = [this](TimePoint) {
      this->NoteDependency("servers", this->serversLost, false);
      this->gateway.ConfirmEndpoints();
    };
    handlers.onLost = [this](LogFault) {
      this->NoteDependency("servers", this->serversLost, true);
      this->gateway.MarkEndpointsUnavailable();
    };
    return handlers;
  }

  KeyedFeedHandlers MemberHandlers()
  {
    KeyedFeedHandlers handlers;
    handlers.onRecord = [this](const std::string& aKey, const auto& aValue) {
      if (!aValue) {
        this->gateway.RemoveMember(aKey);
      } else if (const auto member = ReadMember(aKey, *aValue)) {
        this->gateway.PutMember(*member, !this->membersKnown);
      }
    };
    handlers.onConfirmed = [this](TimePoint) {
      this->membersKnown = true;
      this->gateway.ConfirmMembers();
    };
    handlers.onLost = [this](LogFault) {
      this->gateway.MarkMembersUnavailable();
    };
    return handlers;
  }

  void Announce()
  {
    const nlohmann::json fields = { { "address",
                                      this->settings.exchangeAddress },
                                    { "zone", this->settings.zone },
                                    { "started", this->started } };
    this->store.PutKeyed(
      kMembersTopic,
      this->settings.host,
      fields.dump(),
      kAnnounceTimeout,
      [this](const AppendResult& aResult) {
        const auto* error = std::get_if<LogFault>(&aResult);
        if (error != nullptr) {
          LogInfo("announcement_failed",
                  { { "error", std::string(NameOf(*error)) } });
        }
        this->AnnounceAfter(error != nullptr ? kAnnounceAgainAfter
                                             : MemberTable::kAnnounceInterval);
      });
  }

  void AnnounceAfter(Millis aPause)
  {
    this->announceTimer.expires_after(aPause);
    this->announceTimer.async_wait([this](const auto& aError) {
      if (!aError) {
        this->Announce();
      }
    });
  }

  // ---- servers

  void OpenServers()
  {
    this->calls = std::make_unique<EventServer>(
      this->io,
      this->ServerAt(this->settings.callAddress),
      [this](EventRequest aRequest, std::shared_ptr<EventReply> aReply) {
        this->gateway.Handle(std::move(aRequest), std::move(aReply));
      });
    this->ready = std::make_unique<EventServer>(
      this->io,
      this->ServerAt(this->settings.readyAddress),
      [this](const EventRequest&, const std::shared_ptr<EventReply>& aReply) {
        aReply->Send(this->gateway.Ready() ? 200 : 503, {}, "");
      });
    this->metricsServer = std::make_unique<EventServer>(
      this->io,
      this->ServerAt(this->settings.metricsAddress),
      [this](const EventRequest&, const std::shared_ptr<EventReply>& aReply) {
        aReply->Send(
          200, { { "Content-Type", "text/plain" } }, this->metrics.Text());
      });
    this->calls->Open();
    this->ready->Open();
    this->metricsServer->Open();
  }

  // ---- settings

  void Reload(const char* aWhy)
  {
    this->fileText = ReadWhole(this->path);
    Findings findings;
    const GatewayProcessSettings read =
      ParseGatewaySettings(this->path, findings);
    if (!findings.Empty()) {
      LogWarn("reload_refused",
              { { "why", aWhy }, { "findings", findings.Text() } });
      return;
    }
    ConfigureLog(read.logLevel, this->settings.host);
    const bool needsRestart =
      read.callAddress != this->settings.callAddress ||
      read.readyAddress != this->settings.readyAddress ||
      read.storeAddress != this->settings.storeAddress ||
      read.exchangeAddress != this->settings.exchangeAddress;
    LogInfo("reloaded",
            { { "why", aWhy },
              { "needs_restart", needsRestart ? "true" : "false" } });
  }

  void WatchFile()
  {
    this->fileTimer.expires_after(kLookAtFileEvery);
    this->fileTimer.async_wait([this](const auto& aError) {
      if (aError) {
        return;
      }
      if (ReadWhole(this->path) != this->fileText) {
        this->Reload("file_changed");
      }
      this->WatchFile();
    });
  }

  void WaitForHangup()
  {
    this->hangups.async_wait([this](const auto& aError, int) {
      if (!aError) {
        this->Reload("signal");
        this->WaitForHangup();
      }
    });
  }

  // ---- shutdown

  void WaitForStop()
  {
    this->signals.async_wait([this](const auto& aError, int) {
      if (!aError) {
        this->BeginShutdown();
      }
    });
  }

  void BeginShutdown()
  {
    this->stopAskedAt = BootNow();
    LogInfo("stopping",
            { { "calls", std::to_string(this->gateway.InFlightCalls()) } });
    this->gateway.Drain();
    this->calls->CloseAfterAnswers();
    this->PollShutdown();
  }

  // Clients that still come are served until they have moved away; then the
  // process ends with its last call, and at the limit in any case. A client
  // that comes back on an idle connection shortly before the limit is sent
  // elsewhere: its call could not be answered any more.
  void PollShutdown()
  {
    const auto waited =
      std::chrono::duration_cast<Millis>(BootNow() - this->stopAskedAt);
    const bool noticed = waited >= this->settings.shutdownNotice;
    const Millis last = this->settings.shutdownLimit - kShutdownMargin;
    const bool late = waited >= last;
    if (waited >= last - kLastCallTime) {
      this->gateway.StopAcceptingCalls();
    }
    if (noticed && !this->acceptingStopped) {
      this->acceptingStopped = true;
      this->calls->StopAccepting();
    }
    // A request may just be on its way from the kernel to its handler.
    this->idlePolls = this->calls->Busy() == 0 ? this->idlePolls + 1 : 0;
    if (late || (noticed && this->idlePolls >= kIdlePollsBeforeExit)) {
      LogInfo("stopped",
              { { "calls", std::to_string(this->gateway.InFlightCalls()) },
                { "after_ms", std::to_string(waited.count()) } });
      FlushLog();
      this->io.stop();
      return;
    }
    this->shutdownTimer.expires_after(kShutdownPoll);
    this->shutdownTimer.async_wait([this](const auto& aError) {
      if (!aError) {
        this->PollShutdown();
      }
    });
  }

  GatewayProcessSettings settings;
  std::string path;
  uint64_t started;
  asio::io_context io{ 1 };
  Metrics metrics;
  EventClient client;
  StoreClient store;
  PlatformDialect dialect;
  FleetLink link;
  Gateway gateway;
  KeyedFeed configuration;
  KeyedFeed servers;
  KeyedFeed members;
  std::unique_ptr<EventServer> calls;
  std::unique_ptr<EventServer> ready;
  std::unique_ptr<EventServer> metricsServer;
  asio::signal_set signals;
  asio::signal_set hangups;
  asio::steady_timer announceTimer;
  asio::steady_timer fileTimer;
  asio::steady_timer shutdownTimer;
  std::string fileText;
  std::unordered_map<std::string, int64_t> newestBorn;
  bool configurationLost = false;
  bool serversLost = false;
  bool membersKnown = false;
  bool acceptingStopped = false;
  int idlePolls = 0;
  TimePoint stopAskedAt{};
};

GatewayProcess::GatewayProcess(GatewayProcessSettings aSettings,
                               std::string aPath)
  : impl(std::make_unique<Impl>(std::move(aSettings), std::move(aPath)))
{
}

GatewayProcess::~GatewayProcess() = default;

void
GatewayProcess::Run()
{
  Impl& self = *this->impl;
  BufferLog(true);
  LogInfo("started",
          { { "zone", self.settings.zone },
            { "fresh_start", self.settings.freshStart ? "true" : "false" } });
  self.WaitForStop();
  self.WaitForHangup();
  self.WatchFile();
  self.OpenServers();
  self.Announce();
  self.configuration.Start();
  self.servers.Start();
  self.members.Start();
  self.gateway.Start();
  self.io.run();
}

} // namespace tanagerseam
