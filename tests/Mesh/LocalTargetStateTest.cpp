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
    REQUIRE(fixture.Take(Report("a", 100, 5)) == ReportResult::Changed);
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
  fixture.Take(Report("a", 100, 1));
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
  fixture.Take(Report("a", 100, 1));
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
  fixture.Take(Report("a", 100, 1));
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
  CHECK(fixture.state.IsUnknown());
  CHECK(fixture.state.OnProbe("a", 7, fixture.clock.Now()));
  CHECK(fixture.state.State() == TargetState::Ready);
  CHECK(fixture.state.Slots() == 7);
  CHECK_FALSE(fixture.state.OnProbe("b", 9, fixture.clock.Now()));
  CHECK(fixture.Take(Report("a", 100, 1, true)) == ReportResult::Changed);
  CHECK(fixture.state.State() == TargetState::Draining);
  CHECK_FALSE(fixture.state.OnProbe("a", 7, fixture.clock.Now()));
  CHECK(fixture.state.State() == TargetState::Draining);
}

// Guards against a target that is used indefinitely because of one probe.
TEST_CASE("a probe is valid no longer than a report") {
  Fixture fixture;
  REQUIRE(fixture.state.OnProbe("a", 7, fixture.clock.Now()));
  fixture.clock.Advance(7s);
  CHECK(fixture.state.Expire(fixture.clock.Now()));
  CHECK(fixture.state.State() == TargetState::Gone);
  CHECK(fixture.Take(Report("a", 100, 1)) == ReportResult::Changed);
  CHECK(fixture.state.State() == TargetState::Ready);
}
