#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fescueline {

/// The vouchers, as listed in the record `vouchers`: the nodes whose
/// acknowledgements count towards the majority (quorum) that accepts a version
/// of the configuration. Every majority of them therefore includes a node that
/// knows the latest accepted version. Immutable.
///
/// Contract: consecutive sets differ by one added or one removed member, so
/// every majority of one intersects every majority of the other. Replacing a
/// member in one step is not allowed: {a, b, c} and {a, b, d} have the disjoint
/// majorities {a, c} and {b, d}. A writer commits the next set only after the
/// current one is accepted (`AcceptanceWait` over both sets).
class VoucherSet {
 public:
  VoucherSet() = default;
  /// aVersion is the table version of the record; members are sorted and
  /// duplicates are dropped.
  VoucherSet(uint64_t aVersion, std::vector<std::string> aMembers);

  uint64_t Version() const { return this->version; }
  const std::vector<std::string>& Members() const { return this->members; }
  bool Contains(std::string_view aNode) const;
  /// Number of members that form a majority. It is 1 for an empty set, which
  /// therefore has no majority.
  size_t MajoritySize() const { return this->members.size() / 2 + 1; }
  /// Whether aNext may replace this set: it has a higher version, is not empty,
  /// and has one member more or less. Any set may replace the empty one, with
  /// which a fleet starts.
  bool CanChangeTo(const VoucherSet& aNext) const;

 private:
  /// Table version of the record.
  uint64_t version = 0;
  /// Node ids in ascending order.
  std::vector<std::string> members;
};

}  // namespace fescueline
