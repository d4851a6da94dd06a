#include "Node/ConfigFreshness.h"

#include <mutex>

namespace fescueline {

ConfigFreshness::ConfigFreshness(Duration aLimit, TimePoint aStartedAt)
    : lease(aLimit), eligibility(aStartedAt, aLimit) {}

bool ConfigFreshness::IsFresh(TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  return this->lease.IsFresh(aNow);
}

std::optional<Duration> ConfigFreshness::Age(TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  return this->lease.Age(aNow);
}

std::optional<TimePoint> ConfigFreshness::ExpiresAt() {
  const std::lock_guard lock(this->mutex);
  return this->lease.ExpiresAt();
}

void ConfigFreshness::RenewByTable(uint64_t aVersion, TimePoint aSentAt) {
  const std::lock_guard lock(this->mutex);
  this->lease.Renew(aVersion, aSentAt, aVersion);
  this->eligibility.OnTableRead(aSentAt);
}

void ConfigFreshness::RenewByRelay(const RelayResponse& aResponse,
                                   TimePoint aSentAt,
                                   uint64_t aAppliedVersion) {
  const std::lock_guard lock(this->mutex);
  this->lease.RenewByRelay(aResponse, aSentAt, aAppliedVersion);
  this->eligibility.OnRenewed(this->lease);
}

void ConfigFreshness::RenewByVouches(const VouchTally& aTally,
                                     const VoucherSet& aCurrent,
                                     uint64_t aAppliedVersion) {
  const std::lock_guard lock(this->mutex);
  aTally.Renew(this->lease, aCurrent, aAppliedVersion);
  this->eligibility.OnRenewed(this->lease);
}

std::optional<RelayResponse> ConfigFreshness::Relay(TimePoint aNow) {
  const std::lock_guard lock(this->mutex);
  return this->lease.Relay(aNow);
}

bool ConfigFreshness::MayVouch() {
  const std::lock_guard lock(this->mutex);
  return this->eligibility.MayVouch();
}

}  // namespace fescueline
