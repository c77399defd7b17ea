// A daemon is stopped. A client that holds a channel to it sends a stream that
// takes most of its time budget.
#include "review/support/fleet.h"

namespace review {

namespace {

constexpr std::chrono::seconds kStoreRetention(300);
constexpr Millis kTimeBudget(4000);
// After the SIGTERM.
constexpr double kShortAt = 3.2;
constexpr double kLongAt = 3.7;
constexpr double kGrace = 8;
constexpr char kLongId[] = "long-stream";

// The path names the number of events and the pause between them.
bool
Generate(Backend& aBackend, const Request& aRequest, Socket& aSocket)
{
  int events = 0;
  int pauseMillis = 0;
  if (sscanf(aRequest.Path().c_str(), "/ask/%d/%d", &events, &pauseMillis) !=
        2 ||
      !aBackend.BeginStream(aRequest, aSocket)) {
    return false;
  }
  for (int i = 1; i <= events; ++i) {
    std::this_thread::sleep_for(Millis(pauseMillis));
    if (!aSocket.Write(ChunkText(EventText(i, "text " + std::to_string(i))))) {
      return false;
    }
  }
  return aSocket.Write(ChunkText(""));
}

Answer
Ask(Channel& aChannel, const std::string& aId, const std::string& aPath)
{
  return aChannel.Send("POST",
                       aPath,
                       aId,
                       { { "X-Token-Usage", "100,290" } },
                       "input",
                       kTimeBudget);
}

int
Run(const CaseArguments& aArguments)
{
  Fleet fleet(aArguments, kStoreRetention);
  for (const char* id : { "engine-1", "engine-2", "engine-3" }) {
    fleet.AddBackend(id, "engines", "zone-a", &Generate);
  }
  const RouteSettings route{ "ask", "streaming", "engines" };
  if (!fleet.Start(nlohmann::json::array({ RouteJson(route) }), 3)) {
    return kCouldNotRun;
  }
  const uint16_t port = fleet.daemons[0]->callPort;
  Channel shortChannel(fleet.record, port);
  Channel longChannel(fleet.record, port);
  // Both channels are kept.
  if (!Ask(shortChannel, "before-1", "/ask/6/30").complete ||
      !Ask(longChannel, "before-2", "/ask/6/30").complete) {
    return fleet.Finish(kCouldNotRun, "a stream before the stop failed");
  }
  const double stoppedAt = fleet.record.Seconds();
  if (HasTrouble()) {
    fleet.record.Add("SIGTERM for host-0");
    fleet.daemons[0]->Signal(SIGTERM);
  }
  std::thread other([&] {
    fleet.SleepUntil(stoppedAt + kShortAt);
    Ask(shortChannel, "short-stream", "/ask/10/100");
  });
  fleet.SleepUntil(stoppedAt + kLongAt);
  const double sentAt = fleet.record.Seconds();
  const Answer answer = Ask(longChannel, kLongId, "/ask/29/130");
  const double took = fleet.record.Seconds() - sentAt;
  other.join();
  const std::string text =
    "the stream was sent " + std::to_string(sentAt - stoppedAt) +
    " s after the SIGTERM (grace " + std::to_string(kGrace) +
    " s) and ended after " + std::to_string(took) + " s of " +
    std::to_string(kTimeBudget.count()) + " ms with status " +
    std::to_string(answer.status) + " and " +
    std::to_string(answer.Events().size()) + " of 29 events";
  const bool inTime = took * 1000 < static_cast<double>(kTimeBudget.count());
  if (answer.status == 200 && !answer.complete && inTime) {
    return fleet.Finish(kRuleBroken, "LOST: " + text);
  }
  return fleet.Finish(kRuleHeld, text);
}

} // namespace

} // namespace review

int
main(int argc, char** argv)
{
  return review::RunCase(argc, argv, &review::Run);
}
