#pragma once

#include <cstdint>

#include "Core/Identifiers.h"
#include "Core/Importance.h"

namespace fescueline {

/// Maps a root id to [0, 65535). All hops of a request compute the same value,
/// so equal thresholds admit the same requests at every hop.
uint16_t RootHash(const Id128& aRootId);

/// Requests of one organisation that a service admits: all classes more
/// important than `importance`, and within `importance` the requests whose root
/// hash is below `cutoff`.
struct AdmissionThreshold {
  /// Every root hash is below this cutoff.
  static constexpr uint16_t kFullCutoff = 65535;

  /// Least important class that is admitted at least partially.
  Importance importance = Importance::Low;
  /// Share of that class, in units of 1/65535.
  uint16_t cutoff = kFullCutoff;

  /// Whether the threshold admits a request.
  bool Admits(Importance aImportance, uint16_t aRootHash) const;
  /// Number of admitted classes, with the last counted fractionally: 0 admits
  /// nothing and kImportanceClasses everything. Levels can be averaged.
  double Level() const;
  /// Inverse of Level(); values out of range are clamped.
  static AdmissionThreshold FromLevel(double aLevel);
  /// Whether every request is admitted.
  bool AdmitsAll() const {
    return this->importance == Importance::Low && this->cutoff == kFullCutoff;
  }

  bool operator==(const AdmissionThreshold&) const = default;
};

}  // namespace fescueline
