#include "Admission/ThresholdControl.h"

#include <algorithm>

namespace fescueline {

namespace {
/// Gain per period of the moving averages of the demand estimates.
constexpr double kDemandGain = 0.3;
/// Below this admitted share, too few requests are admitted to estimate the
/// demand, and the last estimate is kept.
constexpr double kMinMeasuredShare = 0.02;
/// All requests are admitted when the allowance exceeds the total demand by
/// this factor.
constexpr double kAdmitAllMargin = 1.1;
/// Bisection steps for the fair share; the error is below 1e-9 of the range.
constexpr int kBisectionSteps = 30;
}  // namespace

ThresholdControl::ThresholdControl(const ThresholdControlSettings& aSettings,
                                   const OrganisationShares& aShares)
    : settings(aSettings), shares(aShares) {}

void ThresholdControl::Arrived(uint32_t aOrganisation, Importance aImportance,
                               uint16_t aRootHash) {
  if (aOrganisation >= this->demands.size()) {
    this->demands.resize(aOrganisation + 1);
  }
  Demand& demand =
      this->demands[aOrganisation][static_cast<size_t>(aImportance)];
  if (aRootHash < demand.admitted * AdmissionThreshold::kFullCutoff) {
    ++demand.passed;
  }
}

void ThresholdControl::Adjust(const ThresholdSample& aSample,
                              Duration aElapsed) {
  this->UpdateDemands(ToSeconds(aElapsed));
  const bool overloaded = aSample.standingWait > this->settings.overloadWait ||
                          aSample.shedShare > this->settings.overloadShedShare;
  // Idle slots without overload show that the threshold refuses more than
  // necessary.
  const bool idle = !overloaded && aSample.standingWait == Duration(0) &&
                    aSample.meanInFlight <
                        this->settings.idleShare * this->overloadedInFlight;
  this->idlePeriods = idle ? this->idlePeriods + 1 : 0;
  if (overloaded) {
    // The target is saturated, so the requests in flight are its capacity.
    this->overloadedInFlight = aSample.meanInFlight;
    const double floor =
        aSample.meanInFlight * this->settings.minAllowanceRatio;
    this->allowance =
        this->admitsAll
            ? aSample.meanInFlight
            : std::max(floor, this->allowance * this->settings.decrease);
    this->admitsAll = false;
  } else if (!this->admitsAll) {
    this->allowance *=
        idle ? this->settings.idleIncrease : this->settings.increase;
    if (this->idlePeriods >= this->settings.idlePeriods) {
      this->AdmitAll();
    }
  }
  if (!this->admitsAll) {
    this->DivideAllowance();
  }
}

AdmissionThreshold ThresholdControl::ThresholdOf(uint32_t aOrganisation) const {
  if (this->admitsAll) {
    return {};
  }
  if (aOrganisation >= this->demands.size()) {
    return this->DefaultThreshold();
  }
  return AdmissionThreshold::FromLevel(
      static_cast<double>(this->marginalClass) +
      this->demands[aOrganisation][this->marginalClass].admitted);
}

AdmissionThreshold ThresholdControl::DefaultThreshold() const {
  return this->admitsAll ? AdmissionThreshold{}
                         : AdmissionThreshold::FromLevel(
                               static_cast<double>(this->marginalClass) + 1);
}

void ThresholdControl::UpdateDemands(double aSeconds) {
  for (uint32_t i = 0; i < this->demands.size(); ++i) {
    const double cost = this->shares.MeanCost(i);
    for (Demand& demand : this->demands[i]) {
      if (demand.admitted >= kMinMeasuredShare) {
        const double rate = demand.passed * cost / (aSeconds * demand.admitted);
        demand.rate += kDemandGain * (rate - demand.rate);
      }
      demand.passed = 0;
    }
  }
}

void ThresholdControl::DivideAllowance() {
  double remaining = this->allowance;
  double total = 0;
  bool exhausted = false;
  for (size_t c = 0; c < kImportanceClasses; ++c) {
    double wanted = 0;
    for (const ClassDemands& organisation : this->demands) {
      wanted += organisation[c].rate;
    }
    total += wanted;
    if (!exhausted && (wanted > remaining || c + 1 == kImportanceClasses)) {
      this->marginalClass = c;
      this->DivideClass(c, remaining);
      exhausted = true;
    } else {
      for (ClassDemands& organisation : this->demands) {
        organisation[c].admitted = exhausted ? 0 : 1;
      }
    }
    remaining = std::max(0.0, remaining - wanted);
  }
  if (this->allowance > total * kAdmitAllMargin) {
    this->AdmitAll();
  }
}

void ThresholdControl::AdmitAll() {
  this->admitsAll = true;
  for (ClassDemands& organisation : this->demands) {
    for (Demand& demand : organisation) {
      demand.admitted = 1;
    }
  }
}

void ThresholdControl::DivideClass(size_t aClass, double aRemaining) {
  // Weighted max-min fairness: each organisation gets the same total usage per
  // weight (the level). Its grant in this class is the level times its weight,
  // minus its usage in more important classes, at most its demand.
  const auto used = [&](const ClassDemands& aDemands) {
    double sum = 0;
    for (size_t c = 0; c < aClass; ++c) {
      sum += aDemands[c].rate;
    }
    return sum;
  };
  const auto granted = [&](uint32_t aIndex, double aLevel) {
    const ClassDemands& organisation = this->demands[aIndex];
    return std::clamp(aLevel * this->shares.Weight(aIndex) - used(organisation),
                      0.0, organisation[aClass].rate);
  };
  double low = 0;
  double high = 0;
  for (uint32_t i = 0; i < this->demands.size(); ++i) {
    high = std::max(high,
                    (used(this->demands[i]) + this->demands[i][aClass].rate) /
                        this->shares.Weight(i));
  }
  for (int step = 0; step < kBisectionSteps; ++step) {
    const double level = (low + high) / 2;
    double sum = 0;
    for (uint32_t i = 0; i < this->demands.size(); ++i) {
      sum += granted(i, level);
    }
    (sum > aRemaining ? high : low) = level;
  }
  for (uint32_t i = 0; i < this->demands.size(); ++i) {
    Demand& demand = this->demands[i][aClass];
    demand.admitted =
        demand.rate > 0 ? std::min(1.0, granted(i, high) / demand.rate) : 1;
  }
}

}  // namespace fescueline
