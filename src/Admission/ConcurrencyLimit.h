#pragma once

#include <cstdint>
#include <optional>

#include "Core/Time.h"

namespace fescueline {

struct ConcurrencyLimitSettings {
  /// Initial limit for a target that declares no slots.
  uint32_t initial = 16;
  uint32_t minimum = 2;
  uint32_t maximum = 1000;
  /// Ratio of latency to baseline above which requests may be queueing. The
  /// mean of 128 exponential service times has a standard deviation of 9%, the
  /// ratio of two such means one of 13%, so 1.5 is four standard deviations.
  double tolerance = 1.5;
  /// Ratio of the limit to the concurrency that latency and baseline imply.
  /// Above one, so that an estimation error leaves no slot idle.
  double headroom = 1.25;
  /// Completed requests per measurement.
  uint32_t samples = 128;
  /// Bounds of the number of measurements at the limit between two checks of
  /// the baseline.
  uint32_t minCheckInterval = 32;
  uint32_t maxCheckInterval = 1024;
};

/// Adaptive limit of the requests in progress at the local target, estimated
/// from latency and in-flight counts. The latency without queueing (the
/// baseline) may change: when latency exceeds it, the limit is lowered for one
/// measurement (a check). If latency stays, the target has become slower and
/// the baseline is updated. If latency falls with the limit, and rises again
/// when the limit is restored, requests queue in the target and the limit is
/// lowered permanently. Not thread-safe.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const ConcurrencyLimitSettings& aSettings = {});

  /// Sets the slots and connections that the target declares; the limit never
  /// exceeds either.
  void SetDeclaredLimits(std::optional<uint32_t> aSlots,
                         std::optional<uint32_t> aConnections);
  /// Maximum number of requests in progress that are not waiting for child
  /// calls.
  uint32_t Limit() const;
  /// Maximum number of requests in flight to the target, including those that
  /// wait for child calls.
  uint32_t Ceiling() const { return this->ceiling; }
  /// Records a completed request: its latency without child calls, the number
  /// of active requests just before it ended, and its start time.
  void Finished(Duration aOwnTime, uint32_t aActive, TimePoint aStarted,
                TimePoint aNow);
  /// Latency without queueing, in seconds; 0 until measured.
  double Baseline() const { return this->baseline; }

 private:
  /// Mean values over one measurement.
  struct Measurement {
    double latency = 0;
    double active = 0;
    /// Whether the limit was reached in at least half of the samples.
    bool saturated = false;
  };

  void Evaluate(const Measurement& aMeasurement);
  /// Starts a check: lowers the limit for one measurement.
  void BeginCheck(const Measurement& aMeasurement, double aLimit);
  /// Evaluates the measurement taken at the lowered limit.
  void EndCheck(const Measurement& aMeasurement);
  void Grow(double aLatency);
  /// Sets the limit and discards the samples taken under the old limit.
  void SetLimit(double aLimit);

  ConcurrencyLimitSettings settings;
  double limit;
  uint32_t ceiling;
  double baseline = 0;
  /// Whether the baseline was measured well below the limit or by a check.
  bool baselineChecked = false;

  /// Time of the last change of the limit; requests that started earlier are
  /// not sampled.
  TimePoint changedAt{};
  TimePoint lastFinish{};
  /// Further completions that are not sampled after the change.
  uint32_t skipCount;
  uint32_t samples = 0;
  /// Number of samples that completes the measurement.
  uint32_t samplesNeeded;
  /// Samples taken while the limit was reached.
  uint32_t saturatedSamples = 0;
  double latencySum = 0;
  double activeSum = 0;

  /// Measurement and limit before the current check.
  std::optional<Measurement> beforeCheck;
  double limitBeforeCheck = 0;
  /// Relative drop of latency expected in the check if requests queue in the
  /// target.
  double expectedDrop = 0;
  /// Set after one measurement below the limit with excess latency.
  bool queueingSuspected = false;
  /// Set for the measurement after a check, taken at the restored limit.
  bool confirming = false;
  /// Number of further measurements at the limit before the next check, which
  /// lowers the limit to detect queueing in the target.
  uint32_t untilCheck = 0;
  uint32_t checkInterval;
  /// Whether no queueing has been detected yet; the limit grows by kFastGrowth.
  bool fastGrowth = true;
};

}  // namespace fescueline
