#include <doctest/doctest.h>

#include "PlatformAdapter/MeshTestFleet.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

// The deep service gets three times its capacity. Guards against call chains
// that fail halfway: requests admitted at the entry node complete, and filings
// take precedence over lookups.
TEST_CASE("an overloaded deep service sheds at the entry, filings last") {
  MeshTestFleet fleet(
      {.fronts = 2, .deeps = 2, .deepSlots = 4, .deepWork = 20ms});
  // 8 slots of 20 ms serve 400 calls a second; 1,200 are offered.
  constexpr int kSteps = 200;
  for (int step = 0; step < kSteps; ++step) {
    const size_t node = step % fleet.Size();
    fleet.Send(node, fmt::format("f{}", step), "POST", "/filing/");
    for (int i = 0; i < 5; ++i) {
      fleet.Send(node, fmt::format("l{}-{}", step, i), "GET", "/lookup/");
    }
    fleet.Pass(5ms);
  }
  REQUIRE(fleet.WaitAnswers(kSteps * 6));
  std::map<char, std::map<int, int>> byStatus;
  for (const auto& [id, answer] : fleet.answers) {
    // Thresholds settle in the first quarter, which is not checked.
    const int step = std::stoi(id.substr(1));
    if (step >= kSteps / 4) {
      ++byStatus[id[0]][answer.status];
    }
  }
  const int filings = kSteps * 3 / 4;
  CHECK(byStatus['f'][200] >= filings * 9 / 10);
  // Downstream failures are rare compared with refusals at the entry node.
  CHECK(byStatus['l'][503] > 10 * byStatus['l'][500]);
  CHECK(byStatus['l'][200] > 0);
}
