// A server of a service as a process of its own, so that its end does to its
// connections what the end of a process does.
//
//   int main(int argc, char** argv)
//   {
//     if (argc > 1) {
//       return RunServer(argc, argv, answer);   // the server's process
//     }
//     ServerProcess server("app", "app-1", argv[0], "record.txt");
//     server.Start(store);
//     server.End();
//   }
#ifndef TANAGERSEAM_REVIEW_SUPPORT_3_SERVER_PROCESS_H_
#define TANAGERSEAM_REVIEW_SUPPORT_3_SERVER_PROCESS_H_

#include <sys/types.h>

#include <functional>
#include <string>

#include "review/support-3/net.h"
#include "review/support-3/store.h"

namespace review {

// Answers one request; the connection is closed afterwards.
using ProcessAnswer =
  std::function<void(const HttpMessage& aRequest, const Socket& aSocket)>;

// Serves until the process is ended. Writes each request that it runs to the
// record, and answers 421 to those that name another server.
int
RunServer(int argc, char** argv, const ProcessAnswer& aAnswer);

class ServerProcess
{
public:
  // aProgram calls RunServer if it gets arguments.
  ServerProcess(std::string aService,
                std::string aId,
                std::string aProgram,
                std::string aRecord);
  ~ServerProcess() { this->End(); }
  ServerProcess(const ServerProcess&) = delete;
  ServerProcess& operator=(const ServerProcess&) = delete;

  const std::string& Id() const { return this->id; }
  // Starts the process, again at the same address, and writes its entry.
  void Start(Store& aStore);
  // Writes the entry; aState is "ready" or "draining".
  void Announce(Store& aStore, const std::string& aState);
  // Ends the process by SIGKILL.
  void End();

private:
  const std::string service;
  const std::string id;
  const std::string program;
  const std::string record;
  const uint16_t port;
  pid_t process = -1;
  int64_t bornMillis = 0;
  int sequence = 0;
};

} // namespace review

#endif // TANAGERSEAM_REVIEW_SUPPORT_3_SERVER_PROCESS_H_
