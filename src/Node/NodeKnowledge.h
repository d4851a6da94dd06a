#pragma once

#include <optional>

#include "Core/OrderedMutex.h"
#include "Freshness/FreshnessLease.h"
#include "Freshness/VouchTally.h"
#include "Freshness/VoucherEligibility.h"

namespace fescueline {

/// How recent this node's knowledge of the configuration is. Thread-safe (lock
/// rank Freshness).
class NodeKnowledge {
 public:
  NodeKnowledge(Duration aLimit, TimePoint aStartedAt);

  /// Whether closed routes may be served and shares spent.
  bool IsFresh(TimePoint aNow);
  /// Age of the knowledge; nothing before the first renewal.
  std::optional<Duration> Age(TimePoint aNow);
  /// When the present knowledge stops being fresh.
  std::optional<TimePoint> ExpiresAt();
  /// A table read sent at aAskedAt reached aVersion and was applied.
  void RenewByTable(uint64_t aVersion, TimePoint aAskedAt);
  /// A peer answered a pull sent at aAskedAt.
  void RenewByRelay(const RelayAnswer& aAnswer, TimePoint aAskedAt,
                    uint64_t aAppliedVersion);
  /// A majority of the vouchers has answered.
  void RenewByVouches(const VouchTally& aTally, const VoucherSet& aCurrent,
                      uint64_t aAppliedVersion);
  /// Answer to a peer's pull; nothing unless fresh.
  std::optional<RelayAnswer> Relay(TimePoint aNow);
  /// Whether this incarnation's vouches count.
  bool MayVouch();

 private:
  /// Guards everything below.
  OrderedMutex mutex{LockRank::Freshness};
  /// Age of the knowledge.
  FreshnessLease lease;
  /// Whether this incarnation may vouch.
  VoucherEligibility eligibility;
};

}  // namespace fescueline
