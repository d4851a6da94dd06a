#include "Admission/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace fescueline {

namespace {
/// Growth factor per measurement until queueing is first detected.
constexpr double kFastGrowth = 1.5;
/// Completions skipped after a change of the limit, as a multiple of the limit.
/// With exponential service times, the mean latency of the next completions is
/// 14% too low after two rounds and 37% after one.
constexpr uint32_t kSkippedRounds = 2;
/// Gain of the baseline's moving average below the limit.
constexpr double kBaselineGain = 0.1;
/// Gain of the baseline's moving average at the limit, where only lower
/// latencies are used; with a higher gain the baseline would follow the minimum
/// of the noise.
constexpr double kSaturatedGain = 0.02;
/// Lowest ratio of the limit in a check to the concurrency before it. Lower
/// values give a clearer result but leave more of the target idle.
constexpr double kCheckFactor = 0.5;
/// Standard deviations of the measured mean that the expected drop spans. The
/// decision threshold is half of the drop. Assumes service times whose standard
/// deviation equals their mean, such as exponential ones.
constexpr double kCheckDeviations = 5.5;
/// A check with at least this expected drop needs no second check.
constexpr double kClearEffect = 0.45;
/// Ratio of concurrency to limit from which the target counts as overloaded.
constexpr double kFullUtilisation = 0.95;
/// Latency as a multiple of the latency expected if it were all queueing; below
/// this ratio the latency may still include queueing.
constexpr double kQueueingRatio = 1.2;
/// Ratio of concurrency to limit below which the target is assumed not to queue
/// requests.
constexpr double kIdleUtilisation = 0.75;
}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitSettings& aSettings)
    : settings(aSettings),
      limit(aSettings.initial),
      ceiling(aSettings.maximum),
      // The first completions are biased towards short requests.
      skipCount(kSkippedRounds * aSettings.initial),
      samplesNeeded(aSettings.samples),
      checkInterval(aSettings.minCheckInterval) {}

void ConcurrencyLimit::SetDeclaredLimits(std::optional<uint32_t> aSlots,
                                         std::optional<uint32_t> aConnections) {
  const uint32_t before = this->ceiling;
  this->ceiling = std::max<uint32_t>(
      1,
      std::min({this->settings.maximum, aSlots.value_or(this->settings.maximum),
                aConnections.value_or(this->settings.maximum)}));
  if (aSlots && before != this->ceiling && this->baseline == 0) {
    this->limit = this->ceiling;
    this->skipCount = kSkippedRounds * this->ceiling;
  }
  this->limit = std::min(this->limit, static_cast<double>(this->ceiling));
}

uint32_t ConcurrencyLimit::Limit() const {
  return std::clamp<uint32_t>(static_cast<uint32_t>(this->limit), 1,
                              this->ceiling);
}

void ConcurrencyLimit::Finished(Duration aOwnTime, uint32_t aActive,
                                TimePoint aStarted, TimePoint aNow) {
  this->lastFinish = aNow;
  if (aStarted < this->changedAt) {
    return;
  }
  if (this->skipCount > 0) {
    --this->skipCount;
    return;
  }
  ++this->samples;
  this->latencySum += ToSeconds(aOwnTime);
  this->activeSum += aActive;
  this->saturatedSamples += aActive >= this->Limit() ? 1 : 0;
  if (this->samples < this->samplesNeeded) {
    return;
  }
  const Measurement measurement{
      .latency = this->latencySum / this->samples,
      .active = this->activeSum / this->samples,
      .saturated = this->saturatedSamples * 2 >= this->samples};
  this->samples = 0;
  this->saturatedSamples = 0;
  this->latencySum = 0;
  this->activeSum = 0;
  if (this->beforeCheck) {
    this->EndCheck(measurement);
  } else {
    this->Evaluate(measurement);
  }
}

void ConcurrencyLimit::Evaluate(const Measurement& aMeasurement) {
  const double latency = aMeasurement.latency;
  const bool idle = aMeasurement.active < kIdleUtilisation * this->limit;
  if (this->baseline == 0 ||
      latency * this->settings.tolerance < this->baseline) {
    this->baseline = latency;
    this->baselineChecked = idle;
  }
  if (latency > this->baseline * this->settings.tolerance) {
    if (!aMeasurement.saturated && !this->queueingSuspected) {
      // The last requests of a slow phase can look like queueing. A check costs
      // throughput, and below the limit waiting for a second measurement costs
      // nothing.
      this->queueingSuspected = true;
      return;
    }
    this->queueingSuspected = false;
    this->fastGrowth = false;
    if (aMeasurement.active < this->settings.minimum) {
      // There are too few requests to queue, so the target has become slower.
      this->baseline = latency;
      return;
    }
    const double impliedLimit = aMeasurement.active * this->settings.headroom *
                                this->baseline / latency;
    const double loweredLimit =
        std::max(impliedLimit, aMeasurement.active * kCheckFactor);
    if (this->confirming) {
      this->confirming = false;
      this->SetLimit(loweredLimit);
    } else {
      this->BeginCheck(aMeasurement, loweredLimit);
    }
    return;
  }
  this->confirming = false;
  this->queueingSuspected = false;
  if (!aMeasurement.saturated) {
    this->baseline += kBaselineGain * (latency - this->baseline);
    this->baselineChecked = this->baselineChecked || idle;
  } else if (latency < this->baseline) {
    this->baseline += kSaturatedGain * (latency - this->baseline);
  }
  if (!aMeasurement.saturated) {
    return;
  }
  if (this->fastGrowth && this->limit < this->ceiling) {
    // No check yet: the baseline of a low limit is the best estimate so far.
    this->Grow(latency);
    return;
  }
  // A check lowers the limit; without overload it would only shed requests.
  const bool full = aMeasurement.active >= kFullUtilisation * this->Limit();
  if (full && (!this->baselineChecked || this->untilCheck == 0)) {
    // The baseline may have been measured with requests queued in the target.
    this->BeginCheck(aMeasurement, aMeasurement.active * kCheckFactor);
    return;
  }
  this->untilCheck -= this->untilCheck > 0 ? 1 : 0;
  if (this->limit < this->ceiling) {
    this->Grow(latency);
  }
}

void ConcurrencyLimit::BeginCheck(const Measurement& aMeasurement,
                                  double aLimit) {
  this->beforeCheck = aMeasurement;
  // The number of samples depends on the latency difference that distinguishes
  // queueing from a slower target.
  const double latency = aMeasurement.latency;
  const double queueingLatency =
      std::max(this->baselineChecked ? this->baseline : 0.0,
               latency * aLimit / aMeasurement.active);
  this->expectedDrop = 1 - std::min(1.0, queueingLatency / latency);
  this->limitBeforeCheck = this->limit;
  this->SetLimit(std::min(aLimit, this->limit));
  this->samplesNeeded = std::clamp(
      static_cast<uint32_t>(std::pow(kCheckDeviations / this->expectedDrop, 2)),
      this->settings.samples / 2, this->settings.samples * 2);
}

void ConcurrencyLimit::EndCheck(const Measurement& aMeasurement) {
  const double latencyBefore = this->beforeCheck->latency;
  const double latencyDuring = aMeasurement.latency;
  const double limitRatio = this->limit / this->beforeCheck->active;
  const bool aboveTolerance =
      latencyBefore > this->baseline * this->settings.tolerance;
  this->beforeCheck.reset();
  // The target's speed may have changed during the check by coincidence, so
  // latency must exceed the baseline again at the restored limit before the
  // limit is lowered permanently.
  this->confirming = true;
  this->SetLimit(this->limitBeforeCheck);
  if (aboveTolerance) {
    // Either the baseline is still valid and latency fell with the limit, or
    // the target has become slower and latency stayed.
    const double queueingLatency =
        std::max(this->baseline, latencyBefore * limitRatio);
    if (latencyDuring >= (queueingLatency + latencyBefore) / 2) {
      // A wrong result would let requests queue in the target, so a result
      // from a small expected drop is checked again.
      this->baseline = (latencyBefore + latencyDuring) / 2;
      this->baselineChecked = this->expectedDrop >= kClearEffect;
    }
    return;
  }
  // If latency did not fall with the limit, neither measurement includes
  // queueing.
  const bool followed = latencyDuring < latencyBefore * (1 + limitRatio) / 2;
  this->baseline =
      followed ? latencyDuring : (latencyBefore + latencyDuring) / 2;
  // If latency fell in proportion to the limit, it may still include queueing.
  this->baselineChecked =
      latencyDuring > latencyBefore * limitRatio * kQueueingRatio;
  this->checkInterval =
      latencyDuring < latencyBefore / this->settings.headroom
          ? this->settings.minCheckInterval
          : std::min(this->checkInterval * 2, this->settings.maxCheckInterval);
  this->untilCheck = this->checkInterval;
}

void ConcurrencyLimit::Grow(double aLatency) {
  // The step grows with the distance of latency from the queueing tolerance.
  const double room = this->settings.tolerance * this->baseline / aLatency - 1;
  const double factor = this->fastGrowth ? kFastGrowth : 1 + room / 2;
  this->SetLimit(std::max(this->limit + 1, this->limit * factor));
}

void ConcurrencyLimit::SetLimit(double aLimit) {
  const double lowest = std::min(this->settings.minimum, this->ceiling);
  this->limit = std::clamp(aLimit, lowest, static_cast<double>(this->ceiling));
  // Only requests that start from now on are sampled, and their first
  // completions are biased towards short requests.
  this->changedAt = this->lastFinish;
  this->skipCount = kSkippedRounds * this->Limit();
  this->samples = 0;
  this->saturatedSamples = 0;
  this->latencySum = 0;
  this->activeSum = 0;
  this->samplesNeeded = this->settings.samples;
}

}  // namespace fescueline
