#include <benchmark/benchmark.h>

#include <array>
#include <string>
#include <vector>

#include "BaselineRuns.h"
#include "EscrowRun.h"
#include "FaultPlans.h"

using namespace fescueline;

namespace {
const TimePoint kStart{std::chrono::hours(1)};

enum Method { StaticSplit, CentralMeter, CachedGrants, Escrow };
constexpr std::array<const char*, 4> kMethods = {
    "static split", "central meter", "cached grants", "escrow"};

/// One method under one fault plan, on the demand generated for the plan.
void Methods(benchmark::State& aState) {
  const auto method = static_cast<Method>(aState.range(0));
  const FaultPlan plan =
      FaultPlans(kStart).at(static_cast<size_t>(aState.range(1)));
  RunEvaluation evaluation;
  double messages = 0;
  for (auto _ : aState) {
    const std::vector<Arrival> arrivals = GenerateDemand(plan, kStart, 11);
    std::vector<Decision> decisions;
    switch (method) {
      case StaticSplit:
        decisions = RunStaticSplit(arrivals, kStart);
        break;
      case CentralMeter:
        decisions = RunCentralMeter(arrivals, plan, kStart);
        break;
      case CachedGrants:
        decisions = RunCachedGrants(arrivals, plan, kStart);
        break;
      case Escrow: {
        EscrowRun run(plan, kStart);
        decisions = run.Run(arrivals);
        messages = run.MeanMessagesPerIssuer();
        break;
      }
    }
    evaluation = EvaluateRun(arrivals, decisions, kStart);
  }
  aState.SetLabel(std::string(kMethods.at(static_cast<size_t>(method))) + ", " +
                  plan.name);
  aState.counters["refused_percent"] = evaluation.WrongPercent();
  aState.counters["refused_small_percent"] = evaluation.StrictPercent();
  aState.counters["excess_tokens"] = evaluation.largestExcess;
  aState.counters["messages_per_issuer"] = messages;
}
BENCHMARK(Methods)
    ->ArgsProduct({{0, 1, 2, 3}, {0, 1, 2, 3, 4, 5, 6}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
}  // namespace
