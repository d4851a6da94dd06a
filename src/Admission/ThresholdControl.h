#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "Admission/AdmissionThreshold.h"
#include "Admission/OrganisationShares.h"
#include "Core/Importance.h"
#include "Core/Time.h"

namespace fescueline {

/// Settings of ThresholdControl.
struct ThresholdControlSettings {
  /// Time between adjustments.
  Duration period = std::chrono::milliseconds(100);
  /// Wait in the queue above which the target counts as overloaded.
  Duration overloadWait = std::chrono::milliseconds(30);
  /// Share of the arrivals that the queue may shed before that.
  double overloadShedShare = 0.15;
  /// Factor on the allowance in an overloaded period.
  double decrease = 0.9;
  /// Factor on the allowance in a period without overload.
  double increase = 1.03;
  /// What is in flight over what was in flight in the last overloaded period,
  /// below which the target counts as partly idle.
  double idleShare = 0.75;
  /// Consecutive idle periods after which the threshold opens. The queue deals
  /// with what comes if that was too early.
  uint32_t idlePeriods = 2;
  /// Factor on the allowance while the target is partly idle.
  double idleIncrease = 1.2;
  /// Lowest allowance over what is in flight while the target is overloaded. A
  /// lower one idles the target until the loop has raised it again.
  double minAllowanceRatio = 0.9;
};

/// What was seen in one period.
struct ThresholdSample {
  /// Mean number of requests in flight to the target.
  double meanInFlight = 0;
  /// Expected wait in the shortest queue of the period: a standing queue.
  Duration standingWait{0};
  /// Requests refused or pushed out for overload over arrivals.
  double shedShare = 0;
};

/// Feedback loop that sets the admission thresholds of one target. The
/// controlled value is an allowance of service time per second. It is divided
/// among the importance classes from the top; in the class where it runs out,
/// it is divided among the organisations by max-min fairness on all that they
/// use. Not thread-safe.
class ThresholdControl {
 public:
  ThresholdControl(const ThresholdControlSettings& aSettings,
                   const OrganisationShares& aShares);

  /// Records a request that reached this node.
  void Arrived(uint32_t aOrganisation, Importance aImportance,
               uint16_t aRootHash);
  /// Adjusts the thresholds at the end of a period.
  void Adjust(const ThresholdSample& aSample, Duration aElapsed);
  /// Threshold of an organisation (index in the shares).
  AdmissionThreshold ThresholdOf(uint32_t aOrganisation) const;
  /// Threshold of organisations that have sent nothing yet.
  AdmissionThreshold DefaultThreshold() const;
  /// Whether no request is refused.
  bool AdmitsAll() const { return this->admitsAll; }
  /// Service time allowed per second; meaningless while open.
  double Allowance() const { return this->allowance; }

 private:
  /// One organisation's use of one class.
  struct Demand {
    /// Arrivals in this period that pass the current threshold.
    uint32_t passed = 0;
    /// Estimated service time per second without early refusals.
    double rate = 0;
    /// Share of this class that is admitted.
    double admitted = 1;
  };
  using ClassDemands = std::array<Demand, kImportanceClasses>;

  /// Updates the demand estimates from the period's arrivals.
  void UpdateDemands(double aSeconds);
  /// Divides the allowance; opens the threshold when it suffices for all.
  void DivideAllowance();
  /// Stops refusing.
  void AdmitAll();
  /// Divides what is left for one class among the organisations.
  void DivideClass(size_t aClass, double aRemaining);

  ThresholdControlSettings settings;
  const OrganisationShares& shares;
  /// By organisation index.
  std::vector<ClassDemands> demands;
  bool admitsAll = true;
  double allowance = 0;
  /// Mean in flight in the last overloaded period.
  double overloadedInFlight = 0;
  uint32_t idlePeriods = 0;
  /// Class in which the allowance runs out.
  size_t marginalClass = kImportanceClasses - 1;
};

}  // namespace fescueline
