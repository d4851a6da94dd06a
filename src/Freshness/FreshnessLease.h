#pragma once

#include <cstdint>
#include <optional>

#include "Core/Time.h"

namespace fescueline {

/// What a node knows about the configuration: every change that a majority of
/// the vouchers had acknowledged before `basis` has a version of at most
/// `version`. The basis is on the monotonic clock of the node that holds it.
struct Knowledge {
  /// Highest version that the statement covers.
  uint64_t version = 0;
  /// Time up to which the statement is complete.
  TimePoint basis;
};

/// Answer to a relay pull: a peer's knowledge with its age instead of a time,
/// as clocks of different nodes are not comparable.
struct RelayAnswer {
  /// Highest version that the peer's knowledge covers.
  uint64_t version = 0;
  /// Age of the peer's knowledge when it answered.
  Duration age{};
};

/// Says whether this node's knowledge of the configuration is recent enough to
/// serve closed routes and to spend shares. No locking; the owner serialises.
///
/// Contract:
/// - Knowledge comes from a table read (basis: when the query was sent), from
///   a majority of vouchers (`VouchTally`, basis: when the question was sent)
///   or from a peer (`RenewByRelay`).
/// - A basis is adopted only when the caller has applied every change up to the
///   offered version, so a fresh node has always applied what it vouches for.
/// - The basis never moves backwards, whatever the order of the answers.
/// - The clock must run through pauses of the process. A clock that stops
///   while the instance is suspended would make stale knowledge look fresh.
class FreshnessLease {
 public:
  /// Lease that is fresh while its basis is less than aLimit old.
  explicit FreshnessLease(Duration aLimit);

  /// Adopts (aVersion, aBasis) if aAppliedVersion has reached aVersion and the
  /// basis is newer than the present one. Returns whether it was adopted.
  bool Renew(uint64_t aVersion, TimePoint aBasis, uint64_t aAppliedVersion);
  /// Adopts a peer's answer to a pull sent at aAskedAt. A negative age is
  /// refused: it would give a basis after the question.
  bool RenewByRelay(const RelayAnswer& aAnswer, TimePoint aAskedAt,
                    uint64_t aAppliedVersion);
  /// Whether closed routes may be served.
  bool IsFresh(TimePoint aNow) const;
  /// Age of the knowledge; nothing before the first renewal.
  std::optional<Duration> Age(TimePoint aNow) const;
  /// The knowledge; nothing before the first renewal.
  const std::optional<Knowledge>& Current() const { return this->knowledge; }
  /// Answer to a peer's pull; nothing unless fresh.
  std::optional<RelayAnswer> Relay(TimePoint aNow) const;
  /// When the present knowledge stops being fresh. Read before renewing under
  /// a newer version, this is also how long something that the newer version
  /// withdraws may still be used: until then the change cannot be accepted.
  std::optional<TimePoint> ExpiresAt() const;
  /// Age at which knowledge stops being fresh.
  Duration Limit() const { return this->limit; }

 private:
  /// Age at which knowledge stops being fresh.
  Duration limit;
  /// The newest adopted knowledge.
  std::optional<Knowledge> knowledge;
};

}  // namespace fescueline
