#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "Membership/TargetLease.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {
TargetAnnouncement Announced(TargetState aState,
                             const std::string& aAddress = "127.0.0.1:80") {
  return {.service = "fees",
          .address = aAddress,
          .state = aState,
          .slots = 10,
          .connections = 20,
          .load = 0};
}

struct TransitionCase {
  std::string name;
  TargetState first;
  TargetState second;
  bool changed;
};
}  // namespace

// Guards against callers that are not notified of a change, or are notified
// without one.
TEST_CASE("an announcement reports a change of state") {
  const std::vector<TransitionCase> cases = {
      {"renewed", TargetState::Ready, TargetState::Ready, false},
      {"ready", TargetState::Starting, TargetState::Ready, true},
      {"drains", TargetState::Ready, TargetState::Draining, true},
      {"drain withdrawn", TargetState::Draining, TargetState::Ready, true},
      {"stopped", TargetState::Draining, TargetState::Gone, true},
  };
  for (const TransitionCase& row : cases) {
    CAPTURE(row.name);
    TargetLease lease{TargetLeaseSettings{}};
    ManualClock clock;
    CHECK(lease.State(clock.Now()) == TargetState::Gone);
    CHECK(lease.Announce(Announced(row.first), clock.Now()));
    clock.Advance(1s);
    CHECK(lease.Announce(Announced(row.second), clock.Now()) == row.changed);
    CHECK(lease.State(clock.Now()) == row.second);
    CHECK((lease.Current(clock.Now()) == nullptr) ==
          (row.second == TargetState::Gone));
  }
}

// Guards against requests to a target that has stopped.
TEST_CASE("a target is gone after 3 s without an announcement") {
  TargetLease lease{TargetLeaseSettings{}};
  ManualClock clock;
  lease.Announce(Announced(TargetState::Ready), clock.Now());
  clock.Advance(3s);
  CHECK_FALSE(lease.Expire(clock.Now()));
  CHECK(lease.State(clock.Now()) == TargetState::Ready);
  clock.Advance(1ns);
  CHECK(lease.State(clock.Now()) == TargetState::Gone);
  CHECK(lease.Current(clock.Now()) == nullptr);
  CHECK(lease.Expire(clock.Now()));
  CHECK_FALSE(lease.Expire(clock.Now()));
  // The expiry was noticed in time, so the next announcement counts at once.
  CHECK(lease.Announce(Announced(TargetState::Ready), clock.Now()));
  CHECK(lease.State(clock.Now()) == TargetState::Ready);
}

// Guards against an announcement from before a pause of this process that makes
// a target Ready which has died meanwhile.
TEST_CASE("after a pause the lease expires before it can be renewed") {
  for (const bool timerFirst : {false, true}) {
    CAPTURE(timerFirst);
    TargetLease lease{TargetLeaseSettings{}};
    ManualClock clock;
    lease.Announce(Announced(TargetState::Ready), clock.Now());
    clock.Advance(10s);
    CHECK(lease.State(clock.Now()) == TargetState::Gone);
    if (timerFirst) {
      CHECK(lease.Expire(clock.Now()));
    }
    CHECK(lease.Announce(Announced(TargetState::Ready), clock.Now()) !=
          timerFirst);
    CHECK(lease.State(clock.Now()) == TargetState::Gone);
    clock.Advance(1s);
    CHECK(lease.Announce(Announced(TargetState::Ready), clock.Now()));
    CHECK(lease.State(clock.Now()) == TargetState::Ready);
  }
}

// Guards against a cold target that is treated as warmed up.
TEST_CASE("the ready time counts from the last interruption") {
  TargetLease lease{TargetLeaseSettings{}};
  ManualClock clock;
  lease.Announce(Announced(TargetState::Starting), clock.Now());
  CHECK_FALSE(lease.ReadyFor(clock.Now()).has_value());
  for (int i = 0; i < 5; ++i) {
    clock.Advance(1s);
    lease.Announce(Announced(TargetState::Ready), clock.Now());
  }
  CHECK(lease.ReadyFor(clock.Now()) == Duration(4s));
  clock.Advance(1s);
  CHECK(lease.Announce(Announced(TargetState::Ready, "127.0.0.1:81"),
                       clock.Now()));
  CHECK(lease.ReadyFor(clock.Now()) == Duration(0s));
  clock.Advance(3500ms);
  CHECK_FALSE(lease.ReadyFor(clock.Now()).has_value());
  lease.Announce(Announced(TargetState::Ready), clock.Now());
  CHECK(lease.ReadyFor(clock.Now()) == Duration(0s));
}
