#pragma once

#include <cstdint>
#include <deque>

#include "Core/Time.h"

namespace fescueline {

struct BreakerSettings {
  /// Size of the sliding window, in outcomes.
  uint32_t window = 20;
  /// Minimum outcomes before the breaker may open.
  uint32_t minOutcomes = 10;
  /// Share of bad outcomes that opens the breaker.
  double openThreshold = 0.5;
  /// Time in the open state before probes are allowed.
  Duration openFor = std::chrono::seconds(2);
  /// Maximum concurrent probes, and number of successful probes that close the
  /// breaker.
  uint32_t probeSlots = 3;
};

/// Circuit breaker of one target, for comparison with the gradual ejection of
/// TargetHealth. It is closed, open, or half-open with bounded probes; results
/// of calls from an earlier generation are ignored.
class CircuitBreaker {
 public:
  explicit CircuitBreaker(const BreakerSettings& aSettings)
      : settings(aSettings) {}

  /// Whether a call may start now.
  bool Allows(TimePoint aNow) const {
    if (!this->open) {
      return true;
    }
    return aNow >= this->openUntil &&
           this->probesInFlight < this->settings.probeSlots;
  }
  bool Open() const { return this->open; }

  /// Records the start of a call; returns the generation to pass to OnFinish().
  uint64_t OnStart() {
    this->probesInFlight += this->open ? 1 : 0;
    return this->generation;
  }

  void OnFinish(uint64_t aGeneration, bool aGood, TimePoint aNow) {
    if (aGeneration != this->generation) {
      return;
    }
    if (this->open) {
      this->OnProbe(aGood, aNow);
      return;
    }
    this->outcomes.push_back(aGood);
    this->bad += aGood ? 0 : 1;
    if (this->outcomes.size() > this->settings.window) {
      this->bad -= this->outcomes.front() ? 0 : 1;
      this->outcomes.pop_front();
    }
    if (this->outcomes.size() >= this->settings.minOutcomes &&
        this->bad >= this->settings.openThreshold *
                         static_cast<double>(this->outcomes.size())) {
      this->Change(true, aNow);
    }
  }

 private:
  void OnProbe(bool aGood, TimePoint aNow) {
    --this->probesInFlight;
    if (!aGood) {
      this->Change(true, aNow);
    } else if (++this->successfulProbes >= this->settings.probeSlots) {
      this->Change(false, aNow);
    }
  }

  void Change(bool aOpen, TimePoint aNow) {
    this->open = aOpen;
    ++this->generation;
    this->probesInFlight = 0;
    this->successfulProbes = 0;
    this->bad = 0;
    this->outcomes.clear();
    this->openUntil = aNow + this->settings.openFor;
  }

  BreakerSettings settings;
  std::deque<bool> outcomes;
  uint32_t bad = 0;
  bool open = false;
  TimePoint openUntil{};
  uint64_t generation = 0;
  uint32_t probesInFlight = 0;
  uint32_t successfulProbes = 0;
};

}  // namespace fescueline
