// Stand-in of a plain service: counts the executions of each idempotency key,
// so that tests can check at-most-once execution.
//
//   ANY  /run/... executes for the value of Idempotency-Key, or ""
//        -> {"executed":N,"key":"...","path":"..."}
//   POST /control {"mode":"ok"|"hang"|"drop_before"|"drop_after"|"status",
//        "status":500,"delay_ms":N,"share":X,"seed":N}
//   GET  /counts -> {"KEY":N,...}
//   GET  /arrivals -> {"PATH":[MS,...]}, arrival times of the requests of each
//        path on the machine's monotonic clock
//   GET  /executions -> {"KEY":[MS,...]}, execution times of each key on the
//        same clock
//   GET  /seen -> requests received under /run/ as text, up to 64 MiB
//   GET  /stats
//
// "hang" and "drop_after" hold the request without a response until the client
// disconnects, the next POST /control or kHoldLimit; "drop_before" responds
// 504; only "ok" and "drop_after" execute.
#include <atomic>
#include <map>
#include <random>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "tests/standins/standin_server.h"

// The ABSL_FLAG macro generates these names.
// NOLINTBEGIN(readability-identifier-naming)
ABSL_FLAG(std::string, address, "127.0.0.1", "address to listen on");
ABSL_FLAG(uint16_t, port, 0, "port to listen on");
// NOLINTEND(readability-identifier-naming)

namespace tanagerseam::standin {
namespace {

// /seen returns the requests recorded up to this total size.
constexpr size_t kMaxRecordedBytes = 64u << 20;

enum class ServiceMode
{
  kOk,
  kHang,
  kDropBefore,
  kDropAfter,
  kStatus,
};

NLOHMANN_JSON_SERIALIZE_ENUM(ServiceMode,
                             { { ServiceMode::kOk, "ok" },
                               { ServiceMode::kHang, "hang" },
                               { ServiceMode::kDropBefore, "drop_before" },
                               { ServiceMode::kDropAfter, "drop_after" },
                               { ServiceMode::kStatus, "status" } })

struct ServiceFaults
{
  ServiceMode mode = ServiceMode::kOk;
  int status = 500;
  Millis delay{ 0 };
  // Length of the padding ("fill") added to each response; 0: none.
  size_t paddingBytes = 0;
  std::string contentType = "application/json";
  // Share of the requests that the mode applies to, from 0 to 1.
  double share = 1;
};

ServiceFaults
ParseFaults(const nlohmann::json& aControl)
{
  ServiceFaults faults;
  const std::string mode = aControl.value("mode", "ok");
  faults.mode = nlohmann::json(mode).get<ServiceMode>();
  if (nlohmann::json(faults.mode) != mode) {
    throw nlohmann::json::other_error::create(
      501, "unknown service mode " + mode, &aControl);
  }
  faults.status = aControl.value("status", 500);
  faults.delay = Millis(aControl.value("delay_ms", 0));
  faults.share = aControl.value("share", 1.0);
  faults.paddingBytes = aControl.value("answer_bytes", size_t(0));
  faults.contentType = aControl.value("content_type", faults.contentType);
  return faults;
}

using Reply = std::shared_ptr<HttpReply>;

// Time on the monotonic clock.
double
NowMillis()
{
  return std::chrono::duration<double, std::milli>(Now().time_since_epoch())
    .count();
}

class Service
{
public:
  void Handle(const HttpRequest& aRequest, const Reply& aReply)
  {
    if (aRequest.path.rfind("/run/", 0) == 0) {
      this->Run(aRequest, aReply);
    } else if (aRequest.path == "/control") {
      this->Control(aRequest, aReply);
    } else if (aRequest.path == "/counts") {
      std::lock_guard<std::mutex> lock(this->mutex);
      SendJson(*aReply, 200, this->counts);
    } else if (aRequest.path == "/arrivals") {
      std::lock_guard<std::mutex> lock(this->mutex);
      SendJson(*aReply, 200, this->arrivals);
    } else if (aRequest.path == "/executions") {
      std::lock_guard<std::mutex> lock(this->mutex);
      SendJson(*aReply, 200, this->executions);
    } else if (aRequest.path == "/seen") {
      std::lock_guard<std::mutex> lock(this->mutex);
      aReply->Send(
        200, { { "Content-Type", "text/plain" } }, this->recordedRequests);
    } else if (aRequest.path == "/stats") {
      SendJson(*aReply, 200, this->StatsJson());
    } else {
      SendError(*aReply, 404, "unknown path");
    }
  }

private:
  void Run(const HttpRequest& aRequest, const Reply& aReply)
  {
    ++this->received;
    this->RecordRequest(aRequest);
    const ServiceFaults active = this->DrawFaults();
    std::this_thread::sleep_for(active.delay);
    switch (active.mode) {
      case ServiceMode::kHang:
        ++this->dropped;
        this->heldReplies.Hold(aReply);
        return;
      case ServiceMode::kDropBefore:
        ++this->dropped;
        SendError(*aReply, 504, "dropped before execution");
        return;
      case ServiceMode::kStatus:
        SendError(*aReply, active.status, "status fault set by /control");
        return;
      case ServiceMode::kDropAfter:
        this->Execute(aRequest);
        ++this->dropped;
        this->heldReplies.Hold(aReply);
        return;
      case ServiceMode::kOk:
        this->Respond(aRequest, active, *aReply);
        return;
    }
  }

  void Respond(const HttpRequest& aRequest,
               const ServiceFaults& aActive,
               HttpReply& aReply)
  {
    nlohmann::json json = this->Execute(aRequest);
    if (aActive.paddingBytes > 0) {
      json["fill"] = std::string(aActive.paddingBytes, 'x');
    }
    aReply.Send(200, { { "Content-Type", aActive.contentType } }, json.dump());
  }

  // Draws the faults that apply to one request.
  ServiceFaults DrawFaults()
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    ServiceFaults drawn = this->faults;
    const double value = std::uniform_real_distribution<double>()(this->random);
    if (value >= drawn.share) {
      drawn.mode = ServiceMode::kOk;
    }
    return drawn;
  }

  nlohmann::json Execute(const HttpRequest& aRequest)
  {
    const std::string key =
      FirstHeader(aRequest.headers, "Idempotency-Key").value_or("");
    std::lock_guard<std::mutex> lock(this->mutex);
    ++this->executed;
    this->executions[key].push_back(NowMillis());
    return { { "executed", ++this->counts[key] },
             { "key", key },
             { "path", aRequest.path } };
  }

  void RecordRequest(const HttpRequest& aRequest)
  {
    std::string text = aRequest.method + " " + aRequest.path;
    text += aRequest.query.empty() ? "\n" : "?" + aRequest.query + "\n";
    for (const auto& header : aRequest.headers) {
      text += header.first + ": " + header.second + "\n";
    }
    text += "\n" + aRequest.body + "\n\n";
    std::lock_guard<std::mutex> lock(this->mutex);
    this->arrivals[aRequest.path].push_back(NowMillis());
    if (this->recordedRequests.size() + text.size() <= kMaxRecordedBytes) {
      this->recordedRequests += text;
    } else {
      ++this->unrecordedRequests;
    }
  }

  void Control(const HttpRequest& aRequest, const Reply& aReply)
  {
    const auto control = nlohmann::json::parse(aRequest.body);
    const ServiceFaults next = ParseFaults(control);
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->faults = next;
      this->random.seed(control.value("seed", uint64_t(1)));
    }
    this->heldReplies.Release();
    SendJson(*aReply, 200, { { "ok", true } });
  }

  nlohmann::json StatsJson()
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    return { { "received", this->received.load() },
             { "executed", this->executed },
             { "dropped", this->dropped.load() },
             { "keys", this->counts.size() },
             { "not_kept", this->unrecordedRequests } };
  }

  std::atomic<int64_t> received{ 0 };
  std::atomic<int64_t> dropped{ 0 };
  HeldReplies heldReplies;
  // Guards all members below.
  std::mutex mutex;
  ServiceFaults faults;
  std::mt19937_64 random{ 1 };
  std::map<std::string, int64_t> counts;
  std::map<std::string, std::vector<double>> arrivals;
  std::map<std::string, std::vector<double>> executions;
  std::string recordedRequests;
  int64_t executed = 0;
  // Requests not recorded because of kMaxRecordedBytes.
  int64_t unrecordedRequests = 0;
};

} // namespace
} // namespace tanagerseam::standin

int
main(int argc, char** argv)
{
  using namespace tanagerseam;
  absl::ParseCommandLine(argc, argv);
  standin::Service service;
  standin::ServeUntilSignal(
    absl::GetFlag(FLAGS_address),
    absl::GetFlag(FLAGS_port),
    [&service](const HttpRequest& aRequest,
               const std::shared_ptr<HttpReply>& aReply) {
      service.Handle(aRequest, aReply);
    });
}
