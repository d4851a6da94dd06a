#pragma once

#include <cstdint>

#include "Core/Time.h"

namespace fescueline {

/// Rules of ejection. See docs/routing.md for the measurements.
struct HealthSettings {
  /// A target is a straggler when its latency exceeds the peers' median by
  /// this factor ...
  double latencyFactor = 3.0;
  /// ... and by this much, so that noise of fast services does not count.
  Duration latencySlack = std::chrono::milliseconds(2);
  /// A target is failing when its failure rate exceeds the peers' median by
  /// this much, so that a fault that all targets share ejects none.
  double failureMargin = 0.3;
  /// Weight of a new sample in the moving averages.
  double smoothing = 0.1;
  /// Samples needed between two judgements.
  uint32_t minSamples = 10;
  /// Factor on the weight at each bad judgement.
  double reduction = 0.25;
  /// A weight below this is an ejection.
  double ejectBelow = 0.1;
  /// Length of the first ejection; doubles with each failed probe.
  Duration firstEjection = std::chrono::seconds(2);
  /// Longest time between two probes.
  Duration longestEjection = std::chrono::seconds(30);
  /// Successful probes in a row that end an ejection.
  uint32_t probesToReturn = 3;
  /// Calls with no answer count as hanging when their mean age, and the time
  /// since the last success, exceed the peers' median latency by this factor
  /// ...
  double hangingFactor = 10.0;
  /// ... and by this much.
  Duration hangingSlack = std::chrono::milliseconds(100);
};

/// Medians over the targets of a service, to compare one target with.
struct PeerMedians {
  /// Median latency in seconds; 0 while unknown.
  double latency = 0.0;
  /// Median failure rate.
  double failures = 0.0;
};

/// Identifies a started call towards its target's health.
struct HealthTicket {
  /// Start of the call.
  TimePoint start;
  /// Epoch in which the call started.
  uint32_t epoch = 0;
  /// Whether the target was ejected then, which makes the call a probe.
  bool probe = false;
};

/// Judges one target by its latency and failures compared with its peers. A
/// bad target's weight shrinks step by step to ejection; an ejected target is
/// probed and returns with a small weight. Results of calls that started
/// before the last ejection or return do not count. Not thread-safe.
class TargetHealth {
 public:
  /// Counts a call as started.
  HealthTicket OnStart(TimePoint aNow);

  /// Counts the end of a call. aCounts is false when the result says nothing
  /// about the target.
  void OnFinish(const HealthTicket& aTicket, bool aCounts, bool aSuccess,
                TimePoint aNow, const PeerMedians& aMedians,
                const HealthSettings& aSettings);

  /// How much worse than the rules allow the target is: above 1 is bad, 0 if
  /// there are too few samples to tell.
  double OutlierScore(TimePoint aNow, const PeerMedians& aMedians,
                      const HealthSettings& aSettings) const;

  /// One bad judgement: reduces the weight and ejects when it gets too low.
  void Reduce(TimePoint aNow, const HealthSettings& aSettings);
  /// One good judgement: restores a part of the weight.
  void Recover(const HealthSettings& aSettings);
  /// Ends an ejection at once.
  void Reinstate(const HealthSettings& aSettings);

  /// Share of its usual traffic that the target should get, in (0, 1].
  double Weight() const { return this->weight; }
  bool Ejected() const { return this->ejected; }
  /// Whether the target takes less than its usual traffic.
  bool Impaired() const { return this->ejected || this->weight < 1.0; }
  /// Whether an ejected target may get a probe now.
  bool ProbeDue(TimePoint aNow) const;
  /// Whether there are enough samples for a judgement.
  bool HasSamples(const HealthSettings& aSettings) const {
    return this->samples >= aSettings.minSamples;
  }
  /// Moving average of the latency in seconds.
  double Latency() const { return this->latency; }
  /// Moving average of the failure rate.
  double Failures() const { return this->failures; }

 private:
  /// Counts the result of a probe.
  void OnProbe(bool aGood, TimePoint aNow, const HealthSettings& aSettings);
  /// Mean age of the calls in flight, in seconds.
  double MeanAge(TimePoint aNow) const;

  /// Moving average of the latency in seconds.
  double latency = 0.0;
  /// Moving average of failures (1) and successes (0).
  double failures = 0.0;
  /// Current share of the usual traffic.
  double weight = 1.0;
  /// Samples since the epoch began or the last judgement.
  uint32_t samples = 0;
  /// Changes with each ejection and return.
  uint32_t epoch = 0;
  /// Ejections and failed probes in a row, for the length of the next one.
  uint32_t failedProbes = 0;
  /// Successful probes in a row.
  uint32_t successfulProbes = 0;
  /// Probes without a result.
  uint32_t probesInFlight = 0;
  /// Calls without a result.
  uint32_t inFlight = 0;
  /// Sum of the start times of calls in flight, in microseconds, for their
  /// mean age.
  int64_t startSum = 0;
  /// End of the last successful call.
  TimePoint lastSuccess{};
  /// Whether the target gets probes only.
  bool ejected = false;
  /// No probe before this time.
  TimePoint ejectedUntil{};
};

}  // namespace fescueline
