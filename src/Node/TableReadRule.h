#pragma once

#include <cstddef>
#include <optional>

#include "Core/Time.h"

namespace fescueline {

/// Inputs of the decision whether a node reads the configuration table itself.
struct TableReadState {
  /// Members of the fleet that the node knows.
  size_t members = 0;
  /// Whether the node is in the voucher set.
  bool isVoucher = false;
  /// Age of the node's configuration; nothing before the first renewal.
  std::optional<Duration> age;
  /// Freshness limit of the fleet.
  Duration freshnessLimit{};
};

/// Fleets up to this size read the table on every node: at 4 reads a second
/// each, 64 nodes use an eighth of the 2,000 reads a second that the table
/// service handles.
constexpr size_t kSmallFleet = 64;

/// Whether a node reads the table now. In larger fleets only vouchers do, and
/// nodes whose configuration is not renewed by relays in time.
inline bool ShouldReadTable(const TableReadState& aState) {
  return aState.members <= kSmallFleet || aState.isVoucher || !aState.age ||
         *aState.age > aState.freshnessLimit / 2;
}

}  // namespace fescueline
