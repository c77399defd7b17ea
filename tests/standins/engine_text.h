// Deterministic response text of the engine stand-in. It depends only on the
// messages, so a test can recompute each response and detect truncated ones and
// ones that belong to another request.
//
//   auto chain = standin::HashMessages(body["messages"]);
//   auto seed = standin::ResponseSeed(chain);
//   std::string expected = standin::ResponseText(seed, 20);
#ifndef TANAGERSEAM_TESTS_STANDINS_ENGINE_TEXT_H_
#define TANAGERSEAM_TESTS_STANDINS_ENGINE_TEXT_H_

#include <cctype>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "kernel/digest.h"

namespace tanagerseam::standin {

// Tokens generated if the request has no "max_tokens".
constexpr int64_t kDefaultMaxTokens = 32;
constexpr uint64_t kVocabularySize = 50000;

// Prefix cache block of one message; the hash covers the message and all
// messages before it.
struct PrefixBlock
{
  uint64_t hash = 0;
  int64_t tokens = 0;
};

// Tokens are words separated by white space.
inline int64_t
CountTokens(std::string_view aText)
{
  int64_t count = 0;
  bool inWord = false;
  for (const char c : aText) {
    const bool space = std::isspace(static_cast<unsigned char>(c)) != 0;
    count += !space && !inWord ? 1 : 0;
    inWord = !space;
  }
  return count;
}

inline PrefixBlock
HashPrefixBlock(uint64_t aParent,
                std::string_view aRole,
                std::string_view aText)
{
  std::string hashed = std::to_string(aParent);
  hashed.append("\n").append(aRole).append("\n").append(aText);
  return { StableHash(hashed), CountTokens(aText) };
}

// Prefix blocks of a "messages" array, in order. Content that is not a string
// is hashed as its JSON text.
inline std::vector<PrefixBlock>
HashMessages(const nlohmann::json& aMessages)
{
  std::vector<PrefixBlock> chain;
  uint64_t parent = 0;
  for (const auto& message : aMessages) {
    const std::string role =
      message.is_object() ? message.value("role", std::string()) : "";
    std::string text;
    if (message.is_object() && message.contains("content")) {
      const auto& content = message["content"];
      text = content.is_string() ? content.get<std::string>() : content.dump();
    }
    chain.push_back(HashPrefixBlock(parent, role, text));
    parent = chain.back().hash;
  }
  return chain;
}

inline uint64_t
ResponseSeed(const std::vector<PrefixBlock>& aChain)
{
  return aChain.empty() ? 0 : aChain.back().hash;
}

// Token aIndex (from 0) of the response, with a leading space unless it is the
// first.
inline std::string
ResponseToken(uint64_t aSeed, int64_t aIndex)
{
  const uint64_t hash =
    StableHash(std::to_string(aSeed) + "/" + std::to_string(aIndex));
  return (aIndex == 0 ? "w" : " w") + std::to_string(hash % kVocabularySize);
}

// The first aTokens tokens of the response.
inline std::string
ResponseText(uint64_t aSeed, int64_t aTokens)
{
  std::string text;
  for (int64_t i = 0; i < aTokens; ++i) {
    text += ResponseToken(aSeed, i);
  }
  return text;
}

} // namespace tanagerseam::standin

#endif // TANAGERSEAM_TESTS_STANDINS_ENGINE_TEXT_H_
