#pragma once

#include <optional>

#include "Core/Time.h"
#include "Freshness/ClockDrift.h"
#include "Freshness/FreshnessLease.h"

namespace fescueline {

/// Decides whether the vouches of this incarnation, its answers to `VouchTally`
/// requests, count. Not thread-safe.
///
/// A restarted node no longer knows the versions that it acknowledged. Being
/// fresh is not enough to vouch again: its configuration may be older than the
/// acknowledgement of the former incarnation, and a majority of this node and a
/// voucher that does not know the change would then miss an acknowledged change
/// (models/freshness-broken-restart.pml). One of two conditions is needed:
/// - a table read sent after the start, which covers all committed changes; or
/// - a renewal with an as-of time at least the freshness limit after the start.
///   An acknowledgement counts for at most that long (`AcceptanceWait`), so
///   the as-of time covers every change for which the former incarnation was
///   counted.
class VoucherEligibility {
 public:
  /// aStartedAt is when the process started; aLimit the freshness limit.
  VoucherEligibility(TimePoint aStartedAt, Duration aLimit)
      : startedAt(aStartedAt), limit(aLimit) {}

  /// Call after a table read sent at aSentAt has been applied completely.
  void OnTableRead(TimePoint aSentAt) {
    this->eligible = this->eligible || aSentAt >= this->startedAt;
  }
  /// Call after each renewal of the lease.
  void OnRenewed(const FreshnessLease& aLease) {
    const std::optional<KnownVersion>& current = aLease.Current();
    this->eligible =
        this->eligible ||
        (current &&
         current->asOf >= this->startedAt + WithClockDrift(this->limit));
  }
  /// Whether vouches count. Once true it stays true for this incarnation, which
  /// remembers what it acknowledges.
  bool MayVouch() const { return this->eligible; }

 private:
  /// Start of the process.
  TimePoint startedAt;
  /// Freshness limit of the fleet.
  Duration limit;
  /// Whether one of the conditions was met.
  bool eligible = false;
};

}  // namespace fescueline
