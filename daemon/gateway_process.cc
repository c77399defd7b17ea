#include "daemon/gateway_process.h"

#include <absl/strings/numbers.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <restinio/asio_include.hpp>
#include <sstream>

#include "daemon/gateway_shutdown.h"
#include "daemon/member_entry.h"
#include "fleet/member_table.h"
#include "gateway/gateway.h"
#include "http/event_client.h"
#include "http/event_server.h"
#include "platform/platform.h"

namespace tanagerseam {

namespace {

namespace asio = restinio::asio_ns;

constexpr Millis kMaxConfirmWait(1000);
constexpr int kConfirmsPerFreshnessPeriod = 6;
// Server entries change all the time, so they are read in batches.
constexpr Millis kServersReadWait(1500);
constexpr Millis kServersReadInterval(700);
constexpr Millis kMembersReadInterval(2000);
constexpr Millis kAnnounceRetryDelay(700);
constexpr Millis kAnnounceTimeout(1500);
constexpr Millis kFileCheckInterval(2000);
// Time in which some uploads under way end.
constexpr Millis kRetryAfterNoMemory(500);

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace

struct GatewayProcess::Impl
{
  // Reads the server entries when the gateway asks for it.
  struct ServerRegistry : public EndpointRegistry
  {
    explicit ServerRegistry(Impl& aProcess)
      : process(aProcess)
    {
    }
    void ReadNow() override { this->process.serversFeed.ReadNow(); }

    Impl& process;
  };

  Impl(GatewayProcessSettings aSettings, std::string aPath)
    : settings(std::move(aSettings))
    , path(std::move(aPath))
    , started(static_cast<uint64_t>(WallMillis()))
    , client(io, EventClientSettings{})
    , store(io, client, settings.storeAddress, metrics)
    , link(io, LinkSettingsOf(settings, started))
    , heldMemory(std::make_shared<HeldMemory>(io, settings.maxHeldBytes))
    , gateway(GatewaySettingsOf(settings, started),
              GatewayDependencies{ io,
                                   client,
                                   dialect,
                                   store,
                                   link,
                                   metrics,
                                   heldMemory,
                                   &registry })
    , configurationFeed(io,
                        store,
                        { kConfigurationTopic, ConfirmWait(settings) },
                        ConfigurationHandlers())
    , serversFeed(io,
                  store,
                  { kServersTopic, kServersReadWait, kServersReadInterval },
                  ServerHandlers())
    , membersFeed(io,
                  store,
                  { kMembersTopic, Millis(0), kMembersReadInterval },
                  MemberHandlers())
    , shutdown(io, gateway, { settings.shutdownNotice, settings.shutdownLimit })
    , stopSignals(io, SIGTERM, SIGINT)
    , reloadSignals(io, SIGHUP)
    , announceTimer(io)
    , fileTimer(io)
    , fileText(ReadFile(path))
  {
  }

  static GatewaySettings GatewaySettingsOf(
    const GatewayProcessSettings& aSettings,
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
    settings.coldSlack = aSettings.coldSlack;
    settings.placement = aSettings.placement;
    settings.contention = aSettings.contention;
    settings.recordRelay = RelaysRecords(aSettings);
    settings.regions = ZoneRegions(aSettings.regionByZone);
    settings.logPartitions = aSettings.storePartitions;
    settings.logRetention = aSettings.storeRetention;
    return settings;
  }

  static FleetLinkSettings LinkSettingsOf(
    const GatewayProcessSettings& aSettings,
    uint64_t aStarted)
  {
    const HostPort address = SplitAddress(aSettings.exchangeAddress);
    return { aSettings.host, aStarted, address.ip, address.port };
  }

  // A long-poll read confirms the configuration as of the start of the read, so
  // it may take only a fraction of keyFreshness.
  static Millis ConfirmWait(const GatewayProcessSettings& aSettings)
  {
    return std::min(kMaxConfirmWait,
                    aSettings.keyFreshness / kConfirmsPerFreshnessPeriod);
  }

  HttpAnswer MakeFaultAnswer(InputFault aFault) const
  {
    if (aFault == InputFault::kNoMemory) {
      Refusal refusal =
        MakeRefusal(RefusalReason::kOverloaded, "no memory for the request");
      refusal.retryAfter = kRetryAfterNoMemory;
      // Its headers were not read, so it has no id.
      return this->dialect.BuildRefusalResponse(refusal, "");
    }
    HttpAnswer answer;
    answer.status = aFault == InputFault::kBodyTooLarge      ? 413
                    : aFault == InputFault::kHeadersTooLarge ? 431
                    : aFault == InputFault::kTooSlow         ? 408
                                                             : 400;
    return answer;
  }

  EventServerSettings ServerSettingsFor(const std::string& aAddress) const
  {
    EventServerSettings server;
    const HostPort parts = SplitAddress(aAddress);
    server.address = parts.ip;
    server.port = parts.port;
    server.heldMemory = this->heldMemory;
    server.faultAnswer = [this](InputFault aFault) {
      return this->MakeFaultAnswer(aFault);
    };
    return server;
  }

  // ---- feeds

  // Logs a dependency's transition to lost or back, once for each.
  void LogDependencyChange(const char* aName, bool& aLost, bool aNowLost)
  {
    if (aLost == aNowLost) {
      return;
    }
    aLost = aNowLost;
    LogInfo(aNowLost ? "dependency_lost" : "dependency_back",
            { { "dependency", aName } });
  }

  void ApplyOperatorRecord(const KeyedChange& aChange)
  {
    if (const auto zone = EvacuatedZoneOf(aChange.key)) {
      this->gateway.PutEvacuation(
        { *zone, aChange.value.has_value(), aChange.offset });
      return;
    }
    if (aChange.key != kConfigurationKey || !aChange.value) {
      return;
    }
    auto content = ParseConfiguration(*aChange.value);
    if (content) {
      this->gateway.SetCatalog(
        std::make_shared<const Catalog>(std::move(*content)));
    }
  }

  KeyedFeedHandlers ConfigurationHandlers()
  {
    KeyedFeedHandlers handlers;
    handlers.onRecord = [this](const KeyedChange& aChange) {
      this->ApplyOperatorRecord(aChange);
    };
    handlers.onCaughtUp = [this](TimePoint aAskedAt, int64_t aEndOffset) {
      this->LogDependencyChange(
        "configuration", this->configurationLost, false);
      this->gateway.ConfirmEvacuations(aEndOffset);
      this->gateway.ConfirmCatalog(aAskedAt);
    };
    handlers.onReadFailed = [this](LogFault) {
      this->LogDependencyChange("configuration", this->configurationLost, true);
      this->gateway.MarkCatalogUnavailable();
    };
    return handlers;
  }

  void ApplyServerEntry(const std::string& aId,
                        const std::optional<std::string>& aText)
  {
    if (!aText) {
      this->gateway.RemoveEndpoint(aId);
      return;
    }
    auto entry = ParseServerEntry(aId, *aText);
    if (!entry) {
      this->gateway.RemoveEndpoint(aId);
      return;
    }
    this->gateway.PutEndpoint(std::move(*entry));
  }

  KeyedFeedHandlers ServerHandlers()
  {
    KeyedFeedHandlers handlers;
    handlers.onRecord = [this](const KeyedChange& aChange) {
      this->ApplyServerEntry(aChange.key, aChange.value);
    };
    handlers.onCaughtUp = [this](TimePoint aAskedAt, int64_t) {
      this->LogDependencyChange("servers", this->serversLost, false);
      this->gateway.ConfirmEndpoints(aAskedAt);
    };
    handlers.onReadFailed = [this](LogFault) {
      this->LogDependencyChange("servers", this->serversLost, true);
      this->gateway.MarkEndpointsUnavailable();
    };
    return handlers;
  }

  KeyedFeedHandlers MemberHandlers()
  {
    KeyedFeedHandlers handlers;
    handlers.onRecord = [this](const KeyedChange& aChange) {
      if (!aChange.value) {
        this->gateway.RemoveMember(aChange.key);
      } else if (const auto member = ParseMember(aChange.key, *aChange.value)) {
        this->gateway.PutMember(*member, !this->membersLoaded);
      }
    };
    handlers.onCaughtUp = [this](TimePoint, int64_t) {
      this->membersLoaded = true;
      this->gateway.ConfirmMembers();
    };
    handlers.onReadFailed = [this](LogFault) {
      this->gateway.MarkMembersUnavailable();
    };
    return handlers;
  }

  void Announce()
  {
    this->store.PutKeyed(
      kMembersTopic,
      this->settings.host,
      MemberEntryText(
        { this->settings.exchangeAddress, this->settings.zone, this->started }),
      kAnnounceTimeout,
      [this](const AppendResult& aResult) {
        const auto* error = std::get_if<LogFault>(&aResult);
        if (error != nullptr) {
          LogInfo("announcement_failed",
                  { { "error", std::string(NameOf(*error)) } });
        }
        this->ScheduleAnnouncement(error != nullptr
                                     ? kAnnounceRetryDelay
                                     : MemberTable::kAnnounceInterval);
      });
  }

  void ScheduleAnnouncement(Millis aPause)
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
    this->callServer = std::make_unique<EventServer>(
      this->io,
      this->ServerSettingsFor(this->settings.callAddress),
      [this](EventRequest aRequest, std::shared_ptr<EventReply> aReply) {
        this->gateway.Handle(std::move(aRequest), std::move(aReply));
      });
    this->readyServer = std::make_unique<EventServer>(
      this->io,
      this->ServerSettingsFor(this->settings.readyAddress),
      [this](const EventRequest&, const std::shared_ptr<EventReply>& aReply) {
        aReply->Send(this->gateway.Ready() ? 200 : 503, {}, "");
      });
    this->metricsServer = std::make_unique<EventServer>(
      this->io,
      this->ServerSettingsFor(this->settings.metricsAddress),
      [this](const EventRequest&, const std::shared_ptr<EventReply>& aReply) {
        aReply->Send(
          200, { { "Content-Type", "text/plain" } }, this->metrics.Text());
      });
    this->callServer->Open();
    this->readyServer->Open();
    this->metricsServer->Open();
  }

  // ---- settings

  void Reload(const char* aTrigger)
  {
    this->fileText = ReadFile(this->path);
    Findings findings;
    const GatewayProcessSettings newSettings =
      ParseGatewaySettings(this->path, findings);
    if (!findings.Empty()) {
      LogWarn("reload_refused",
              { { "why", aTrigger }, { "findings", findings.Text() } });
      return;
    }
    ConfigureLog(newSettings.logLevel, this->settings.host);
    const bool needsRestart =
      newSettings.callAddress != this->settings.callAddress ||
      newSettings.readyAddress != this->settings.readyAddress ||
      newSettings.storeAddress != this->settings.storeAddress ||
      newSettings.exchangeAddress != this->settings.exchangeAddress;
    LogInfo("reloaded",
            { { "why", aTrigger },
              { "needs_restart", needsRestart ? "true" : "false" } });
  }

  void WatchFile()
  {
    this->fileTimer.expires_after(kFileCheckInterval);
    this->fileTimer.async_wait([this](const auto& aError) {
      if (aError) {
        return;
      }
      if (ReadFile(this->path) != this->fileText) {
        this->Reload("file_changed");
      }
      this->WatchFile();
    });
  }

  void WaitForReloadSignal()
  {
    this->reloadSignals.async_wait([this](const auto& aError, int) {
      if (!aError) {
        this->Reload("signal");
        this->WaitForReloadSignal();
      }
    });
  }

  // ---- shutdown

  void WaitForStopSignal()
  {
    this->stopSignals.async_wait([this](const auto& aError, int) {
      if (!aError) {
        this->shutdown.Begin(*this->callServer);
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
  std::shared_ptr<HeldMemory> heldMemory;
  ServerRegistry registry{ *this };
  Gateway gateway;
  KeyedFeed configurationFeed;
  KeyedFeed serversFeed;
  KeyedFeed membersFeed;
  std::unique_ptr<EventServer> callServer;
  std::unique_ptr<EventServer> readyServer;
  std::unique_ptr<EventServer> metricsServer;
  GatewayShutdown shutdown;
  asio::signal_set stopSignals;
  asio::signal_set reloadSignals;
  asio::steady_timer announceTimer;
  asio::steady_timer fileTimer;
  std::string fileText;
  bool configurationLost = false;
  bool serversLost = false;
  bool membersLoaded = false;
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
  self.WaitForStopSignal();
  self.WaitForReloadSignal();
  self.WatchFile();
  self.OpenServers();
  self.Announce();
  self.configurationFeed.Start();
  self.serversFeed.Start();
  self.membersFeed.Start();
  self.gateway.Start();
  self.io.run();
}

} // namespace tanagerseam
