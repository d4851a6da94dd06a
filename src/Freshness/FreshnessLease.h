#pragma once

#include <cstdint>
#include <optional>

#include "Core/Time.h"

namespace fescueline {

/// Upper bound on the configuration version at an earlier time: every change
/// that a majority of the vouchers (see VoucherSet) had acknowledged before
/// `asOf` has a version of at most `version`.
struct KnownVersion {
  uint64_t version = 0;
  /// On the monotonic clock of the node that holds the bound.
  TimePoint asOf;
};

/// Response to a relay pull, in which a node asks a peer instead of the table
/// or the vouchers: the peer's known version with its age instead of a time, as
/// clocks of different nodes are not comparable.
struct RelayResponse {
  uint64_t version = 0;
  /// Age of the peer's as-of time when it answered.
  Duration age{};
};

/// Decides whether this node's configuration is recent enough to serve routes
/// that require a key and to spend the node's shares of rate limits. Not
/// thread-safe; the owner serialises the calls.
///
/// Contract:
/// - The lease is renewed by a read of the configuration table (as-of time:
///   when the query was sent), by a majority of vouchers (`VouchTally`, as-of
///   time: when the request was sent) or by a peer (`RenewByRelay`).
/// - An as-of time is adopted only when the caller has applied every change up
///   to the offered version, so a fresh node has always applied the version
///   that it reports to others.
/// - The as-of time never moves backwards, whatever the order of the responses.
/// - The clock must keep running while the process is paused. A clock that
///   stops while the instance is suspended would make a stale configuration
///   look fresh.
class FreshnessLease {
 public:
  /// The lease is fresh while its as-of time is less than aLimit old.
  explicit FreshnessLease(Duration aLimit);

  /// Adopts (aVersion, aAsOf) if aAppliedVersion has reached aVersion and the
  /// as-of time is newer than the current one. Returns whether it was adopted.
  bool Renew(uint64_t aVersion, TimePoint aAsOf, uint64_t aAppliedVersion);
  /// Adopts a peer's response to a pull sent at aSentAt. A negative age is
  /// refused, as it would give an as-of time after the request.
  bool RenewByRelay(const RelayResponse& aResponse, TimePoint aSentAt,
                    uint64_t aAppliedVersion);
  /// Whether routes that require a key may be served.
  bool IsFresh(TimePoint aNow) const;
  /// Time since the as-of time; nullopt before the first renewal.
  std::optional<Duration> Age(TimePoint aNow) const;
  /// Last adopted version; nullopt before the first renewal.
  const std::optional<KnownVersion>& Current() const { return this->known; }
  /// Response to a peer's pull; nullopt unless fresh.
  std::optional<RelayResponse> Relay(TimePoint aNow) const;
  /// When the lease stops being fresh unless it is renewed. Read before a
  /// renewal under a newer version, it is also the time until which anything
  /// that the newer version withdraws may still be used: until then the change
  /// cannot be accepted.
  std::optional<TimePoint> ExpiresAt() const;
  /// Age at which the configuration stops being fresh.
  Duration Limit() const { return this->limit; }

 private:
  Duration limit;
  std::optional<KnownVersion> known;
};

}  // namespace fescueline
