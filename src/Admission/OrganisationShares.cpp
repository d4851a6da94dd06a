#include "Admission/OrganisationShares.h"

#include <algorithm>
#include <cassert>

namespace fescueline {

namespace {
/// Weight of one measurement in the moving averages of cost.
constexpr double kCostGain = 0.05;
}  // namespace

uint32_t OrganisationShares::IndexOf(std::string_view aName) {
  const uint32_t index = this->names.Add(aName);
  if (index == this->organisations.size()) {
    this->organisations.push_back(
        {.weight = 1.0, .virtualTime = this->systemTime, .meanCost = -1.0});
  }
  return index;
}

void OrganisationShares::SetWeight(uint32_t aIndex, double aWeight) {
  assert(aWeight > 0);
  this->organisations[aIndex].weight = aWeight;
}

void OrganisationShares::Activate(uint32_t aIndex) {
  Organisation& organisation = this->organisations[aIndex];
  organisation.virtualTime =
      std::max(organisation.virtualTime, this->systemTime);
}

void OrganisationShares::AdvanceSystem(double aVirtualTime) {
  this->systemTime = std::max(this->systemTime, aVirtualTime);
}

double OrganisationShares::MeanCost(uint32_t aIndex) const {
  const double own = this->organisations[aIndex].meanCost;
  return own < 0 ? this->meanCost : own;
}

double OrganisationShares::ChargeStart(uint32_t aIndex) {
  const double cost = this->MeanCost(aIndex);
  Organisation& organisation = this->organisations[aIndex];
  organisation.virtualTime += cost / organisation.weight;
  return cost;
}

void OrganisationShares::ChargeEnd(uint32_t aIndex, double aCharged,
                                   double aMeasured) {
  Organisation& organisation = this->organisations[aIndex];
  organisation.virtualTime += (aMeasured - aCharged) / organisation.weight;
  organisation.meanCost =
      organisation.meanCost < 0
          ? aMeasured
          : organisation.meanCost +
                kCostGain * (aMeasured - organisation.meanCost);
  this->meanCost += kCostGain * (aMeasured - this->meanCost);
}

}  // namespace fescueline
