#include "Routing/TargetHealth.h"

#include <algorithm>

namespace fescueline {

namespace {
/// Concurrent probes of one target from one node.
constexpr uint32_t kMaxProbes = 1;
/// Factor by which each evaluation as healthy multiplies the weight.
constexpr double kRecoveryFactor = 2.0;
/// Cap on the doublings of the ejection time, against overflow; the ejection
/// time has reached its maximum before that.
constexpr uint32_t kMaxDoublings = 16;

int64_t Microseconds(TimePoint aTime) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             aTime.time_since_epoch())
      .count();
}

/// Latency above which a target counts as a straggler, in seconds.
double StragglerThreshold(const PeerMedians& aMedians,
                          const HealthSettings& aSettings) {
  return std::max(aMedians.latency * aSettings.latencyFactor,
                  aMedians.latency + ToSeconds(aSettings.latencySlack));
}
}  // namespace

HealthTicket TargetHealth::OnStart(TimePoint aNow) {
  ++this->inFlight;
  this->startSum += Microseconds(aNow);
  this->probesInFlight += this->ejected ? 1 : 0;
  return {.start = aNow, .epoch = this->epoch, .probe = this->ejected};
}

void TargetHealth::OnFinish(const HealthTicket& aTicket, bool aIsSample,
                            bool aSuccess, TimePoint aNow,
                            const PeerMedians& aMedians,
                            const HealthSettings& aSettings) {
  --this->inFlight;
  this->startSum -= Microseconds(aTicket.start);
  if (aTicket.epoch != this->epoch) {
    return;
  }
  this->probesInFlight -= aTicket.probe ? 1 : 0;
  if (aIsSample && aSuccess) {
    this->lastSuccess = aNow;
  }
  const double seconds = ToSeconds(aNow - aTicket.start);
  if (!aIsSample) {
    return;
  }
  if (aTicket.probe) {
    const bool fast = aMedians.latency <= 0.0 ||
                      seconds <= StragglerThreshold(aMedians, aSettings);
    this->OnProbe(aSuccess && fast, aNow, aSettings);
    return;
  }
  const double gain =
      this->samples == 0 && this->latency <= 0.0 ? 1.0 : aSettings.smoothing;
  // A fast failure must not lower the average latency.
  if (aSuccess || seconds > this->latency) {
    this->latency += gain * (seconds - this->latency);
  }
  this->failures +=
      aSettings.smoothing * ((aSuccess ? 0.0 : 1.0) - this->failures);
  ++this->samples;
}

double TargetHealth::OutlierScore(TimePoint aNow, const PeerMedians& aMedians,
                                  const HealthSettings& aSettings) const {
  double score = 0.0;
  if (this->HasSamples(aSettings)) {
    score = std::max(
        score, (this->failures - aMedians.failures) / aSettings.failureMargin);
    if (aMedians.latency > 0.0) {
      score = std::max(score,
                       this->latency / StragglerThreshold(aMedians, aSettings));
    }
  }
  if (this->inFlight > 0 && aMedians.latency > 0.0) {
    const double hangingThreshold = aMedians.latency * aSettings.hangingFactor +
                                    ToSeconds(aSettings.hangingSlack);
    // One long call among short ones does not mean that the target hangs.
    const double sinceSuccess = ToSeconds(aNow - this->lastSuccess);
    score = std::max(
        score, std::min(sinceSuccess, this->MeanAge(aNow)) / hangingThreshold);
  }
  return score;
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
  this->successfulProbes = 0;
  this->failedProbes = 0;
  this->ejectedUntil = aNow + aSettings.firstEjection;
}

void TargetHealth::Recover(const HealthSettings& aSettings) {
  if (this->ejected || !this->HasSamples(aSettings)) {
    return;
  }
  this->samples = 0;
  this->weight = std::min(1.0, this->weight * kRecoveryFactor);
}

void TargetHealth::Reinstate(const HealthSettings& aSettings) {
  this->ejected = false;
  ++this->epoch;
  this->probesInFlight = 0;
  this->weight = aSettings.ejectBelow;
  // The averages are from before the ejection.
  this->latency = 0.0;
  this->failures = 0.0;
  this->samples = 0;
}

bool TargetHealth::ProbeDue(TimePoint aNow) const {
  return this->ejected && aNow >= this->ejectedUntil &&
         this->probesInFlight < kMaxProbes;
}

void TargetHealth::OnProbe(bool aGood, TimePoint aNow,
                           const HealthSettings& aSettings) {
  if (!aGood) {
    this->successfulProbes = 0;
    this->failedProbes = std::min(this->failedProbes + 1, kMaxDoublings);
    this->ejectedUntil =
        aNow +
        std::min<Duration>(aSettings.firstEjection * (1 << this->failedProbes),
                           aSettings.longestEjection);
    return;
  }
  if (++this->successfulProbes >= aSettings.probesToReturn) {
    this->Reinstate(aSettings);
  }
}

double TargetHealth::MeanAge(TimePoint aNow) const {
  const int64_t meanStart =
      this->startSum / static_cast<int64_t>(this->inFlight);
  return static_cast<double>(Microseconds(aNow) - meanStart) * 1e-6;
}

}  // namespace fescueline
