#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace fescueline {

/// A target's place, as far as subsetting is concerned. Views must outlive
/// the call only.
struct SubsetCandidate {
  /// Node id of the node beside the target.
  std::string_view node;
  /// Data centre of the instance.
  std::string_view dataCentre;
  /// Region of the data centre.
  std::string_view region;
};

/// Largest numbers of targets of one service that a node connects to.
struct SubsetBounds {
  /// In the own data centre.
  size_t near = 12;
  /// In other data centres of the own region; they take the spill.
  size_t region = 6;
  /// In other regions; they are used when the own region has none left.
  size_t far = 2;
};

/// Chooses the targets of a service that a node connects to, by rendezvous
/// hashing: the result depends only on the ids, and a target that joins or
/// leaves changes only the subsets that it is in. Stateless; any thread.
class TargetSubset {
 public:
  explicit TargetSubset(const SubsetBounds& aBounds) : bounds(aBounds) {}

  /// Positions in aCandidates of the targets that the node aSelf uses.
  std::vector<size_t> Select(
      const SubsetCandidate& aSelf,
      std::span<const SubsetCandidate> aCandidates) const;

 private:
  /// Largest numbers.
  SubsetBounds bounds;
};

}  // namespace fescueline
