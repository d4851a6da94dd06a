#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

#include "Routing/FailureRate.h"
#include "Routing/TargetPicker.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {
TargetInfo Info(int aNumber, const std::string& aCentre = "dc1",
                const std::string& aRegion = "r1") {
  return {.node = "n" + std::to_string(aNumber),
          .incarnation = {.high = 1, .low = 1},
          .service = "fees",
          .dataCentre = aCentre,
          .region = aRegion,
          .capacity = 10};
}

TargetReport Ready(uint32_t aLoad = 0) {
  return {.state = TargetState::Ready,
          .load = aLoad,
          .capacity = 0,
          .readyFor = std::chrono::minutes(10)};
}

/// A table and a picker with a manual clock and a seeded random source.
struct Fixture {
  explicit Fixture(int aTargets = 0)
      : table({.dataCentre = "dc1", .region = "r1"}),
        picker(table, TargetPickerSettings{}) {
    for (int i = 0; i < aTargets; ++i) {
      this->Add(Info(i));
    }
  }

  TargetRef Add(const TargetInfo& aInfo) {
    const TargetRef ref = this->table.Upsert(aInfo);
    this->table.OnReport(ref, Ready(), this->clock.Now());
    this->refs.push_back(ref);
    return ref;
  }

  std::optional<TargetRef> Pick(std::vector<TargetRef> aExclude = {}) {
    return this->picker.Pick("fees", aExclude, this->clock.Now(), this->random);
  }

  /// Number of times each target is picked in aCount picks, without calls.
  std::map<uint32_t, int> Count(int aCount) {
    std::map<uint32_t, int> counts;
    for (int i = 0; i < aCount; ++i) {
      if (const auto ref = this->Pick()) {
        ++counts[ref->index];
      }
    }
    return counts;
  }

  void Pong() {
    for (const TargetRef ref : this->refs) {
      this->table.OnReport(ref, Ready(), this->clock.Now());
    }
  }

  /// Reports a load until its moving average has converged.
  void Report(TargetRef aRef, uint32_t aLoad) {
    for (int i = 0; i < 100; ++i) {
      this->table.OnReport(aRef, Ready(aLoad), this->clock.Now());
    }
  }

  /// Makes failed calls until the target is ejected.
  void Fail(TargetRef aRef) {
    for (int i = 0; i < 200 && !this->table.Get(aRef)->health.Ejected(); ++i) {
      this->Call(aRef, 1ms, CallResult::Failed);
      if (i % 20 == 19) {
        this->table.Tick(this->clock.Now());
      }
    }
  }

  void Call(TargetRef aRef, Duration aLatency, CallResult aResult) {
    const CallTicket ticket = this->table.OnStart(aRef, this->clock.Now());
    this->clock.Advance(aLatency);
    this->table.OnFinish(ticket, aResult, this->clock.Now());
  }

  TargetTable table;
  TargetPicker picker;
  ManualClock clock;
  RandomSource random{42};
  std::vector<TargetRef> refs;
};

struct UnusableCase {
  std::string name;
  void (*makeUnusable)(Fixture&);
};
}  // namespace

// Guards against calls to a target that cannot or must not take them.
TEST_CASE("an unusable target gets no calls") {
  const std::vector<UnusableCase> cases = {
      {"draining",
       [](Fixture& aF) {
         aF.table.OnState(aF.refs[0], TargetState::Draining, aF.clock.Now());
       }},
      {"starting",
       [](Fixture& aF) {
         aF.table.OnReport(aF.refs[0], {.state = TargetState::Starting},
                           aF.clock.Now());
       }},
      {"gone",
       [](Fixture& aF) {
         aF.table.OnReport(aF.refs[0], {.state = TargetState::Gone},
                           aF.clock.Now());
       }},
      {"connection closed",
       [](Fixture& aF) { aF.table.OnUnreachable(aF.refs[0]); }},
      {"connect failed",
       [](Fixture& aF) {
         aF.Call(aF.refs[0], 0ms, CallResult::ConnectFailed);
       }},
      {"left", [](Fixture& aF) { aF.table.Remove(aF.refs[0]); }},
      {"no report for 3 s",
       [](Fixture& aF) {
         aF.clock.Advance(3001ms);
         aF.table.OnReport(aF.refs[1], Ready(), aF.clock.Now());
       }},
  };
  for (const UnusableCase& row : cases) {
    CAPTURE(row.name);
    Fixture fixture(2);
    row.makeUnusable(fixture);
    const auto counts = fixture.Count(500);
    CHECK(counts.size() == 1);
    CHECK(counts.contains(fixture.refs[1].index));
    CHECK_FALSE(fixture.Pick({fixture.refs[1]}).has_value());
    // Outlier detection does not make the target usable either.
    fixture.table.Tick(fixture.clock.Now());
    CHECK(fixture.Count(500).size() == 1);
  }
}

// Guards against a target that stays unusable after a new report, and against
// state of a replaced incarnation that is kept.
TEST_CASE("a report makes a target usable, a new incarnation has no state") {
  Fixture fixture(1);
  fixture.table.OnUnreachable(fixture.refs[0]);
  CHECK_FALSE(fixture.Pick().has_value());
  fixture.Pong();
  CHECK(fixture.Pick() == fixture.refs[0]);
  const CallTicket late =
      fixture.table.OnStart(fixture.refs[0], fixture.clock.Now());
  TargetInfo replaced = Info(0);
  replaced.incarnation = {.high = 2, .low = 2};
  const TargetRef fresh = fixture.table.Upsert(replaced);
  CHECK(fresh != fixture.refs[0]);
  CHECK(fixture.table.Get(fixture.refs[0]) == nullptr);
  fixture.table.OnFinish(late, CallResult::Failed, fixture.clock.Now());
  fixture.table.OnReport(fixture.refs[0], Ready(), fixture.clock.Now());
  REQUIRE(fixture.table.Get(fresh) != nullptr);
  CHECK(fixture.table.Get(fresh)->inFlight == 0);
  CHECK_FALSE(fixture.table.Get(fresh)->lastReport.has_value());
  CHECK(fixture.table.Size() == 1);
}

// Guards against a refusal although a target without a report could be tried,
// and against a preference for such targets.
TEST_CASE("a target without a report is used only if no other is usable") {
  Fixture fixture(0);
  const TargetRef unreported = fixture.table.Upsert(Info(0));
  CHECK(fixture.Pick() == unreported);
  const TargetRef reported = fixture.Add(Info(1));
  CHECK(fixture.Count(200).size() == 1);
  CHECK(fixture.Pick() == reported);
}

// Guards against a retry on the target that has just failed.
TEST_CASE("excluded targets are never picked") {
  Fixture fixture(5);
  const std::vector<TargetRef> exclude = {fixture.refs[0], fixture.refs[1],
                                          fixture.refs[3], fixture.refs[4]};
  for (int i = 0; i < 200; ++i) {
    CHECK(fixture.Pick(exclude) == fixture.refs[2]);
  }
  CHECK_FALSE(fixture.Pick(fixture.refs).has_value());
  CHECK_FALSE(
      fixture.picker.Pick("unknown", {}, fixture.clock.Now(), fixture.random)
          .has_value());
}

// Guards against unnecessary calls to other data centres, and against queueing
// at local targets while others are idle.
TEST_CASE("calls stay local until the local targets are loaded") {
  Fixture fixture(2);
  const TargetRef otherCentre = fixture.Add(Info(8, "dc2"));
  const TargetRef otherRegion = fixture.Add(Info(9, "dc9", "r9"));
  auto counts = fixture.Count(1000);
  CHECK(counts[otherCentre.index] + counts[otherRegion.index] == 0);
  for (const TargetRef ref : {fixture.refs[0], fixture.refs[1]}) {
    fixture.Report(ref, 9);
  }
  counts = fixture.Count(1000);
  CHECK(counts[otherCentre.index] == 1000);
  fixture.Report(otherCentre, 9);
  CHECK(fixture.Count(1000)[otherRegion.index] == 1000);
  // No spillover when all targets are equally loaded.
  fixture.Report(otherRegion, 9);
  counts = fixture.Count(1000);
  CHECK(counts[otherCentre.index] + counts[otherRegion.index] == 0);
}

// Guards against full traffic for a target with cold caches.
TEST_CASE("a target that became ready ramps up") {
  Fixture fixture(9);
  const TargetRef cold = fixture.table.Upsert(Info(9));
  fixture.table.OnReport(cold, {.state = TargetState::Ready},
                         fixture.clock.Now());
  const int atStart = fixture.Count(10000)[cold.index];
  CHECK(atStart < 250);
  CHECK(atStart > 30);
  for (int i = 0; i < 20; ++i) {
    fixture.clock.Advance(500ms);
    fixture.Pong();
    fixture.table.OnReport(cold, {.state = TargetState::Ready},
                           fixture.clock.Now());
  }
  CHECK(fixture.Count(10000)[cold.index] > 800);
}

// Guards against a load report that overrides this node's own measurements.
TEST_CASE("a misleading load report has a bounded effect") {
  Fixture fixture(2);
  fixture.Report(fixture.refs[0], 1000000);
  for (int i = 0; i < 11; ++i) {
    fixture.table.OnStart(fixture.refs[1], fixture.clock.Now());
  }
  CHECK(fixture.Count(100)[fixture.refs[0].index] == 100);
  // One wrong report among others is averaged out.
  Fixture once(2);
  once.table.OnReport(once.refs[0], Ready(1000000), once.clock.Now());
  CHECK(once.table.Utilisation(*once.table.Get(once.refs[0])) < 0.25);
}

// Guards against outlier detection that takes most targets of a service out of
// use: the number of impaired targets stays within its limit for any results.
TEST_CASE("at most a third of the targets is impaired at a time") {
  const bool holds = rc::check("random results", [] {
    const int count = *rc::gen::inRange(1, 12);
    Fixture fixture(count);
    const auto limit =
        count < 2 ? 0U : std::max(1U, static_cast<unsigned>(0.34 * count));
    const auto steps = *rc::gen::container<std::vector<uint32_t>>(
        300, rc::gen::arbitrary<uint32_t>());
    for (const uint32_t step : steps) {
      const auto target = fixture.refs[(step >> 4) % fixture.refs.size()];
      const Duration latency = std::chrono::milliseconds((step >> 12) % 200);
      for (int i = 0; i < 12; ++i) {
        fixture.Call(target, latency,
                     step % 3 == 0 ? CallResult::Failed : CallResult::Answered);
      }
      fixture.Pong();
      fixture.table.Tick(fixture.clock.Now());
      size_t impaired = 0;
      for (const TargetRef ref : fixture.refs) {
        impaired += fixture.table.Get(ref)->health.Impaired();
      }
      RC_ASSERT(impaired <= limit);
      RC_ASSERT(fixture.Pick().has_value());
    }
  });
  CHECK(holds);
}

// Guards against a failing target that keeps its traffic or is never
// reinstated, and against too high a share of ejected targets after healthy
// targets have left.
TEST_CASE("a failing target is ejected, probed and reinstated") {
  Fixture fixture(6);
  for (size_t i = 1; i < 6; ++i) {
    for (int call = 0; call < 20; ++call) {
      fixture.Call(fixture.refs[i], 1ms, CallResult::Answered);
    }
  }
  fixture.Fail(fixture.refs[0]);
  fixture.Pong();
  const auto* failing = fixture.table.Get(fixture.refs[0]);
  REQUIRE(failing->health.Ejected());
  CHECK(fixture.Count(1000).size() == 5);
  fixture.clock.Advance(2s);
  fixture.Pong();
  const int probes = fixture.Count(6400)[fixture.refs[0].index];
  CHECK(probes > 50);
  CHECK(probes < 200);
  const CallTicket probe =
      fixture.table.OnStart(fixture.refs[0], fixture.clock.Now());
  CHECK(fixture.Count(6400)[fixture.refs[0].index] == 0);
  fixture.table.OnFinish(probe, CallResult::Cancelled, fixture.clock.Now());
  for (size_t i = 1; i < 6; ++i) {
    fixture.table.OnUnreachable(fixture.refs[i]);
  }
  // The only remaining target is used although it is ejected.
  CHECK(fixture.Pick() == fixture.refs[0]);
  fixture.table.Tick(fixture.clock.Now());
  CHECK_FALSE(failing->health.Ejected());
}

// Guards against ejection of targets that are only busy.
TEST_CASE("refusals shift load and eject no target") {
  Fixture fixture(3);
  for (int i = 0; i < 100; ++i) {
    fixture.Call(fixture.refs[0], 1ms, CallResult::Refused);
    fixture.table.Tick(fixture.clock.Now());
  }
  fixture.clock.Advance(1ms);
  CHECK_FALSE(fixture.table.Get(fixture.refs[0])->health.Impaired());
  CHECK(fixture.Count(300)[fixture.refs[0].index] == 0);
  fixture.Pong();
  CHECK(fixture.Count(300)[fixture.refs[0].index] > 50);
}

namespace {
struct FailureCase {
  const char* name;
  /// Data centre of each target; the node is in dc1.
  std::vector<std::string> centres;
  /// Failure rate of each target.
  std::vector<double> failureRates;
  /// Bounds of the first target's traffic relative to an even share.
  double least;
  double most;
};
}  // namespace

// Guards against a failing target that keeps its traffic because each caller
// sees too few of its requests to detect the failures, and against a shift of
// traffic when all targets fail equally. This happens when targets lose part of
// the responses to non-idempotent requests while their health checks succeed.
TEST_CASE("targets that fail requests get less in proportion") {
  for (const FailureCase& row :
       std::vector<FailureCase>{{"one of four loses a third",
                                 {"dc1", "dc1", "dc1", "dc1"},
                                 {0.33, 0, 0, 0},
                                 0.02,
                                 0.3},
                                {"one of four loses one in forty",
                                 {"dc1", "dc1", "dc1", "dc1"},
                                 {0.025, 0, 0, 0},
                                 0.7,
                                 1.0},
                                {"the only near one loses a third",
                                 {"dc1", "dc2", "dc3", "dc4"},
                                 {0.33, 0, 0, 0},
                                 0.2,
                                 0.6},
                                {"all lose a third",
                                 {"dc1", "dc1", "dc1", "dc1"},
                                 {0.33, 0.33, 0.33, 0.33},
                                 0.85,
                                 1.15},
                                {"the only near one is as bad as the others",
                                 {"dc1", "dc2", "dc3", "dc4"},
                                 {0.33, 0.33, 0.33, 0.33},
                                 3.9,
                                 4.0}}) {
    CAPTURE(std::string(row.name));
    Fixture fixture;
    for (size_t i = 0; i < row.centres.size(); ++i) {
      const TargetRef ref =
          fixture.Add(Info(static_cast<int>(i), row.centres[i]));
      TargetReport report = Ready();
      report.failureRate = row.failureRates[i];
      fixture.table.OnReport(ref, report, fixture.clock.Now());
    }
    fixture.table.Tick(fixture.clock.Now());
    constexpr int kChoices = 8000;
    const double even = kChoices / 4.0;
    const double share = fixture.Count(kChoices)[fixture.refs[0].index] / even;
    CHECK(share >= row.least);
    CHECK(share <= row.most);
  }
}

// Guards against a failure rate that stays high after the fault has ended, or
// that jumps at a single failure.
TEST_CASE("the failure rate follows the recent requests") {
  FailureRate rate;
  rate.Record(true);
  CHECK(rate.Value() < 0.05);
  for (int i = 0; i < 300; ++i) {
    rate.Record(i % 3 == 0);
  }
  CHECK(rate.Value() == doctest::Approx(1.0 / 3).epsilon(0.1));
  for (int i = 0; i < 200; ++i) {
    rate.Record(false);
  }
  CHECK(rate.Value() < 0.01);
}

// Guards against all traffic going to the first target that ramps up. After a
// restart of the fleet, all targets ramp up together, some of them a few
// milliseconds ahead of others.
TEST_CASE("targets that ramp up together share the traffic") {
  struct Row {
    Duration firstReadyFor;
    Duration othersReadyFor;
    double least;
    double most;
  };
  for (const Row& row : std::vector<Row>{{120ms, 100ms, 0.85, 1.15},
                                         {1000ms, 990ms, 0.85, 1.15},
                                         {9s, 0ms, 1.8, 4.0}}) {
    CAPTURE(row.firstReadyFor);
    Fixture fixture(4);
    for (size_t i = 0; i < fixture.refs.size(); ++i) {
      TargetReport report = Ready();
      report.readyFor = i == 0 ? row.firstReadyFor : row.othersReadyFor;
      fixture.table.OnReport(fixture.refs[i], report, fixture.clock.Now());
    }
    constexpr int kChoices = 8000;
    const double share =
        fixture.Count(kChoices)[fixture.refs[0].index] / (kChoices / 4.0);
    CHECK(share >= row.least);
    CHECK(share <= row.most);
  }
}
