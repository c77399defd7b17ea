#include "review/support-3/server_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <thread>

#include <nlohmann/json.hpp>

namespace review {

namespace {

constexpr int kArguments = 4;
constexpr Millis kRequestLimit(10000);
constexpr Millis kAcceptLimit(1000);

// Lines of several processes go into one file.
void
AppendLine(const std::string& aPath, const std::string& aText)
{
  const int file = ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  const std::string line = aText + "\n";
  [[maybe_unused]] const ssize_t written =
    ::write(file, line.data(), line.size());
  ::close(file);
}

void
ServeConnection(const std::string& aId,
                const std::string& aRecord,
                const Socket& aSocket,
                const ProcessAnswer& aAnswer)
{
  std::string buffer;
  HttpMessage request;
  if (!ReadMessage(aSocket, buffer, request, kRequestLimit)) {
    return;
  }
  const std::string requestId = request.Header("X-Request-Id");
  if (request.Header("X-Expect-Instance") != aId) {
    aSocket.Send(
      "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: " + requestId +
      "\r\nX-Not-Executed: 1\r\nContent-Length: 0"
      "\r\nConnection: close\r\n\r\n");
    return;
  }
  AppendLine(aRecord,
             "          server " + aId + " runs " + requestId + ", " +
               std::to_string(request.body.size()) + " bytes");
  aAnswer(request, aSocket);
}

} // namespace

int
RunServer(int argc, char** argv, const ProcessAnswer& aAnswer)
{
  if (argc != kArguments) {
    return 2;
  }
  const std::string id = argv[1];
  const std::string record = argv[3];
  const Listener listener(static_cast<uint16_t>(std::atoi(argv[2])));
  while (true) {
    Socket socket = listener.Accept(kAcceptLimit);
    if (socket.Valid()) {
      std::thread([id, record, aAnswer, accepted = std::move(socket)] {
        ServeConnection(id, record, accepted, aAnswer);
      }).detach();
    }
  }
}

ServerProcess::ServerProcess(std::string aService,
                             std::string aId,
                             std::string aProgram,
                             std::string aRecord)
  : service(std::move(aService))
  , id(std::move(aId))
  , program(std::move(aProgram))
  , record(std::move(aRecord))
  , port(FreePort())
{
}

void
ServerProcess::Start(Store& aStore)
{
  const std::string portText = std::to_string(this->port);
  const pid_t parent = ::getpid();
  const pid_t child = ::fork();
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(127);
    }
    ::execl(this->program.c_str(),
            this->program.c_str(),
            this->id.c_str(),
            portText.c_str(),
            this->record.c_str(),
            nullptr);
    ::_exit(127);
  }
  this->process = child;
  this->bornMillis = WallMillis();
  this->sequence = 0;
  this->Announce(aStore, "ready");
}

void
ServerProcess::Announce(Store& aStore, const std::string& aState)
{
  const nlohmann::json entry = {
    { "service", this->service },
    { "address", LoopbackAddress(this->port) },
    { "zone", "zone-a" },
    { "version", "v1" },
    { "slots", 12 },
    { "state", aState },
    { "cold-left-ms", 0 },
    { "sequence", ++this->sequence },
    { "born", this->bornMillis },
  };
  aStore.Put("keyed.servers", this->id, entry.dump());
}

void
ServerProcess::End()
{
  if (this->process > 0) {
    ::kill(this->process, SIGKILL);
    ::waitpid(this->process, nullptr, 0);
    this->process = -1;
  }
}

} // namespace review
