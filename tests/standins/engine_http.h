// HTTP interface of the engine stand-in: OpenAI-style chat completions and the
// control and status routes listed in engine_main.cc.
#ifndef TANAGERSEAM_TESTS_STANDINS_ENGINE_HTTP_H_
#define TANAGERSEAM_TESTS_STANDINS_ENGINE_HTTP_H_

#include "http/http.h"
#include "tests/standins/engine_faults.h"
#include "tests/standins/engine_model.h"

namespace tanagerseam::standin {

class EngineHttp
{
public:
  EngineHttp(const EngineSettings& aSettings,
             std::string aName,
             bool aChecksFencing);

  // Handles one request; blocks until the response is sent.
  void Handle(const HttpRequest& aRequest, HttpReply& aReply);
  void Stop() { this->model.Stop(); }

private:
  // Completion response in progress; `sent` counts tokens from the start of the
  // response, including those before X-Resume-From.
  struct PendingResponse
  {
    SequencePtr sequence;
    FaultPlan faults;
    std::string id;
    int64_t sent = 0;
  };

  void Dispatch(const HttpRequest& aRequest, HttpReply& aReply);
  void HandleCompletion(const HttpRequest& aRequest, HttpReply& aReply);
  void StreamResponse(PendingResponse& aResponse, HttpReply& aReply);
  // False if the stream must end, by a fault or a client disconnect.
  bool StreamTokens(PendingResponse& aResponse,
                    HttpReply& aReply,
                    int64_t aEndIndex);
  void SendFullResponse(PendingResponse& aResponse, HttpReply& aReply);
  nlohmann::json MakeChunk(const PendingResponse& aResponse,
                           int64_t aIndex) const;
  // True if X-Fencing is below the highest fencing token of the program seen so
  // far; otherwise records it. Always false unless `checksFencing`.
  bool HasStaleFencing(const HttpRequest& aRequest,
                       const std::string& aProgram);
  // POST /release, /kv/export and /kv/import.
  void HandleProgramRequest(const HttpRequest& aRequest, HttpReply& aReply);
  void HandleControl(const HttpRequest& aRequest, HttpReply& aReply);
  void HandleLoad(HttpReply& aReply);
  void HandleStats(HttpReply& aReply);
  // Records the request for /seen; drops the oldest above kMaxRecordedBytes.
  void RecordRequest(const HttpRequest& aRequest);
  void HandleSeen(HttpReply& aReply);

  const EngineSettings settings;
  const std::string name;
  const bool checksFencing;
  EngineModel model;
  EngineFaults faults;
  std::mutex mutex;
  std::map<std::string, int64_t> highestFencing;
  std::deque<std::string> recordedRequests;
  size_t recordedBytes = 0;
};

} // namespace tanagerseam::standin

#endif // TANAGERSEAM_TESTS_STANDINS_ENGINE_HTTP_H_
