#pragma once

#include <cstdint>
#include <optional>

#include "Core/Time.h"

namespace fescueline {

/// Settings of ConcurrencyLimit.
struct ConcurrencyLimitSettings {
  /// Limit of a target that states no slots, until more is learned.
  uint32_t initial = 8;
  uint32_t minimum = 2;
  uint32_t maximum = 1000;
  /// Latency above the baseline, as a factor, that counts as queueing.
  double tolerance = 1.3;
  /// Factor by which the limit is lowered to see whether latency follows.
  double probeFactor = 0.7;
  /// Completions per measurement; fewer make the mean too noisy to compare.
  uint32_t minSamples = 64;
  uint32_t maxSamples = 256;
  /// Saturated measurements between probes, at most.
  uint32_t maxProbeInterval = 32;
};

/// Number of requests the local target can usefully run at once, learned from
/// the node's own latency and in-flight counts. The latency without queueing
/// (the baseline) is not taken as constant: when latency exceeds it, the limit
/// is lowered, and if latency does not follow, the target has become slower
/// and the baseline moves instead. Not thread-safe.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const ConcurrencyLimitSettings& aSettings);

  /// Sets what the target states; the limit never exceeds either.
  void SetStated(std::optional<uint32_t> aSlots,
                 std::optional<uint32_t> aConnections);
  /// Bound on requests that occupy the target without waiting for calls of
  /// their own.
  uint32_t Limit() const;
  /// Bound on all requests in flight to the target.
  uint32_t Ceiling() const { return this->ceiling; }
  /// Records a completed request: the time it took without its own calls, and
  /// the number active just before it ended.
  void Finished(Duration aOwnTime, uint32_t aActive);
  /// Latency without queueing, in seconds; 0 until measured.
  double Baseline() const { return this->baseline; }

 private:
  /// Evaluates a full measurement.
  void Evaluate(double aLatency, bool aSaturated);
  /// Lowers the limit to see whether latency follows.
  void BeginProbe(double aLatency);
  /// Judges the measurement taken at the lowered limit.
  void EndProbe(double aLatency, bool aSaturated);
  /// Sets the limit and discards what was measured under the old one.
  void SetLimit(double aLimit);

  ConcurrencyLimitSettings settings;
  double limit;
  uint32_t ceiling;
  double baseline = 0;

  /// Completions still to be ignored since they began under an older limit.
  uint32_t skip = 0;
  uint32_t samples = 0;
  /// Samples taken while the limit was reached.
  uint32_t saturatedSamples = 0;
  double latencySum = 0;

  /// Set while the limit is lowered for a probe.
  bool probing = false;
  double limitBeforeProbe = 0;
  double latencyBeforeProbe = 0;
  /// Saturated measurements until the next probe, and the current interval.
  uint32_t untilProbe = 1;
  uint32_t probeInterval = 1;
  /// Whether the limit still grows by large steps.
  bool fastGrowth = true;
};

}  // namespace fescueline
