// Prefix cache of the engine stand-in: LRU cache of prefix blocks, each with
// the programs that used it, limited by the total number of tokens.
//
// A chain is touched from its last block to its first, so a block is always
// more recently used than those that continue it, and eviction starts at the
// end of a chain.
//
// Cost: O(blocks of the chain) per lookup or insertion, plus evictions;
// memory O(blocks cached).
#ifndef TANAGERSEAM_TESTS_STANDINS_ENGINE_CACHE_H_
#define TANAGERSEAM_TESTS_STANDINS_ENGINE_CACHE_H_

#include <list>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

#include "tests/standins/engine_text.h"

namespace tanagerseam::standin {

class PrefixCache
{
public:
  explicit PrefixCache(int64_t aMaxTokens);

  // Returns the tokens of the longest cached prefix and marks it as used by the
  // program.
  int64_t Lookup(const std::string& aProgram,
                 const std::vector<PrefixBlock>& aChain);
  // Caches the whole chain for the program; may evict other blocks.
  void Insert(const std::string& aProgram,
              const std::vector<PrefixBlock>& aChain);
  // Tokens of the chain after its first aCached that were cached at some time.
  int64_t RecomputedTokens(const std::vector<PrefixBlock>& aChain,
                           int64_t aCached) const;
  // Removes the program from its blocks; evicts those it alone used.
  void Release(const std::string& aProgram);
  // All blocks of the program, each before those that continue it.
  std::vector<PrefixBlock> Export(const std::string& aProgram) const;
  std::vector<std::string> Programs() const;
  int64_t Tokens() const { return this->tokens; }

private:
  struct CachedBlock
  {
    int64_t tokens = 0;
    std::set<std::string> programs;
    std::list<uint64_t>::iterator lruPosition;
  };

  void Touch(const std::string& aProgram,
             CachedBlock& aCachedBlock,
             uint64_t aHash);
  void Evict(uint64_t aHash);

  const int64_t maxTokens;
  int64_t tokens = 0;
  // Most recently used first.
  std::list<uint64_t> lruOrder;
  std::unordered_map<uint64_t, CachedBlock> blocks;
  std::map<std::string, std::set<uint64_t>> hashesByProgram;
  // Every hash ever cached, to detect repeated prefill.
  std::unordered_set<uint64_t> everCached;
};

} // namespace tanagerseam::standin

#endif // TANAGERSEAM_TESTS_STANDINS_ENGINE_CACHE_H_
