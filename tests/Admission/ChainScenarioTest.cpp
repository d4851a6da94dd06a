#include <doctest/doctest.h>

#include <string>

#include "../../benchmarks/Admission/ChainSimulation.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {
struct Deployment {
  std::string name;
  Duration clientDelay;
  std::array<uint32_t, kServices> slots;
};

// Slot counts of the two deployments in docs/design.md.
const std::vector<Deployment> kDeployments = {{"a", 10ms, {100, 100, 100, 15}},
                                              {"b", 1ms, {35, 35, 35, 15}}};

ChainScenario Scenario(const Deployment& aDeployment, double aLoad) {
  ChainScenario scenario;
  scenario.clientDelay = aDeployment.clientDelay;
  scenario.slots = aDeployment.slots;
  scenario.load = aLoad;
  scenario.warmUp = 2s;
  scenario.length = 7s;
  scenario.reachable = ReachableGoodput(scenario);
  return scenario;
}
}  // namespace

// Guards against a loss of goodput, fairness or important requests under
// overload. The bounds are the goals in docs/design.md.
TEST_CASE("overload goals hold at 2 and 4 times capacity") {
  for (const Deployment& deployment : kDeployments) {
    for (const double load : {2.0, 4.0}) {
      CAPTURE(deployment.name);
      CAPTURE(load);
      const ChainScenario scenario = Scenario(deployment, load);
      const ChainResult result = ChainSimulation(scenario).Run();
      CHECK(result.goodput >= 0.95 * scenario.reachable);
      CHECK(result.worstShare >= 0.9);
      CHECK(result.inversions == 0);
      CHECK(result.earlyInversions == 0);
    }
  }
}

// Guards against thresholds or limits that stay too low after a load surge in
// which one instance of the deepest service was five times slower.
TEST_CASE("recovery from a surge with a straggler takes at most 2 s") {
  for (const Deployment& deployment : kDeployments) {
    CAPTURE(deployment.name);
    ChainScenario scenario = Scenario(deployment, 0.7);
    scenario.surgeLoad = 3;
    scenario.surgeStart = 2s;
    scenario.surgeEnd = 5s;
    scenario.length = 10s;
    scenario.stragglerFactor = 5;
    const ChainResult result = ChainSimulation(scenario).Run();
    CHECK(result.recovery <= 2.0);
    CHECK(result.inversions == 0);
  }
}

// Guards against a limit that relies on the declared slots. The required
// goodput is 95 % of what is reachable.
TEST_CASE("goodput holds when targets declare too many slots or none") {
  for (const std::optional<double> declared :
       {std::optional<double>(), std::optional<double>(2.5)}) {
    for (const Deployment& deployment : kDeployments) {
      CAPTURE(deployment.name);
      CAPTURE(declared.value_or(0));
      ChainScenario scenario = Scenario(deployment, 2);
      scenario.declaredFactor = declared;
      // Time for the limits to converge from the default.
      scenario.warmUp = 4s;
      scenario.length = 9s;
      const ChainResult result = ChainSimulation(scenario).Run();
      CHECK(result.goodput >= 0.95 * scenario.reachable);
      CHECK(result.inversions == 0);
    }
  }
}

// Guards against a simulation that is not deterministic.
TEST_CASE("a scenario gives the same results in each run") {
  ChainScenario scenario = Scenario(kDeployments[1], 2);
  scenario.length = 3s;
  scenario.warmUp = 1s;
  const ChainResult first = ChainSimulation(scenario).Run();
  const ChainResult second = ChainSimulation(scenario).Run();
  CHECK(first.goodput == second.goodput);
  CHECK(first.shedEarly == second.shedEarly);
  CHECK(first.shedLate == second.shedLate);
}
