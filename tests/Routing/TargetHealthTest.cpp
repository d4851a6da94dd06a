#include <doctest/doctest.h>

#include <vector>

#include "Routing/TargetHealth.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {
constexpr PeerMedians kMedians{.latency = 0.010, .failures = 0.0};

/// TargetHealth with a manual clock and calls of given latency.
struct Subject {
  void Call(Duration aLatency, bool aSuccess, int aTimes = 1) {
    for (int i = 0; i < aTimes; ++i) {
      const HealthTicket ticket = this->health.OnStart(this->clock.Now());
      this->clock.Advance(aLatency);
      this->health.OnFinish(ticket, true, aSuccess, this->clock.Now(), kMedians,
                            this->settings);
    }
  }
  double OutlierScore() const {
    return this->health.OutlierScore(this->clock.Now(), kMedians,
                                     this->settings);
  }
  void Eject() {
    for (int i = 0; i < 4 && !this->health.Ejected(); ++i) {
      this->health.Reduce(this->clock.Now(), this->settings);
    }
  }

  TargetHealth health;
  HealthSettings settings;
  ManualClock clock;
};
}  // namespace

// Guards against outlier detection on too few samples, and against an outlier
// that is only as slow or as faulty as its peers.
TEST_CASE("only a clear difference from the peers makes an outlier") {
  Subject slow;
  slow.Call(100ms, true, 9);
  CHECK(slow.OutlierScore() == 0.0);
  slow.Call(100ms, true);
  CHECK(slow.OutlierScore() > 1.0);
  Subject usual;
  usual.Call(25ms, true, 50);
  CHECK(usual.OutlierScore() < 1.0);
  Subject failing;
  failing.Call(1ms, false, 20);
  CHECK(failing.OutlierScore() > 1.0);
  const PeerMedians allFail{.latency = 0.010, .failures = 0.9};
  CHECK(failing.health.OutlierScore(failing.clock.Now(), allFail,
                                    failing.settings) < 1.0);
}

// Guards against a hanging target that is not detected because calls without a
// result have no latency.
TEST_CASE("calls without a response count as hanging, one long call does not") {
  Subject hanging;
  hanging.Call(10ms, true, 3);
  hanging.health.OnStart(hanging.clock.Now());
  hanging.clock.Advance(150ms);
  CHECK(hanging.OutlierScore() < 1.0);
  hanging.clock.Advance(100ms);
  CHECK(hanging.OutlierScore() > 1.0);
  Subject mixed;
  mixed.health.OnStart(mixed.clock.Now());
  mixed.Call(10ms, true, 100);
  CHECK(mixed.OutlierScore() <= 1.0);
}

// Guards against an ejection that never ends, unbounded concurrent probes, and
// probes without backoff.
TEST_CASE("an ejected target is reinstated by successful probes only") {
  Subject subject;
  subject.Eject();
  REQUIRE(subject.health.Ejected());
  CHECK_FALSE(subject.health.ProbeDue(subject.clock.Now()));
  subject.clock.Advance(2s);
  CHECK(subject.health.ProbeDue(subject.clock.Now()));
  const HealthTicket probe = subject.health.OnStart(subject.clock.Now());
  CHECK(probe.probe);
  CHECK_FALSE(subject.health.ProbeDue(subject.clock.Now()));
  // A slow response is a failed probe.
  subject.clock.Advance(100ms);
  subject.health.OnFinish(probe, true, true, subject.clock.Now(), kMedians,
                          subject.settings);
  subject.clock.Advance(3900ms);
  CHECK_FALSE(subject.health.ProbeDue(subject.clock.Now()));
  subject.clock.Advance(100ms);
  CHECK(subject.health.ProbeDue(subject.clock.Now()));
  subject.Call(10ms, true, 3);
  CHECK_FALSE(subject.health.Ejected());
  CHECK(subject.health.Weight() == doctest::Approx(0.1));
  for (int i = 0; i < 4; ++i) {
    subject.Call(10ms, true, 10);
    subject.health.Recover(subject.settings);
  }
  CHECK(subject.health.Weight() == 1.0);
}

// Guards against a cancelled probe that blocks all later probes.
TEST_CASE("a cancelled probe frees its slot and has no other effect") {
  Subject subject;
  subject.Eject();
  subject.clock.Advance(2s);
  const HealthTicket probe = subject.health.OnStart(subject.clock.Now());
  subject.health.OnFinish(probe, false, false, subject.clock.Now(), kMedians,
                          subject.settings);
  CHECK(subject.health.Ejected());
  CHECK(subject.health.ProbeDue(subject.clock.Now()));
}

// Guards against results of calls started before an ejection that end or extend
// it.
TEST_CASE("late results of an earlier epoch are ignored") {
  Subject subject;
  std::vector<HealthTicket> late;
  for (int i = 0; i < 8; ++i) {
    late.push_back(subject.health.OnStart(subject.clock.Now()));
  }
  subject.Eject();
  subject.clock.Advance(2s);
  for (size_t i = 0; i < late.size(); ++i) {
    subject.health.OnFinish(late[i], true, i % 2 == 0, subject.clock.Now(),
                            kMedians, subject.settings);
  }
  CHECK(subject.health.Ejected());
  CHECK(subject.health.ProbeDue(subject.clock.Now()));
  CHECK(subject.health.Failures() == 0.0);
}
