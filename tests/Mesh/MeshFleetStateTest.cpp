#include <doctest/doctest.h>

#include <memory>
#include <vector>

#include "Http1/LoopPeer.h"
#include "Mesh/MemberRows.h"
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
  /// Process of n1. Its first row names another, as after a restart.
  Id128 incarnation = Id128::Generate();
  PeerServer server{
      {.io = this->io,
       .self = {"n1", this->incarnation, "secret"},
       .host = "127.0.0.1",
       .greetsWithState = true,
       .handlers = {.onClosed = [](const PeerServer::SessionPtr&) {},
                    .state = [this] { return this->state; }}}};
  /// A second node, if a test starts one.
  std::unique_ptr<PeerServer> second;
  bool issuing = false;
  size_t pongs = 0;
  size_t statesBeforePong = 0;
  MeshFleet fleet{
      {.io = this->io,
       .self = {"n0", Id128::Generate(), "secret"},
       .table = {.dataCentre = "d1", .region = "r1"},
       .picker = {},
       .onState =
           [this](const std::string& aNode, const StateWire& aState) {
             this->issuing = aNode == "n1" && aState.issuing;
             this->statesBeforePong += this->pongs == 0 ? 1 : 0;
           },
       .onPong = [this](const std::string&, const StateWire&,
                        TimePoint) { ++this->pongs; },
       .onMessage = [](const std::string&, const DecodedFrame&) {}}};

  Fixture() {
    this->server.Start();
    this->fleet.OnChanges(
        {MemberRow(LocalMember("n1", this->server.Port()), 1)});
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

// Guards against targets that are unknown until the first ping, half a second
// after the connection.
TEST_CASE("a peer tells its state as soon as it is connected") {
  Fixture fixture;
  // One with the connection, and one with the pong itself.
  CHECK(fixture.statesBeforePong == 2);
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

// Pattern: all nodes restart, at slightly different times. Guards against
// targets that stay unknown until the next tick after a refused connection.
TEST_CASE("a refused connection is tried again at once") {
  Fixture fixture;
  asio::ip::tcp::acceptor reserved(fixture.io,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  const uint16_t port = reserved.local_endpoint().port();
  reserved.close();
  const MeshMember member{.node = "n2",
                          .incarnation = Id128::Generate(),
                          .service = "fees",
                          .peers = {"127.0.0.1", port}};
  fixture.fleet.OnChanges({MemberRow(member, 2)});
  RunUntil(
      fixture.io, [] { return false; }, 30ms);
  fixture.second = std::make_unique<PeerServer>(PeerServer::Settings{
      .io = fixture.io,
      .self = {"n2", Id128::Generate(), "secret"},
      .host = "127.0.0.1",
      .port = port,
      .greetsWithState = true,
      .handlers = {.onClosed = [](const PeerServer::SessionPtr&) {},
                   .state = [&fixture] { return fixture.state; }}});
  fixture.second->Start();
  CHECK(RunUntil(
      fixture.io, [&fixture] { return fixture.fleet.UsableTargets() == 2; },
      400ms));
}

// Pattern: a node reaches a restarted one by the address of its earlier row.
// Guards against a connection that is closed when the new row arrives, with
// the requests on it.
TEST_CASE("the row of a process that is connected changes nothing") {
  Fixture fixture;
  const auto client = fixture.fleet.ClientOf("n1");
  REQUIRE(client);
  MeshMember member = LocalMember("n1", fixture.server.Port());
  member.incarnation = fixture.incarnation;
  fixture.fleet.OnChanges({MemberRow(member, 2)});
  CHECK(fixture.fleet.ClientOf("n1") == client);
  // Another process at that address takes a connection of its own.
  member.incarnation = Id128::Generate();
  fixture.fleet.OnChanges({MemberRow(member, 3)});
  CHECK(fixture.fleet.ClientOf("n1") != client);
}

// Pattern: a machine was dark when this node began to connect to it. Guards
// against waiting for the first packet to be sent again.
TEST_CASE("a node that connects is dialled anew") {
  Fixture fixture;
  // A listener whose queue nobody serves stands for a dark machine.
  asio::ip::tcp::acceptor dark(fixture.io,
                               {asio::ip::make_address("127.0.0.1"), 0});
  const MeshMember member{.node = "n2",
                          .incarnation = Id128::Generate(),
                          .service = "fees",
                          .peers = {"127.0.0.1", dark.local_endpoint().port()}};
  fixture.fleet.OnChanges({MemberRow(member, 2)});
  const auto first = fixture.fleet.ClientOf("n2");
  fixture.fleet.OnPeerUp("n2");
  CHECK(fixture.fleet.ClientOf("n2") == first);
  RunUntil(
      fixture.io, [] { return false; }, 80ms);
  fixture.fleet.OnPeerUp("n2");
  CHECK(fixture.fleet.ClientOf("n2") != first);
  // One that is connected is left alone.
  const auto connected = fixture.fleet.ClientOf("n1");
  fixture.fleet.OnPeerUp("n1");
  CHECK(fixture.fleet.ClientOf("n1") == connected);
}

// Pattern: a node leaves, the store goes down, and a peer that read the table
// last before that passes its rows on. Guards against a member that nothing
// removes any more: it counts among those that share a rate, and its row is
// removed in vain again and again.
TEST_CASE("a peer's row does not bring a removed member back") {
  Fixture fixture;
  const std::string key = std::string(kMeshMemberPrefix) + "n2";
  const MeshMember member{.node = "n2",
                          .incarnation = Id128::Generate(),
                          .service = "fees",
                          .peers = {"127.0.0.1", 1}};
  const auto tell = [&](uint64_t aVersion) {
    fixture.fleet.OnPeerRows(
        {{.key = key, .value = EncodeMeshMember(member), .version = aVersion}});
  };
  // A node that cannot read the table learns members from its peers.
  tell(2);
  CHECK(fixture.fleet.HasMember("n2"));
  fixture.fleet.OnChanges({{.key = key, .version = 4, .removed = true}});
  REQUIRE_FALSE(fixture.fleet.HasMember("n2"));
  tell(2);
  CHECK_FALSE(fixture.fleet.HasMember("n2"));
  // A row that was written later is a new member.
  tell(5);
  CHECK(fixture.fleet.HasMember("n2"));
}

// Pattern: a node reads the whole table after a member has left, loses the
// store, and a peer that read the table before that passes its rows on. Guards
// against a member that nothing removes any more: its removal lies before the
// version from which changes are followed, and its row is newer than those
// left.
TEST_CASE("a peer's row does not bring a member back that a read lacks") {
  Fixture fixture;
  MeshMember member = LocalMember("n2", 1);
  const auto tell = [&](uint64_t aVersion) {
    const StoredRow row = MemberRow(member, aVersion);
    fixture.fleet.OnPeerRows(
        {{.key = row.key, .value = row.value, .version = row.version}});
  };
  // The member's row had version 5 and was removed with version 6.
  fixture.fleet.OnSnapshot({}, 7);
  tell(5);
  CHECK_FALSE(fixture.fleet.HasMember("n2"));
  tell(7);
  CHECK_FALSE(fixture.fleet.HasMember("n2"));
  tell(8);
  CHECK(fixture.fleet.HasMember("n2"));
}
