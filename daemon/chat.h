// The chat-completions format: parsing requests, building responses.
//
//   Result<ChatRequest> parsed = ParseChat(body);
//   const ChatRequest& request = std::get<ChatRequest>(parsed);
//   const Json messages = WithHistory(program, request.messages);
//   std::string engineBody = EngineBody(request, messages, maxTokens);
//   ...
//   std::string response = CompletionBody(requestId, text, info);
#ifndef TANAGERSEAM_DAEMON_CHAT_H_
#define TANAGERSEAM_DAEMON_CHAT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "daemon/call.h"
#include "kernel/kernel.h"
#include "state/state.h"

namespace tanagerseam {

// A validated chat-completions request.
struct ChatRequest
{
  std::string model;
  // The caller's messages, unchanged: an array of objects with a role.
  nlohmann::json messages;
  // Absent: the daemon's default, which may be reduced to fit the budget.
  std::optional<int64_t> maxTokens;
  bool stream = false;
  // stream_options.include_usage.
  bool includeUsage = false;
  // All other fields, passed to the engine unchanged.
  nlohmann::json other;
};

// Parses a JSON object from a caller. Refuses input that is not UTF-8, contains
// a raw NUL or nests deeper than kMaxJsonDepth: copying and serialising a value
// are recursive, so the limit bounds the stack.
constexpr size_t kMaxJsonDepth = 100;
Result<nlohmann::json>
ParseJsonObject(const std::string& aBody);

// Refuses malformed fields and fields of a wrong type; the refusal names the
// field.
Result<ChatRequest>
ParseChat(const std::string& aBody);

// Upper bound of the token count of these messages: a tokenizer produces at
// most one token for each byte.
int64_t
TokenBound(const nlohmann::json& aMessages);

// The messages of the program's model turns, oldest first, followed by
// aMessages.
nlohmann::json
WithHistory(const ProgramState& aProgram, const nlohmann::json& aMessages);

// The body of the request to the engine.
std::string
EngineBody(const ChatRequest& aRequest,
           const nlohmann::json& aMessages,
           int64_t aMaxTokens);

// The body of a response that is not streamed.
std::string
CompletionBody(const std::string& aRequestId,
               const std::string& aText,
               const CompletionInfo& aInfo);

// Fields that all events of a streamed response share.
struct StreamMetadata
{
  std::string id;
  std::string model;
  // Unix time in seconds.
  int64_t created = 0;
  // Whether the caller requested an event with the token usage.
  bool includeUsage = false;
};

// Server-sent events of a streamed response. FirstEvent has the role,
// ChunkEvent one piece of text; LastEvents are the finish reason, the usage if
// it was requested, and the end marker "[DONE]".
std::string
FirstEvent(const StreamMetadata& aMetadata);
std::string
ChunkEvent(const StreamMetadata& aMetadata, std::string_view aText);
std::string
LastEvents(const StreamMetadata& aMetadata, const CompletionInfo& aInfo);

// Serialises the completion info that a model turn stores besides its message.
std::string
EncodeCompletionInfo(const CompletionInfo& aInfo);
CompletionInfo
DecodeCompletionInfo(const std::string& aText);

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_CHAT_H_
