#pragma once

#include <algorithm>
#include <vector>

#include "../../tests/Limits/ExcessMeter.h"
#include "Demand.h"

namespace fescueline {

/// Decision on one request of the record.
struct Decision {
  bool admitted = false;
  /// When a token was spent; later than the arrival if the request waited.
  TimePoint at{};
};

/// Outcome of one run.
struct Verdict {
  /// Requests that the fleet-wide bucket admits, and of those the refused.
  uint64_t withinRate = 0;
  uint64_t wronglyRefused = 0;
  /// The same for the organisations that stay within their rate, with a bucket
  /// that does not look at what was admitted.
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

/// Token bucket that can owe tokens: it is told what was admitted.
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
  /// 10^-15 token per micro-token, as in TokenBucket.
  static constexpr __int128 kUnits = 1'000'000'000;
  static constexpr __int128 kUnitsPerToken = kUnits * kMicroTokensPerToken;

  Portion limit;
  TimePoint at;
  __int128 level = 0;
};

/// Compares decisions with one token bucket per organisation for the fleet.
///
/// A bucket that ran on its own would pick other requests of an organisation
/// that offers four times its rate than any other method does, although both
/// admit as many. The reference therefore debits what was really admitted, even
/// if it has no token just then, and what it counts as wrongly refused. For
/// organisations within their rate the independent bucket is reported as well.
inline Verdict Judge(const std::vector<Arrival>& aArrivals,
                     const std::vector<Decision>& aDecisions,
                     TimePoint aStart) {
  Verdict verdict;
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
      verdict.withinRate += counted && (allowed || admitted) ? 1 : 0;
      verdict.wronglyRefused += counted && allowed && !admitted ? 1 : 0;
      const bool strict = independent.TrySpend(arrival.at);
      if (org != 0 && counted && strict) {
        ++verdict.strictWithinRate;
        verdict.strictRefused += admitted ? 0 : 1;
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
    verdict.largestExcess = std::max(
        verdict.largestExcess, static_cast<double>(meter.LargestExcess()) /
                                   static_cast<double>(kMicroTokensPerToken));
  }
  return verdict;
}

}  // namespace fescueline
