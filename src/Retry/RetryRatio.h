#pragma once

#include <array>
#include <cstdint>

#include "Core/Time.h"

namespace fescueline {

/// Bounds of a RetryRatio.
struct RetryRatioSettings {
  /// Retries allowed per first attempt within the window.
  double ratio = 0.1;
  /// Retries allowed within a window in any case, so that a quiet node may
  /// retry. 10,000 nodes with 5 in 10 s each make 5,000 retries/s at most,
  /// half a percent of the design load.
  uint32_t floor = 5;
  /// Length of the sliding window.
  Duration window = std::chrono::seconds(10);
};

/// Limits a node's retries to a share of its first attempts over a sliding
/// window. Not thread-safe; the owner locks.
class RetryRatio {
 public:
  explicit RetryRatio(const RetryRatioSettings& aSettings);

  /// Counts a first attempt.
  void OnFirst(TimePoint aNow);

  /// Counts a retry and returns true, or returns false if the limit, or the
  /// given share of it, is reached.
  bool TryRetry(TimePoint aNow, double aShare = 1.0);

  /// Counts a retry that was decided elsewhere, such as a call that a repeated
  /// run makes again.
  void OnRepeat(TimePoint aNow);

  /// Share of the allowance that is used, for metrics.
  double Utilisation(TimePoint aNow);

 private:
  static constexpr size_t kBuckets = 10;

  /// Counts of one part of the window.
  struct Bucket {
    /// First attempts.
    uint64_t firstAttempts = 0;
    /// Retries.
    uint64_t retries = 0;
  };

  /// Drops the buckets that have left the window.
  void Advance(TimePoint aNow);
  /// Retries allowed in the current window.
  double Allowance() const;

  /// Bounds.
  RetryRatioSettings settings;
  /// Length of one bucket.
  Duration bucketLength;
  /// Ring of counts; the current bucket is at `current`.
  std::array<Bucket, kBuckets> buckets{};
  /// Index of the current bucket.
  size_t current = 0;
  /// Start of the current bucket.
  TimePoint start{};
  /// Sum of all buckets.
  Bucket total;
};

}  // namespace fescueline
