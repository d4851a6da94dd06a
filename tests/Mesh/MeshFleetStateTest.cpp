#include <doctest/doctest.h>

#include <vector>

#include "Http1/LoopPeer.h"
#include "Mesh/MeshFleet.h"
#include "Transport/PeerServer.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

/// A fleet of one other node, n1, whose state the test sets.
struct Fixture {
  asio::io_context io{1};
  StateWire state{.service = "fees",
                  .state = static_cast<uint8_t>(TargetState::Ready),
                  .limit = 5};
  PeerServer server{
      {.io = this->io,
       .self = {"n1", Id128::Generate(), "secret"},
       .host = "127.0.0.1",
       .handlers = {.onClosed = [](const PeerServer::SessionPtr&) {},
                    .state = [this] { return this->state; }}}};
  bool issuing = false;
  size_t pongs = 0;
  MeshFleet fleet{
      {.io = this->io,
       .self = {"n0", Id128::Generate(), "secret"},
       .table = {.dataCentre = "d1", .region = "r1"},
       .picker = {},
       .onState =
           [this](const std::string& aNode, const StateWire& aState) {
             this->issuing = aNode == "n1" && aState.issuing;
           },
       .onPong = [this](const std::string&, const StateWire&,
                        TimePoint) { ++this->pongs; },
       .onMessage = [](const std::string&, const DecodedFrame&) {}}};

  Fixture() {
    this->server.Start();
    const MeshMember member{.node = "n1",
                            .incarnation = Id128::Generate(),
                            .dataCentre = "d1",
                            .region = "r1",
                            .service = "fees",
                            .peers = {"127.0.0.1", this->server.Port()}};
    this->fleet.OnChanges({{.key = std::string(kMeshMemberPrefix) + "n1",
                            .value = EncodeMeshMember(member),
                            .version = 1}});
    REQUIRE(RunUntil(this->io, [this] { return this->pongs > 0; }));
  }
  ~Fixture() {
    this->fleet.CloseAll();
    RunUntil(
        this->io, [] { return false; }, 50ms);
  }
};

}  // namespace

// Pattern: all nodes restart and one of them takes the issuer's lease. Guards
// against nodes that learn it from the next pong, up to half a second later,
// and refuse requests for want of tokens until then.
TEST_CASE("a change of a peer's state arrives without a ping") {
  Fixture fixture;
  const size_t before = fixture.pongs;
  fixture.state.issuing = true;
  fixture.server.PushState();
  REQUIRE(RunUntil(fixture.io,
                   [&] { return fixture.issuing || fixture.pongs > before; }));
  CHECK(fixture.issuing);
  CHECK(fixture.pongs == before);
}

// Pattern: the issuer's machine is lost while a target is being taken away.
// Guards against a lease that goes to the node beside that target, which ends
// soon after.
TEST_CASE("a node without a ready target keeps no other from the lease") {
  Fixture fixture;
  // A name that n1 comes before in the order of the fleet.
  std::string later = "m0";
  for (int i = 1; fixture.fleet.IsAmongFirst(later, 1); ++i) {
    later = "m" + std::to_string(i);
  }
  CHECK_FALSE(fixture.fleet.IsAmongFirstReady(later, 1));
  fixture.state.state = static_cast<uint8_t>(TargetState::Gone);
  fixture.server.PushState();
  REQUIRE(RunUntil(fixture.io,
                   [&] { return fixture.fleet.IsAmongFirstReady(later, 1); }));
  CHECK_FALSE(fixture.fleet.IsAmongFirst(later, 1));
}
