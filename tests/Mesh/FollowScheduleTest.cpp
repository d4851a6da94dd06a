#include <doctest/doctest.h>

#include <vector>

#include "Mesh/FollowSchedule.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {

/// Nodes that are not primary and whose copy nobody confirms.
struct Standbys {
  explicit Standbys(size_t aCount)
      : schedules(aCount, FollowSchedule({.maxAge = 2s})) {}

  /// Advances the clock in the steps of the nodes' maintenance; returns the
  /// number of calls.
  size_t Run(Duration aTime, Duration aAge) {
    size_t calls = 0;
    for (const TimePoint end = this->clock.now + aTime;
         this->clock.now < end;) {
      this->clock.Advance(100ms);
      for (FollowSchedule& schedule : this->schedules) {
        const FollowMode mode =
            schedule.Mode({.age = aAge, .peers = this->schedules.size() - 1},
                          this->clock.Now(), this->random);
        if (mode != FollowMode::Idle) {
          schedule.OnCall();
          ++calls;
        }
      }
    }
    return calls;
  }

  ManualClock clock;
  RandomSource random{7};
  std::vector<FollowSchedule> schedules;
};

}  // namespace

// Guards against nodes that call the store although peers keep their copy
// current: the number of calls would grow with the fleet.
TEST_CASE("a node with a current copy calls the store only if it is primary") {
  ManualClock clock;
  RandomSource random(1);
  FollowSchedule schedule({.primaryMode = FollowMode::ShortPoll, .maxAge = 2s});
  struct Row {
    FollowSchedule::View view;
    FollowMode mode;
  };
  for (const Row& row : std::vector<Row>{
           {{.isPrimary = true, .age = 0s, .peers = 100},
            FollowMode::ShortPoll},
           {{.isPrimary = true, .age = 1h, .peers = 100},
            FollowMode::ShortPoll},
           {{.isPrimary = false, .age = 2s, .peers = 100}, FollowMode::Idle},
           // A node without peers does not wait.
           {{.isPrimary = false, .age = 3s, .peers = 0}, FollowMode::Immediate},
           {{.isPrimary = false, .age = Duration::max(), .peers = 0},
            FollowMode::Immediate}}) {
    CAPTURE(ToSeconds(row.view.age));
    CAPTURE(row.view.isPrimary);
    CHECK(schedule.Mode(row.view, clock.Now(), random) == row.mode);
  }
}

// The store turns all primary nodes away, or is down. Guards against a fleet
// whose calls grow with its size, and against one that waits for seconds until
// another node calls the store.
TEST_CASE("the calls of a fleet without a primary node are bounded") {
  for (const size_t nodes : {30, 194, 300, 2000}) {
    CAPTURE(nodes);
    Standbys standbys(nodes);
    CHECK(standbys.Run(10s, 1s) == 0);
    // Twice the mean rate, as delays are uniform and drawn anew after a call.
    const size_t calls = standbys.Run(10s, 5s);
    CHECK(calls >= 100);
    CHECK(calls <= 240);
    Standbys fresh(nodes);
    CHECK(fresh.Run(1s, 5s) >= 1);
  }
}

// Guards against a node that calls at once when its copy ages for the second
// time, because it kept the time of an earlier delay.
TEST_CASE("a copy that became current again cancels the call") {
  Standbys standbys(300);
  standbys.Run(100ms, 5s);
  standbys.Run(60s, 1s);
  CHECK(standbys.Run(100ms, 5s) < 15);
}
