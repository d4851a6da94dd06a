#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Core/Time.h"
#include "Freshness/FreshnessLease.h"
#include "Freshness/VoucherSet.h"

namespace fescueline {

/// A voucher's answer to one question.
struct Vouch {
  /// Who answers.
  std::string node;
  /// Highest version that it knows.
  uint64_t version = 0;
  /// `VoucherEligibility::MayVouch` of the answering incarnation.
  bool eligible = false;
};

/// Collects the answers to one question sent to all vouchers. One question, one
/// tally; no locking.
///
/// Contract:
/// - The caller adds only answers to the question sent at AskedAt (it matches
///   them by a question id) and its own vouch if it is a member.
/// - A member counts once, with its first eligible answer. A restart between
///   question and answer does no harm, as eligibility is a property of the
///   incarnation that answers.
/// - The result holds only under the set that was asked. The caller discards it
///   when its replica, after applying the result's version, knows another set,
///   and asks again.
class VouchTally {
 public:
  VouchTally(VoucherSet aSet, TimePoint aAskedAt);

  /// Counts one answer; returns whether it was counted. The version of an
  /// answer that does not count is still taken into account, which can only
  /// demand more of the asker.
  bool Add(const Vouch& aVouch);
  /// The version that a majority says is the highest; nothing without one.
  std::optional<uint64_t> Majority() const;
  /// When the question was sent: the basis of the result.
  TimePoint AskedAt() const { return this->askedAt; }
  /// The set that was asked.
  const VoucherSet& Set() const { return this->set; }
  /// Renews the lease with the result. aCurrent is the voucher set of the
  /// caller's replica at aAppliedVersion.
  bool Renew(FreshnessLease& aLease, const VoucherSet& aCurrent,
             uint64_t aAppliedVersion) const;

 private:
  /// The set that was asked.
  VoucherSet set;
  /// When the question was sent.
  TimePoint askedAt;
  /// Members whose answer counts.
  std::vector<std::string> counted;
  /// Highest version among all answers.
  uint64_t highest = 0;
};

}  // namespace fescueline
