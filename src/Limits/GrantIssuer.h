#pragma once

#include <string>
#include <unordered_map>

#include "Core/Time.h"
#include "Limits/GrantSettings.h"
#include "Limits/TokenBucket.h"

namespace fescueline {

/// Grants tokens of the organisations' rates to the nodes that request them.
/// One node of the fleet is the issuer at a time, under a lease in the store.
/// Its buckets start empty, since the previous issuer may have granted all
/// accrued tokens. Not thread-safe.
class GrantIssuer {
 public:
  GrantIssuer(const GrantSettings& aSettings, TimePoint aStartedAt)
      : settings(aSettings), startedAt(aStartedAt) {}

  /// Sets an organisation's limit, the number of nodes, and how many of them
  /// reach this issuer; the others use their share on their own. Tokens above
  /// the capacity of a lower limit are dropped.
  void SetLimit(const std::string& aOrganisation, const OrganisationRate& aRate,
                size_t aNodes, size_t aReached, TimePoint aNow);
  /// Takes up to aWanted tokens out of the organisation's bucket.
  uint32_t Grant(const std::string& aOrganisation, uint32_t aWanted,
                 TimePoint aNow);
  /// Whether a grant of no tokens means that the organisation is over its rate.
  /// False while the buckets fill after the start.
  bool MayRefuse(TimePoint aNow) const {
    return aNow - this->startedAt >= this->settings.issuerWarmUp;
  }

 private:
  GrantSettings settings;
  TimePoint startedAt;
  std::unordered_map<std::string, TokenBucket> buckets;
};

}  // namespace fescueline
