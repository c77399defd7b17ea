// standin-engine: simulates an LLM inference engine with continuous batching.
//
//   standin-engine --port=9100 --name=engine-1 --checks_fencing
//
// POST /v1/chat/completions   OpenAI format, plain or streamed. Headers:
//                             X-Request-Id, X-Program, X-Fencing,
//                             X-Resume-From
// GET  /load                  load report, --report_lag_ms old
// POST /release               {"program"}
// POST /kv/export             {"program"} -> {"tokens","blob"}
// POST /kv/import             {"program","tokens","blob"}
// POST /control               faults, see engine_faults.h; {"freeze_ms":N},
//                             {"reset_peak":true}
// GET  /stats                 counters for tests
// GET  /seen                  the latest requests received, up to 16 MiB
//
// Responses are a function of the messages, see engine_text.h.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <csignal>
#include <iostream>

#include "tests/standins/engine_http.h"

// The ABSL_FLAG macro generates these names.
// NOLINTBEGIN(readability-identifier-naming)
ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(uint32_t, port, 9100, "TCP port to listen on");
ABSL_FLAG(std::string, name, "engine", "name in responses and statistics");
ABSL_FLAG(int, slots, 16, "maximum number of running sequences");
ABSL_FLAG(int, knee, 0, "decoding sequences before steps slow; 0: slots / 2");
ABSL_FLAG(double, prefill_ms_per_token, 0.05, "prefill time of a token");
ABSL_FLAG(double, decode_ms_per_token, 2, "time of a decode step");
ABSL_FLAG(int64_t, cache_tokens, 200000, "tokens the prefix cache holds");
ABSL_FLAG(bool, checks_fencing, false, "reject stale fencing tokens");
ABSL_FLAG(int64_t, report_lag_ms, 500, "age of load reports");
ABSL_FLAG(double, time_scale, 1, "all model times are multiplied by this");
// NOLINTEND(readability-identifier-naming)

namespace {

using namespace tanagerseam;

// Each stream blocks a worker; an engine accepts every request it receives.
constexpr size_t kMaxWorkers = 2048;

standin::EngineSettings
ReadFlags()
{
  standin::EngineSettings settings;
  settings.slots = std::max(1, absl::GetFlag(FLAGS_slots));
  const int knee = absl::GetFlag(FLAGS_knee);
  settings.knee = knee > 0 ? knee : std::max(1, settings.slots / 2);
  settings.prefillMillisPerToken = absl::GetFlag(FLAGS_prefill_ms_per_token);
  settings.decodeMillisPerToken = absl::GetFlag(FLAGS_decode_ms_per_token);
  settings.cacheTokens = absl::GetFlag(FLAGS_cache_tokens);
  settings.reportLag = Millis(absl::GetFlag(FLAGS_report_lag_ms));
  settings.timeScale = absl::GetFlag(FLAGS_time_scale);
  return settings;
}

} // namespace

int
main(int argc, char** argv)
{
  absl::ParseCommandLine(argc, argv);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  standin::EngineHttp engine(ReadFlags(),
                             absl::GetFlag(FLAGS_name),
                             absl::GetFlag(FLAGS_checks_fencing));
  HttpServerSettings settings;
  settings.address = absl::GetFlag(FLAGS_address);
  settings.port = uint16_t(absl::GetFlag(FLAGS_port));
  settings.maxWorkers = kMaxWorkers;
  HttpServer server(
    settings,
    [&engine](const HttpRequest& aRequest, std::shared_ptr<HttpReply> aReply) {
      engine.Handle(aRequest, *aReply);
    });
  try {
    server.Start();
  } catch (const std::exception& error) {
    std::cerr << "standin-engine: " << error.what() << "\n";
    return 1;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  engine.Stop();
  server.Stop();
  return 0;
}
