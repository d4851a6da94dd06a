#include <benchmark/benchmark.h>

#include "../../tests/Freshness/RelayFleet.h"

using namespace fescueline;

namespace {
// Fleets up to this size have 4 data centres and 3 vouchers; larger ones have 8
// data centres with 3 vouchers each. A data centre has at most 3 vouchers.
constexpr size_t kSmallFleet = 256;
constexpr int kWarmUpRounds = 40;

/// Rounds until every node has applied a new version, and the greatest age of
/// any node's configuration, over 20 versions.
void RelayRounds(benchmark::State& aState) {
  const auto nodes = static_cast<size_t>(aState.range(0));
  const size_t vouchers = nodes <= kSmallFleet ? 3 : 24;
  int greatestRounds = 0;
  int totalRounds = 0;
  int versions = 0;
  Duration greatestAge{};
  for (auto _ : aState) {
    RelayFleet fleet(nodes, vouchers, std::chrono::seconds(60), 1);
    for (int i = 0; i < kWarmUpRounds; ++i) {
      fleet.RunRound();
    }
    fleet.ResetGreatestAge();
    for (int version = 0; version < 20; ++version) {
      fleet.Commit();
      int rounds = 0;
      while (fleet.CountCurrent() < nodes) {
        fleet.RunRound();
        ++rounds;
      }
      greatestRounds = std::max(greatestRounds, rounds);
      totalRounds += rounds;
      ++versions;
    }
    greatestAge = std::max(greatestAge, fleet.GreatestAge());
  }
  aState.counters["rounds_mean"] = static_cast<double>(totalRounds) / versions;
  aState.counters["rounds_max"] = greatestRounds;
  aState.counters["age_max_s"] = ToSeconds(greatestAge);
}
BENCHMARK(RelayRounds)
    ->Arg(16)
    ->Arg(256)
    ->Arg(1000)
    ->Arg(10000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
}  // namespace
