#include "tests/standins/engine_cache.h"

namespace tanagerseam::standin {

namespace {

// Bounds the size of `everCached`; beyond it new hashes are not recorded.
constexpr size_t kMaxEverCached = 4u << 20;

} // namespace

PrefixCache::PrefixCache(int64_t aMaxTokens)
  : maxTokens(aMaxTokens)
{
}

void
PrefixCache::Touch(const std::string& aProgram,
                   CachedBlock& aCachedBlock,
                   uint64_t aHash)
{
  this->lruOrder.splice(
    this->lruOrder.begin(), this->lruOrder, aCachedBlock.lruPosition);
  aCachedBlock.programs.insert(aProgram);
  this->hashesByProgram[aProgram].insert(aHash);
}

int64_t
PrefixCache::Lookup(const std::string& aProgram,
                    const std::vector<PrefixBlock>& aChain)
{
  size_t cachedBlocks = 0;
  int64_t cached = 0;
  while (cachedBlocks < aChain.size() &&
         this->blocks.count(aChain[cachedBlocks].hash) > 0) {
    cached += aChain[cachedBlocks].tokens;
    ++cachedBlocks;
  }
  for (size_t i = cachedBlocks; i > 0; --i) {
    const uint64_t hash = aChain[i - 1].hash;
    this->Touch(aProgram, this->blocks[hash], hash);
  }
  return cached;
}

void
PrefixCache::Insert(const std::string& aProgram,
                    const std::vector<PrefixBlock>& aChain)
{
  for (size_t i = aChain.size(); i > 0; --i) {
    const PrefixBlock& prefixBlock = aChain[i - 1];
    auto found = this->blocks.find(prefixBlock.hash);
    if (found == this->blocks.end()) {
      this->lruOrder.push_front(prefixBlock.hash);
      CachedBlock cachedBlock;
      cachedBlock.tokens = prefixBlock.tokens;
      cachedBlock.lruPosition = this->lruOrder.begin();
      found =
        this->blocks.emplace(prefixBlock.hash, std::move(cachedBlock)).first;
      this->tokens += prefixBlock.tokens;
    }
    this->Touch(aProgram, found->second, prefixBlock.hash);
    if (this->everCached.size() < kMaxEverCached) {
      this->everCached.insert(prefixBlock.hash);
    }
  }
  while (this->tokens > this->maxTokens && !this->lruOrder.empty()) {
    this->Evict(this->lruOrder.back());
  }
}

int64_t
PrefixCache::RecomputedTokens(const std::vector<PrefixBlock>& aChain,
                              int64_t aCached) const
{
  int64_t seen = 0;
  int64_t before = 0;
  for (const PrefixBlock& prefixBlock : aChain) {
    if (seen >= aCached && this->everCached.count(prefixBlock.hash) > 0) {
      before += prefixBlock.tokens;
    }
    seen += prefixBlock.tokens;
  }
  return before;
}

void
PrefixCache::Evict(uint64_t aHash)
{
  auto found = this->blocks.find(aHash);
  for (const std::string& program : found->second.programs) {
    auto programHashes = this->hashesByProgram.find(program);
    programHashes->second.erase(aHash);
    if (programHashes->second.empty()) {
      this->hashesByProgram.erase(programHashes);
    }
  }
  this->tokens -= found->second.tokens;
  this->lruOrder.erase(found->second.lruPosition);
  this->blocks.erase(found);
}

void
PrefixCache::Release(const std::string& aProgram)
{
  auto programHashes = this->hashesByProgram.find(aProgram);
  if (programHashes == this->hashesByProgram.end()) {
    return;
  }
  const std::set<uint64_t> hashes = std::move(programHashes->second);
  this->hashesByProgram.erase(programHashes);
  for (const uint64_t hash : hashes) {
    CachedBlock& cachedBlock = this->blocks[hash];
    cachedBlock.programs.erase(aProgram);
    if (cachedBlock.programs.empty()) {
      this->Evict(hash);
    }
  }
}

std::vector<PrefixBlock>
PrefixCache::Export(const std::string& aProgram) const
{
  std::vector<PrefixBlock> exported;
  for (const uint64_t hash : this->lruOrder) {
    const CachedBlock& cachedBlock = this->blocks.at(hash);
    if (cachedBlock.programs.count(aProgram) > 0) {
      exported.push_back({ hash, cachedBlock.tokens });
    }
  }
  return exported;
}

std::vector<std::string>
PrefixCache::Programs() const
{
  std::vector<std::string> names;
  for (const auto& entry : this->hashesByProgram) {
    if (!entry.first.empty()) {
      names.push_back(entry.first);
    }
  }
  return names;
}

} // namespace tanagerseam::standin
