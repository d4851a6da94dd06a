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

/// Rules of choosing a target.
struct TargetPickerSettings {
  /// Utilisation of the better of two near targets from which farther ones
  /// are considered.
  double spilloverThreshold = 0.7;
  /// A farther target must be less utilised by this much.
  double spilloverMargin = 0.15;
  /// One call in this many may probe an ejected target.
  uint64_t probeInterval = 64;
};

/// Chooses a target by two random choices on utilisation, in the own data
/// centre while it has room. Allocates nothing. Not thread-safe; the owner
/// locks the table and the picker together.
class TargetPicker {
 public:
  TargetPicker(const TargetTable& aTable, const TargetPickerSettings& aSettings)
      : table(aTable), settings(aSettings) {}

  /// A target of the service that is not in aExclude; nothing if there is
  /// none that may be used.
  std::optional<TargetRef> Pick(std::string_view aService,
                                std::span<const TargetRef> aExclude,
                                TimePoint aNow, RandomSource& aRandom) const;

 private:
  /// One call of Pick.
  struct Choice {
    /// Targets not to use.
    std::span<const TargetRef> exclude;
    /// Time of the choice.
    TimePoint now;
    /// Source of random numbers.
    RandomSource& random;
  };
  using Indexes = std::vector<uint32_t>;

  bool Excluded(const Choice& aChoice, uint32_t aIndex) const;
  /// An ejected target that is due for a probe, for few of the calls.
  std::optional<uint32_t> Probe(const Choice& aChoice,
                                const Indexes& aEjected) const;
  /// The less utilised of two targets, each drawn in proportion to weight.
  std::optional<uint32_t> BetterOfTwo(const Choice& aChoice,
                                      const Indexes& aList) const;
  /// One target other than aOther, drawn in proportion to weight.
  std::optional<uint32_t> Draw(const Choice& aChoice, const Indexes& aList,
                               std::optional<uint32_t> aOther) const;
  /// AnyUsable target that is not excluded.
  std::optional<uint32_t> AnyUsable(const Choice& aChoice,
                                    const Indexes& aList) const;

  /// Knowledge of the targets.
  const TargetTable& table;
  /// Rules.
  TargetPickerSettings settings;
};

}  // namespace fescueline
