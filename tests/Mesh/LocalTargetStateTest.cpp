#include <doctest/doctest.h>

#include <vector>

#include "Mesh/LocalTargetState.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {

TargetReportMessage Report(const std::string& aId, uint64_t aStartedAt,
                           uint64_t aSequence, bool aDraining = false) {
  return {.id = aId,
          .startedAt = aStartedAt,
          .sequence = aSequence,
          .service = "fees",
          .slots = 10,
          .draining = aDraining};
}

struct Fixture {
  ManualClock clock;
  LocalTargetState state{{.service = "fees"}};

  ReportResult Take(const TargetReportMessage& aReport) {
    return this->state.OnReport(aReport, this->clock.Now());
  }
  bool Probe(const std::string& aId,
             std::optional<uint32_t> aSlots = std::nullopt) {
    return this->state.OnProbe(aId, aSlots, Duration::zero(),
                               this->clock.Now());
  }
  /// Applies the first report of a target whose health check succeeds.
  void Start(const TargetReportMessage& aReport) {
    REQUIRE(this->Take(aReport) == ReportResult::Unconfirmed);
    REQUIRE(this->Probe(aReport.id));
    REQUIRE(this->state.State() == TargetState::Ready);
  }
};

struct LateCase {
  const char* what;
  TargetReportMessage late;
};

}  // namespace

// Reports of ended processes may arrive seconds late. Guards against applying
// them.
TEST_CASE("late reports and those of other targets change nothing") {
  std::vector<LateCase> rows = {
      {"same sequence", Report("a", 100, 5)},
      {"earlier sequence", Report("a", 100, 4, true)},
      {"earlier process of the same name", Report("a", 90, 99, true)},
      {"earlier process of another name", Report("z", 90, 99, true)},
      {"another process that started at the same time", Report("z", 100, 99)}};
  rows.push_back({"another service", Report("b", 200, 1)});
  rows.back().late.service = "desk";
  for (const LateCase& row : rows) {
    CAPTURE(row.what);
    Fixture fixture;
    fixture.Start(Report("a", 100, 5));
    CHECK(fixture.Take(row.late) == ReportResult::Outdated);
    CHECK(fixture.state.State() == TargetState::Ready);
    CHECK(fixture.state.Id() == "a");
  }
}

// Guards against ignoring a new process with the identifier of an old one, as
// its sequence numbers start again.
TEST_CASE("a later process replaces an earlier one") {
  for (const char* id : {"a", "b"}) {
    Fixture fixture;
    fixture.Start(Report("a", 100, 49));
    fixture.Take(Report("a", 100, 50, true));
    CHECK(fixture.state.State() == TargetState::Draining);
    CHECK(fixture.Take(Report(id, 200, 1)) == ReportResult::Changed);
    CHECK(fixture.state.State() == TargetState::Ready);
    CHECK(fixture.state.Id() == id);
  }
}

// Guards against new requests for a target that has announced its departure.
TEST_CASE("a target's announcement of its departure is final") {
  Fixture fixture;
  fixture.Start(Report("a", 100, 1));
  fixture.Take(Report("a", 100, 2, true));
  SUBCASE("draining is not revoked by a later report") {
    fixture.Take(Report("a", 100, 3));
    CHECK(fixture.state.State() == TargetState::Draining);
  }
  SUBCASE("no request is accepted after the limit") {
    CHECK(fixture.state.AcceptsRequests(fixture.clock.Now()));
    fixture.clock.Advance(1600ms);
    CHECK(fixture.state.AcceptsRequests(fixture.clock.Now()));
    fixture.clock.Advance(200ms);
    CHECK_FALSE(fixture.state.AcceptsRequests(fixture.clock.Now()));
  }
  SUBCASE("leaving after draining does not restart the limit") {
    fixture.clock.Advance(1500ms);
    fixture.state.OnLeave("a", std::nullopt, fixture.clock.Now());
    fixture.clock.Advance(300ms);
    CHECK_FALSE(fixture.state.AcceptsRequests(fixture.clock.Now()));
  }
}

// Guards against a late report that restores a target that has left.
TEST_CASE("a target that has left stays gone until a later process") {
  Fixture fixture;
  fixture.Start(Report("a", 100, 1));
  CHECK(fixture.state.OnLeave("a", std::nullopt, fixture.clock.Now()) ==
        ReportResult::Changed);
  CHECK(fixture.Take(Report("a", 100, 2)) == ReportResult::Outdated);
  CHECK(fixture.state.State() == TargetState::Gone);
  CHECK(fixture.Take(Report("b", 101, 1)) == ReportResult::Changed);
  CHECK(fixture.state.OnLeave("a", 100, fixture.clock.Now()) ==
        ReportResult::Outdated);
  CHECK(fixture.state.State() == TargetState::Ready);
}

// Guards against sending requests to a target that has crashed, and against
// losing one whose reports were only late.
TEST_CASE("a target without reports is gone until it reports again") {
  Fixture fixture;
  fixture.Start(Report("a", 100, 1));
  fixture.clock.Advance(5s);
  CHECK_FALSE(fixture.state.Expire(fixture.clock.Now()));
  fixture.clock.Advance(2s);
  CHECK(fixture.state.Expire(fixture.clock.Now()));
  CHECK_FALSE(fixture.state.Expire(fixture.clock.Now()));
  CHECK(fixture.state.State() == TargetState::Gone);
  fixture.Take(Report("a", 100, 2));
  CHECK(fixture.state.State() == TargetState::Ready);
  CHECK(fixture.state.AcceptsRequests(fixture.clock.Now()));
}

// Guards against requests for a target that has never reported.
TEST_CASE("no request is accepted before the first report") {
  Fixture fixture;
  CHECK_FALSE(fixture.state.AcceptsRequests(fixture.clock.Now()));
}

// Guards against a probe that restores a target that is leaving, or overrides
// the target's own reports.
TEST_CASE("a probe counts only before the target's first report") {
  Fixture fixture;
  CHECK(fixture.state.NeedsProbe());
  CHECK(fixture.Probe("a", 7));
  CHECK(fixture.state.State() == TargetState::Ready);
  CHECK(fixture.state.Slots() == 7);
  CHECK_FALSE(fixture.Probe("b", 9));
  CHECK(fixture.Take(Report("a", 100, 1, true)) == ReportResult::Changed);
  CHECK(fixture.state.State() == TargetState::Draining);
  CHECK_FALSE(fixture.Probe("a", 7));
  CHECK(fixture.state.State() == TargetState::Draining);
}

// Guards against a target that is used indefinitely because of one probe.
TEST_CASE("a probe is valid no longer than a report") {
  Fixture fixture;
  REQUIRE(fixture.Probe("a", 7));
  fixture.clock.Advance(7s);
  CHECK(fixture.state.Expire(fixture.clock.Now()));
  CHECK(fixture.state.State() == TargetState::Gone);
  CHECK(fixture.Take(Report("a", 100, 1)) == ReportResult::Changed);
  CHECK(fixture.state.State() == TargetState::Ready);
}

namespace {

/// A target that left before this node started, or that is ready, as seen by
/// its late or current reports.
struct FirstReportCase {
  const char* what;
  void (*play)(Fixture& aFixture);
  TargetState expected;
};

const std::vector<FirstReportCase> kFirstReports = {
    {"one report",
     [](Fixture& aFixture) { aFixture.Take(Report("a", 100, 7)); },
     TargetState::Starting},
    {"several late reports at once",
     [](Fixture& aFixture) {
       for (uint64_t sequence = 1; sequence < 9; ++sequence) {
         aFixture.Take(Report("a", 100, sequence));
       }
     },
     TargetState::Starting},
    {"late reports of two processes",
     [](Fixture& aFixture) {
       aFixture.Take(Report("a", 100, 7));
       aFixture.clock.Advance(7s);
       aFixture.Take(Report("b", 200, 1));
     },
     TargetState::Starting},
    {"two reports with a long silence between them",
     [](Fixture& aFixture) {
       aFixture.Take(Report("a", 100, 7));
       aFixture.clock.Advance(7s);
       aFixture.Take(Report("a", 100, 8));
     },
     TargetState::Starting},
    {"reports that continue",
     [](Fixture& aFixture) {
       for (uint64_t sequence = 1; sequence < 9; ++sequence) {
         aFixture.Take(Report("a", 100, sequence));
         aFixture.clock.Advance(1s);
       }
     },
     TargetState::Ready},
    {"a report confirmed by a probe that tells no load",
     [](Fixture& aFixture) {
       aFixture.Take(Report("a", 100, 7));
       aFixture.Probe("a");
     },
     TargetState::Ready},
    {"a probe that tells no load",
     [](Fixture& aFixture) { aFixture.Probe("a"); }, TargetState::Starting},
    {"a probe, then a report of the same target",
     [](Fixture& aFixture) {
       aFixture.Probe("a", 7);
       aFixture.Take(Report("a", 100, 7));
     },
     TargetState::Ready},
    {"a report of draining",
     [](Fixture& aFixture) { aFixture.Take(Report("a", 100, 7, true)); },
     TargetState::Draining},
    {"a report of draining, then a late one",
     [](Fixture& aFixture) {
       aFixture.Take(Report("a", 100, 7, true));
       aFixture.Take(Report("a", 100, 6));
     },
     TargetState::Draining},
    {"a report that is not confirmed, then draining",
     [](Fixture& aFixture) {
       aFixture.Take(Report("a", 100, 7));
       aFixture.Take(Report("a", 100, 8, true));
       aFixture.Probe("a");
     },
     TargetState::Draining},
    {"a report that is not confirmed, then a departure",
     [](Fixture& aFixture) {
       aFixture.Take(Report("a", 100, 7));
       aFixture.state.OnLeave("a", std::nullopt, aFixture.clock.Now());
       aFixture.Probe("a", 7);
       aFixture.Take(Report("a", 100, 8));
     },
     TargetState::Gone}};

}  // namespace

// A node restarts beside a target that has left; a report from before arrives
// late. Guards against requests for that target, and against a target that is
// never used because its health check fails while it serves.
TEST_CASE("a restarted node does not use a target that left before") {
  for (const FirstReportCase& row : kFirstReports) {
    CAPTURE(std::string(row.what));
    Fixture fixture;
    row.play(fixture);
    CHECK(fixture.state.State() == row.expected);
  }
}

// An ended process reports late, after a probe has found its successor at the
// same address. Guards against requests that name the ended process.
TEST_CASE("a late report does not replace a target found by a probe") {
  Fixture fixture;
  REQUIRE(fixture.Probe("b", 7));
  CHECK(fixture.Take(Report("a", 100, 9)) == ReportResult::Unconfirmed);
  CHECK(fixture.state.Id() == "b");
  CHECK(fixture.Take(Report("b", 200, 1)) == ReportResult::Changed);
  CHECK(fixture.Take(Report("a", 100, 10)) == ReportResult::Outdated);
  CHECK(fixture.state.State() == TargetState::Ready);
}

// Guards against the usual load for a target that is still warming up, or that
// has turned cold again.
TEST_CASE("a target is cold for the time that it reports") {
  Fixture fixture;
  TargetReportMessage report = Report("a", 100, 1);
  report.coldFor = 3s;
  fixture.Start(report);
  CHECK(fixture.state.IsCold(fixture.clock.Now()));
  fixture.clock.now += 2s;
  CHECK(fixture.state.IsCold(fixture.clock.Now()));
  fixture.clock.now += 2s;
  CHECK_FALSE(fixture.state.IsCold(fixture.clock.Now()));
  report.sequence = 2;
  CHECK(fixture.Take(report) == ReportResult::Changed);
  CHECK(fixture.state.IsCold(fixture.clock.Now()));
  // A report that was sent before changes nothing.
  CHECK(fixture.Take(Report("a", 100, 1)) == ReportResult::Outdated);
  CHECK(fixture.state.IsCold(fixture.clock.Now()));
  CHECK(fixture.Take(Report("a", 100, 3)) == ReportResult::Unchanged);
  CHECK_FALSE(fixture.state.IsCold(fixture.clock.Now()));
}

// Guards against the usual load for a cold target beside a node that has just
// started and knows it by its health check only.
TEST_CASE("a target that a probe finds cold is cold") {
  Fixture fixture;
  REQUIRE(fixture.state.OnProbe("a", 10, 2s, fixture.clock.Now()));
  CHECK(fixture.state.IsCold(fixture.clock.Now()));
  fixture.clock.now += 3s;
  CHECK_FALSE(fixture.state.IsCold(fixture.clock.Now()));
}
