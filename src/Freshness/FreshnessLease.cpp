#include "Freshness/FreshnessLease.h"

#include <cassert>

namespace fescueline {

FreshnessLease::FreshnessLease(Duration aLimit) : limit(aLimit) {
  assert(aLimit > Duration::zero());
}

bool FreshnessLease::Renew(uint64_t aVersion, TimePoint aAsOf,
                           uint64_t aAppliedVersion) {
  if (aAppliedVersion < aVersion) {
    return false;
  }
  if (this->known && aAsOf <= this->known->asOf) {
    return false;
  }
  this->known = KnownVersion{.version = aVersion, .asOf = aAsOf};
  return true;
}

bool FreshnessLease::RenewByRelay(const RelayResponse& aResponse,
                                  TimePoint aSentAt, uint64_t aAppliedVersion) {
  // An age above the limit is useless and could overflow the subtraction.
  if (aResponse.age < Duration::zero() || aResponse.age >= this->limit) {
    return false;
  }
  return this->Renew(aResponse.version, aSentAt - aResponse.age,
                     aAppliedVersion);
}

bool FreshnessLease::IsFresh(TimePoint aNow) const {
  return this->known && aNow - this->known->asOf < this->limit;
}

std::optional<Duration> FreshnessLease::Age(TimePoint aNow) const {
  if (!this->known) {
    return std::nullopt;
  }
  return aNow - this->known->asOf;
}

std::optional<RelayResponse> FreshnessLease::Relay(TimePoint aNow) const {
  if (!this->IsFresh(aNow)) {
    return std::nullopt;
  }
  return RelayResponse{.version = this->known->version,
                       .age = aNow - this->known->asOf};
}

std::optional<TimePoint> FreshnessLease::ExpiresAt() const {
  if (!this->known) {
    return std::nullopt;
  }
  return this->known->asOf + this->limit;
}

}  // namespace fescueline
