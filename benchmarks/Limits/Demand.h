#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <vector>

#include "Core/RandomSource.h"
#include "Limits/TokenBucket.h"

namespace fescueline {

inline constexpr size_t kFleetNodes = 16;
inline constexpr size_t kDataCentres = 4;
inline constexpr size_t kOrganisations = 8;
/// Length of a run. Its first seconds fill the buckets and are not counted, as
/// an allocation starts without tokens.
inline constexpr Duration kRunLength = std::chrono::seconds(120);
inline constexpr Duration kWarmUp = std::chrono::seconds(8);
/// One-way message delay within and between data centres.
inline constexpr Duration kLocalDelay = std::chrono::microseconds(200);
inline constexpr Duration kRemoteDelay = std::chrono::microseconds(1500);

inline Duration DelayBetween(size_t aFrom, size_t aTo) {
  return aFrom % kDataCentres == aTo % kDataCentres ? kLocalDelay
                                                    : kRemoteDelay;
}

/// Limits of the organisations: one large, seven smaller.
inline Portion LimitOf(size_t aOrganisation) {
  constexpr std::array<int64_t, kOrganisations> kRates = {800, 400, 200, 100,
                                                          100, 50,  50,  20};
  const MicroTokens rate = kRates.at(aOrganisation) * kMicroTokensPerToken;
  return {.rate = rate, .capacity = rate};
}

/// Faults of the fleet during a run.
struct FaultPlan {
  const char* name;
  /// Index of a node that is frozen for longer than its lease; -1 if none.
  int frozenNode = -1;
  TimePoint frozenFrom{};
  TimePoint frozenUntil{};
  /// Index of a node that is killed and not replaced; -1 if none.
  int killedNode = -1;
  TimePoint killedAt{};
  /// The node with the issuers (or the central meter) is killed or paused.
  bool issuerKilled = false;
  TimePoint issuerKilledAt{};
  TimePoint issuerPausedFrom{};
  TimePoint issuerPausedUntil{};
  /// The table accepts no writes.
  TimePoint storeDownFrom{};
  TimePoint storeDownUntil{};

  /// Whether a node accepts no requests and sends no messages.
  bool IsDown(size_t aNode, TimePoint aNow) const {
    const int node = static_cast<int>(aNode);
    return (node == this->frozenNode && aNow >= this->frozenFrom &&
            aNow < this->frozenUntil) ||
           (node == this->killedNode && aNow >= this->killedAt) ||
           (node == 0 && this->issuerKilled && aNow >= this->issuerKilledAt) ||
           (node == 0 && aNow >= this->issuerPausedFrom &&
            aNow < this->issuerPausedUntil);
  }
};

/// One request of the generated demand.
struct Arrival {
  TimePoint at;
  uint8_t node;
  uint8_t organisation;
};

/// Poisson arrivals: the first organisation offers four times its rate, the
/// others 70% of theirs. Each organisation has a few main entry nodes that get
/// most of its requests and move every 10 s. Callers of a node that is down use
/// the next one.
inline std::vector<Arrival> GenerateDemand(const FaultPlan& aPlan,
                                           TimePoint aStart, uint64_t aSeed) {
  RandomSource random(aSeed);
  std::vector<Arrival> arrivals;
  for (size_t org = 0; org < kOrganisations; ++org) {
    const double offered = static_cast<double>(LimitOf(org).rate) /
                           static_cast<double>(kMicroTokensPerToken) *
                           (org == 0 ? 4.0 : 0.7);
    TimePoint at = aStart;
    while (true) {
      at += FromSeconds(-std::log(1.0 - random.NextDouble()) / offered);
      if (at >= aStart + kRunLength) {
        break;
      }
      const auto period =
          static_cast<size_t>((at - aStart) / std::chrono::seconds(10));
      const bool toMain = random.NextDouble() < 0.8;
      size_t node =
          toMain ? (period * 5 + org * 3 + random.NextBelow(3)) % kFleetNodes
                 : random.NextBelow(kFleetNodes);
      while (aPlan.IsDown(node, at)) {
        node = (node + 1) % kFleetNodes;
      }
      arrivals.push_back({.at = at,
                          .node = static_cast<uint8_t>(node),
                          .organisation = static_cast<uint8_t>(org)});
    }
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  return arrivals;
}

}  // namespace fescueline
