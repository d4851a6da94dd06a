#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "Core/RandomSource.h"
#include "Core/Time.h"
#include "Routing/TargetTable.h"

namespace fescueline {

struct TargetPickerSettings {
  /// Utilisation of the chosen target from which targets of the next locality
  /// are considered.
  double spilloverThreshold = 0.7;
  /// Least difference in utilisation for which a farther target is preferred.
  double spilloverMargin = 0.15;
  /// One call in this many may probe an ejected target.
  uint64_t probeInterval = 64;
};

/// Load balancer: picks the less utilised of two random targets, in the local
/// data centre unless its targets are loaded. Does not allocate. Not
/// thread-safe; the owner locks the table and the picker together.
class TargetPicker {
 public:
  TargetPicker(const TargetTable& aTable, const TargetPickerSettings& aSettings)
      : table(aTable), settings(aSettings) {}

  /// Picks a target of the service that is not in aExclude; nullopt if no
  /// target is usable.
  std::optional<TargetRef> Pick(std::string_view aService,
                                std::span<const TargetRef> aExclude,
                                TimePoint aNow, RandomSource& aRandom) const;

 private:
  /// Arguments of one call of Pick().
  struct Choice {
    std::span<const TargetRef> exclude;
    TimePoint now;
    RandomSource& random;
  };
  using Indexes = std::vector<uint32_t>;

  bool Excluded(const Choice& aChoice, uint32_t aIndex) const;
  /// For one call in probeInterval: a random ejected target, if it is due for a
  /// probe.
  std::optional<uint32_t> Probe(const Choice& aChoice,
                                const Indexes& aEjected) const;
  /// The less loaded of two targets, each drawn in proportion to weight.
  std::optional<uint32_t> BetterOfTwo(const Choice& aChoice,
                                      const Indexes& aList) const;
  /// One target other than aOther, drawn in proportion to weight.
  std::optional<uint32_t> Draw(const Choice& aChoice, const Indexes& aList,
                               std::optional<uint32_t> aOther) const;
  /// The first usable target that is not excluded, from a random position.
  std::optional<uint32_t> AnyUsable(const Choice& aChoice,
                                    const Indexes& aList) const;

  const TargetTable& table;
  TargetPickerSettings settings;
};

}  // namespace fescueline
