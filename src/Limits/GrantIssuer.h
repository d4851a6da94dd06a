#pragma once

#include <string>
#include <unordered_map>

#include "Core/Time.h"
#include "Limits/GrantSettings.h"
#include "Limits/TokenBucket.h"

namespace fescueline {

/// Issues tokens of the organisations' rates to the nodes that ask. One node
/// of the fleet does this at a time, under a lease in the store. It starts
/// without tokens, since its predecessor may have issued all that accrued.
/// No locking.
class GrantIssuer {
 public:
  /// An issuer that begins its duty at that time.
  GrantIssuer(const GrantSettings& aSettings, TimePoint aBegan)
      : settings(aSettings), began(aBegan) {}

  /// Sets an organisation's limit, the number of nodes, and how many of them
  /// reach this issuer: the others use their part by themselves. Tokens that a
  /// lower limit cannot hold go.
  void SetLimit(const std::string& aOrganisation, const OrganisationRate& aRate,
                size_t aNodes, size_t aReached, TimePoint aNow);
  /// Takes up to aWanted tokens out of the organisation's bucket.
  uint32_t Grant(const std::string& aOrganisation, uint32_t aWanted,
                 TimePoint aNow);
  /// Whether a grant of nothing means that the organisation is over its rate.
  /// While the buckets fill from empty it says nothing.
  bool MayRefuse(TimePoint aNow) const {
    return aNow - this->began >= this->settings.issuerWarmUp;
  }

 private:
  GrantSettings settings;
  TimePoint began;
  std::unordered_map<std::string, TokenBucket> buckets;
};

}  // namespace fescueline
