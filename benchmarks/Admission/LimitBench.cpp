#include <benchmark/benchmark.h>

#include <algorithm>
#include <cmath>

#include "Admission/ConcurrencyLimit.h"
#include "LimitCandidates.h"
#include "LimitSimulation.h"

namespace fescueline {

namespace {

/// Three phases: normal service times, service times five times as long, normal
/// ones again. Arguments: declared slots in percent of the workers (0: none
/// declared), workers. The suffixes 1 to 3 of the counters are the phases; each
/// counter is the mean over five seeds.
template <typename L>
void Limit(benchmark::State& aState) {
  constexpr int kSeeds = 5;
  const std::array<const char*, 3> suffixes{"1", "2", "3"};
  for (auto _ : aState) {
    for (int seed = 1; seed <= kSeeds; ++seed) {
      LimitScenario scenario;
      scenario.workers = static_cast<uint32_t>(aState.range(1));
      scenario.seed = static_cast<uint64_t>(seed);
      if (aState.range(0) > 0) {
        scenario.declared = static_cast<uint32_t>(
            std::lround(scenario.workers * aState.range(0) / 100.0));
      }
      LimitSimulation<L> simulation(scenario);
      for (size_t i = 0; i < suffixes.size(); ++i) {
        const LimitPhase phase = simulation.Run(i == 1 ? scenario.slowness : 1);
        const auto add = [&](const char* aName, double aValue) {
          aState.counters[std::string(aName) + suffixes[i]] += aValue / kSeeds;
        };
        add("throughput", phase.throughput);
        add("limit", phase.limit);
        add("stretch", phase.stretch);
      }
    }
  }
}
BENCHMARK(Limit<AimdLimit>)
    ->ArgNames({"stated", "workers"})
    ->ArgsProduct({{0, 100, 250}, {15, 100}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(Limit<GradientLimit>)
    ->ArgNames({"stated", "workers"})
    ->ArgsProduct({{0, 100, 250}, {15, 100}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(Limit<ConcurrencyLimit>)
    ->ArgNames({"stated", "workers"})
    ->ArgsProduct({{0, 100, 250}, {15, 100}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace

}  // namespace fescueline
