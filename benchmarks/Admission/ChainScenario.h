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

/// Admission policy of the nodes of a simulated chain.
enum class ChainPolicy : uint8_t {
  /// Forward all requests immediately; the target queues without bound.
  None,
  /// Forward up to the declared slots, with a FIFO queue of bounded length.
  FixedFifo,
  /// AdmissionController and ThresholdTable.
  Full,
  /// AdmissionController and no ThresholdTable: entry nodes refuse nothing
  /// early.
  QueueOnly
};

/// Services of the chain and instances of each.
inline constexpr uint32_t kServices = 4;
inline constexpr uint32_t kInstances = 4;
inline constexpr uint32_t kOrganisations = 8;
/// Demand of organisation 0 relative to each other organisation.
inline constexpr double kLargeFactor = 5;

/// Dimensions of a deployment and its load.
struct ChainScenario {
  ChainPolicy policy = ChainPolicy::Full;
  /// Latency between a client and its entry node, one way.
  Duration clientDelay = std::chrono::milliseconds(10);
  /// Latency between two nodes, one way.
  Duration hopDelay = std::chrono::microseconds(1500);
  std::array<uint32_t, kServices> slots{100, 100, 100, 15};
  std::array<uint32_t, kServices> connections{750, 750, 750, 200};
  /// Mean service time of each service without child calls, in seconds.
  std::array<double, kServices> work{0.020, 0.020, 0.020, 0.040};
  /// Ratio of the slots that targets declare to their actual slots; nullopt if
  /// they declare none.
  std::optional<double> declaredFactor = 1.0;

  /// Achievable share of CapacityOf(): the goodput of plain forwarding at a
  /// load of one. Fair shares are computed from it.
  double reachable = 1;

  /// Offered load relative to capacity; surgeLoad applies during the surge.
  double load = 1;
  double surgeLoad = 0;
  Duration surgeStart{0};
  Duration surgeEnd{0};
  /// Factor by which the service time of one instance of the deepest service is
  /// multiplied during the surge.
  double stragglerFactor = 1;

  /// Measurement begins after the warm-up.
  Duration warmUp = std::chrono::seconds(4);
  Duration length = std::chrono::seconds(12);
  /// Maximum attempts per request; clients retry 20 to 50 ms after a failure.
  uint32_t attempts = 4;
  Duration attemptTimeout = std::chrono::seconds(1);

  AdmissionSettings admission;
  ThresholdTableSettings table;
  uint64_t seed = 1;
};

/// A route's share of the requests and the services on its path.
struct ChainRoute {
  double share;
  std::vector<uint32_t> path;
};

/// All routes end at the service with the fewest slots, so the capacity in
/// requests does not depend on which routes are refused.
inline const std::vector<ChainRoute>& ChainRoutes() {
  static const std::vector<ChainRoute> kRoutes = {
      {0.4, {0, 1, 2, 3}}, {0.2, {0, 1, 3}}, {0.2, {0, 2, 3}}, {0.2, {0, 3}}};
  return kRoutes;
}

/// Capacity in requests per second without queueing: the minimum over the
/// services of slots divided by mean occupancy.
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

/// Demand of an organisation at a load of one, relative to the capacity.
inline double DemandShare(uint32_t aOrganisation) {
  return (aOrganisation == 0 ? kLargeFactor : 1.0) /
         (kLargeFactor + kOrganisations - 1);
}

/// Results of a run.
struct ChainResult {
  /// Requests completed per second after the warm-up, relative to the capacity.
  double goodput = 0;
  /// Lowest ratio of an organisation's goodput to its fair share. The fair
  /// share divides the reachable capacity by importance first, and max-min
  /// fairly within each class.
  double worstShare = 0;
  /// Lowest ratio of an organisation's goodput to its max-min share without
  /// regard to importance. It cannot reach 1 under overload while important
  /// requests go first, since the large organisation's important requests
  /// exceed an equal share.
  double worstMaxMinShare = 0;
  /// Share of requests that failed, by importance.
  std::array<double, kImportanceClasses> failed{};
  /// Attempts of critical requests that a node refused for overload.
  uint64_t criticalShed = 0;
  /// Those of criticalShed refused by a target's node that had less important
  /// requests queued or had started some since the critical request arrived.
  uint64_t inversions = 0;
  /// Those of criticalShed refused by an entry node although an instance on the
  /// path had less important requests queued or had started some in the last
  /// 20 ms.
  uint64_t earlyInversions = 0;
  /// Requests per second shed at the target's queue (late) and at the entry
  /// node (early).
  double shedLate = 0;
  double shedEarly = 0;
  /// Time after the surge from which 95% of the requests in each interval of
  /// 250 ms succeed, in seconds; the rest of the run if that never happens.
  double recovery = 0;
  /// 99th percentile of the latency of successful requests, in seconds.
  double latency99 = 0;
};

}  // namespace fescueline
