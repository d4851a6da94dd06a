#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Admission/NameIndex.h"
#include "Core/Time.h"

namespace fescueline {

/// Service time used by each organisation, as virtual times of start-time fair
/// queueing: an organisation's virtual time advances by its service time
/// divided by its weight. Not thread-safe.
class OrganisationShares {
 public:
  /// Index of an organisation; adds the organisation if it is unknown.
  uint32_t IndexOf(std::string_view aName);
  const std::string& NameOf(uint32_t aIndex) const {
    return this->names.NameOf(aIndex);
  }
  size_t Count() const { return this->organisations.size(); }

  /// Sets the weight, which must be positive. The default is 1.
  void SetWeight(uint32_t aIndex, double aWeight);
  double Weight(uint32_t aIndex) const {
    return this->organisations[aIndex].weight;
  }

  /// Virtual time of an organisation; the lowest is served first.
  double VirtualTime(uint32_t aIndex) const {
    return this->organisations[aIndex].virtualTime;
  }
  /// Virtual time that an organisation without queued requests would get from
  /// Activate().
  double StartTime(uint32_t aIndex) const {
    return std::max(this->VirtualTime(aIndex), this->systemTime);
  }
  /// Advances the virtual time of an organisation without queued requests to
  /// the system's virtual time, so that idle time earns no credit.
  void Activate(uint32_t aIndex);
  /// Advances the system's virtual time to the given one: the lowest among the
  /// organisations with queued requests.
  void AdvanceSystem(double aVirtualTime);

  /// Mean service time of the organisation's requests, in seconds.
  double MeanCost(uint32_t aIndex) const;
  /// Charges the expected cost when a request starts; returns that cost.
  double ChargeStart(uint32_t aIndex);
  /// Replaces the expected cost with the measured cost when the request ends.
  void ChargeEnd(uint32_t aIndex, double aCharged, double aMeasured);

 private:
  /// State of one organisation.
  struct Organisation {
    double weight = 1.0;
    double virtualTime = 0.0;
    /// Moving average of measured costs, in seconds; negative until the first
    /// measurement.
    double meanCost = -1.0;
  };

  std::vector<Organisation> organisations;
  NameIndex names;
  /// Virtual time given to organisations that become active.
  double systemTime = 0.0;
  /// Moving average over all organisations, in seconds; used for organisations
  /// without measurements.
  double meanCost = 0.01;
};

}  // namespace fescueline
