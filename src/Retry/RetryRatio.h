#pragma once

#include <array>
#include <cstdint>

#include "Core/Time.h"

namespace fescueline {

struct RetryRatioSettings {
  /// Retries allowed per first attempt within the window.
  double ratio = 0.1;
  /// Minimum number of retries allowed per window, so that a node with little
  /// traffic can retry. 10,000 nodes with 5 retries per 10 s each make at most
  /// 5,000 retries/s, 0.5% of the design load.
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
  void OnFirstAttempt(TimePoint aNow);

  /// Counts a retry and returns true, or returns false if the limit, or the
  /// given share of it, is reached.
  bool TryRetry(TimePoint aNow, double aShare = 1.0);

  /// Counts a retry that another hop decided, without a check of the limit: for
  /// example, a call that is made again because its parent request is retried.
  void OnRetry(TimePoint aNow);

  /// Ratio of retries to the allowance, for metrics.
  double Utilisation(TimePoint aNow);

 private:
  static constexpr size_t kBuckets = 10;

  /// Counts of one part of the window.
  struct Bucket {
    uint64_t firstAttempts = 0;
    uint64_t retries = 0;
  };

  /// Clears the buckets that have left the window.
  void Advance(TimePoint aNow);
  /// Retries allowed in the current window.
  double Allowance() const;

  RetryRatioSettings settings;
  Duration bucketLength;
  /// Ring buffer; the current bucket is at index `current`.
  std::array<Bucket, kBuckets> buckets{};
  size_t current = 0;
  /// Start of the current bucket.
  TimePoint start{};
  /// Sum of all buckets.
  Bucket total;
};

}  // namespace fescueline
