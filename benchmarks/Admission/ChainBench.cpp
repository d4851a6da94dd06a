#include <benchmark/benchmark.h>

#include "ChainSimulation.h"

namespace fescueline {

namespace {

/// Deployments of section 1.5 of docs/design.md.
ChainScenario Deployment(int64_t aWhich) {
  ChainScenario scenario;
  if (aWhich == 1) {
    scenario.clientDelay = std::chrono::milliseconds(1);
    scenario.slots = {35, 35, 35, 15};
    scenario.connections = {300, 300, 300, 200};
  }
  scenario.reachable = ReachableGoodput(scenario);
  return scenario;
}

void Report(benchmark::State& aState, const ChainResult& aResult) {
  aState.counters["goodput"] = aResult.goodput;
  aState.counters["worst"] = aResult.worstShare;
  aState.counters["worst_plain"] = aResult.worstMaxMinShare;
  aState.counters["fail_crit"] = aResult.failed[0];
  aState.counters["fail_high"] = aResult.failed[1];
  aState.counters["fail_norm"] = aResult.failed[2];
  aState.counters["fail_low"] = aResult.failed[3];
  aState.counters["crit_shed"] = static_cast<double>(aResult.criticalShed);
  aState.counters["inversions"] = static_cast<double>(aResult.inversions);
  aState.counters["early_inv"] = static_cast<double>(aResult.earlyInversions);
  aState.counters["late_per_s"] = aResult.shedLate;
  aState.counters["early_per_s"] = aResult.shedEarly;
  aState.counters["p99_s"] = aResult.latency99;
}

/// Arguments: policy, deployment, load in percent of capacity.
void ChainLoad(benchmark::State& aState) {
  ChainScenario scenario = Deployment(aState.range(1));
  scenario.policy = static_cast<ChainPolicy>(aState.range(0));
  scenario.load = static_cast<double>(aState.range(2)) / 100;
  for (auto _ : aState) {
    Report(aState, ChainSimulation(scenario).Run());
  }
}
BENCHMARK(ChainLoad)
    ->ArgNames({"policy", "deployment", "load"})
    ->ArgsProduct({{0, 1, 2, 3}, {0, 1}, {50, 100, 150, 200, 400}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

/// Load of three times the capacity and a straggler for 4 s. Arguments: policy,
/// deployment, seed.
void ChainRecovery(benchmark::State& aState) {
  ChainScenario scenario = Deployment(aState.range(1));
  scenario.policy = static_cast<ChainPolicy>(aState.range(0));
  scenario.load = 0.7;
  scenario.surgeLoad = 3;
  scenario.surgeStart = std::chrono::seconds(4);
  scenario.surgeEnd = std::chrono::seconds(8);
  scenario.length = std::chrono::seconds(16);
  scenario.stragglerFactor = 5;
  scenario.seed = static_cast<uint64_t>(aState.range(2));
  for (auto _ : aState) {
    const ChainResult result = ChainSimulation(scenario).Run();
    aState.counters["recovery_s"] = result.recovery;
    aState.counters["inversions"] =
        static_cast<double>(result.inversions + result.earlyInversions);
  }
}
BENCHMARK(ChainRecovery)
    ->ArgNames({"policy", "deployment", "seed"})
    ->ArgsProduct({{0, 1, 2, 3}, {0, 1}, {1, 2, 3, 4, 5, 6}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace

}  // namespace fescueline
