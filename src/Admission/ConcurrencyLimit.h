#pragma once

#include <cstdint>
#include <optional>

#include "Core/Time.h"

namespace fescueline {

/// Settings of ConcurrencyLimit.
struct ConcurrencyLimitSettings {
  /// Limit of a target that states no slots, until more is learned.
  uint32_t initial = 16;
  uint32_t minimum = 2;
  uint32_t maximum = 1000;
  /// Latency over the baseline that counts as a sign of queueing. The mean of
  /// 128 exponential times has a deviation of 9%, that of the ratio of two such
  /// means one of 13%, so 1.5 is four deviations.
  double tolerance = 1.5;
  /// Limit over the concurrency that latency and baseline imply. It stays
  /// above one so that an error of the estimate idles no slot.
  double headroom = 1.25;
  /// Completions per measurement.
  uint32_t samples = 128;
  /// Measurements at the limit between two checks of the baseline.
  uint32_t minCheckInterval = 32;
  uint32_t maxCheckInterval = 1024;
};

/// Number of requests the local target can usefully run at once, learned from
/// the node's own latency and in-flight counts. The latency without queueing
/// (the baseline) is not taken as constant: when latency exceeds it, the limit
/// is lowered for one measurement. If latency stays, the target has become
/// slower and the baseline moves. If latency follows, and rises again with the
/// limit, the requests queue in the target and the limit is lowered for good.
/// Not thread-safe.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const ConcurrencyLimitSettings& aSettings = {});

  /// Sets what the target states; the limit never exceeds either.
  void SetStated(std::optional<uint32_t> aSlots,
                 std::optional<uint32_t> aConnections);
  /// Bound on requests that occupy the target without waiting for calls of
  /// their own.
  uint32_t Limit() const;
  /// Bound on all requests in flight to the target.
  uint32_t Ceiling() const { return this->ceiling; }
  /// Records a completed request: the time it took without its own calls, the
  /// number active just before it ended, and when it started.
  void Finished(Duration aOwnTime, uint32_t aActive, TimePoint aStarted,
                TimePoint aNow);
  /// Latency without queueing, in seconds; 0 until measured.
  double Baseline() const { return this->baseline; }

 private:
  /// Means over one measurement.
  struct Measurement {
    double latency = 0;
    double active = 0;
    /// Whether the limit was reached most of the time.
    bool saturated = false;
  };

  void Evaluate(const Measurement& aMeasurement);
  /// Lowers the limit for one measurement.
  void BeginCheck(const Measurement& aMeasurement, double aLimit);
  /// Judges the measurement taken at the lowered limit.
  void EndCheck(const Measurement& aMeasurement);
  void Grow(double aLatency);
  /// Sets the limit and discards what was measured under the old one.
  void SetLimit(double aLimit);

  ConcurrencyLimitSettings settings;
  double limit;
  uint32_t ceiling;
  double baseline = 0;
  /// Whether the baseline was measured well below the limit or in a check.
  bool baselineChecked = false;

  /// When the limit was last changed; requests that started earlier are
  /// ignored.
  TimePoint changedAt{};
  TimePoint lastFinish{};
  /// Completions still to be ignored after that.
  uint32_t skipCount;
  uint32_t samples = 0;
  /// Samples at which the measurement is complete.
  uint32_t samplesNeeded;
  /// Samples taken while the limit was reached.
  uint32_t saturatedSamples = 0;
  double latencySum = 0;
  double activeSum = 0;

  /// The measurement and limit before the current check.
  std::optional<Measurement> beforeCheck;
  double limitBeforeCheck = 0;
  /// Change of latency expected if requests are queued in the target.
  double expectedDrop = 0;
  /// Set after one measurement below the limit that suggested queueing.
  bool queueingSuspected = false;
  /// Set for the measurement after a check, at the old limit.
  bool confirming = false;
  /// Measurements at the limit until the next check.
  uint32_t untilCheck = 0;
  uint32_t checkInterval;
  /// Whether the limit still grows by large steps.
  bool fastGrowth = true;
};

}  // namespace fescueline
