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

// Guards against a limit that idles the target or queues in it, when stated
// slots are missing, right or 2.5 times too high, and while the target is five
// times slower and after that.
TEST_CASE("the limit finds the number of workers") {
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

// Guards against starting more than the target states, whatever the latencies.
TEST_CASE("the limit never exceeds stated slots or connections") {
  CHECK(rc::check("limit within stated", [] {
    const auto slots = *rc::gen::inRange<uint32_t>(1, 50);
    const auto connections = *rc::gen::inRange<uint32_t>(1, 50);
    ConcurrencyLimit limit({.samples = 4});
    limit.SetStated(slots, connections);
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
    limit.SetStated(1, connections);
    RC_ASSERT(limit.Limit() == 1U);
  }));
}
