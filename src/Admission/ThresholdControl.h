#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "Admission/AdmissionThreshold.h"
#include "Admission/OrganisationShares.h"
#include "Core/Importance.h"
#include "Core/Time.h"

namespace fescueline {

struct ThresholdControlSettings {
  /// Time between adjustments.
  Duration period = std::chrono::milliseconds(100);
  /// Expected wait in the queue above which the target counts as overloaded.
  Duration overloadWait = std::chrono::milliseconds(30);
  /// Share of arrivals shed by the queue above which the target counts as
  /// overloaded.
  double overloadShedShare = 0.15;
  /// Factor by which an overloaded period multiplies the allowance.
  double decrease = 0.9;
  /// Factor by which a period without overload multiplies the allowance.
  double increase = 1.03;
  /// The target counts as partly idle when the ratio of requests in flight to
  /// those in the last overloaded period is below this.
  double idleShare = 0.75;
  /// Consecutive idle periods after which all requests are admitted. If that
  /// is too early, the queue absorbs the excess.
  uint32_t idlePeriods = 2;
  /// Factor by which a period multiplies the allowance while the target is
  /// partly idle.
  double idleIncrease = 1.2;
  /// Lowest ratio of the allowance to the requests in flight while the target
  /// is overloaded. A lower allowance leaves the target idle until the feedback
  /// loop has raised it again.
  double minAllowanceRatio = 0.9;
};

/// Measurements of one period.
struct ThresholdSample {
  /// Mean number of requests in flight to the target.
  double meanInFlight = 0;
  /// Expected wait at the shortest queue length of the period, which excludes
  /// short bursts.
  Duration standingWait{0};
  /// Ratio of requests refused or evicted for overload to arrivals.
  double shedShare = 0;
};

/// Feedback controller of the admission thresholds of one target. The
/// controlled variable is the allowance: admitted service time per second. It
/// is assigned to the importance classes in order of importance. Within the
/// marginal class, for which it does not suffice, it is divided by weighted
/// max-min fairness over the total usage of each organisation. Not thread-safe.
class ThresholdControl {
 public:
  ThresholdControl(const ThresholdControlSettings& aSettings,
                   const OrganisationShares& aShares);

  /// Records a request that arrived at this node.
  void Arrived(uint32_t aOrganisation, Importance aImportance,
               uint16_t aRootHash);
  /// Adjusts the thresholds at the end of a period.
  void Adjust(const ThresholdSample& aSample, Duration aElapsed);
  /// Threshold of an organisation (index in the shares).
  AdmissionThreshold ThresholdOf(uint32_t aOrganisation) const;
  /// Threshold of organisations without recorded requests.
  AdmissionThreshold DefaultThreshold() const;
  /// Whether all requests are admitted.
  bool AdmitsAll() const { return this->admitsAll; }
  /// Admitted service time per second; undefined while AdmitsAll().
  double Allowance() const { return this->allowance; }

 private:
  /// Demand of one organisation in one class.
  struct Demand {
    /// Arrivals in this period that the current threshold admits.
    uint32_t passed = 0;
    /// Estimated service time per second if no request were refused early.
    double rate = 0;
    /// Admitted share of the requests, 0 to 1.
    double admitted = 1;
  };
  using ClassDemands = std::array<Demand, kImportanceClasses>;

  /// Updates the demand estimates from the period's arrivals.
  void UpdateDemands(double aSeconds);
  /// Divides the allowance among the classes; admits all requests when it
  /// exceeds the total demand.
  void DivideAllowance();
  void AdmitAll();
  /// Divides the remaining allowance of one class among the organisations.
  void DivideClass(size_t aClass, double aRemaining);

  ThresholdControlSettings settings;
  const OrganisationShares& shares;
  /// Indexed by organisation.
  std::vector<ClassDemands> demands;
  bool admitsAll = true;
  double allowance = 0;
  /// Mean number of requests in flight in the last overloaded period.
  double overloadedInFlight = 0;
  uint32_t idlePeriods = 0;
  /// Least important class that is admitted, in part if the allowance does not
  /// suffice for it.
  size_t marginalClass = kImportanceClasses - 1;
};

}  // namespace fescueline
