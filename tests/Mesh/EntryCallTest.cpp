#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "Http1/LoopHttpServer.h"
#include "Http1/LoopPeer.h"
#include "Mesh/EntryService.h"
#include "Transport/PeerServer.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

constexpr size_t kLength = 300'000;

MeshConfigPtr OpenRoute(const std::string&) {
  MeshRoute route;
  route.name = "lookup";
  route.host = "h";
  route.prefix = "/";
  route.services = {{.service = "fees", .weight = 1}};
  route.timeout = 5s;
  route.idempotent = true;
  route.open = true;
  route.maxTargets = 2;
  return std::make_shared<MeshConfig>(
      MeshConfig::Content{.version = 1, .routes = {route}});
}

/// A node that answers each attempt with a long response, or with a part of it
/// and the end of the connection.
struct BreakingNode {
  BreakingNode(asio::io_context& aIo, const std::string& aName, size_t aPart)
      : server({.io = aIo,
                .self = {aName, Id128::Generate(), "secret"},
                .host = "127.0.0.1",
                .handlers = {
                    .onRequest =
                        [this, aPart](const PeerServer::SessionPtr& aSession,
                                      const RequestFrame& aFrame, Duration) {
                          ++this->attempts;
                          Answer(aSession, aFrame.stream, aPart);
                        },
                    .onCredit = [](const PeerServer::SessionPtr&,
                                   const CreditFrame&) {},
                    .onCancel = [](const PeerServer::SessionPtr&, uint64_t) {},
                    .onClosed = [](const PeerServer::SessionPtr&) {},
                    .state =
                        [] {
                          return StateWire{
                              .service = "fees",
                              .state = static_cast<uint8_t>(TargetState::Ready),
                              .limit = 5};
                        }}}) {
    this->server.Start();
  }

  static void Answer(const PeerServer::SessionPtr& aSession, uint64_t aStream,
                     size_t aPart) {
    aSession->Send(ResponseHeadFrame{
        .stream = aStream, .status = 200, .contentLength = kLength});
    for (size_t sent = 0; sent < aPart; sent += kMaxDataBytes) {
      const size_t size = std::min(kMaxDataBytes, aPart - sent);
      aSession->Send(
          ResponseDataFrame{.stream = aStream, .data = std::string(size, 'x')});
    }
    if (aPart == kLength) {
      aSession->Send(ResponseEndFrame{.stream = aStream, .whole = true});
      return;
    }
    // After what was sent: the frames above are written first.
    const auto timer = std::make_shared<asio::steady_timer>(
        aSession->GetStrand().get_inner_executor(), 50ms);
    timer->async_wait([timer, aSession](const asio::error_code&) {
      aSession->Close("broken on purpose");
    });
  }

  size_t attempts = 0;
  PeerServer server;
};

struct World {
  explicit World(size_t aPart)
      : first(this->io, "n1", aPart), second(this->io, "n2", aPart) {
    this->config.Apply("any");
    uint64_t version = 0;
    for (BreakingNode* node : {&this->first, &this->second}) {
      const std::string name = node == &this->first ? "n1" : "n2";
      const MeshMember member{.node = name,
                              .incarnation = Id128::Generate(),
                              .dataCentre = "d1",
                              .region = "r1",
                              .service = "fees",
                              .peers = {"127.0.0.1", node->server.Port()}};
      this->fleet.OnChanges({{.key = std::string(kMeshMemberPrefix) + name,
                              .value = EncodeMeshMember(member),
                              .version = ++version}});
    }
    REQUIRE(RunUntil(this->io,
                     [this] { return this->fleet.UsableTargets() == 2; }));
    this->callers.Start();
    this->caller.Connect(this->callers.Port());
    this->caller.Send("GET /x HTTP/1.1\r\nHost: h\r\nX-Id: a\r\n\r\n");
  }
  ~World() {
    this->fleet.CloseAll();
    RunUntil(
        this->io, [] { return false; }, 50ms);
  }

  /// Whether the metrics page has such a line.
  bool HasMetric(const std::string& aName, const std::string& aLabel,
                 const std::string& aValue) const {
    std::istringstream page(this->metrics.Page());
    for (std::string line; std::getline(page, line);) {
      if (line.starts_with(aName) && line.ends_with(" " + aValue) &&
          line.find(aLabel) != std::string::npos) {
        return true;
      }
    }
    return false;
  }
  /// Response heads that the caller has got.
  size_t Heads() const {
    size_t count = 0;
    const std::string& bytes = this->caller.received;
    for (size_t at = bytes.find("HTTP/1.1 "); at != std::string::npos;
         at = bytes.find("HTTP/1.1 ", at + 1)) {
      ++count;
    }
    return count;
  }

  asio::io_context io{1};
  MeshSettings settings{.node = "n0", .fleetSecret = "secret"};
  HeaderVocabulary names{.requestId = "x-id", .timeout = "x-timeout"};
  ConfigHolder config{OpenRoute};
  Metrics metrics;
  ThresholdTable thresholds{{}, 1};
  RunningRequests running;
  MeshContext context{.io = this->io,
                      .settings = this->settings,
                      .headers = this->names,
                      .config = this->config,
                      .metrics = this->metrics,
                      .thresholds = this->thresholds,
                      .running = this->running};
  BreakingNode first;
  BreakingNode second;
  MeshFleet fleet{
      {.io = this->io,
       .self = {"n0", Id128::Generate(), "secret"},
       .table = {.dataCentre = "d1", .region = "r1"},
       .picker = {},
       .onState = [](const std::string&, const StateWire&) {},
       .onPong = [](const std::string&, const StateWire&, TimePoint) {},
       .onMessage = [](const std::string&, const DecodedFrame&) {}}};
  GrantHolder grants{GrantSettings{},
                     [](const std::string&, uint32_t) { return false; }, [] {}};
  EntryService service{{.context = this->context,
                        .fleet = this->fleet,
                        .grants = this->grants,
                        .fleetSecret = "secret"}};
  LoopHttpServer callers{{.io = this->io,
                          .host = "127.0.0.1",
                          .onRequest = [this](HttpExchangePtr aExchange) {
                            this->service.OnRequest(std::move(aExchange));
                          }}};
  RawPeer caller{this->io};
};

}  // namespace

// Pattern: the connection to a target's node is lost in the middle of a long
// response. Guards against another response in its place, whose bytes the
// caller would take for the rest of the body.
TEST_CASE("a response that was begun is never replaced") {
  World world(200'000);
  REQUIRE(RunUntil(world.io, [&world] { return world.caller.closed; }));
  CHECK(world.Heads() == 1);
  CHECK(world.first.attempts + world.second.attempts == 1);
  // Fewer bytes than announced: it does not look complete.
  CHECK(world.caller.received.size() < kLength);
  CHECK(world.HasMetric("fescueline_requests_refused_total", "connection-lost",
                        "1"));
}

// Guards against metrics that leave long responses out.
TEST_CASE("a long response is counted when it is whole") {
  World world(kLength);
  REQUIRE(RunUntil(
      world.io, [&world] { return world.caller.received.size() >= kLength; }));
  CHECK(world.Heads() == 1);
  CHECK(RunUntil(world.io, [&world] {
    return world.HasMetric("fescueline_requests_served_total", "", "1");
  }));
}

// Guards against a short response that is given up although nobody has seen
// any of it.
TEST_CASE("a response that was held back is repeated") {
  World world(1000);
  REQUIRE(RunUntil(world.io, [&world] { return world.Heads() > 0; }));
  CHECK(world.first.attempts == 1);
  CHECK(world.second.attempts == 1);
  CHECK(world.caller.received.starts_with("HTTP/1.1 502"));
}
