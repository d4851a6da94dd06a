#pragma once

#include <chrono>
#include <concepts>

namespace fescueline {

/// Span of time with nanosecond resolution.
using Duration = std::chrono::nanoseconds;

/// Point on the monotonic clock of this process. Time points of different
/// processes are not comparable; messages carry ages and remaining times.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A source of monotonic time.
template <typename T>
concept Clock = requires(const T& aClock) {
  { aClock.Now() } -> std::same_as<TimePoint>;
};

/// Reads the monotonic clock of the system. Stateless, thread-safe.
struct SteadyClock {
  TimePoint Now() const { return std::chrono::steady_clock::now(); }
};

/// Clock that tests advance explicitly. Not thread-safe.
struct ManualClock {
  TimePoint Now() const { return this->now; }
  void Advance(Duration aStep) { this->now += aStep; }

  /// Current time; starts well after the epoch so that tests can subtract.
  TimePoint now{std::chrono::hours(1)};
};

/// Seconds as a floating-point number.
inline double ToSeconds(Duration aDuration) {
  return std::chrono::duration<double>(aDuration).count();
}

/// Duration from floating-point seconds, truncated to nanoseconds.
inline Duration FromSeconds(double aSeconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(aSeconds));
}

}  // namespace fescueline
