#include <benchmark/benchmark.h>

#include <array>
#include <cstdio>

#include "EscrowRun.h"
#include "OtherRuns.h"

using namespace fescueline;

namespace {
const TimePoint kStart{std::chrono::hours(1)};
using std::chrono::seconds;

enum Method { StaticSplit, CentralMeter, CachedGrants, Escrow };
constexpr std::array<const char*, 4> kMethods = {
    "static split", "central meter", "cached grants", "escrow"};

std::vector<FaultPlan> Plans() {
  FaultPlan none;
  none.name = "no faults";
  FaultPlan frozen = none;
  frozen.name = "node frozen 15 s";
  frozen.frozenNode = 5;
  frozen.frozenFrom = kStart + seconds(30);
  frozen.frozenUntil = kStart + seconds(45);
  FaultPlan killed = none;
  killed.name = "node killed";
  killed.killedNode = 6;
  killed.killedAt = kStart + seconds(40);
  FaultPlan paused = none;
  paused.name = "issuer paused 3 s";
  paused.issuerPausedFrom = kStart + seconds(64);
  paused.issuerPausedUntil = kStart + seconds(67);
  FaultPlan issuer = none;
  issuer.name = "issuer killed";
  issuer.issuerKilled = true;
  issuer.issuerKilledAt = kStart + seconds(64);
  FaultPlan store = none;
  store.name = "store down 30 s";
  store.storeDownFrom = kStart + seconds(50);
  store.storeDownUntil = kStart + seconds(80);
  FaultPlan both = issuer;
  both.name = "store down, issuer killed";
  both.storeDownFrom = kStart + seconds(50);
  both.storeDownUntil = kStart + seconds(80);
  return {none, frozen, killed, paused, issuer, store, both};
}

/// One method under one fault plan, on the demand recorded for the plan.
void Methods(benchmark::State& aState) {
  const auto method = static_cast<Method>(aState.range(0));
  const FaultPlan plan = Plans().at(static_cast<size_t>(aState.range(1)));
  Verdict verdict;
  double messages = 0;
  for (auto _ : aState) {
    const std::vector<Arrival> arrivals = RecordDemand(plan, kStart, 11);
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
    verdict = Judge(arrivals, decisions, kStart);
  }
  aState.SetLabel(std::string(kMethods.at(static_cast<size_t>(method))) + ", " +
                  plan.name);
  aState.counters["refused_percent"] = verdict.WrongPercent();
  aState.counters["refused_small_percent"] = verdict.StrictPercent();
  aState.counters["excess_tokens"] = verdict.largestExcess;
  aState.counters["messages_per_issuer"] = messages;
}
BENCHMARK(Methods)
    ->ArgsProduct({{0, 1, 2, 3}, {0, 1, 2, 3, 4, 5, 6}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
}  // namespace
