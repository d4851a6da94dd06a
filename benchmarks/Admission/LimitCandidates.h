#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

#include "Core/Time.h"

namespace fescueline {

/// Base class of the limit algorithms to compare: an upper bound, and
/// measurements of 128 completions.
class LimitCandidate {
 public:
  void SetDeclaredLimits(std::optional<uint32_t> aSlots,
                         std::optional<uint32_t> aConnections) {
    this->ceiling =
        std::min(aSlots.value_or(1000), aConnections.value_or(1000));
    if (aSlots) {
      this->limit = *aSlots;
    }
    // The first completions are biased towards short requests.
    this->skip = 3 * this->Limit();
  }
  uint32_t Limit() const {
    return std::clamp<uint32_t>(static_cast<uint32_t>(this->limit), 1,
                                this->ceiling);
  }

 protected:
  static constexpr uint32_t kSamples = 128;

  /// Adds a sample; true if it completes a measurement.
  bool AddSample(Duration aOwnTime, uint32_t aActive) {
    if (this->skip > 0) {
      --this->skip;
      return false;
    }
    this->sum += ToSeconds(aOwnTime);
    this->saturated += aActive >= this->Limit() ? 1 : 0;
    if (++this->samples < kSamples) {
      return false;
    }
    this->latency = this->sum / kSamples;
    this->atLimit = this->saturated * 2 >= kSamples;
    this->sum = 0;
    this->samples = 0;
    this->saturated = 0;
    return true;
  }
  void SetLimit(double aLimit) {
    this->limit = std::clamp(aLimit, 2.0, static_cast<double>(this->ceiling));
  }

  double limit = 8;
  uint32_t ceiling = 1000;
  double latency = 0;
  bool atLimit = false;

 private:
  double sum = 0;
  uint32_t skip = 0;
  uint32_t samples = 0;
  uint32_t saturated = 0;
};

/// Additive increase while latency is below twice the lowest measured latency,
/// multiplicative decrease above.
class AimdLimit : public LimitCandidate {
 public:
  void Finished(Duration aOwnTime, uint32_t aActive, TimePoint, TimePoint) {
    if (!this->AddSample(aOwnTime, aActive)) {
      return;
    }
    this->lowest = this->lowest == 0 ? this->latency
                                     : std::min(this->lowest, this->latency);
    if (this->latency > 2 * this->lowest) {
      this->SetLimit(this->limit * 0.8);
    } else if (this->atLimit) {
      this->SetLimit(this->limit + 1);
    }
  }

 private:
  double lowest = 0;
};

/// Gradient algorithm: the limit times the ratio of long-term to current
/// latency, plus the square root of the limit as queue allowance.
class GradientLimit : public LimitCandidate {
 public:
  void Finished(Duration aOwnTime, uint32_t aActive, TimePoint, TimePoint) {
    if (!this->AddSample(aOwnTime, aActive)) {
      return;
    }
    this->longTerm =
        this->longTerm == 0
            ? this->latency
            : this->longTerm + 0.02 * (this->latency - this->longTerm);
    if (this->longTerm > 2 * this->latency) {
      // Faster recovery after a phase in which the target was slow.
      this->longTerm *= 0.95;
    }
    if (!this->atLimit) {
      return;
    }
    const double gradient =
        std::clamp(1.2 * this->longTerm / this->latency, 0.5, 1.0);
    const double next = this->limit * gradient + std::sqrt(this->limit);
    this->SetLimit(0.8 * this->limit + 0.2 * next);
  }

 private:
  double longTerm = 0;
};

}  // namespace fescueline
