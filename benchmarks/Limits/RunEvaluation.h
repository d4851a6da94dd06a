#pragma once

#include <algorithm>
#include <vector>

#include "../../tests/Limits/ExcessMeter.h"
#include "Demand.h"

namespace fescueline {

/// Decision on one request of the generated demand.
struct Decision {
  bool admitted = false;
  /// When a token was spent; later than the arrival if the request waited.
  TimePoint at{};
};

/// Evaluation of one run.
struct RunEvaluation {
  /// Requests that a fleet-wide bucket admits, and how many of them the run
  /// refused.
  uint64_t withinRate = 0;
  uint64_t wronglyRefused = 0;
  /// Requests of the organisations that stay within their rate that a
  /// fleet-wide bucket, independent of what the run admitted, admits, and how
  /// many of them the run refused.
  uint64_t strictWithinRate = 0;
  uint64_t strictRefused = 0;
  /// Tokens admitted beyond rate and burst in the worst window.
  double largestExcess = 0;
  double WrongPercent() const {
    return Percent(this->wronglyRefused, this->withinRate);
  }
  double StrictPercent() const {
    return Percent(this->strictRefused, this->strictWithinRate);
  }

 private:
  static double Percent(uint64_t aPart, uint64_t aWhole) {
    return aWhole == 0 ? 0
                       : 100.0 * static_cast<double>(aPart) /
                             static_cast<double>(aWhole);
  }
};

/// Token bucket whose level can become negative: it is debited for each request
/// that the run admitted.
class ReferenceBucket {
 public:
  ReferenceBucket(const Portion& aLimit, TimePoint aStart)
      : limit(aLimit), at(aStart) {}

  bool HasToken(TimePoint aNow) {
    const auto elapsed = static_cast<__int128>((aNow - this->at).count());
    this->at = aNow;
    this->level = std::min(this->level + elapsed * this->limit.rate,
                           this->limit.capacity * kUnits);
    return this->level >= kUnitsPerToken;
  }
  void Debit() { this->level -= kUnitsPerToken; }

 private:
  /// Units of 10^-15 token per micro-token, as in TokenBucket.
  static constexpr __int128 kUnits = 1'000'000'000;
  static constexpr __int128 kUnitsPerToken = kUnits * kMicroTokensPerToken;

  Portion limit;
  TimePoint at;
  __int128 level = 0;
};

/// Compares decisions with one token bucket per organisation for the fleet.
///
/// For an organisation that offers four times its rate, an independent bucket
/// would admit other requests than any method under test, although both admit
/// equally many. The reference therefore debits what the run admitted, even if
/// it has no token at that time, and what it counts as wrongly refused. For
/// organisations within their rate the independent bucket is reported as well.
inline RunEvaluation EvaluateRun(const std::vector<Arrival>& aArrivals,
                                 const std::vector<Decision>& aDecisions,
                                 TimePoint aStart) {
  RunEvaluation evaluation;
  for (size_t org = 0; org < kOrganisations; ++org) {
    const Portion limit = LimitOf(org);
    ReferenceBucket reference(limit, aStart);
    TokenBucket independent;
    independent.Add(limit, 0, aStart);
    std::vector<TimePoint> admissions;
    for (size_t i = 0; i < aArrivals.size(); ++i) {
      const Arrival& arrival = aArrivals[i];
      if (arrival.organisation != org) {
        continue;
      }
      const bool admitted = aDecisions[i].admitted;
      const bool counted = arrival.at >= aStart + kWarmUp;
      const bool allowed = reference.HasToken(arrival.at);
      if (allowed || admitted) {
        reference.Debit();
      }
      evaluation.withinRate += counted && (allowed || admitted) ? 1 : 0;
      evaluation.wronglyRefused += counted && allowed && !admitted ? 1 : 0;
      const bool strict = independent.TrySpend(arrival.at);
      if (org != 0 && counted && strict) {
        ++evaluation.strictWithinRate;
        evaluation.strictRefused += admitted ? 0 : 1;
      }
      if (admitted) {
        admissions.push_back(aDecisions[i].at);
      }
    }
    std::sort(admissions.begin(), admissions.end());
    ExcessMeter meter(limit);
    for (TimePoint at : admissions) {
      meter.Add(at);
    }
    evaluation.largestExcess =
        std::max(evaluation.largestExcess,
                 static_cast<double>(meter.LargestExcess()) /
                     static_cast<double>(kMicroTokensPerToken));
  }
  return evaluation;
}

}  // namespace fescueline
