#include <doctest/doctest.h>

#include "Mesh/PlannedStop.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {

/// A planned stop with a simulated node.
struct StoppingNode {
  /// Advances the clock in the steps of a node's stop timer.
  void Run(Duration aTime) {
    for (const TimePoint end = this->clock.now + aTime;
         this->clock.now < end && !this->ended;) {
      this->clock.Advance(50ms);
      this->stop.Tick(this->clock.Now());
    }
  }

  ManualClock clock;
  Duration limit = 20s;
  bool idle = true;
  std::function<void()> onLeft;
  size_t leaves = 0;
  size_t refusals = 0;
  size_t callRefusals = 0;
  bool ended = false;
  PlannedStop stop{{.limit = [this] { return this->limit; },
                    .isIdle = [this] { return this->idle; },
                    .leave =
                        [this](std::function<void()> aDone) {
                          ++this->leaves;
                          this->onLeft = std::move(aDone);
                        },
                    .refuse = [this] { ++this->refusals; },
                    .refuseCalls = [this] { ++this->callRefusals; },
                    .end = [this] { this->ended = true; }}};
};

}  // namespace

// Guards against a node that leaves while callers still send to it, and against
// one that terminates with requests in flight.
TEST_CASE("a stopping node leaves after its callers and ends when idle") {
  StoppingNode node;
  node.Run(5s);
  CHECK(node.leaves == 0);
  REQUIRE(node.stop.Begin(node.clock.Now()));
  CHECK_FALSE(node.stop.Begin(node.clock.Now()));
  node.Run(2500ms);
  CHECK(node.leaves == 0);
  node.Run(5s);
  CHECK(node.leaves == 1);
  // The row is still there.
  CHECK_FALSE(node.ended);
  node.idle = false;
  node.onLeft();
  node.Run(5s);
  CHECK_FALSE(node.ended);
  node.idle = true;
  node.Run(50ms);
  CHECK(node.ended);
  CHECK(node.leaves == 1);
}

// Guards against a node that never ends because a request does not end or the
// store does not answer, and that is killed by the platform.
TEST_CASE("a stopping node ends before its time limit") {
  for (const bool idle : {true, false}) {
    CAPTURE(idle);
    StoppingNode node;
    node.idle = idle;
    REQUIRE(node.stop.Begin(node.clock.Now()));
    node.Run(10s);
    CHECK_FALSE(node.ended);
    // A reload shortens the limit.
    node.limit = 15s;
    node.Run(4500ms);
    CHECK_FALSE(node.ended);
    node.Run(200ms);
    CHECK(node.ended);
  }
}

// The platform keeps sending to a stopping node. Guards against requests that
// are accepted shortly before the end and aborted by it, and against refusals
// while callers are still leaving.
TEST_CASE("a stopping node accepts no requests that it has no time for") {
  struct Row {
    Duration limit;
    /// When callers are refused, and calls of running requests as well.
    Duration refusesAfter;
    Duration refusesCallsAfter;
  };
  // Requests that are sent 3 s after the stop began are refused in any case.
  // The node ends 0.4 s before the limit, 0.8 s after it refuses calls.
  for (const Row& row : std::vector<Row>{{20s, 2900ms, 18800ms},
                                         {10s, 2900ms, 8800ms},
                                         {6s, 2900ms, 4800ms},
                                         {3s, 1800ms, 1800ms}}) {
    CAPTURE(ToSeconds(row.limit));
    StoppingNode node;
    node.idle = false;
    node.limit = row.limit;
    REQUIRE(node.stop.Begin(node.clock.Now()));
    node.Run(row.refusesAfter - 50ms);
    CHECK(node.refusals == 0);
    node.Run(50ms);
    CHECK(node.refusals == 1);
    CHECK(node.callRefusals ==
          (row.refusesCallsAfter > row.refusesAfter ? 0 : 1));
    node.Run(row.refusesCallsAfter - row.refusesAfter);
    CHECK(node.callRefusals == 1);
    node.Run(750ms);
    CHECK_FALSE(node.ended);
    node.Run(20s);
    CHECK(node.ended);
    CHECK(node.refusals == 1);
    CHECK(node.callRefusals == 1);
  }
}
