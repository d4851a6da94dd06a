#include <doctest/doctest.h>

#include "PlatformAdapter/MeshWorld.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

// Pattern: the deep service is at three times its capacity. Guards against
// chains that fail half way: what is admitted at the entry completes, and
// filings go before lookups.
TEST_CASE("an overloaded deep service sheds at the entry, filings last") {
  MeshWorld world({.fronts = 2, .deeps = 2, .deepSlots = 4, .deepWork = 20ms});
  // 8 slots of 20 ms serve 400 calls a second; 1,200 are offered.
  constexpr int kSteps = 200;
  for (int step = 0; step < kSteps; ++step) {
    const size_t node = step % world.Size();
    world.Send(node, fmt::format("f{}", step), "POST", "/filing/");
    for (int i = 0; i < 5; ++i) {
      world.Send(node, fmt::format("l{}-{}", step, i), "GET", "/lookup/");
    }
    world.Pass(5ms);
  }
  REQUIRE(world.WaitAnswers(kSteps * 6));
  std::map<char, std::map<int, int>> byStatus;
  for (const auto& [id, answer] : world.answers) {
    // The first quarter is the time in which thresholds form.
    const int step = std::stoi(id.substr(1));
    if (step >= kSteps / 4) {
      ++byStatus[id[0]][answer.status];
    }
  }
  const int filings = kSteps * 3 / 4;
  CHECK(byStatus['f'][200] >= filings * 9 / 10);
  // Runs that fail further down are rare against refusals at the entry.
  CHECK(byStatus['l'][503] > 10 * byStatus['l'][500]);
  CHECK(byStatus['l'][200] > 0);
}
