#include <doctest/doctest.h>

#include <memory>
#include <vector>

#include "Http1/RawPeer.h"
#include "Mesh/MemberRows.h"
#include "Mesh/MeshFleet.h"
#include "Transport/PeerServer.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

/// A fleet with one other node, n1, whose state the test sets.
struct Fixture {
  asio::io_context io{1};
  StateWire state{.service = "fees",
                  .state = static_cast<uint8_t>(TargetState::Ready),
                  .limit = 5};
  /// Process of n1. Its first row names another one, as after a restart.
  Id128 incarnation = Id128::Generate();
  PeerServer server{
      {.io = this->io,
       .self = {"n1", this->incarnation, "secret"},
       .host = "127.0.0.1",
       .sendsStateOnConnect = true,
       .handlers = {.onRequest =
                        [this](const PeerServer::SessionPtr& aSession,
                               const RequestFrame& aFrame, Duration) {
                          this->session = aSession;
                          this->stream = aFrame.stream;
                        },
                    .onClosed =
                        [this](const PeerServer::SessionPtr&) {
                          ++this->closedSessions;
                        },
                    .state = [this] { return this->state; }}}};
  /// Session and stream of the last request at n1, which the test answers.
  PeerServer::SessionPtr session;
  uint64_t stream = 0;
  size_t closedSessions = 0;
  /// A second node, if a test starts one.
  std::unique_ptr<PeerServer> second;
  bool isIssuer = false;
  size_t pongs = 0;
  size_t statesBeforePong = 0;
  MeshFleet fleet{
      {.io = this->io,
       .self = {"n0", Id128::Generate(), "secret"},
       .table = {.dataCentre = "d1", .region = "r1"},
       .picker = {},
       .onState =
           [this](const std::string& aNode, const StateWire& aState) {
             this->isIssuer = aNode == "n1" && aState.isIssuer;
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

// All nodes restart and one of them acquires the issuer's lease. Guards against
// nodes that learn of it only from the next pong, up to half a second later,
// and refuse requests for lack of tokens until then.
TEST_CASE("a change of a peer's state arrives without a ping") {
  Fixture fixture;
  const size_t before = fixture.pongs;
  fixture.state.isIssuer = true;
  fixture.server.PushState();
  REQUIRE(RunUntil(fixture.io,
                   [&] { return fixture.isIssuer || fixture.pongs > before; }));
  CHECK(fixture.isIssuer);
  CHECK(fixture.pongs == before);
}

// Guards against targets that stay unknown until the first ping, half a second
// after the connection.
TEST_CASE("a peer sends its state as soon as it is connected") {
  Fixture fixture;
  // One state after the handshake, and one with the pong.
  CHECK(fixture.statesBeforePong == 2);
}

// The issuer's host fails while a target is being removed. Guards against a
// lease that is acquired by the node of that target, which stops soon after.
TEST_CASE("a node without a ready target is not counted as a candidate") {
  Fixture fixture;
  // A name that n1 precedes in the order of the fleet.
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

// All nodes restart at slightly different times. Guards against targets that
// stay unknown until the next tick after a refused connection.
TEST_CASE("a refused connection is retried without waiting for a tick") {
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
      .sendsStateOnConnect = true,
      .handlers = {.onClosed = [](const PeerServer::SessionPtr&) {},
                   .state = [&fixture] { return fixture.state; }}});
  fixture.second->Start();
  CHECK(RunUntil(
      fixture.io, [&fixture] { return fixture.fleet.UsableTargets() == 2; },
      400ms));
}

// A node connects to a restarted one by the address in its earlier row. Guards
// against closing that connection, with its requests, when the new row arrives.
TEST_CASE("the row of a process that is already connected changes nothing") {
  Fixture fixture;
  const auto client = fixture.fleet.ClientOf("n1");
  REQUIRE(client);
  MeshMember member = LocalMember("n1", fixture.server.Port());
  member.incarnation = fixture.incarnation;
  fixture.fleet.OnChanges({MemberRow(member, 2)});
  CHECK(fixture.fleet.ClientOf("n1") == client);
  // Another process at that address needs a new connection.
  member.incarnation = Id128::Generate();
  fixture.fleet.OnChanges({MemberRow(member, 3)});
  CHECK(fixture.fleet.ClientOf("n1") != client);
}

// A host was unreachable when this node began to connect to it. Guards against
// waiting for the retransmission of the SYN.
TEST_CASE("an incoming connection restarts a stale connection attempt") {
  Fixture fixture;
  // A listener that accepts no connections simulates an unreachable host.
  asio::ip::tcp::acceptor unreachable(fixture.io,
                                      {asio::ip::make_address("127.0.0.1"), 0});
  const MeshMember member{
      .node = "n2",
      .incarnation = Id128::Generate(),
      .service = "fees",
      .peers = {"127.0.0.1", unreachable.local_endpoint().port()}};
  fixture.fleet.OnChanges({MemberRow(member, 2)});
  const auto first = fixture.fleet.ClientOf("n2");
  fixture.fleet.OnPeerUp("n2");
  CHECK(fixture.fleet.ClientOf("n2") == first);
  RunUntil(
      fixture.io, [] { return false; }, 80ms);
  fixture.fleet.OnPeerUp("n2");
  CHECK(fixture.fleet.ClientOf("n2") != first);
  // An established connection is kept.
  const auto connected = fixture.fleet.ClientOf("n1");
  fixture.fleet.OnPeerUp("n1");
  CHECK(fixture.fleet.ClientOf("n1") == connected);
}

namespace {

/// A change of the table after which n1's connection is no longer used.
struct DepartureCase {
  const char* what;
  void (*change)(Fixture& aFixture);
};

const std::vector<DepartureCase> kDepartures = {
    {"the row is removed",
     [](Fixture& aFixture) {
       aFixture.fleet.OnChanges({{.key = std::string(kMeshMemberPrefix) + "n1",
                                  .version = 2,
                                  .removed = true}});
     }},
    {"the row is missing from a snapshot",
     [](Fixture& aFixture) { aFixture.fleet.OnSnapshot({}); }},
    {"the row names another process", [](Fixture& aFixture) {
       aFixture.fleet.OnChanges(
           {MemberRow(LocalMember("n1", aFixture.server.Port()), 2)});
     }}};

}  // namespace

// A stopping node removes its row while its target runs requests. Guards
// against aborting them, and against an unused connection that stays open.
TEST_CASE("a member that leaves still answers the requests in flight") {
  for (const DepartureCase& row : kDepartures) {
    for (const bool inFlight : {true, false}) {
      CAPTURE(row.what);
      CAPTURE(inFlight);
      Fixture fixture;
      const auto client = fixture.fleet.ClientOf("n1");
      REQUIRE(client);
      std::string end;
      if (inFlight) {
        client->Request(
            {.method = "POST", .target = "/"},
            {.onHead = [](const ResponseHeadFrame&) {},
             .onData = [](const std::string&) {},
             .onEnd = [&end](const ResponseEndFrame&) { end = "response"; },
             .onRefusal = [&end](const RefusalFrame&) { end = "refusal"; },
             .onAttemptReply = [](const AttemptReplyFrame&) {},
             .onConnectionLost = [&end](bool) { end = "connection lost"; }});
        REQUIRE(RunUntil(fixture.io, [&] { return fixture.stream != 0; }));
      }
      row.change(fixture);
      CHECK(fixture.fleet.ClientOf("n1") != client);
      if (inFlight) {
        // Longer than the checks that close silent connections.
        RunUntil(
            fixture.io, [&end] { return !end.empty(); }, 2000ms);
        CHECK(end.empty());
        CHECK_FALSE(client->IsClosed());
        // States of the earlier connection do not describe the member.
        fixture.state.isIssuer = true;
        fixture.session->Send(StateUpdateFrame{.state = fixture.state});
        fixture.session->Send(
            ResponseHeadFrame{.stream = fixture.stream, .status = 200});
        fixture.session->Send(
            ResponseEndFrame{.stream = fixture.stream, .complete = true});
        REQUIRE(RunUntil(fixture.io, [&end] { return !end.empty(); }));
        CHECK(end == "response");
        CHECK((fixture.fleet.HasMember("n1") || !fixture.isIssuer));
      }
      CHECK(RunUntil(fixture.io, [&client] { return client->IsClosed(); }));
      CHECK(RunUntil(fixture.io,
                     [&fixture] { return fixture.closedSessions > 0; }));
      fixture.session.reset();
    }
  }
}
