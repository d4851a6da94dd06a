#include "Freshness/FreshnessLease.h"

#include <cassert>

namespace fescueline {

FreshnessLease::FreshnessLease(Duration aLimit) : limit(aLimit) {
  assert(aLimit > Duration::zero());
}

bool FreshnessLease::Renew(uint64_t aVersion, TimePoint aBasis,
                           uint64_t aAppliedVersion) {
  if (aAppliedVersion < aVersion) {
    return false;
  }
  if (this->knowledge && aBasis <= this->knowledge->basis) {
    return false;
  }
  this->knowledge = Knowledge{.version = aVersion, .basis = aBasis};
  return true;
}

bool FreshnessLease::RenewByRelay(const RelayAnswer& aResponse,
                                  TimePoint aAskedAt,
                                  uint64_t aAppliedVersion) {
  // An age above the limit is useless and could overflow the subtraction.
  if (aResponse.age < Duration::zero() || aResponse.age >= this->limit) {
    return false;
  }
  return this->Renew(aResponse.version, aAskedAt - aResponse.age,
                     aAppliedVersion);
}

bool FreshnessLease::IsFresh(TimePoint aNow) const {
  return this->knowledge && aNow - this->knowledge->basis < this->limit;
}

std::optional<Duration> FreshnessLease::Age(TimePoint aNow) const {
  if (!this->knowledge) {
    return std::nullopt;
  }
  return aNow - this->knowledge->basis;
}

std::optional<RelayAnswer> FreshnessLease::Relay(TimePoint aNow) const {
  if (!this->IsFresh(aNow)) {
    return std::nullopt;
  }
  return RelayAnswer{.version = this->knowledge->version,
                     .age = aNow - this->knowledge->basis};
}

std::optional<TimePoint> FreshnessLease::ExpiresAt() const {
  if (!this->knowledge) {
    return std::nullopt;
  }
  return this->knowledge->basis + this->limit;
}

}  // namespace fescueline
