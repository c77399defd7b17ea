#include "daemon/warm_prefix.h"

#include <algorithm>
#include <array>

#include "daemon/chat.h"
#include "daemon/turn.h"

namespace tanagerseam {

namespace {

using Json = nlohmann::json;

// In the order of PrefillCause.
constexpr std::array<std::string_view, 4> kCauseNames{ "new",
                                                       "moved",
                                                       "evicted",
                                                       "sub_agent" };

// The program up to and including its newest turn of the model; without turns
// if there is none.
ProgramState
TruncateToNewestTurn(const ProgramState& aProgram, const std::string& aModel)
{
  ProgramState program = aProgram;
  while (!program.turns.empty()) {
    const Turn& turn = *program.turns.back();
    if (turn.kind == kModelKind &&
        DecodeCompletionInfo(turn.answer).model == aModel) {
      break;
    }
    program.turns.pop_back();
  }
  return program;
}

// The number of leading messages that are equal.
size_t
CommonPrefixLength(const Json& aLeft, const Json& aRight)
{
  const size_t limit = std::min(aLeft.size(), aRight.size());
  size_t same = 0;
  while (same < limit && aLeft[same] == aRight[same]) {
    ++same;
  }
  return same;
}

int64_t
TokenBoundOfFirst(const Json& aMessages, size_t aCount)
{
  Json first = Json::array();
  for (size_t i = 0; i < aCount; ++i) {
    first.push_back(aMessages[i]);
  }
  return TokenBound(first);
}

} // namespace

WarmPrefix
WarmPrefixOf(const ProgramState& aProgram, const std::string& aModel)
{
  int64_t otherTurnsTokenBound = 0;
  for (auto it = aProgram.turns.rbegin(); it != aProgram.turns.rend(); ++it) {
    const Turn& turn = **it;
    if (turn.kind != kModelKind) {
      continue;
    }
    const CompletionInfo end = DecodeCompletionInfo(turn.answer);
    if (end.model == aModel) {
      return { turn.endpoint,
               end.promptTokens + end.completionTokens,
               otherTurnsTokenBound,
               false };
    }
    otherTurnsTokenBound +=
      TokenBound(Json::parse(turn.request)) +
      TokenBound(Json::array({ Json::parse(turn.message) }));
  }
  return {};
}

WarmPrefix
InheritedPrefixOf(const ProgramState& aParent,
                  const std::string& aModel,
                  const Json& aMessages)
{
  const ProgramState parent = TruncateToNewestTurn(aParent, aModel);
  const Json history = WithHistory(parent, Json::array());
  const size_t common = CommonPrefixLength(history, aMessages);
  if (common == 0) {
    return {};
  }
  // The engine counted the tokens of the whole history; those of the common
  // part are estimated in proportion to its bytes.
  const Turn& newest = *parent.turns.back();
  const CompletionInfo end = DecodeCompletionInfo(newest.answer);
  const double share = double(TokenBoundOfFirst(history, common)) /
                       double(TokenBoundOfFirst(history, history.size()));
  const int64_t totalTokens = end.promptTokens + end.completionTokens;
  return { newest.endpoint, int64_t(share * double(totalTokens)), 0, true };
}

std::string_view
PrefillCauseName(PrefillCause aCause)
{
  return kCauseNames[static_cast<size_t>(aCause)];
}

PrefillSplit
SplitPrefill(const WarmPrefix& aWarm,
             const std::string& aEndpoint,
             int64_t aPromptTokens,
             int64_t aCachedTokens)
{
  const int64_t warmTokens = std::min(aWarm.tokens, aPromptTokens);
  PrefillSplit split;
  split.repeatedTokens = std::max<int64_t>(0, warmTokens - aCachedTokens);
  split.newTokens =
    std::max<int64_t>(0, aPromptTokens - aCachedTokens - split.repeatedTokens);
  if (aWarm.inherited) {
    split.cause = PrefillCause::kSubAgent;
  } else if (aWarm.endpoint == aEndpoint) {
    split.cause = PrefillCause::kEvicted;
  }
  return split;
}

} // namespace tanagerseam
