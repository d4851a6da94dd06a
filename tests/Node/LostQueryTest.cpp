#include <doctest/doctest.h>

#include <asio.hpp>
#include <memory>
#include <optional>
#include <string>

#include "Config/ConfigReplica.h"
#include "Http1/RawPeer.h"
#include "Node/ForwardCall.h"
#include "Transport/PeerServer.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {
const std::string kSecret = "fleet-secret-of-a-test-0123456789abcdef";
const std::string kBody = "0123456789";

/// A caller's request that records its response.
struct RecordingExchange final : HttpExchange {
  HttpRequest& Request() override { return this->request; }
  void OnAbort(std::function<void()>) override {}
  void Respond(HttpResponse aResponse, std::function<void()>) override {
    this->refusal = aResponse.body;
  }
  void StartStream(int, HttpHeaders, std::optional<uint64_t>) override {}
  void Write(std::string aData, std::function<void()>) override {
    this->body += aData;
  }
  void EndStream(bool aComplete, std::function<void()>) override {
    this->complete = aComplete;
  }

  HttpRequest request{.method = "POST", .target = "/fees"};
  std::string body;
  std::optional<bool> complete;
  std::optional<std::string> refusal;
};

/// A target's node that closes the connection when the request arrives, and
/// again within its reply to the first query.
struct DisconnectingNode {
  asio::io_context& io;
  int queries = 0;
  PeerServer server{
      {.io = this->io,
       .self = {"n2", Id128::Generate(), kSecret},
       .host = "127.0.0.1",
       .handlers = {
           .onRequest = [](const PeerServer::SessionPtr& aSession, RequestFrame,
                           Duration) { aSession->Close("test"); },
           .onCredit = [](const PeerServer::SessionPtr&, const CreditFrame&) {},
           .onQuery =
               [this](const PeerServer::SessionPtr& aSession,
                      const AttemptQueryFrame& aFrame) {
                 this->Answer(aSession, aFrame.stream);
               },
           .onClosed = [](const PeerServer::SessionPtr&) {},
           .state = [] { return StateWire{.service = "fees"}; }}}};

  void Answer(const PeerServer::SessionPtr& aSession, uint64_t aStream) {
    aSession->Send(
        ResponseHeadFrame{.stream = aStream,
                          .status = 200,
                          .contentLength = static_cast<int64_t>(kBody.size())});
    aSession->Send(ResponseDataFrame{.stream = aStream, .data = kBody});
    if (++this->queries > 1) {
      aSession->Send(ResponseEndFrame{.stream = aStream, .complete = true});
      return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(this->io, 50ms);
    timer->async_wait([timer, aSession](const asio::error_code&) {
      aSession->Close("test");
    });
  }
};
}  // namespace

// The connection is lost within the reply to the query for a lost attempt.
// Guards against a second copy of the body after the first one: the caller
// takes bytes beyond the declared length for the next response.
TEST_CASE("a repeated query does not duplicate the body") {
  asio::io_context io{1};
  DisconnectingNode node{io};
  node.server.Start();
  ConfigReplica config;
  const MemberRecord member{
      .incarnation = Id128::Generate(),
      .dataCentre = "dc1",
      .region = "region1",
      .service = "fees",
      .peerAddress = "127.0.0.1:" + std::to_string(node.server.Port()),
      .controlAddress = "127.0.0.1:1"};
  config.Apply(
      {.version = 1,
       .records = {
           {.key = "member/n2", .value = member.ToJson(), .version = 1}}});
  FleetView fleet(
      {.node = "n1", .table = {.dataCentre = "dc1", .region = "region1"}});
  fleet.UpdateMembers(config.Snapshot());
  PeerPool peers(io, {"n1", Id128::Generate(), kSecret},
                 {.onState = [](const std::string&, const std::string&,
                                const StateWire&) {},
                  .onClosed = [](const std::string&, const std::string&) {}});
  Metrics metrics;
  RequestContext context;
  context.service = "fees";
  context.idempotent = false;
  const TimePoint now = SteadyClock().Now();
  const auto exchange = std::make_shared<RecordingExchange>();
  const auto call = std::make_shared<ForwardCall>(ForwardCall::Settings{
      .io = io,
      .fleet = fleet,
      .peers = peers,
      .metrics = metrics,
      .fleetSecret = kSecret,
      .exchange = exchange,
      .context = context,
      .deadline = now + 10s,
      .budget = std::make_shared<RunningAttempt>(
          context,
          RunningAttempt::Times{.rootStart = now, .deadline = now + 10s}, 2)});
  call->Start();
  REQUIRE(RunUntil(io, [&exchange] {
    return exchange->complete.has_value() || exchange->refusal.has_value();
  }));
  CAPTURE(exchange->refusal.value_or(""));
  REQUIRE(node.queries >= 1);
  CHECK(exchange->body.size() <= kBody.size());
  CHECK(exchange->complete.value_or(false) ==
        (exchange->body == kBody && node.queries > 1));
  peers.CloseAll();
  RunUntil(
      io, [] { return false; }, 50ms);
}
