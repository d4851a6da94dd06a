#pragma once

#include <cstdint>
#include <optional>

#include "Core/Time.h"

namespace fescueline {

/// A node's bound on the configuration version: every change that a majority of
/// the vouchers had acknowledged before `asOf` has a version of at most
/// `version`. `asOf` is on the monotonic clock of the node that holds it.
struct KnownVersion {
  /// Highest version that the statement covers.
  uint64_t version = 0;
  /// Time up to which the statement is complete.
  TimePoint asOf;
};

/// Response to a relay pull: a peer's knowledge with its age instead of a time,
/// as clocks of different nodes are not comparable.
struct RelayResponse {
  /// Highest version that the peer's knowledge covers.
  uint64_t version = 0;
  /// Age of the peer's knowledge when it answered.
  Duration age{};
};

/// Decides whether this node's knowledge of the configuration is recent enough
/// to serve closed routes and to spend shares. Not thread-safe; the owner
/// serialises the calls.
///
/// Contract:
/// - Knowledge comes from a table read (as-of time: when the query was sent),
///   from a majority of vouchers (`VouchTally`, as-of time: when the request
///   was sent) or from a peer (`RenewByRelay`).
/// - An as-of time is adopted only when the caller has applied every change up
///   to the offered version, so a fresh node has always applied the version
///   that it reports to others.
/// - The as-of time never moves backwards, whatever the order of the responses.
/// - The clock must keep running while the process is paused. A clock that
///   stops while the instance is suspended would make stale knowledge look
///   fresh.
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
  /// Whether closed routes may be served.
  bool IsFresh(TimePoint aNow) const;
  /// Age of the knowledge; nullopt before the first renewal.
  std::optional<Duration> Age(TimePoint aNow) const;
  /// The knowledge; nullopt before the first renewal.
  const std::optional<KnownVersion>& Current() const { return this->known; }
  /// Response to a peer's pull; nullopt unless fresh.
  std::optional<RelayResponse> Relay(TimePoint aNow) const;
  /// When the current knowledge stops being fresh. Read before a renewal under
  /// a newer version, it is also the time until which anything that the newer
  /// version withdraws may still be used: until then the change cannot be
  /// accepted.
  std::optional<TimePoint> ExpiresAt() const;
  /// Age at which knowledge stops being fresh.
  Duration Limit() const { return this->limit; }

 private:
  Duration limit;
  /// The newest adopted knowledge.
  std::optional<KnownVersion> known;
};

}  // namespace fescueline
