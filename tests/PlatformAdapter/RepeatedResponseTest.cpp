#include <doctest/doctest.h>

#include "PlatformAdapter/MeshWorld.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

/// Whether a node counts responses with that fault.
bool CountsFault(MeshWorld& aWorld, size_t aNode, ResponseFault aFault) {
  return Contains(
      aWorld.MetricsPage(aNode),
      fmt::format("fescueline_response_faults_total{{fault=\"{}\"}}",
                  ToName(aFault)));
}

}  // namespace

// Guards against a target that writes responses twice unseen by its operator.
TEST_CASE("responses that do not match are counted") {
  MeshWorld world(
      {.fronts = 1, .deeps = 0, .frontCalls = false, .faultyLinks = true});
  CHECK_FALSE(CountsFault(world, 0, ResponseFault::OtherRequest));
  world.Link(0).SetFault(
      {.share = 1, .when = FaultyLink::When::WithNextRequest});
  world.Call(0, "GET", "/lookup/");
  world.Call(0, "GET", "/lookup/");
  CHECK(CountsFault(world, 0, ResponseFault::OtherRequest));
}
