#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <vector>

#include "ChainScenario.h"
#include "Core/Identifiers.h"

namespace fescueline {

/// A client's request, over all its attempts.
struct ChainRequest {
  uint32_t organisation = 0;
  Importance importance = Importance::Normal;
  uint32_t route = 0;
  uint32_t attempts = 0;
  TimePoint begun;
  /// Time of the complete response; the epoch if there was none.
  TimePoint completed{};

  bool Succeeded() const { return this->completed != TimePoint{}; }
};

/// One attempt of a client, which is a root request.
struct ChainAttempt {
  uint32_t request = 0;
  Id128 rootId;
  TimePoint begun;
  bool resolved = false;
};

/// Counts of refusals in a run; see ChainResult.
struct ChainCounts {
  uint64_t shedLate = 0;
  uint64_t shedEarly = 0;
  uint64_t criticalShed = 0;
  uint64_t inversions = 0;
  uint64_t earlyInversions = 0;
};

/// Time after the surge from which 95% of the requests started in each interval
/// of 250 ms succeed, in seconds.
inline double RecoveryTime(const ChainScenario& aScenario, TimePoint aStart,
                           const std::deque<ChainRequest>& aRequests) {
  constexpr double kBucket = 0.25;
  const TimePoint end = aStart + aScenario.surgeEnd;
  const double rest = ToSeconds(aScenario.length - aScenario.surgeEnd);
  std::vector<double> total(static_cast<size_t>(rest / kBucket));
  std::vector<double> good(total.size());
  for (const ChainRequest& request : aRequests) {
    if (request.begun < end) {
      continue;
    }
    const auto bucket =
        static_cast<size_t>(ToSeconds(request.begun - end) / kBucket);
    if (bucket < total.size()) {
      ++total[bucket];
      good[bucket] += request.Succeeded() ? 1 : 0;
    }
  }
  size_t recovered = total.size();
  while (recovered > 0 && good[recovered - 1] >= 0.95 * total[recovered - 1]) {
    --recovered;
  }
  return static_cast<double>(recovered) * kBucket;
}

using ShareArray = std::array<double, kOrganisations>;

/// Max-min fair division of a capacity among the organisations' demands, with
/// their usage so far taken into account.
inline ShareArray FairShares(const ShareArray& aDemands,
                             const ShareArray& aUsed, double aCapacity) {
  const auto granted = [&](size_t aIndex, double aLevel) {
    return std::clamp(aLevel - aUsed[aIndex], 0.0, aDemands[aIndex]);
  };
  double low = 0;
  double high = 1e9;
  for (int step = 0; step < 100; ++step) {
    const double level = (low + high) / 2;
    double sum = 0;
    for (size_t i = 0; i < aDemands.size(); ++i) {
      sum += granted(i, level);
    }
    (sum > aCapacity ? high : low) = level;
  }
  ShareArray shares{};
  for (size_t i = 0; i < shares.size(); ++i) {
    shares[i] = granted(i, low);
  }
  return shares;
}

/// Lowest ratio of an organisation's completed requests to its share.
inline double WorstShare(const ShareArray& aCompleted,
                         const ShareArray& aShares) {
  double worst = 1e9;
  for (size_t i = 0; i < aShares.size(); ++i) {
    worst = std::min(worst, aCompleted[i] / std::max(1.0, aShares[i]));
  }
  return worst;
}

/// Computes the results of a run that started at aStart.
inline ChainResult MeasureChain(const ChainScenario& aScenario,
                                TimePoint aStart,
                                const std::deque<ChainRequest>& aRequests,
                                const ChainCounts& aCounts) {
  const TimePoint from = aStart + aScenario.warmUp;
  const TimePoint to = aStart + aScenario.length;
  ShareArray completed{};
  std::array<ShareArray, kImportanceClasses> demands{};
  std::array<double, kImportanceClasses> total{};
  std::vector<double> times;
  ChainResult result;
  for (const ChainRequest& request : aRequests) {
    if (request.Succeeded() && request.completed >= from &&
        request.completed < to) {
      ++completed[request.organisation];
      times.push_back(ToSeconds(request.completed - request.begun));
    }
    if (request.begun >= from && request.begun < to) {
      const auto importance = static_cast<size_t>(request.importance);
      ++total[importance];
      ++demands[importance][request.organisation];
      result.failed[importance] += request.Succeeded() ? 0 : 1;
    }
  }
  for (size_t i = 0; i < kImportanceClasses; ++i) {
    result.failed[i] /= std::max(1.0, total[i]);
  }
  const double served = CapacityOf(aScenario) * ToSeconds(to - from);
  ShareArray all{};
  ShareArray byClass{};
  const double reachable = served * aScenario.reachable;
  double left = reachable;
  for (const ShareArray& demand : demands) {
    const ShareArray shares = FairShares(demand, byClass, left);
    for (size_t i = 0; i < shares.size(); ++i) {
      all[i] += demand[i];
      byClass[i] += shares[i];
      left -= shares[i];
    }
  }
  result.worstShare = WorstShare(completed, byClass);
  result.worstMaxMinShare =
      WorstShare(completed, FairShares(all, {}, reachable));
  for (const double count : completed) {
    result.goodput += count / served;
  }
  if (!times.empty()) {
    const auto at =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() * 99 / 100);
    std::nth_element(times.begin(), at, times.end());
    result.latency99 = *at;
  }
  const double length = ToSeconds(aScenario.length);
  result.shedLate = static_cast<double>(aCounts.shedLate) / length;
  result.shedEarly = static_cast<double>(aCounts.shedEarly) / length;
  result.criticalShed = aCounts.criticalShed;
  result.inversions = aCounts.inversions;
  result.earlyInversions = aCounts.earlyInversions;
  result.recovery = RecoveryTime(aScenario, aStart, aRequests);
  return result;
}

}  // namespace fescueline
