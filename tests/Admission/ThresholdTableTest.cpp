#include <doctest/doctest.h>

#include "Admission/ThresholdTable.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {
int RefusedOf1000(ThresholdTable& aTable, std::string_view aRoute,
                  std::string_view aOrganisation, Importance aImportance,
                  TimePoint aNow) {
  int refused = 0;
  for (uint64_t i = 0; i < 1000; ++i) {
    refused += aTable.ShouldRefuse(aRoute, aOrganisation, aImportance,
                                   RootHash({i, 7}), aNow)
                   ? 1
                   : 0;
  }
  return refused;
}
}  // namespace

// Guards against levels that change by conversion when they are averaged or
// sent.
TEST_CASE("a level converts to a threshold and back unchanged") {
  for (const double level : {0.0, 0.25, 1.0, 1.5, 3.75, 4.0}) {
    CAPTURE(level);
    CHECK(AdmissionThreshold::FromLevel(level).Level() ==
          doctest::Approx(level).epsilon(0.001));
  }
  CHECK(AdmissionThreshold::FromLevel(4).AdmitsAll());
}

// Guards against refusals of organisations, routes or classes that the
// threshold does not apply to, and against a threshold that never expires.
TEST_CASE("a deep service's threshold refuses requests at the entry") {
  ManualClock clock;
  ThresholdTable table({}, 1);
  const ThresholdReport report{
      .service = "deep",
      .organisation = "big",
      .threshold = {.importance = Importance::Normal, .cutoff = 65535 / 2},
      .age = 100ms};
  table.ApplyReports("n1", "r", {report}, clock.Now());
  const auto refused = [&](const char* aRoute, const char* aOrganisation,
                           Importance aImportance) {
    return RefusedOf1000(table, aRoute, aOrganisation, aImportance,
                         clock.Now());
  };
  CHECK(refused("r", "big", Importance::High) == 0);
  CHECK(refused("r", "big", Importance::Normal) > 400);
  CHECK(refused("r", "big", Importance::Normal) < 600);
  CHECK(refused("r", "big", Importance::Low) == 1000);
  CHECK(refused("r", "small", Importance::Low) == 0);
  CHECK(refused("other", "big", Importance::Low) == 0);
  clock.Advance(1900ms);
  CHECK(refused("r", "big", Importance::Low) == 0);
}

// Guards against a threshold that is never updated because no request passes
// it, and so no response reports a new one.
TEST_CASE("one request in a hundred probes the class at the threshold") {
  struct Row {
    AdmissionThreshold threshold;
    Importance probed;
    Importance refused;
  };
  const std::vector<Row> rows = {
      {{Importance::Critical, 0}, Importance::Critical, Importance::High},
      {{Importance::High, 0}, Importance::High, Importance::Normal},
      {{Importance::High, AdmissionThreshold::kFullCutoff},
       Importance::Normal,
       Importance::Low},
  };
  for (const Row& row : rows) {
    CAPTURE(row.threshold.Level());
    ManualClock clock;
    ThresholdTable table({}, 1);
    table.ApplyReports("n1", "r",
                       {{.service = "s",
                         .organisation = "o",
                         .threshold = row.threshold,
                         .age = 0ns}},
                       clock.Now());
    const int refused = RefusedOf1000(table, "r", "o", row.probed, clock.Now());
    CHECK(refused > 950);
    CHECK(refused < 1000);
    CHECK(RefusedOf1000(table, "r", "o", row.refused, clock.Now()) == 1000);
  }
}

// Guards against refusals of critical requests because one instance admits
// nothing, while another admits less important requests.
TEST_CASE("critical requests are refused only if no source admits more") {
  ManualClock clock;
  ThresholdTable table({}, 1);
  const auto applyLevel = [&](const char* aSource, double aLevel) {
    table.ApplyReports(aSource, "r",
                       {{.service = "s",
                         .organisation = "o",
                         .threshold = AdmissionThreshold::FromLevel(aLevel),
                         .age = 0ns}},
                       clock.Now());
  };
  applyLevel("n1", 0.0);
  applyLevel("n2", 1.2);
  CHECK(RefusedOf1000(table, "r", "o", Importance::Critical, clock.Now()) == 0);
  CHECK(RefusedOf1000(table, "r", "o", Importance::High, clock.Now()) > 950);
}

// Guards against one instance's threshold that is applied to the whole service.
TEST_CASE("thresholds of several sources are averaged") {
  ManualClock clock;
  ThresholdTable table({}, 1);
  const auto applyLevel = [&](const char* aSource, double aLevel) {
    table.ApplyReports(aSource, "r",
                       {{.service = "s",
                         .organisation = "o",
                         .threshold = AdmissionThreshold::FromLevel(aLevel),
                         .age = 0ns}},
                       clock.Now());
  };
  applyLevel("n1", 2.0);
  applyLevel("n2", 4.0);
  CHECK(table.Lowest("r", "o", clock.Now()).Level() ==
        doctest::Approx(3.0).epsilon(0.001));
  std::vector<ThresholdReport> reports;
  table.AppendReports("r", "o", clock.Now() + 50ms, reports);
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].age == 50ms);
  table.RemoveSource("n1");
  CHECK(table.Lowest("r", "o", clock.Now()).AdmitsAll());
}
