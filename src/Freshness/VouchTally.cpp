#include "Freshness/VouchTally.h"

#include <algorithm>

namespace fescueline {

VouchTally::VouchTally(VoucherSet aSet, TimePoint aSentAt)
    : set(std::move(aSet)), sentAt(aSentAt) {}

bool VouchTally::Add(const Vouch& aVouch) {
  if (!this->set.Contains(aVouch.node)) {
    return false;
  }
  this->highest = std::max(this->highest, aVouch.version);
  if (!aVouch.eligible || std::find(this->counted.begin(), this->counted.end(),
                                    aVouch.node) != this->counted.end()) {
    return false;
  }
  this->counted.push_back(aVouch.node);
  return true;
}

std::optional<uint64_t> VouchTally::Majority() const {
  if (this->counted.size() < this->set.MajoritySize()) {
    return std::nullopt;
  }
  return this->highest;
}

bool VouchTally::Renew(FreshnessLease& aLease, const VoucherSet& aCurrent,
                       uint64_t aAppliedVersion) const {
  const std::optional<uint64_t> version = this->Majority();
  if (!version || aCurrent.Version() != this->set.Version()) {
    return false;
  }
  return aLease.Renew(*version, this->sentAt, aAppliedVersion);
}

}  // namespace fescueline
