#include <benchmark/benchmark.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <new>
#include <string>

#include "RoutingSimulation.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {
std::atomic<uint64_t> sAllocations{0};
}  // namespace

// Counts allocations for the `allocations` counters. GCC reports a mismatch of
// new and free when it inlines only one of the two operators; the pair below is
// malloc and free.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"
void* operator new(size_t aSize) {
  sAllocations.fetch_add(1, std::memory_order_relaxed);
  if (void* memory = std::malloc(aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}
void operator delete(void* aMemory) noexcept { std::free(aMemory); }
void operator delete(void* aMemory, size_t) noexcept { std::free(aMemory); }

namespace {
struct NamedVariant {
  RoutingVariant variant;
  const char* name;
};
constexpr std::array<NamedVariant, 6> kVariants = {
    {{RoutingVariant::Random, "random"},
     {RoutingVariant::RoundRobin, "round-robin"},
     {RoutingVariant::OwnInFlight, "own-in-flight"},
     {RoutingVariant::TwoChoices, "two-choices"},
     {RoutingVariant::Gradual, "gradual-ejection"},
     {RoutingVariant::Breaker, "circuit-breaker"}}};

struct NamedCase {
  SimulationCase simulation;
  const char* name;
};
const std::array<NamedCase, 13> kCases = {
    {{{}, "equal"},
     {{.load = 0.8}, "equal-load-0.8"},
     {{.sigma = 1.5}, "equal-heavy-tail"},
     {{.slowness = 10.0}, "straggler-10x"},
     {{.slowness = 10.0, .load = 0.8}, "straggler-10x-load-0.8"},
     {{.slowness = 10.0, .period = 20s}, "straggler-half-of-20s"},
     {{.failureRate = 1.0}, "fails-fast"},
     {{.failureRate = 0.5}, "fails-half"},
     {{.load = 0.6, .uneven = true}, "uneven-callers-load-0.6"},
     {{.load = 0.8, .uneven = true}, "uneven-callers-load-0.8"},
     {{.drainAt = 10s}, "drains-at-10s"},
     {{.reports = 0}, "reports-idle"},
     {{.reports = 100000}, "reports-full"}}};

/// Values of reportedLoadWeight and reportedLoadSmoothing to compare.
constexpr std::array<double, 5> kLoadWeights = {0.0, 0.1, 0.25, 0.5, 1.0};
constexpr std::array<double, 3> kLoadSmoothings = {1.0, 0.3, 0.1};

void BM_Quality(benchmark::State& aState, const SimulationVariant& aVariant,
                const NamedCase& aCase) {
  SimulationResult result;
  for (auto unused : aState) {
    result = RoutingSimulation(aVariant, aCase.simulation).Run();
  }
  aState.counters["odd_%"] = 100.0 * result.faultyShare;
  aState.counters["balance"] = result.balance;
  aState.counters["mean_ms"] = result.mean;
  aState.counters["p99_ms"] = result.p99;
  aState.counters["failed_%"] = 100.0 * result.failed;
  aState.counters["after_drain"] = static_cast<double>(result.afterDrain);
  aState.counters["ejected_innocent_%"] = 100.0 * result.ejectedHealthy;
}

TargetInfo Member(int64_t aNumber, const char* aDataCentre) {
  return {.node = "node-" + std::to_string(aNumber),
          .incarnation = {.high = 1, .low = static_cast<uint64_t>(aNumber)},
          .service = "fees",
          .dataCentre = aDataCentre,
          .region = "r1",
          .capacity = 10};
}

/// One Pick() from the given number of targets, half of them in the local data
/// centre.
void BM_Pick(benchmark::State& aState) {
  TargetTable table({.dataCentre = "dc1", .region = "r1"});
  const TargetPicker picker(table, TargetPickerSettings{});
  ManualClock clock;
  RandomSource random(7);
  for (int64_t i = 0; i < aState.range(0); ++i) {
    const TargetRef ref = table.Upsert(Member(i, i % 2 == 0 ? "dc1" : "dc2"));
    table.OnReport(ref, {.load = 2, .readyFor = 1h}, clock.Now());
  }
  const uint64_t before = sAllocations.load();
  for (auto unused : aState) {
    const auto ref = picker.Pick("fees", {}, clock.Now(), random);
    benchmark::DoNotOptimize(ref);
  }
  aState.counters["allocations"] =
      benchmark::Counter(static_cast<double>(sAllocations.load() - before),
                         benchmark::Counter::kAvgIterations);
}
BENCHMARK(BM_Pick)->Arg(8)->Arg(400)->Arg(10000);

/// Start and finish of one call at a random target.
void BM_StartFinish(benchmark::State& aState) {
  TargetTable table({.dataCentre = "dc1", .region = "r1"});
  const TargetPicker picker(table, TargetPickerSettings{});
  ManualClock clock;
  RandomSource random(7);
  std::vector<TargetRef> refs;
  for (int64_t i = 0; i < aState.range(0); ++i) {
    refs.push_back(table.Upsert(Member(i, "dc1")));
    table.OnReport(refs.back(), {}, clock.Now());
  }
  const uint64_t before = sAllocations.load();
  for (auto unused : aState) {
    const CallTicket ticket =
        table.OnStart(refs[random.NextBelow(refs.size())], clock.Now());
    table.OnFinish(ticket, CallResult::Answered, clock.Now());
  }
  aState.counters["allocations"] =
      benchmark::Counter(static_cast<double>(sAllocations.load() - before),
                         benchmark::Counter::kAvgIterations);
}
BENCHMARK(BM_StartFinish)->Arg(8)->Arg(400)->Arg(10000);

/// One Tick() for a service with the given number of targets.
void BM_Tick(benchmark::State& aState) {
  TargetTable table({.dataCentre = "dc1", .region = "r1"});
  ManualClock clock;
  for (int64_t i = 0; i < aState.range(0); ++i) {
    const TargetRef ref = table.Upsert(Member(i, "dc1"));
    table.OnReport(ref, {}, clock.Now());
    const CallTicket ticket = table.OnStart(ref, clock.Now());
    table.OnFinish(ticket, CallResult::Answered, clock.Now() + 10ms);
  }
  for (auto unused : aState) {
    table.Tick(clock.Now());
  }
}
BENCHMARK(BM_Tick)->Arg(20)->Arg(400);

void Register(const std::string& aName, const SimulationVariant& aVariant,
              const NamedCase& aCase) {
  benchmark::RegisterBenchmark(aName.c_str(),
                               [aVariant, &aCase](benchmark::State& aState) {
                                 BM_Quality(aState, aVariant, aCase);
                               })
      ->Iterations(1)
      ->Unit(benchmark::kMillisecond);
}

const bool kRegistered = [] {
  for (const NamedCase& simulation : kCases) {
    for (const NamedVariant& variant : kVariants) {
      Register(
          std::string("BM_Quality/") + simulation.name + "/" + variant.name,
          {.routing = variant.variant}, simulation);
    }
    for (const double weight : kLoadWeights) {
      for (const double smoothing : kLoadSmoothings) {
        Register(std::string("BM_Hint/") + simulation.name +
                     "/weight:" + std::to_string(weight).substr(0, 4) +
                     "/smoothing:" + std::to_string(smoothing).substr(0, 3),
                 {.routing = RoutingVariant::Gradual,
                  .reportedLoadWeight = weight,
                  .reportedLoadSmoothing = smoothing},
                 simulation);
      }
    }
  }
  return true;
}();
}  // namespace
