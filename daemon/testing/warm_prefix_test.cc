// Detection of cached prompt prefixes, and of the causes of repeated prefill.
#include <gtest/gtest.h>

#include "daemon/call.h"
#include "daemon/chat.h"
#include "daemon/turn.h"
#include "daemon/warm_prefix.h"

namespace tanagerseam {
namespace {

using Json = nlohmann::json;

Json
Message(const std::string& aRole, const std::string& aContent)
{
  return { { "role", aRole }, { "content", aContent } };
}

void
AddTurn(ProgramState& aProgram,
        const std::string& aModel,
        const std::string& aEndpoint,
        const std::string& aPrompt,
        int64_t aPromptTokens)
{
  CompletionInfo end;
  end.model = aModel;
  end.promptTokens = aPromptTokens;
  end.completionTokens = 10;
  auto turn = std::make_shared<Turn>();
  turn->kind = kModelKind;
  turn->endpoint = aEndpoint;
  turn->request = Json::array({ Message("user", aPrompt) }).dump();
  turn->message = Message("assistant", "ten tokens").dump();
  turn->answer = EncodeCompletionInfo(end);
  aProgram.turns.push_back(turn);
}

class WarmPrefixTest : public testing::Test
{
protected:
  WarmPrefixTest()
  {
    AddTurn(this->parent, "large", "engine-1", this->first, 1000);
  }

  const std::string first = std::string(4000, 'a');
  ProgramState parent;
};

TEST_F(WarmPrefixTest, SubAgentInheritsCommonPrefixOfParent)
{
  const Json messages =
    Json::array({ Message("user", this->first), Message("user", "and now") });
  const WarmPrefix warm = InheritedPrefixOf(this->parent, "large", messages);
  EXPECT_EQ(warm.endpoint, "engine-1");
  EXPECT_TRUE(warm.inherited);
  // The prompt and the completion have 1010 tokens; the prompt has most of the
  // bytes.
  EXPECT_GT(warm.tokens, 950);
  EXPECT_LT(warm.tokens, 1000);
  {
    SCOPED_TRACE("turns of other models ran at other engines");
    AddTurn(this->parent, "small", "engine-2", "more", 1100);
    EXPECT_EQ(InheritedPrefixOf(this->parent, "large", messages).endpoint,
              "engine-1");
    EXPECT_EQ(InheritedPrefixOf(this->parent, "small", messages).endpoint,
              "engine-2");
    EXPECT_EQ(InheritedPrefixOf(this->parent, "none", messages).endpoint, "");
  }
  {
    SCOPED_TRACE("the parent moved to another engine");
    AddTurn(this->parent, "large", "engine-3", "on", 1120);
    const WarmPrefix moved = InheritedPrefixOf(this->parent, "large", messages);
    EXPECT_EQ(moved.endpoint, "engine-3");
    EXPECT_GT(moved.tokens, 900);
    EXPECT_LT(moved.tokens, 1100);
  }
  {
    SCOPED_TRACE("a sub-agent with a different first message inherits nothing");
    const Json other = Json::array({ Message("user", "something else") });
    EXPECT_EQ(InheritedPrefixOf(this->parent, "large", other).endpoint, "");
  }
}

TEST_F(WarmPrefixTest, SplitsPrefillByCause)
{
  const WarmPrefix warm{ "engine-1", 1010, 0, false };
  const auto expect =
    [](const PrefillSplit& aSplit, int64_t aNew, int64_t aRepeated) {
      EXPECT_EQ(aSplit.newTokens, aNew);
      EXPECT_EQ(aSplit.repeatedTokens, aRepeated);
    };
  expect(SplitPrefill({}, "engine-1", 1000, 0), 1000, 0);
  expect(SplitPrefill(warm, "engine-1", 1100, 1010), 90, 0);
  const PrefillSplit moved = SplitPrefill(warm, "engine-2", 1100, 0);
  expect(moved, 90, 1010);
  EXPECT_EQ(moved.cause, PrefillCause::kMoved);
  const PrefillSplit evicted = SplitPrefill(warm, "engine-1", 1100, 500);
  expect(evicted, 90, 510);
  EXPECT_EQ(evicted.cause, PrefillCause::kEvicted);
  const WarmPrefix inherited{ "engine-1", 1010, 0, true };
  EXPECT_EQ(SplitPrefill(inherited, "engine-1", 1100, 0).cause,
            PrefillCause::kSubAgent);
  {
    SCOPED_TRACE("reported tokens differ from the warm prefix");
    expect(SplitPrefill(warm, "engine-1", 1100, 1100), 0, 0);
    expect(SplitPrefill(warm, "engine-1", 900, 0), 0, 900);
  }
}

} // namespace
} // namespace tanagerseam
