#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "../../benchmarks/Admission/LimitSimulation.h"
#include "Admission/ConcurrencyLimit.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {
struct Row {
  uint32_t workers;
  std::optional<uint32_t> declared;
};
}  // namespace

// Guards against a limit that leaves workers of the target idle or queues
// requests in it. The declared slots are missing, correct or 2.5 times too
// high, and the target becomes five times slower and recovers.
TEST_CASE("the limit converges to the number of workers") {
  const std::vector<Row> rows = {{15, std::nullopt},  {15, 15},   {15, 38},
                                 {100, std::nullopt}, {100, 100}, {100, 250}};
  for (const Row& row : rows) {
    CAPTURE(row.workers);
    CAPTURE(row.declared.value_or(0));
    LimitScenario scenario;
    scenario.workers = row.workers;
    scenario.declared = row.declared;
    scenario.phase = 30s;
    LimitSimulation<ConcurrencyLimit> simulation(scenario);
    for (const double slowness : {1.0, 5.0, 1.0}) {
      CAPTURE(slowness);
      const LimitPhase phase = simulation.Run(slowness);
      CHECK(phase.throughput >= 0.9);
      CHECK(phase.limit <= 2.0);
    }
  }
}

// Guards against a limit above the declared slots or connections, at any
// latencies.
TEST_CASE("the limit never exceeds declared slots or connections") {
  CHECK(rc::check("limit within declared slots and connections", [] {
    const auto slots = *rc::gen::inRange<uint32_t>(1, 50);
    const auto connections = *rc::gen::inRange<uint32_t>(1, 50);
    ConcurrencyLimit limit({.samples = 4});
    limit.SetDeclaredLimits(slots, connections);
    ManualClock clock;
    for (int i = 0; i < 400; ++i) {
      const auto micros = *rc::gen::inRange<int>(1, 10000);
      const TimePoint started = clock.Now();
      clock.Advance(std::chrono::microseconds(micros));
      limit.Finished(clock.Now() - started, limit.Limit(), started,
                     clock.Now());
      RC_ASSERT(limit.Limit() >= 1U);
      RC_ASSERT(limit.Limit() <= std::min(slots, connections));
    }
    limit.SetDeclaredLimits(1, connections);
    RC_ASSERT(limit.Limit() == 1U);
  }));
}
