#include <doctest/doctest.h>

#include <vector>

#include "Http1/LoopPeer.h"
#include "Mesh/MeshFleet.h"
#include "Transport/PeerServer.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

// Pattern: all nodes restart and one of them takes the issuer's lease. Guards
// against nodes that learn it from the next pong, up to half a second later,
// and refuse requests for want of tokens until then.
TEST_CASE("a change of a peer's state arrives without a ping") {
  asio::io_context io{1};
  StateWire state{.service = "fees",
                  .state = static_cast<uint8_t>(TargetState::Ready),
                  .limit = 5};
  PeerServer server(
      {.io = io,
       .self = {"n1", Id128::Generate(), "secret"},
       .host = "127.0.0.1",
       .handlers = {.onClosed = [](const PeerServer::SessionPtr&) {},
                    .state = [&state] { return state; }}});
  server.Start();
  bool issuing = false;
  size_t pongs = 0;
  MeshFleet fleet(
      {.io = io,
       .self = {"n0", Id128::Generate(), "secret"},
       .table = {.dataCentre = "d1", .region = "r1"},
       .picker = {},
       .onState =
           [&issuing](const std::string& aNode, const StateWire& aState) {
             issuing = aNode == "n1" && aState.issuing;
           },
       .onPong = [&pongs](const std::string&, const StateWire&,
                          TimePoint) { ++pongs; },
       .onMessage = [](const std::string&, const DecodedFrame&) {}});
  fleet.OnChanges(
      {{.key = std::string(kMeshMemberPrefix) + "n1",
        .value = EncodeMeshMember({.node = "n1",
                                   .incarnation = Id128::Generate(),
                                   .dataCentre = "d1",
                                   .region = "r1",
                                   .service = "fees",
                                   .peers = {"127.0.0.1", server.Port()}}),
        .version = 1}});
  REQUIRE(RunUntil(io, [&] { return pongs > 0; }));
  const size_t before = pongs;
  state.issuing = true;
  server.PushState();
  REQUIRE(RunUntil(io, [&] { return issuing || pongs > before; }));
  CHECK(issuing);
  CHECK(pongs == before);
  fleet.CloseAll();
  RunUntil(
      io, [] { return false; }, 50ms);
}
