#include "Limits/GrantIssuer.h"

#include <algorithm>
#include <cmath>

namespace fescueline {

namespace {
MicroTokens ToMicroTokens(double aTokens) {
  return static_cast<MicroTokens>(
      std::llround(aTokens * static_cast<double>(kMicroTokensPerToken)));
}
}  // namespace

void GrantIssuer::SetLimit(const std::string& aOrganisation,
                           const OrganisationRate& aRate, size_t aNodes,
                           size_t aReached, TimePoint aNow) {
  const size_t nodes = std::max<size_t>(1, aNodes);
  const double reached = static_cast<double>(std::min(aReached, nodes)) /
                         static_cast<double>(nodes);
  const double share = this->settings.IssuedShare(nodes) * reached;
  const double capacity =
      std::max(1.0, aRate.burst * this->settings.burstShare * reached);
  this->buckets[aOrganisation].Resize(
      {.rate = ToMicroTokens(aRate.perSecond * share),
       .capacity = ToMicroTokens(capacity)},
      aNow);
}

uint32_t GrantIssuer::Grant(const std::string& aOrganisation, uint32_t aWanted,
                            TimePoint aNow) {
  const auto found = this->buckets.find(aOrganisation);
  if (found == this->buckets.end()) {
    return 0;
  }
  uint32_t granted = 0;
  while (granted < aWanted && found->second.TrySpend(aNow)) {
    ++granted;
  }
  return granted;
}

}  // namespace fescueline
