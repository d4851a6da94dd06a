#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "Admission/AdmissionCore.h"
#include "Admission/ThresholdTable.h"
#include "Core/Importance.h"
#include "Core/Time.h"

namespace fescueline {

/// What the nodes of a simulated chain do.
enum class ChainPolicy : uint8_t {
  /// Forward everything at once; the target queues without bound.
  None,
  /// Forward up to the stated slots; a FIFO queue of bounded length.
  FixedFifo,
  /// AdmissionController and ThresholdTable.
  Full,
  /// The same without early refusal at entry nodes.
  QueueOnly
};

/// Services of the chain and instances of each.
inline constexpr uint32_t kServices = 4;
inline constexpr uint32_t kInstances = 4;
inline constexpr uint32_t kOrganisations = 8;
/// Organisation 0 asks for this many times as much as each other one.
inline constexpr double kLargeFactor = 5;

/// Sizes of a deployment and the load on it.
struct ChainScenario {
  ChainPolicy policy = ChainPolicy::Full;
  /// Time between a client and its entry node.
  Duration clientDelay = std::chrono::milliseconds(10);
  /// Time between two nodes.
  Duration hopDelay = std::chrono::microseconds(1500);
  std::array<uint32_t, kServices> slots{100, 100, 100, 15};
  std::array<uint32_t, kServices> connections{750, 750, 750, 200};
  /// Mean time of each service's own work, in seconds.
  std::array<double, kServices> work{0.020, 0.020, 0.020, 0.040};
  /// What targets state, as a factor on their slots; nothing if not set.
  std::optional<double> declaredFactor = 1.0;

  /// Part of CapacityOf() that can be reached: the goodput of plain forwarding
  /// at a load of one. Fair shares are shares of this.
  double reachable = 1;

  /// Offered load over capacity, and during the surge.
  double load = 1;
  double surgeLoad = 0;
  Duration surgeStart{0};
  Duration surgeEnd{0};
  /// Slowness of one instance of the deepest service during the surge.
  double stragglerFactor = 1;

  /// Measurement begins after the warm-up.
  Duration warmUp = std::chrono::seconds(4);
  Duration length = std::chrono::seconds(12);
  /// Clients repeat a failed request at once, this many times in all.
  uint32_t attempts = 4;
  Duration attemptTimeout = std::chrono::seconds(1);

  AdmissionSettings admission;
  ThresholdTableSettings table;
  uint64_t seed = 1;
};

/// Share of the requests that each route has, and the services on its path.
struct ChainRoute {
  double share;
  std::vector<uint32_t> path;
};

/// All routes end at the service with the fewest slots, so the capacity in
/// requests does not depend on which of them are refused.
inline const std::vector<ChainRoute>& ChainRoutes() {
  static const std::vector<ChainRoute> kRoutes = {
      {0.4, {0, 1, 2, 3}}, {0.2, {0, 1, 3}}, {0.2, {0, 2, 3}}, {0.2, {0, 3}}};
  return kRoutes;
}

/// Requests per second that the slots can serve when nothing waits: the lowest
/// over the services of slots divided by mean occupancy.
inline double CapacityOf(const ChainScenario& aScenario) {
  std::array<double, kServices> occupancy{};
  for (const ChainRoute& route : ChainRoutes()) {
    double below = 0;
    for (size_t i = route.path.size(); i-- > 0;) {
      const uint32_t service = route.path[i];
      below += aScenario.work[service];
      occupancy[service] += route.share * below;
      below += 2 * ToSeconds(aScenario.hopDelay);
    }
  }
  double capacity = 1e9;
  for (uint32_t s = 0; s < kServices; ++s) {
    capacity =
        std::min(capacity, kInstances * aScenario.slots[s] / occupancy[s]);
  }
  return capacity;
}

/// Rate at which an organisation asks, at a load of one, over the capacity.
inline double DemandShare(uint32_t aOrganisation) {
  return (aOrganisation == 0 ? kLargeFactor : 1.0) /
         (kLargeFactor + kOrganisations - 1);
}

/// What a run measured.
struct ChainResult {
  /// Whole requests completed per second after the warm-up, over the capacity.
  double goodput = 0;
  /// Lowest goodput of an organisation over its fair share: the reachable
  /// capacity divided by importance first and max-min fairly within each class.
  double worstShare = 0;
  /// The same over the max-min share without regard to importance. It cannot
  /// reach 1 under overload while important requests go first, since the large
  /// organisation's important requests exceed an equal share.
  double worstMaxMinShare = 0;
  /// Share of requests that failed, by importance.
  std::array<double, kImportanceClasses> failed{};
  /// Attempts of critical requests that a node refused for overload.
  uint64_t criticalShed = 0;
  /// Of these, after they had reached a target that had less important work
  /// queued or started some while they waited.
  uint64_t inversions = 0;
  /// Of these, refused by an entry node although an instance on the path had
  /// less important work queued or had started some in the last 20 ms.
  uint64_t earlyInversions = 0;
  /// Requests that were shed in a queue or at the entry, per second.
  double shedLate = 0;
  double shedEarly = 0;
  /// Time after the surge from which 95% of the requests of every 250 ms
  /// succeed; the rest of the run if that never happens.
  double recovery = 0;
  /// 99th percentile of the time of successful requests, in seconds.
  double latency99 = 0;
};

}  // namespace fescueline
