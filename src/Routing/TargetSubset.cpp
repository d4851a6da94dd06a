#include "Routing/TargetSubset.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace fescueline {

namespace {
/// FNV-1a: the hash must be the same on all nodes and in all builds.
uint64_t HashBytes(std::string_view aBytes, uint64_t aSeed) {
  uint64_t hash = aSeed;
  for (const char byte : aBytes) {
    hash = (hash ^ static_cast<uint8_t>(byte)) * 0x100000001b3ULL;
  }
  return hash;
}

/// SplitMix64 finaliser. With FNV alone, the order of similar ids is correlated
/// between nodes.
uint64_t MixBits(uint64_t aHash) {
  uint64_t hash = aHash;
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
  return hash ^ (hash >> 31);
}

struct Score {
  uint64_t value;
  size_t position;
};

/// Appends the positions of the aCount highest scores.
void AppendHighest(std::vector<Score>& aScores, size_t aCount,
                   std::vector<size_t>& aPositions) {
  const size_t count = std::min(aCount, aScores.size());
  std::partial_sort(
      aScores.begin(), aScores.begin() + static_cast<std::ptrdiff_t>(count),
      aScores.end(), [](const Score& aLeft, const Score& aRight) {
        return aLeft.value != aRight.value ? aLeft.value > aRight.value
                                           : aLeft.position < aRight.position;
      });
  for (size_t i = 0; i < count; ++i) {
    aPositions.push_back(aScores[i].position);
  }
}
}  // namespace

std::vector<size_t> TargetSubset::Select(
    const SubsetCandidate& aSelf,
    std::span<const SubsetCandidate> aCandidates) const {
  constexpr uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
  const uint64_t self = MixBits(HashBytes(aSelf.node, kFnvOffset));
  std::array<std::vector<Score>, 3> tiers;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const SubsetCandidate& candidate = aCandidates[i];
    size_t tier = 2;
    if (candidate.region == aSelf.region) {
      tier = candidate.dataCentre == aSelf.dataCentre ? 0 : 1;
    }
    const uint64_t target = MixBits(HashBytes(candidate.node, kFnvOffset));
    tiers[tier].push_back({.value = MixBits(self ^ target), .position = i});
  }
  std::vector<size_t> positions;
  AppendHighest(tiers[0], this->bounds.near, positions);
  AppendHighest(tiers[1], this->bounds.region, positions);
  AppendHighest(tiers[2], this->bounds.far, positions);
  return positions;
}

}  // namespace fescueline
