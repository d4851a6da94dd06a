#include "Admission/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace fescueline {

namespace {
/// Growth per measurement before queueing was first seen.
constexpr double kFastGrowth = 1.5;
/// Gain of the baseline's moving average.
constexpr double kBaselineGain = 0.2;
}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitSettings& aSettings)
    : settings(aSettings),
      limit(aSettings.initial),
      ceiling(aSettings.maximum) {}

void ConcurrencyLimit::SetStated(std::optional<uint32_t> aSlots,
                                 std::optional<uint32_t> aConnections) {
  const uint32_t before = this->ceiling;
  this->ceiling = std::max<uint32_t>(
      1,
      std::min({this->settings.maximum, aSlots.value_or(this->settings.maximum),
                aConnections.value_or(this->settings.maximum)}));
  const bool stated = aSlots.has_value() || aConnections.has_value();
  if (stated && before != this->ceiling && this->baseline == 0) {
    this->limit = this->ceiling;
  }
  this->limit = std::min(this->limit, static_cast<double>(this->ceiling));
}

uint32_t ConcurrencyLimit::Limit() const {
  return std::clamp<uint32_t>(static_cast<uint32_t>(this->limit), 1,
                              this->ceiling);
}

void ConcurrencyLimit::Finished(Duration aOwnTime, uint32_t aActive) {
  if (this->skip > 0) {
    --this->skip;
    return;
  }
  ++this->samples;
  this->latencySum += ToSeconds(aOwnTime);
  if (aActive >= this->Limit()) {
    ++this->saturatedSamples;
  }
  const auto wanted = std::clamp(2 * this->Limit(), this->settings.minSamples,
                                 this->settings.maxSamples);
  if (this->samples < wanted) {
    return;
  }
  const double latency = this->latencySum / this->samples;
  const bool saturated = this->saturatedSamples * 2 >= this->samples;
  this->samples = 0;
  this->saturatedSamples = 0;
  this->latencySum = 0;
  if (this->probing) {
    this->EndProbe(latency, saturated);
  } else {
    this->Evaluate(latency, saturated);
  }
}

void ConcurrencyLimit::Evaluate(double aLatency, bool aSaturated) {
  if (this->baseline == 0) {
    this->baseline = aLatency;
  }
  if (!aSaturated) {
    // Below the limit there is no queueing, so this is the baseline, whether
    // it rose or fell.
    const bool changed = aLatency > this->baseline * this->settings.tolerance;
    this->baseline =
        changed ? aLatency
                : this->baseline + kBaselineGain * (aLatency - this->baseline);
    return;
  }
  if (aLatency < this->baseline) {
    this->baseline += kBaselineGain * (aLatency - this->baseline);
  }
  if (aLatency > this->baseline * this->settings.tolerance ||
      --this->untilProbe == 0) {
    this->fastGrowth = false;
    this->BeginProbe(aLatency);
    return;
  }
  const double grown = this->fastGrowth
                           ? this->limit * kFastGrowth
                           : this->limit + std::sqrt(this->limit) / 2;
  if (this->limit < this->ceiling) {
    this->SetLimit(grown);
  }
}

void ConcurrencyLimit::BeginProbe(double aLatency) {
  this->probing = true;
  this->limitBeforeProbe = this->limit;
  this->latencyBeforeProbe = aLatency;
  this->SetLimit(this->limit * this->settings.probeFactor);
}

void ConcurrencyLimit::EndProbe(double aLatency, bool aSaturated) {
  this->probing = false;
  const double fall = 1 - aLatency / this->latencyBeforeProbe;
  const double expected = 1 - this->limit / this->limitBeforeProbe;
  const bool followed = fall > expected / 2;
  if (followed && aSaturated) {
    // The work was queueing in the target: keep the lower limit and look
    // further at once.
    this->baseline = std::min(this->baseline, aLatency);
    this->probeInterval = 1;
    this->untilProbe = 1;
    return;
  }
  // Latency does not depend on the limit here, so it is the baseline.
  this->baseline = aLatency;
  this->probeInterval =
      std::min(this->probeInterval * 2, this->settings.maxProbeInterval);
  this->untilProbe = this->probeInterval;
  this->SetLimit(this->limitBeforeProbe);
}

void ConcurrencyLimit::SetLimit(double aLimit) {
  this->limit = std::clamp(
      aLimit,
      static_cast<double>(std::min(this->settings.minimum, this->ceiling)),
      static_cast<double>(this->ceiling));
  this->skip = this->Limit();
  this->samples = 0;
  this->saturatedSamples = 0;
  this->latencySum = 0;
}

}  // namespace fescueline
