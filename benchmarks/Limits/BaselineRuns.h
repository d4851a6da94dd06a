#pragma once

#include <algorithm>
#include <array>
#include <vector>

#include "RunEvaluation.h"

namespace fescueline {

/// Every node has a fixed sixteenth of each limit.
inline std::vector<Decision> RunStaticSplit(
    const std::vector<Arrival>& aArrivals, TimePoint aStart) {
  std::array<std::array<TokenBucket, kOrganisations>, kFleetNodes> buckets;
  for (auto& node : buckets) {
    for (size_t org = 0; org < kOrganisations; ++org) {
      Portion part = LimitOf(org);
      part.rate /= static_cast<MicroTokens>(kFleetNodes);
      part.capacity /= static_cast<MicroTokens>(kFleetNodes);
      node[org].Add(part, 0, aStart);
    }
  }
  std::vector<Decision> decisions;
  for (const Arrival& arrival : aArrivals) {
    decisions.push_back(
        {.admitted =
             buckets[arrival.node][arrival.organisation].TrySpend(arrival.at),
         .at = arrival.at});
  }
  return decisions;
}

/// Time until a killed meter is replaced: as for an issuer, 5 s without a
/// response, then the freshness limit and the messages of the new allocation.
inline constexpr Duration kMeterReplacement = std::chrono::milliseconds(9400);

inline bool IsMeterDown(const FaultPlan& aPlan, TimePoint aNow) {
  const bool killed = aPlan.issuerKilled && aNow >= aPlan.issuerKilledAt;
  const TimePoint claim = std::max(
      aPlan.issuerKilledAt + std::chrono::seconds(5),
      aPlan.storeDownFrom <= aPlan.issuerKilledAt + std::chrono::seconds(5)
          ? aPlan.storeDownUntil
          : TimePoint{});
  return (killed &&
          aNow < claim + (kMeterReplacement - std::chrono::seconds(5))) ||
         (aNow >= aPlan.issuerPausedFrom && aNow < aPlan.issuerPausedUntil);
}

/// Node 0 has all buckets and decides each request, which costs a round trip of
/// 0.4 or 3 ms. A request without a response in 50 ms is refused.
inline std::vector<Decision> RunCentralMeter(
    const std::vector<Arrival>& aArrivals, const FaultPlan& aPlan,
    TimePoint aStart) {
  std::array<TokenBucket, kOrganisations> buckets;
  for (size_t org = 0; org < kOrganisations; ++org) {
    buckets[org].Add(LimitOf(org), 0, aStart);
  }
  // The meter decides requests in the order in which they reach it.
  std::vector<Decision> decisions(aArrivals.size());
  std::vector<size_t> order(aArrivals.size());
  for (size_t i = 0; i < aArrivals.size(); ++i) {
    order[i] = i;
    decisions[i].at = aArrivals[i].at + DelayBetween(aArrivals[i].node, 0);
  }
  std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return decisions[a].at < decisions[b].at;
  });
  bool replaced = false;
  for (size_t i : order) {
    const TimePoint at = decisions[i].at;
    if (IsMeterDown(aPlan, at)) {
      continue;
    }
    if (aPlan.issuerKilled && at >= aPlan.issuerKilledAt && !replaced) {
      replaced = true;
      for (size_t org = 0; org < kOrganisations; ++org) {
        buckets[org].Clear(at);
        buckets[org].Add(LimitOf(org), 0, at);
      }
    }
    decisions[i].admitted = buckets[aArrivals[i].organisation].TrySpend(at);
  }
  return decisions;
}

/// Nodes fetch a grant for the next 100 ms from node 0 and, while it does not
/// respond, continue at the rate of the last grant to stay available.
inline std::vector<Decision> RunCachedGrants(
    const std::vector<Arrival>& aArrivals, const FaultPlan& aPlan,
    TimePoint aStart) {
  struct Grant {
    TimePoint until{};
    MicroTokens tokens = 0;
    MicroTokens lastSize = 0;
    uint64_t arrivals = 0;
  };
  constexpr Duration kPeriod = std::chrono::milliseconds(100);
  std::array<TokenBucket, kOrganisations> buckets;
  for (size_t org = 0; org < kOrganisations; ++org) {
    buckets[org].Add(LimitOf(org), 0, aStart);
  }
  std::array<std::array<Grant, kOrganisations>, kFleetNodes> grants{};
  std::vector<Decision> decisions;
  for (const Arrival& arrival : aArrivals) {
    Grant& grant = grants[arrival.node][arrival.organisation];
    TokenBucket& bucket = buckets[arrival.organisation];
    ++grant.arrivals;
    if (arrival.at >= grant.until) {
      if (IsMeterDown(aPlan, arrival.at)) {
        grant.tokens = grant.lastSize;
      } else {
        // Unused tokens count towards the next grant; the demand is taken to be
        // that of the last period.
        const MicroTokens wanted =
            static_cast<MicroTokens>(grant.arrivals) * kMicroTokensPerToken;
        const MicroTokens size =
            std::min(std::max<MicroTokens>(0, wanted - grant.tokens),
                     bucket.Tokens(arrival.at)) /
            kMicroTokensPerToken * kMicroTokensPerToken;
        for (MicroTokens i = 0; i < size; i += kMicroTokensPerToken) {
          bucket.TrySpend(arrival.at);
        }
        grant.tokens += size;
        grant.lastSize = grant.tokens;
      }
      grant.until = arrival.at + kPeriod;
      grant.arrivals = 0;
    }
    const bool admitted = grant.tokens >= kMicroTokensPerToken;
    grant.tokens -= admitted ? kMicroTokensPerToken : 0;
    decisions.push_back({.admitted = admitted, .at = arrival.at});
  }
  return decisions;
}

}  // namespace fescueline
