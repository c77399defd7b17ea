// Stand-in of the platform: the log service, the host list and tool services.
//
//   POST /log/STREAM/append {"records":["text",...]} -> {"offset":FIRST}
//   GET  /log/STREAM/read?from=N&wait_ms=M
//        -> {"first":N,"end":N,"records":[{"offset":N,"text":"..."}]}
//   GET  /log/STREAM/dump -> text of all retained records
//   POST /control {"mode":"up"|"down"|"slow"|"lose_answers","hang":true,
//        "delay_ms":N,"lose_share":X,"seed":N,"for_host":"..."}
//   GET  /hosts; POST /hosts [...]; POST /hosts/wrong [...] or null
//   POST /tools/NAME; POST /control/tools {"hang":true,"delay_ms":N}
//   GET  /stats
#include <atomic>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "tests/standins/platform_faults.h"
#include "tests/standins/platform_hosts.h"
#include "tests/standins/platform_log.h"
#include "tests/standins/standin_server.h"

// The ABSL_FLAG macro generates these names.
// NOLINTBEGIN(readability-identifier-naming)
ABSL_FLAG(std::string, address, "127.0.0.1", "address to listen on");
ABSL_FLAG(uint16_t, port, 0, "port to listen on");
ABSL_FLAG(uint64_t,
          retain_records,
          0,
          "records retained per stream; 0 = unlimited");
ABSL_FLAG(int64_t, retain_ms, 0, "maximum age of records; 0 = unlimited");
ABSL_FLAG(uint64_t, appends_per_second, 300, "limit on appends; 0 = unlimited");
ABSL_FLAG(int64_t, hosts_lag_ms, 0, "lag of the host list");
// NOLINTEND(readability-identifier-naming)

namespace tanagerseam::standin {
namespace {

constexpr Millis kMaxLongPoll(60000);

struct Stats
{
  std::atomic<int64_t> appends{ 0 };
  std::atomic<int64_t> records{ 0 };
  std::atomic<int64_t> bytes{ 0 };
  std::atomic<int64_t> reads{ 0 };
  std::atomic<int64_t> lostResponses{ 0 };
  std::atomic<int64_t> refusedDown{ 0 };
  std::atomic<int64_t> refusedRate{ 0 };
  std::atomic<int64_t> toolCalls{ 0 };
};

using Reply = std::shared_ptr<HttpReply>;

class Platform
{
public:
  Platform(LogLimits aLimits, Millis aHostsLag)
    : log(aLimits)
    , hosts(aHostsLag)
  {
  }

  void Handle(const HttpRequest& aRequest, const Reply& aReply)
  {
    const std::string& path = aRequest.path;
    if (path.rfind("/log/", 0) == 0) {
      this->HandleLog(aRequest, aReply);
    } else if (path.rfind("/tools/", 0) == 0) {
      this->HandleTool(aRequest, aReply);
    } else if (path == "/control") {
      this->faults.Set(nlohmann::json::parse(aRequest.body));
      this->heldReplies.Release();
      SendJson(*aReply, 200, { { "ok", true } });
    } else if (path == "/control/tools") {
      this->ControlTools(aRequest, aReply);
    } else if (path == "/hosts" || path == "/hosts/wrong") {
      this->HandleHosts(aRequest, aReply);
    } else if (path == "/stats") {
      SendJson(*aReply, 200, this->StatsJson());
    } else {
      SendError(*aReply, 404, "unknown path");
    }
  }

private:
  void HandleLog(const HttpRequest& aRequest, const Reply& aReply)
  {
    const std::string rest = aRequest.path.substr(5);
    const size_t slash = rest.find('/');
    if (slash == std::string::npos) {
      SendError(*aReply, 404, "unknown path");
      return;
    }
    const std::string stream = rest.substr(0, slash);
    const std::string action = rest.substr(slash + 1);
    if (action == "append" && aRequest.method == "POST") {
      this->Append(stream, aRequest, aReply);
    } else if (action == "read") {
      this->Read(stream, aRequest, aReply);
    } else if (action == "dump") {
      aReply->Send(
        200, { { "Content-Type", "text/plain" } }, this->log.AllText(stream));
    } else {
      SendError(*aReply, 404, "unknown path");
    }
  }

  // Rejects, holds or delays the request according to aFaults. False if it was
  // rejected or is held.
  bool ApplyFaults(const LogFaults& aFaults, const Reply& aReply)
  {
    if (aFaults.mode == LogMode::kDown) {
      ++this->stats.refusedDown;
      if (aFaults.hang) {
        this->heldReplies.Hold(aReply);
      } else {
        SendError(*aReply, 503, "log service is down");
      }
      return false;
    }
    if (aFaults.delay.count() > 0) {
      std::this_thread::sleep_for(aFaults.delay);
    }
    return true;
  }

  void Append(const std::string& aStream,
              const HttpRequest& aRequest,
              const Reply& aReply)
  {
    const auto texts = nlohmann::json::parse(aRequest.body)
                         .at("records")
                         .get<std::vector<std::string>>();
    const LogFaults active = this->faults.ForAppend(texts);
    if (!this->ApplyFaults(active, aReply)) {
      return;
    }
    if (!this->log.AdmitAppend(Now())) {
      ++this->stats.refusedRate;
      SendError(*aReply, 429, "append rate limit exceeded");
      return;
    }
    const int64_t offset = this->log.Append(aStream, texts, Now());
    ++this->stats.appends;
    this->stats.records += int64_t(texts.size());
    this->stats.bytes += int64_t(aRequest.body.size());
    if (this->faults.DrawLostResponse(active)) {
      ++this->stats.lostResponses;
      SendError(*aReply, 504, "append response lost by a fault");
      return;
    }
    SendJson(*aReply, 200, { { "offset", offset } });
  }

  void Read(const std::string& aStream,
            const HttpRequest& aRequest,
            const Reply& aReply)
  {
    if (!this->ApplyFaults(this->faults.ForRead(), aReply)) {
      return;
    }
    const auto from = Number(aRequest, "from");
    const auto wait = Number(aRequest, "wait_ms");
    if (!from || !wait) {
      SendError(*aReply, 400, "from and wait_ms must be non-negative integers");
      return;
    }
    const StoredPage page =
      this->log.Read(aStream, *from, std::min(Millis(*wait), kMaxLongPoll));
    ++this->stats.reads;
    // If an outage began during the wait, records appended since are not
    // returned.
    const LogFaults active = this->faults.ForRead();
    if (active.mode == LogMode::kDown) {
      this->ApplyFaults(active, aReply);
      return;
    }
    nlohmann::json records = nlohmann::json::array();
    for (const StoredRecord& record : page.records) {
      records.push_back(
        { { "offset", record.offset }, { "text", record.text } });
    }
    SendJson(*aReply,
             200,
             { { "first", page.first },
               { "end", page.end },
               { "records", std::move(records) } });
  }

  // Integer query parameter; 0 if absent, nullopt if malformed.
  static std::optional<int64_t> Number(const HttpRequest& aRequest,
                                       const std::string& aName)
  {
    const auto text = QueryValue(aRequest.query, aName);
    if (!text) {
      return 0;
    }
    if (text->empty() || text->size() > 18 ||
        text->find_first_not_of("0123456789") != std::string::npos) {
      return std::nullopt;
    }
    return std::stoll(*text);
  }

  void HandleHosts(const HttpRequest& aRequest, const Reply& aReply)
  {
    if (aRequest.method == "GET") {
      SendJson(*aReply, 200, this->hosts.Get(Now()));
      return;
    }
    auto list = nlohmann::json::parse(aRequest.body);
    if (aRequest.path == "/hosts/wrong") {
      this->hosts.SetOverride(std::move(list));
    } else {
      this->hosts.Set(std::move(list), Now());
    }
    SendJson(*aReply, 200, { { "ok", true } });
  }

  void HandleTool(const HttpRequest& aRequest, const Reply& aReply)
  {
    const int64_t calls = ++this->stats.toolCalls;
    if (this->toolsHang) {
      this->heldToolReplies.Hold(aReply);
      return;
    }
    std::this_thread::sleep_for(Millis(this->toolsDelayMillis.load()));
    const auto input = nlohmann::json::parse(aRequest.body, nullptr, false);
    SendJson(*aReply,
             200,
             { { "tool", aRequest.path.substr(7) },
               { "calls", calls },
               { "echo", input.is_discarded() ? nullptr : input } });
  }

  void ControlTools(const HttpRequest& aRequest, const Reply& aReply)
  {
    const auto control = nlohmann::json::parse(aRequest.body);
    this->toolsHang = control.value("hang", false);
    this->toolsDelayMillis = control.value("delay_ms", int64_t(0));
    this->heldToolReplies.Release();
    SendJson(*aReply, 200, { { "ok", true } });
  }

  nlohmann::json StatsJson() const
  {
    return { { "appends", this->stats.appends.load() },
             { "records", this->stats.records.load() },
             { "bytes", this->stats.bytes.load() },
             { "reads", this->stats.reads.load() },
             { "lost_answers", this->stats.lostResponses.load() },
             { "refused_down", this->stats.refusedDown.load() },
             { "refused_rate", this->stats.refusedRate.load() },
             { "tool_calls", this->stats.toolCalls.load() } };
  }

  LogStore log;
  HostList hosts;
  LogFaultInjector faults;
  Stats stats;
  HeldReplies heldReplies;
  HeldReplies heldToolReplies;
  std::atomic<bool> toolsHang{ false };
  std::atomic<int64_t> toolsDelayMillis{ 0 };
};

} // namespace
} // namespace tanagerseam::standin

int
main(int argc, char** argv)
{
  using namespace tanagerseam;
  absl::ParseCommandLine(argc, argv);
  standin::LogLimits limits;
  limits.retainRecords = absl::GetFlag(FLAGS_retain_records);
  limits.retainAge = Millis(absl::GetFlag(FLAGS_retain_ms));
  limits.appendsPerSecond = absl::GetFlag(FLAGS_appends_per_second);
  standin::Platform platform(limits, Millis(absl::GetFlag(FLAGS_hosts_lag_ms)));
  standin::ServeUntilSignal(
    absl::GetFlag(FLAGS_address),
    absl::GetFlag(FLAGS_port),
    [&platform](const HttpRequest& aRequest,
                const std::shared_ptr<HttpReply>& aReply) {
      platform.Handle(aRequest, aReply);
    });
}
