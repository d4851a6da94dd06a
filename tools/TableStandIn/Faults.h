#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "Core/Time.h"

namespace fescueline {

/// Limits calls per second; a token bucket that starts full. One thread.
class CallRate {
 public:
  explicit CallRate(double aPerSecond) : perSecond(aPerSecond) {}

  /// Changes the rate.
  void Set(double aPerSecond) { this->perSecond = aPerSecond; }
  /// Whether a call at this time is within the rate.
  bool Admit(TimePoint aNow);

 private:
  /// Calls per second.
  double perSecond;
  /// Calls available at the last update.
  double available = 0;
  /// Time of the last update; before the first call the bucket is full.
  TimePoint updated{};
};

/// Faults that the stand-in injects, switched by POST /control. One thread.
struct Faults {
  /// Answer 503 to every call, with no effect.
  bool down = false;
  /// Delay before a call takes effect.
  Duration slow{};
  /// Next writes that take effect and get no answer.
  uint64_t loseAnswers = 0;
  /// Next writes that get neither effect nor answer.
  uint64_t loseRequests = 0;
  /// Limit of writes; several hundred a second is what the platform states.
  CallRate writes{400};
  /// Limit of reads; the platform states about two thousand a second.
  CallRate reads{2000};

  /// Applies a JSON object whose fields are down, slow (milliseconds),
  /// lose_answers, lose_requests, writes_per_second and reads_per_second.
  /// Absent fields stay as they are. Throws Error, and then changes nothing.
  void Control(std::string_view aJson);
};

/// Counts of what the stand-in did. One thread.
struct StandInStats {
  /// Reads that were executed.
  uint64_t reads = 0;
  /// Writes that were executed, conflicts and repeated tokens included.
  uint64_t writes = 0;
  /// Writes whose check or condition failed.
  uint64_t conflicts = 0;
  /// Calls beyond the rate.
  uint64_t throttled = 0;
  /// Calls answered 503 while down.
  uint64_t refused = 0;
  /// Malformed calls.
  uint64_t rejected = 0;
  /// Writes that took effect without an answer.
  uint64_t answersLost = 0;
  /// Writes without effect and answer.
  uint64_t requestsLost = 0;

  /// JSON object with one field for each count.
  std::string ToJson() const;
};

}  // namespace fescueline
