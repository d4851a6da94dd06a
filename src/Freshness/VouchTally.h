#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Core/Time.h"
#include "Freshness/FreshnessLease.h"
#include "Freshness/VoucherSet.h"

namespace fescueline {

/// A voucher's response to a request for the highest configuration version that
/// it knows.
struct Vouch {
  /// Node that responds.
  std::string node;
  uint64_t version = 0;
  /// `VoucherEligibility::MayVouch` of the responding incarnation.
  bool eligible = false;
};

/// Collects the responses to one request sent to all vouchers, to find a
/// version that covers every change accepted before the request. Each request
/// has its own tally. Not thread-safe.
///
/// Contract:
/// - The caller adds only responses to the request sent at SentAt, matched by
///   request id, and its own vouch if it is in the voucher set.
/// - A member counts once, with its first eligible response. A restart between
///   request and response is harmless, as eligibility belongs to the
///   incarnation that responds.
/// - The result is valid only for the set that the request was sent to. If the
///   caller's replica has another set after applying the result's version, the
///   caller discards the result and sends a new request.
class VouchTally {
 public:
  VouchTally(VoucherSet aSet, TimePoint aSentAt);

  /// Adds a response; returns whether it counts towards the majority. The
  /// version of a member's response that does not count is still considered,
  /// which can only raise the version that the requester must apply.
  bool Add(const Vouch& aVouch);
  /// Highest version of all members' responses once a majority of the members
  /// counts; nullopt before.
  std::optional<uint64_t> Majority() const;
  /// When the request was sent: the as-of time of the result.
  TimePoint SentAt() const { return this->sentAt; }
  /// The set that the request was sent to.
  const VoucherSet& Set() const { return this->set; }
  /// Renews the lease with the result. aCurrent is the voucher set of the
  /// caller's replica at aAppliedVersion.
  bool Renew(FreshnessLease& aLease, const VoucherSet& aCurrent,
             uint64_t aAppliedVersion) const;

 private:
  VoucherSet set;
  TimePoint sentAt;
  /// Members whose response counts towards the majority.
  std::vector<std::string> counted;
  /// Highest version among all members' responses.
  uint64_t highest = 0;
};

}  // namespace fescueline
