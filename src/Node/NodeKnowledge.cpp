#include "Node/NodeKnowledge.h"

#include <mutex>

namespace fescueline {

NodeKnowledge::NodeKnowledge(Duration aLimit, TimePoint aStartedAt)
    : lease(aLimit), eligibility(aStartedAt, aLimit) {}

bool NodeKnowledge::IsFresh(TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  return this->lease.IsFresh(aNow);
}

std::optional<Duration> NodeKnowledge::Age(TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  return this->lease.Age(aNow);
}

std::optional<TimePoint> NodeKnowledge::ExpiresAt() {
  const std::lock_guard lock(this->mutex);
  return this->lease.ExpiresAt();
}

void NodeKnowledge::RenewByTable(uint64_t aVersion, TimePoint aAskedAt) {
  const std::lock_guard lock(this->mutex);
  this->lease.Renew(aVersion, aAskedAt, aVersion);
  this->eligibility.OnTableRead(aAskedAt);
}

void NodeKnowledge::RenewByRelay(const RelayAnswer& aAnswer, TimePoint aAskedAt,
                                 uint64_t aAppliedVersion) {
  const std::lock_guard lock(this->mutex);
  this->lease.RenewByRelay(aAnswer, aAskedAt, aAppliedVersion);
  this->eligibility.OnRenewed(this->lease);
}

void NodeKnowledge::RenewByVouches(const VouchTally& aTally,
                                   const VoucherSet& aCurrent,
                                   uint64_t aAppliedVersion) {
  const std::lock_guard lock(this->mutex);
  aTally.Renew(this->lease, aCurrent, aAppliedVersion);
  this->eligibility.OnRenewed(this->lease);
}

std::optional<RelayAnswer> NodeKnowledge::Relay(TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  return this->lease.Relay(aNow);
}

bool NodeKnowledge::MayVouch() {
  const std::lock_guard lock(this->mutex);
  return this->eligibility.MayVouch();
}

}  // namespace fescueline
