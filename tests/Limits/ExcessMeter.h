#pragma once

#include <algorithm>
#include <cstdint>

#include "Limits/TokenBucket.h"

namespace fescueline {

/// Largest number of admissions beyond rate * t + burst over any window of any
/// length t, from the admission times in ascending order. Exact, in one pass:
/// it tracks a backlog that drains at the rate; the excess of the worst window
/// that ends at an admission is the backlog minus the burst.
class ExcessMeter {
 public:
  explicit ExcessMeter(const Portion& aLimit) : limit(aLimit) {}

  /// Records one admission; times must not decrease.
  void Add(TimePoint aTime) {
    const auto elapsed = static_cast<__int128>((aTime - this->last).count());
    this->last = aTime;
    this->backlog =
        std::max<__int128>(0, this->backlog - elapsed * this->limit.rate) +
        kUnitsPerToken;
    this->largest = std::max(this->largest, this->backlog);
    ++this->count;
  }
  /// Largest excess in micro-tokens, rounded up; 0 if the limit was not
  /// exceeded.
  MicroTokens LargestExcess() const {
    const __int128 excess =
        this->largest - static_cast<__int128>(this->limit.capacity) * kUnits;
    return excess <= 0
               ? 0
               : static_cast<MicroTokens>((excess + kUnits - 1) / kUnits);
  }
  uint64_t Count() const { return this->count; }

 private:
  /// Units of 10^-15 token per micro-token, as in TokenBucket.
  static constexpr __int128 kUnits = 1'000'000'000;
  static constexpr __int128 kUnitsPerToken = kUnits * kMicroTokensPerToken;

  Portion limit;
  TimePoint last{};
  __int128 backlog = 0;
  __int128 largest = 0;
  uint64_t count = 0;
};

}  // namespace fescueline
