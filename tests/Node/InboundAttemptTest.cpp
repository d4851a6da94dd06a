#include <doctest/doctest.h>

#include <asio.hpp>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "Http1/RawPeer.h"
#include "Log/Log.h"
#include "Node/TargetHandler.h"
#include "Transport/EndlessServer.h"
#include "Transport/PeerClient.h"
#include "Transport/ScriptedPeer.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration kTimeout = 5s;

/// Frames that a sender has received on one stream.
struct ReceivedFrames {
  int status = 0;
  std::string body;
  std::optional<bool> complete;
  std::optional<Outcome> reply;
  std::optional<Outcome> refused;

  PeerStreamHandlers Handlers() {
    return {.onHead =
                [this](const ResponseHeadFrame& aFrame) {
                  this->status = aFrame.status;
                },
            .onData = [this](const std::string& aData) { this->body += aData; },
            .onEnd =
                [this](const ResponseEndFrame& aFrame) {
                  this->complete = aFrame.complete;
                },
            .onRefusal =
                [this](const RefusalFrame& aFrame) {
                  this->refused = static_cast<Outcome>(aFrame.outcome);
                },
            .onAttemptReply =
                [this](const AttemptReplyFrame& aFrame) {
                  this->reply = static_cast<Outcome>(aFrame.outcome);
                },
            .onConnectionLost = [](bool) {}};
  }
};

/// The handler beside a target, and a node that sends it a non-idempotent
/// attempt. The target listens on a port of this host.
struct World {
  explicit World(uint16_t aTargetPort,
                 const Id128& aAttempt = Id128::Generate()) {
    DisableLog();
    this->target.Announce(
        {.service = "fees",
         .address = "127.0.0.1:" + std::to_string(aTargetPort),
         .state = TargetState::Ready,
         .slots = 10},
        SteadyClock().Now());
    this->server.Start();
    this->client = this->Dial();
    this->context.rootId = Id128::Generate();
    this->context.attemptId = aAttempt;
    this->context.route = this->context.service = "fees";
    this->context.idempotent = false;
    this->context.open = true;
    this->context.remaining = kTimeout;
    this->stream =
        this->client->Request({.context = SignContext(this->context, "secret"),
                               .method = "POST",
                               .target = "/fees"},
                              this->seen.Handlers());
  }
  ~World() {
    this->client->Close("end of the test");
    this->server.CloseSessions("end of the test");
    RunUntil(
        this->io, [] { return false; }, 50ms);
  }

  std::shared_ptr<PeerClient> Dial() {
    auto dialled = std::make_shared<PeerClient>(PeerClient::Settings{
        .io = this->io,
        .self = {"sender", Id128::Generate(), "secret"},
        .address = {
            .nodeId = "n1", .host = "127.0.0.1", .port = this->server.Port()}});
    dialled->Start();
    return dialled;
  }

  asio::io_context io{1};
  PeerIdentity self{"n1", Id128::Generate(), "secret"};
  Metrics metrics;
  ConfigReplica config;
  ConfigFreshness freshness{1s, SteadyClock().Now()};
  LocalTarget target{AdmissionSettings{}, 1};
  AttemptRegistry attempts{AttemptTableSettings{}};
  FleetView fleet{{.node = "n1"}};
  ShareManager shares{{.node = "n1", .incarnation = this->self.incarnation},
                      ShareSettings{},
                      [](const ShareMessage&) {}};
  HttpClient http;
  TargetHandler handler{{.fleetSecret = "secret",
                         .config = this->config,
                         .freshness = this->freshness,
                         .shares = this->shares,
                         .target = this->target,
                         .attempts = this->attempts,
                         .fleet = this->fleet,
                         .client = this->http,
                         .metrics = this->metrics}};
  PeerServer server{{.io = this->io,
                     .self = this->self,
                     .host = "127.0.0.1",
                     .handlers = this->handler.PeerHandlers()}};
  RequestContext context;
  ReceivedFrames seen;
  std::shared_ptr<PeerClient> client;
  uint64_t stream = 0;
};

/// Limit of what the node reads, including the buffers of the sockets.
constexpr size_t kMaxRead = size_t{8} << 20;
const std::string kHuge = "Content-Length: 1000000000000\r\n\r\n";
const std::string kBody(size_t{16} * 1024, 'x');

/// How a sender abandons its attempt.
enum class Departure : uint8_t { Cancels, Disconnects };

void Leave(World& aWorld, Departure aHow) {
  if (aHow == Departure::Cancels) {
    aWorld.client->Cancel(aWorld.stream);
  } else {
    aWorld.client->Close("lost on purpose");
  }
}

constexpr Departure kDepartures[] = {Departure::Cancels,
                                     Departure::Disconnects};
}  // namespace

// A sender leaves while the target answers a non-idempotent attempt with an
// endless body. Guards against reading the body at full speed until the
// deadline, and against a slot that is occupied as long.
TEST_CASE("an endless body for a lost sender is read up to a limit") {
  struct Row {
    const char* name;
    std::string framing;
    std::string piece;
  };
  const std::vector<Row> rows = {
      {"with a length", kHuge, kBody},
      {"without a length", "\r\n", kBody},
      {"chunked", "Transfer-Encoding: chunked\r\n\r\n",
       "4000\r\n" + kBody + "\r\n"}};
  for (const Row& row : rows) {
    for (const Departure how : kDepartures) {
      CAPTURE(std::string(row.name));
      CAPTURE(static_cast<int>(how));
      asio::io_context targetIo{1};
      EndlessServer endless(targetIo, "HTTP/1.1 200 OK\r\n" + row.framing,
                            row.piece);
      std::thread targetThread([&targetIo] { targetIo.run_for(8s); });
      World world(endless.Endpoint().port());
      CHECK(RunPromptly(world.io, [&world] { return world.seen.status != 0; }));
      CHECK(world.seen.status == 200);
      Leave(world, how);
      CHECK(RunPromptly(
          world.io, [&world] { return world.handler.Open() == 0; }, 1500ms));
      CHECK(world.target.InFlight() == 0);
      targetIo.stop();
      targetThread.join();
      CHECK(endless.Written() < kMaxRead);
    }
  }
}

// Guards against a result that is lost with its sender although a query can
// return it: the response if it is short, otherwise the outcome "ran".
TEST_CASE("the response to a lost sender is stored for a query") {
  struct Row {
    const char* name;
    size_t bytes;
    std::optional<Outcome> reply;
  };
  for (const Row& row :
       std::vector<Row>{{"short", 40'000, std::nullopt},
                        {"longer than the credit", 700'000, Outcome::Ran}}) {
    CAPTURE(std::string(row.name));
    std::promise<void> left;
    ScriptedPeer target([&](const ScriptedPeer::Turn& aTurn) {
      aTurn.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                 std::to_string(row.bytes) + "\r\n\r\nx");
      left.get_future().wait();
      aTurn.Send(std::string(row.bytes - 1, 'x'));
      aTurn.Close();
    });
    World world(target.Port());
    REQUIRE(RunPromptly(world.io, [&world] { return world.seen.status != 0; }));
    Leave(world, Departure::Disconnects);
    REQUIRE(
        RunPromptly(world.io, [&world] { return world.client->IsClosed(); }));
    RunUntil(
        world.io, [] { return false; }, 50ms);
    left.set_value();
    ReceivedFrames asked;
    const auto second = world.Dial();
    second->Query(world.context.attemptId, 1s,
                  world.self.incarnation.ToString(), asked.Handlers());
    REQUIRE(RunPromptly(world.io,
                        [&asked] { return asked.complete || asked.reply; }));
    CHECK(asked.reply == row.reply);
    if (!row.reply) {
      CHECK(asked.status == 200);
      CHECK(asked.body.size() == row.bytes);
      CHECK(asked.complete == true);
    }
    second->Close("end of the row");
  }
}

// Guards against a refusal that reaches its sender only at the deadline,
// because the target's response is endless.
TEST_CASE("an attempt that was shed with an endless body is refused") {
  const Id128 attempt = Id128::Generate();
  asio::io_context targetIo{1};
  EndlessServer endless(targetIo,
                        "HTTP/1.1 503 Full\r\nfescueline-shed: " +
                            attempt.ToString() + "\r\n" + kHuge,
                        kBody);
  std::thread targetThread([&targetIo] { targetIo.run_for(8s); });
  World world(endless.Endpoint().port(), attempt);
  CHECK(RunPromptly(
      world.io, [&world] { return world.seen.refused.has_value(); }, 1500ms));
  CHECK(world.seen.refused == Outcome::NotRun);
  targetIo.stop();
  targetThread.join();
  CHECK(endless.Written() < kMaxRead);
}

// Guards against unbounded memory for a sender that returns more credit than it
// received bytes.
TEST_CASE("credit beyond the sent bytes is ignored") {
  asio::io_context targetIo{1};
  EndlessServer endless(targetIo, "HTTP/1.1 200 OK\r\n" + kHuge, kBody);
  std::thread targetThread([&targetIo] { targetIo.run_for(8s); });
  World world(endless.Endpoint().port());
  CHECK(RunPromptly(world.io, [&world] { return world.seen.status != 0; }));
  world.client->Credit(world.stream, uint64_t{1} << 40);
  RunUntil(
      world.io, [] { return false; }, 500ms);
  targetIo.stop();
  targetThread.join();
  CHECK(world.seen.body.size() >= static_cast<size_t>(kInitialCredit));
  CHECK(endless.Written() < kMaxRead);
}
