#pragma once

#include <cstdint>

#include "Core/Time.h"

namespace fescueline {

/// Settings of outlier ejection. See docs/routing.md for the measurements.
struct HealthSettings {
  /// A target is a straggler when its latency exceeds the peers' median by
  /// this factor and by latencySlack.
  double latencyFactor = 3.0;
  /// Minimum excess latency, so that noise of fast services is ignored.
  Duration latencySlack = std::chrono::milliseconds(2);
  /// A target is failing when its failure rate exceeds the peers' median by
  /// this much, so that a fault common to all targets ejects none.
  double failureMargin = 0.3;
  /// Weight of a new sample in the moving averages.
  double smoothing = 0.1;
  /// Samples needed between two evaluations.
  uint32_t minSamples = 10;
  /// Factor by which each evaluation as an outlier multiplies the weight.
  double reduction = 0.25;
  /// A target whose weight falls below this is ejected.
  double ejectBelow = 0.1;
  /// Time to the first probe; doubles with each failed probe.
  Duration firstEjection = std::chrono::seconds(2);
  /// Longest time between two probes.
  Duration longestEjection = std::chrono::seconds(30);
  /// Consecutive successful probes that end an ejection.
  uint32_t probesToReturn = 3;
  /// Calls in flight count as hanging when their mean age and the time since
  /// the last success both exceed the peers' median latency times this factor
  /// plus hangingSlack.
  double hangingFactor = 10.0;
  Duration hangingSlack = std::chrono::milliseconds(100);
};

/// Medians over the targets of a service, to which each target is compared.
struct PeerMedians {
  /// Median latency in seconds; 0 while unknown.
  double latency = 0.0;
  /// Median failure rate.
  double failures = 0.0;
};

/// State of a started call, to be passed to TargetHealth::OnFinish().
struct HealthTicket {
  /// Start of the call.
  TimePoint start;
  /// TargetHealth's epoch at the start.
  uint32_t epoch = 0;
  /// Whether the target was ejected at the start: the call is a probe.
  bool probe = false;
};

/// Outlier detection for one target: compares its latency and failure rate with
/// those of its peers. The weight of an outlier is reduced stepwise until
/// ejection; an ejected target is probed and reinstated with a low weight.
/// Results of calls that started before the last ejection or reinstatement are
/// ignored. Not thread-safe.
class TargetHealth {
 public:
  /// Records the start of a call.
  HealthTicket OnStart(TimePoint aNow);

  /// Records the end of a call. aIsSample is false for a result that is no
  /// sample of the target's health, such as a cancelled call.
  void OnFinish(const HealthTicket& aTicket, bool aIsSample, bool aSuccess,
                TimePoint aNow, const PeerMedians& aMedians,
                const HealthSettings& aSettings);

  /// Highest of three ratios to their limits: latency, failure rate and age of
  /// the calls in flight. Above 1, the target is an outlier. Latency and
  /// failure rate count only with enough samples.
  double OutlierScore(TimePoint aNow, const PeerMedians& aMedians,
                      const HealthSettings& aSettings) const;

  /// Reduces the weight after an evaluation as an outlier, and ejects the
  /// target when the weight falls below ejectBelow.
  void Reduce(TimePoint aNow, const HealthSettings& aSettings);
  /// Restores a part of the weight after an evaluation as healthy.
  void Recover(const HealthSettings& aSettings);
  /// Ends an ejection at once.
  void Reinstate(const HealthSettings& aSettings);

  /// Share of its usual traffic that the target should get, in (0, 1].
  double Weight() const { return this->weight; }
  bool Ejected() const { return this->ejected; }
  /// Whether the target gets less than its usual traffic.
  bool Impaired() const { return this->ejected || this->weight < 1.0; }
  /// Whether the target is ejected and a probe may be sent now.
  bool ProbeDue(TimePoint aNow) const;
  /// Whether there are enough samples for an evaluation.
  bool HasSamples(const HealthSettings& aSettings) const {
    return this->samples >= aSettings.minSamples;
  }
  /// Moving average of the latency in seconds.
  double Latency() const { return this->latency; }
  /// Moving average of the failure rate.
  double Failures() const { return this->failures; }

 private:
  /// Records the result of a probe.
  void OnProbe(bool aGood, TimePoint aNow, const HealthSettings& aSettings);
  /// Mean age of the calls in flight, in seconds.
  double MeanAge(TimePoint aNow) const;

  /// Moving average of the latency in seconds.
  double latency = 0.0;
  /// Moving average of failures (1) and successes (0).
  double failures = 0.0;
  /// Current share of the usual traffic.
  double weight = 1.0;
  /// Samples since the start of the epoch or the last evaluation.
  uint32_t samples = 0;
  /// Incremented by each ejection and reinstatement.
  uint32_t epoch = 0;
  /// Failed probes since the ejection, for the backoff of the next probe.
  uint32_t failedProbes = 0;
  /// Consecutive successful probes.
  uint32_t successfulProbes = 0;
  uint32_t probesInFlight = 0;
  /// Calls in flight, probes included.
  uint32_t inFlight = 0;
  /// Sum of the start times of calls in flight, in microseconds, for their
  /// mean age.
  int64_t startSum = 0;
  /// End of the last successful call.
  TimePoint lastSuccess{};
  /// Whether the target gets only probes.
  bool ejected = false;
  /// Earliest time of the next probe.
  TimePoint ejectedUntil{};
};

}  // namespace fescueline
