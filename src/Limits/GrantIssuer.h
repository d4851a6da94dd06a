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
  explicit GrantIssuer(const GrantSettings& aSettings) : settings(aSettings) {}

  /// Sets an organisation's limit, the number of nodes, and how many of them
  /// reach this issuer: the others use their part by themselves. Tokens that a
  /// lower limit cannot hold go.
  void SetLimit(const std::string& aOrganisation, const OrganisationRate& aRate,
                size_t aNodes, size_t aReached, TimePoint aNow);
  /// Takes up to aWanted tokens out of the organisation's bucket.
  uint32_t Grant(const std::string& aOrganisation, uint32_t aWanted,
                 TimePoint aNow);

 private:
  GrantSettings settings;
  std::unordered_map<std::string, TokenBucket> buckets;
};

}  // namespace fescueline
