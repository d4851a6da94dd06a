#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "Core/Time.h"

namespace fescueline {

/// Limits calls per second with a token bucket that starts full. Not
/// thread-safe.
class CallRate {
 public:
  explicit CallRate(double aPerSecond) : perSecond(aPerSecond) {}

  void Set(double aPerSecond) { this->perSecond = aPerSecond; }
  /// Takes a token for a call at this time. Returns false if there is none.
  bool Admit(TimePoint aNow);

 private:
  double perSecond;
  /// Tokens at the last update.
  double available = 0;
  /// Time of the last update. The initial value lies far in the past, so that
  /// the bucket is full at the first call.
  TimePoint updated{};
};

/// Faults that the stand-in injects, set by POST /control. Not thread-safe.
struct Faults {
  /// Respond 503 to every call, without effect.
  bool down = false;
  /// Delay before a call takes effect.
  Duration delay{};
  /// Number of next writes that take effect and get no response.
  uint64_t loseResponses = 0;
  /// Number of next writes that have no effect and get no response.
  uint64_t loseRequests = 0;
  /// Limit of writes; the platform declares several hundred per second.
  CallRate writes{400};
  /// Limit of reads; the platform declares about two thousand per second.
  CallRate reads{2000};

  /// Applies a JSON object whose fields are down, slow (milliseconds),
  /// lose_answers, lose_requests, writes_per_second and reads_per_second.
  /// Missing fields keep their values. Throws Error without changing anything.
  void Apply(std::string_view aJson);
};

/// Counters of the stand-in. Not thread-safe.
struct StandInStats {
  /// Executed reads.
  uint64_t reads = 0;
  /// Executed writes, including conflicts and retries with a token that was
  /// already used.
  uint64_t writes = 0;
  /// Writes whose check or condition failed.
  uint64_t conflicts = 0;
  /// Calls refused by the rate limits.
  uint64_t throttled = 0;
  /// Calls refused with 503 while down.
  uint64_t refused = 0;
  /// Malformed calls.
  uint64_t rejected = 0;
  /// Writes that took effect and got no response.
  uint64_t responsesLost = 0;
  /// Writes that had no effect and got no response.
  uint64_t requestsLost = 0;

  /// JSON object with one field per counter.
  std::string ToJson() const;
};

}  // namespace fescueline
