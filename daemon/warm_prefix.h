// Determines which endpoint probably has the prefix of a prompt in its prefix
// cache, and why tokens were prefilled.
//
// Usage:
//
//   WarmPrefix warm = WarmPrefixOf(program, "model");
//   ...  // run the call
//   PrefillSplit split =
//     SplitPrefill(warm, endpoint, promptTokens, cachedTokens);
//
// The prompt of a program's next call starts with all its turns. The first
// prompt of a sub-agent often starts with messages of its parent's history, so
// the engine that has the parent's prefix cached has part of the sub-agent's
// too. The length of the common part is known only when the call arrives; it is
// found by comparing the messages.
//
// Deterministic and free of I/O. Cost: O(bytes of the compared turns).
#ifndef TANAGERSEAM_DAEMON_WARM_PREFIX_H_
#define TANAGERSEAM_DAEMON_WARM_PREFIX_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "state/state.h"

namespace tanagerseam {

struct WarmPrefix
{
  // Empty: no endpoint.
  std::string endpoint;
  int64_t tokens = 0;
  // Upper bound of the tokens that turns of other models have added since.
  int64_t otherTurnsTokenBound = 0;
  // True for a prefix of the parent program; tokens is then an estimate.
  bool inherited = false;
};

// The prefix cached by the engine that ran the newest turn of this model: the
// prompt and the completion of that turn.
WarmPrefix
WarmPrefixOf(const ProgramState& aProgram, const std::string& aModel);

// The part of aMessages, a sub-agent's first prompt, that is cached by the
// engine that ran the newest turn of this model of aParent.
WarmPrefix
InheritedPrefixOf(const ProgramState& aParent,
                  const std::string& aModel,
                  const nlohmann::json& aMessages);

// Why tokens of a prompt were prefilled.
enum class PrefillCause
{
  // Not part of any prefix prefilled before.
  kNew,
  // Prefilled before at another endpoint.
  kMoved,
  // Prefilled before at the same endpoint, but no longer cached.
  kEvicted,
  // Prefilled before as part of the parent's prompt.
  kSubAgent,
};

std::string_view
PrefillCauseName(PrefillCause aCause);

// The prefilled tokens of a completed call: new ones, and those that were
// prefilled before, with the cause of the repetition.
struct PrefillSplit
{
  int64_t newTokens = 0;
  int64_t repeatedTokens = 0;
  PrefillCause cause = PrefillCause::kMoved;
};

PrefillSplit
SplitPrefill(const WarmPrefix& aWarm,
             const std::string& aEndpoint,
             int64_t aPromptTokens,
             int64_t aCachedTokens);

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_WARM_PREFIX_H_
