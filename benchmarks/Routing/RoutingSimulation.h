#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "CircuitBreaker.h"
#include "Core/RandomSource.h"
#include "Routing/TargetPicker.h"
#include "Routing/TargetTable.h"

namespace fescueline {

/// Routing algorithms to compare.
enum class RoutingVariant : uint8_t {
  Random,
  RoundRobin,
  /// Two choices by the caller's own calls in flight, without load reports and
  /// without ejection.
  OwnInFlight,
  /// Two choices with load reports, without ejection.
  TwoChoices,
  /// Two choices with load reports and gradual ejection.
  Gradual,
  /// Two choices with load reports and a circuit breaker per target.
  Breaker
};

/// Faults of target 0, the only faulty target, and the load.
struct SimulationCase {
  /// Factor by which the service time of target 0 is multiplied.
  double slowness = 1.0;
  /// Share of its calls that fail, after 1 ms.
  double failureRate = 0.0;
  /// If set, slowness and failureRate apply in the first half of each period.
  Duration period{0};
  /// Time at which it starts to drain; its callers are notified 1 ms later.
  Duration drainAt{0};
  /// False load that it reports; nullopt for the actual load.
  std::optional<uint32_t> reports = std::nullopt;
  /// If set, service times are log-normal with this sigma instead of
  /// exponential.
  double sigma = 0.0;
  /// Offered load relative to the capacity of all targets.
  double load = 0.5;
  /// Half of the callers know only the first half of the targets.
  bool uneven = false;
};

/// A routing algorithm with its parameters.
struct SimulationVariant {
  RoutingVariant routing = RoutingVariant::Gradual;
  /// As in TargetTableSettings.
  double reportedLoadWeight = TargetTableSettings{}.reportedLoadWeight;
  double reportedLoadSmoothing = TargetTableSettings{}.reportedLoadSmoothing;
};

/// Results of one run.
struct SimulationResult {
  /// Share of the calls that went to target 0.
  double faultyShare = 0.0;
  /// Ratio of the largest to the mean number of calls of the other targets.
  double balance = 0.0;
  /// Latency in milliseconds, from the caller's choice to the response.
  double mean = 0.0;
  double p99 = 0.0;
  /// Share of calls that failed.
  double failed = 0.0;
  /// Calls to target 0 after its callers were notified that it drains.
  uint64_t afterDrain = 0;
  /// Mean share of the targets other than 0 that were ejected.
  double ejectedHealthy = 0.0;
};

/// Discrete-event simulation of callers and the targets of one service, on a
/// manual clock and with a fixed seed. Each caller has its own TargetTable;
/// load reports arrive every 500 ms.
class RoutingSimulation {
 public:
  RoutingSimulation(const SimulationVariant& aVariant,
                    const SimulationCase& aCase);
  ~RoutingSimulation();

  SimulationResult Run();

 private:
  struct Caller;
  struct Call;
  struct Server;
  struct Completion {
    TimePoint at;
    uint32_t server;
    uint64_t call;
    bool operator>(const Completion& aOther) const {
      return this->at > aOther.at;
    }
  };

  void Arrive();
  uint32_t Choose(Caller& aCaller);
  void Start(uint32_t aServer, uint64_t aCall);
  void Complete(const Completion& aCompletion);
  void Report();
  bool IsFaulty(uint32_t aServer) const;
  Duration ServiceTime(uint32_t aServer, bool aFails);
  double Exponential(double aMean);
  SimulationResult Summarise();

  SimulationVariant variant;
  SimulationCase settings;
  RandomSource random{20261204};
  ManualClock clock;
  TimePoint begin;
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<Server> servers;
  std::vector<Call> calls;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
      completions;
  std::vector<double> latencies;
  SimulationResult result;
  uint64_t failures = 0;
  uint64_t reports = 0;
  bool drained = false;
};

}  // namespace fescueline
