#pragma once

#include <chrono>
#include <ctime>

#include "Core/Time.h"

namespace fescueline {

/// Monotonic clock that keeps running while the instance is suspended. The ages
/// of keys and leases, which give a node authority to act, are measured on it.
/// A type of its own prevents mixing them with times of the steady clock.
struct BootClock {
  using duration = Duration;                              // NOLINT
  using rep = Duration::rep;                              // NOLINT
  using period = Duration::period;                        // NOLINT
  using time_point = std::chrono::time_point<BootClock>;  // NOLINT
  static constexpr bool is_steady = true;                 // NOLINT

  static time_point now() {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) +
                      std::chrono::nanoseconds(time.tv_nsec));
  }
};

/// Point on the BootClock.
using BootTime = BootClock::time_point;

}  // namespace fescueline
