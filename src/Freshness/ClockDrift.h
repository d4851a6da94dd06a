#pragma once

#include "Core/Time.h"

namespace fescueline {

/// Largest difference in speed between two nodes' clocks that the waits allow
/// for, in parts per thousand. Quartz clocks differ by less than 0.2.
inline constexpr int kClockDriftPerMille = 1;

/// A limit measured on one node's clock, lengthened so that it has also passed
/// on every other node's clock.
constexpr Duration WithClockDrift(Duration aLimit) {
  return aLimit + aLimit * kClockDriftPerMille / 1000;
}

}  // namespace fescueline
