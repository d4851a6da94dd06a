#include "Routing/TargetHealth.h"

#include <algorithm>

namespace fescueline {

namespace {
/// Probes of one target at a time from one node.
constexpr uint32_t kProbeSlots = 1;
/// Factor on the weight at each good judgement.
constexpr double kRecovery = 2.0;
/// Doublings after which the ejection time is at its longest in any case.
constexpr uint32_t kMaxDoublings = 16;

int64_t Microseconds(TimePoint aTime) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             aTime.time_since_epoch())
      .count();
}

/// Latency from which a target counts as a straggler.
double SlowFrom(const HealthNorm& aNorm, const HealthSettings& aSettings) {
  return std::max(aNorm.latency * aSettings.latencyFactor,
                  aNorm.latency + ToSeconds(aSettings.latencySlack));
}
}  // namespace

HealthTicket TargetHealth::OnStart(TimePoint aNow) {
  ++this->inFlight;
  this->startSum += Microseconds(aNow);
  this->probesInFlight += this->ejected ? 1 : 0;
  return {.start = aNow, .epoch = this->epoch, .probe = this->ejected};
}

void TargetHealth::OnFinish(const HealthTicket& aTicket, bool aCounts,
                            bool aSuccess, TimePoint aNow,
                            const HealthNorm& aNorm,
                            const HealthSettings& aSettings) {
  --this->inFlight;
  this->startSum -= Microseconds(aTicket.start);
  if (aTicket.epoch != this->epoch) {
    return;
  }
  this->probesInFlight -= aTicket.probe ? 1 : 0;
  if (aCounts && aSuccess) {
    this->lastSuccess = aNow;
  }
  const double seconds = ToSeconds(aNow - aTicket.start);
  if (!aCounts) {
    return;
  }
  if (aTicket.probe) {
    const bool fast =
        aNorm.latency <= 0.0 || seconds <= SlowFrom(aNorm, aSettings);
    this->OnProbe(aSuccess && fast, aNow, aSettings);
    return;
  }
  const double share =
      this->samples == 0 && this->latency <= 0.0 ? 1.0 : aSettings.smoothing;
  // A fast failure must not make a target look fast.
  if (aSuccess || seconds > this->latency) {
    this->latency += share * (seconds - this->latency);
  }
  this->failures +=
      aSettings.smoothing * ((aSuccess ? 0.0 : 1.0) - this->failures);
  ++this->samples;
}

double TargetHealth::Badness(TimePoint aNow, const HealthNorm& aNorm,
                             const HealthSettings& aSettings) const {
  double badness = 0.0;
  if (this->HasSamples(aSettings)) {
    badness = std::max(
        badness, (this->failures - aNorm.failures) / aSettings.failureMargin);
    if (aNorm.latency > 0.0) {
      badness = std::max(badness, this->latency / SlowFrom(aNorm, aSettings));
    }
  }
  if (this->inFlight > 0 && aNorm.latency > 0.0) {
    const double hangingFrom = aNorm.latency * aSettings.hangingFactor +
                               ToSeconds(aSettings.hangingSlack);
    // One long call among short ones is not a hanging target.
    const double silence = ToSeconds(aNow - this->lastSuccess);
    badness =
        std::max(badness, std::min(silence, this->MeanAge(aNow)) / hangingFrom);
  }
  return badness;
}

void TargetHealth::Reduce(TimePoint aNow, const HealthSettings& aSettings) {
  if (this->ejected) {
    return;
  }
  this->samples = 0;
  this->weight *= aSettings.reduction;
  if (this->weight >= aSettings.ejectBelow) {
    return;
  }
  this->weight = aSettings.ejectBelow;
  this->ejected = true;
  ++this->epoch;
  this->probesInFlight = 0;
  this->goodProbes = 0;
  this->failedProbes = 0;
  this->ejectedUntil = aNow + aSettings.firstEjection;
}

void TargetHealth::Recover(const HealthSettings& aSettings) {
  if (this->ejected || !this->HasSamples(aSettings)) {
    return;
  }
  this->samples = 0;
  this->weight = std::min(1.0, this->weight * kRecovery);
}

void TargetHealth::Reinstate(const HealthSettings& aSettings) {
  this->ejected = false;
  ++this->epoch;
  this->probesInFlight = 0;
  this->weight = aSettings.ejectBelow;
  // The averages describe the time before the ejection.
  this->latency = 0.0;
  this->failures = 0.0;
  this->samples = 0;
}

bool TargetHealth::WantsProbe(TimePoint aNow) const {
  return this->ejected && aNow >= this->ejectedUntil &&
         this->probesInFlight < kProbeSlots;
}

void TargetHealth::OnProbe(bool aGood, TimePoint aNow,
                           const HealthSettings& aSettings) {
  if (!aGood) {
    this->goodProbes = 0;
    this->failedProbes = std::min(this->failedProbes + 1, kMaxDoublings);
    this->ejectedUntil =
        aNow +
        std::min<Duration>(aSettings.firstEjection * (1 << this->failedProbes),
                           aSettings.longestEjection);
    return;
  }
  if (++this->goodProbes >= aSettings.probesToReturn) {
    this->Reinstate(aSettings);
  }
}

double TargetHealth::MeanAge(TimePoint aNow) const {
  const int64_t meanStart =
      this->startSum / static_cast<int64_t>(this->inFlight);
  return static_cast<double>(Microseconds(aNow) - meanStart) * 1e-6;
}

}  // namespace fescueline
