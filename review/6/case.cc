// A turn whose stream broke off and was resumed is kept without the events
// before the break. See claim.txt.
#include "review/support-2/rig.h"

namespace {

constexpr int kEvents = 5;
constexpr int kEventsBeforeBreak = 2;
const std::string kFirstInput = "[tracks at Jizerka tonight?]";
const std::string kSecondInput = "[and tomorrow?]";

std::string
TextOf(int aEvent)
{
  return "piece " + std::to_string(aEvent);
}

// Bodies that the server ran, by request id.
class Seen
{
public:
  void Put(const rig::Request& aRequest)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->bodies[aRequest.Id()] = aRequest.body;
  }
  std::string Body(const std::string& aId)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->bodies[aId];
  }

private:
  std::mutex mutex;
  std::map<std::string, std::string> bodies;
};

rig::Headers
TurnHeaders(const std::string& aId, const rig::Headers& aMore)
{
  rig::Headers headers = {
    { "X-Request-Id", aId },           { "X-Deadline-Ms", "4000" },
    { "Authorization", "Bearer key" }, { "X-Program-Id", "p-1" },
    { "X-Session-Id", "s-1" },         { "X-Finish-Ms", "20000" },
    { "X-Token-Budget", "5000" },      { "X-Token-Usage", "100,200" },
  };
  headers.insert(headers.end(), aMore.begin(), aMore.end());
  return headers;
}

rig::Response
Turn(const rig::Daemon& aDaemon,
     const std::string& aId,
     const std::string& aInput,
     const rig::Headers& aMore)
{
  std::string names;
  for (const auto& header : aMore) {
    names += " " + header.first + "=" + header.second;
  }
  RIG_RECORD("sent %s to %s:%s body '%s'",
             aId.c_str(),
             aDaemon.name.c_str(),
             names.c_str(),
             aInput.c_str());
  rig::Response response =
    rig::Ask(aDaemon.front, "POST", "/talk/1", TurnHeaders(aId, aMore), aInput);
  std::string text = response.body;
  std::replace(text.begin(), text.end(), '\n', '|');
  RIG_RECORD("answered %s: status %d, %s, '%s'",
             aId.c_str(),
             response.status,
             response.complete ? "whole" : "broken off",
             text.c_str());
  return response;
}

// What the server has to get for a turn that goes on from the first one.
std::string
ChainThenSecondInput()
{
  std::string text = kFirstInput;
  for (int i = 1; i <= kEvents; ++i) {
    text += TextOf(i) + "\n";
  }
  return text + kSecondInput;
}

int
Run(rig::Case& aCase)
{
  Seen seen;
  std::atomic<bool> breaks{ aCase.disrupted };
  const auto serve = [&](rig::Channel& aChannel, const rig::Request& aRequest) {
    seen.Put(aRequest);
    std::string text = aRequest.body;
    std::replace(text.begin(), text.end(), '\n', '|');
    const int last = std::atoi(aRequest.Header("Last-Event-Id").c_str());
    RIG_RECORD("server runs %s from event %d, body '%s'",
               aRequest.Id().c_str(),
               last + 1,
               text.c_str());
    if (!aChannel.Write(rig::StreamHead(aRequest))) {
      return false;
    }
    for (int i = last + 1; i <= kEvents; ++i) {
      if (i > kEventsBeforeBreak && breaks.exchange(false)) {
        RIG_RECORD("server resets the channel of %s", aRequest.Id().c_str());
        rig::Sleep(100);
        aChannel.Reset();
        return false;
      }
      if (!aChannel.Write(rig::Event(i, TextOf(i)))) {
        return false;
      }
      rig::Sleep(30);
    }
    return aChannel.Write("0\r\n\r\n");
  };
  rig::Store store;
  rig::Server first(serve);
  rig::Server second(serve);
  store.Put("keyed.op",
            "config",
            rig::Configuration(1,
                               { rig::Route("talk",
                                            "streaming",
                                            "seam-lm",
                                            4000,
                                            ",\"retain-history\":true,"
                                            "\"retention-s\":60.0,"
                                            "\"sticky\":true,"
                                            "\"resumable\":true,"
                                            "\"target-gap-ms\":150") },
                               { { "club", "key" } }));
  store.Put(
    "keyed.servers", "i-1", rig::ServerEntry("seam-lm", first.Address()));
  store.Put(
    "keyed.servers", "i-2", rig::ServerEntry("seam-lm", second.Address()));
  std::vector<std::unique_ptr<rig::Daemon>> daemons;
  for (const char* name : { "edge-a-1", "edge-a-2", "edge-a-3" }) {
    daemons.push_back(std::make_unique<rig::Daemon>(aCase, name, store));
    daemons.back()->Start();
  }
  if (!rig::AwaitReady(daemons)) {
    return rig::kCouldNotRun;
  }
  std::string turn = "t-1";
  const rig::Response begun = Turn(*daemons[0], turn, kFirstInput, {});
  if (begun.status != 200 || begun.complete == aCase.disrupted) {
    return rig::kCouldNotRun;
  }
  if (aCase.disrupted) {
    // A new attempt at another daemon goes on behind the last event that came.
    turn = "t-1-again";
    const rig::Response resumed =
      Turn(*daemons[1],
           turn,
           kFirstInput,
           { { "Resumes", "t-1" },
             { "Last-Event-Id", std::to_string(kEventsBeforeBreak) } });
    if (resumed.status != 200 || !resumed.complete) {
      return rig::kCouldNotRun;
    }
  }
  const rig::Response next =
    Turn(*daemons[2], "t-2", kSecondInput, { { "X-Previous-Turn", turn } });
  if (next.status != 200) {
    return rig::kCouldNotRun;
  }
  const bool held = seen.Body("t-2") == ChainThenSecondInput();
  RIG_RECORD("UNASKED %s: the server ran the second turn with %s chain",
             held ? "held" : "broken",
             held ? "the whole" : "another");
  return held ? rig::kHeld : rig::kBroken;
}

} // namespace

int
main()
{
  rig::Case run("review/6");
  return Run(run);
}
