#include "program/program.h"

namespace tanagerseam {

LogPartition
PartitionOf(const PartitionLayout& aLayout, const std::string& aKey)
{
  const uint64_t hash = StableHash(aKey);
  const auto topicCount = static_cast<uint64_t>(aLayout.topicCount);
  const auto partitionsPerTopic =
    static_cast<uint64_t>(aLayout.partitionsPerTopic);
  LogPartition partition;
  partition.topic = aLayout.topicPrefix + std::to_string(hash % topicCount);
  partition.number = static_cast<int>((hash / topicCount) % partitionsPerTopic);
  return partition;
}

std::vector<LogPartition>
AllPartitions(const PartitionLayout& aLayout)
{
  std::vector<LogPartition> partitions;
  for (int topic = 0; topic < aLayout.topicCount; ++topic) {
    for (int number = 0; number < aLayout.partitionsPerTopic; ++number) {
      partitions.push_back(
        { aLayout.topicPrefix + std::to_string(topic), number });
    }
  }
  return partitions;
}

std::string
NameOf(const LogPartition& aPartition)
{
  return aPartition.topic + "/" + std::to_string(aPartition.number);
}

std::vector<LogPartition>
CandidatePartitions(const PartitionLayout& aLayout, const std::string& aKey)
{
  return { PartitionOf(aLayout, aKey),
           PartitionOf(aLayout, aKey + "#1"),
           PartitionOf(aLayout, aKey + "#2") };
}

} // namespace tanagerseam
