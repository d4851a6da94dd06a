#include <doctest/doctest.h>

#include "../../benchmarks/Limits/EscrowRun.h"
#include "../../benchmarks/Limits/FaultPlans.h"

using namespace fescueline;

namespace {
const TimePoint kStart{std::chrono::hours(1)};
constexpr double kRefusedGoalPercent = 1.0;
}  // namespace

// The escrow method gives each node a share of the limit, which it spends
// without asking. Guards against any admission beyond rate and burst under any
// of the faults, and against more than 1% of the requests within the rate
// refused while the issuer runs. More are refused while the issuer has failed;
// docs/limits.md has the figures.
TEST_CASE("escrow keeps the limit and refuses little within the rate") {
  for (const FaultPlan& plan : FaultPlans(kStart)) {
    CAPTURE(plan.name);
    const std::vector<Arrival> arrivals = GenerateDemand(plan, kStart, 11);
    EscrowRun run(plan, kStart);
    const RunEvaluation evaluation =
        EvaluateRun(arrivals, run.Run(arrivals), kStart);
    CHECK(evaluation.withinRate > 100'000);
    CHECK(evaluation.largestExcess == 0);
    const bool issuerFails =
        plan.issuerKilled || plan.issuerPausedUntil > TimePoint{};
    if (!issuerFails) {
      CHECK(evaluation.WrongPercent() < kRefusedGoalPercent);
      CHECK(evaluation.StrictPercent() < kRefusedGoalPercent);
    }
  }
}
