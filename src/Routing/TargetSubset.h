#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace fescueline {

/// Identity and locality of a target. The views need to be valid only during
/// the call of Select().
struct SubsetCandidate {
  /// Id of the node beside the target.
  std::string_view node;
  /// Data centre of the instance.
  std::string_view dataCentre;
  /// Region of the data centre.
  std::string_view region;
};

/// Maximum numbers of targets of one service that a node connects to.
struct SubsetBounds {
  /// In the local data centre.
  size_t near = 12;
  /// In other data centres of the local region, for spillover traffic.
  size_t region = 6;
  /// In other regions, used when the local region has no usable target.
  size_t far = 2;
};

/// Selects the targets of a service that a node connects to, by rendezvous
/// hashing: the result depends only on the ids, and a target that joins or
/// leaves changes only the subsets that contain it. Thread-safe.
class TargetSubset {
 public:
  explicit TargetSubset(const SubsetBounds& aBounds) : bounds(aBounds) {}

  /// Positions in aCandidates of the targets that the node aSelf connects to.
  std::vector<size_t> Select(
      const SubsetCandidate& aSelf,
      std::span<const SubsetCandidate> aCandidates) const;

 private:
  SubsetBounds bounds;
};

}  // namespace fescueline
