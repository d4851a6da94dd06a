#pragma once

#include <optional>

#include "Core/OrderedMutex.h"
#include "Freshness/FreshnessLease.h"
#include "Freshness/VouchTally.h"
#include "Freshness/VoucherEligibility.h"

namespace fescueline {

/// How recent this node's configuration is, and whether the node may vouch for
/// it. Thread-safe (lock rank Freshness).
class ConfigFreshness {
 public:
  ConfigFreshness(Duration aLimit, TimePoint aStartedAt);

  /// Whether routes that require a key may be served and shares spent.
  bool IsFresh(TimePoint aNow);
  /// Age of the configuration; nothing before the first renewal.
  std::optional<Duration> Age(TimePoint aNow);
  /// When the configuration stops being fresh unless it is renewed.
  std::optional<TimePoint> ExpiresAt();
  /// Renews the lease after a table read that was sent at aSentAt and has been
  /// applied up to aVersion.
  void RenewByTable(uint64_t aVersion, TimePoint aSentAt);
  /// Renews the lease with a peer's response to a pull sent at aSentAt.
  void RenewByRelay(const RelayResponse& aResponse, TimePoint aSentAt,
                    uint64_t aAppliedVersion);
  /// Renews the lease with the answers of a majority of the vouchers.
  void RenewByVouches(const VouchTally& aTally, const VoucherSet& aCurrent,
                      uint64_t aAppliedVersion);
  /// Answer to a peer's pull; nothing unless fresh.
  std::optional<RelayResponse> Relay(TimePoint aNow);
  /// Whether this incarnation's vouches count.
  bool MayVouch();

 private:
  /// Guards everything below.
  OrderedMutex mutex{LockRank::Freshness};
  /// Tracks the age of the configuration.
  FreshnessLease lease;
  /// Whether this incarnation may vouch.
  VoucherEligibility eligibility;
};

}  // namespace fescueline
