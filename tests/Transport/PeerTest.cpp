#include <doctest/doctest.h>

#include <asio.hpp>
#include <future>
#include <thread>

#include "Core/Outcome.h"
#include "Transport/PeerClient.h"
#include "Transport/PeerServer.h"

using namespace fescueline;

namespace {

/// A peer listener that responds to each request with the request's body, or
/// holds the requests for the test.
struct Fixture {
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> guard =
      asio::make_work_guard(this->io);
  PeerIdentity serverIdentity{"server", Id128::Generate(), "secret"};
  std::vector<std::pair<PeerServer::SessionPtr, uint64_t>> heldRequests;
  bool holdsRequests = false;
  PeerServer server{
      {.io = this->io,
       .self = this->serverIdentity,
       .host = "127.0.0.1",
       .handlers = {
           .onRequest =
               [this](const PeerServer::SessionPtr& aSession,
                      RequestFrame aFrame, Duration) {
                 if (this->holdsRequests) {
                   this->heldRequests.emplace_back(aSession, aFrame.stream);
                   return;
                 }
                 this->Respond(aSession, aFrame.stream, aFrame.body);
               },
           .onCredit = [](const PeerServer::SessionPtr&, const CreditFrame&) {},
           .onCancel = [](const PeerServer::SessionPtr&, uint64_t) {},
           .onQuery = [](const PeerServer::SessionPtr&,
                         const AttemptQueryFrame&) {},
           .onClosed = [](const PeerServer::SessionPtr&) {},
           .state = [] { return StateWire{.service = "fees"}; }}}};
  std::thread thread;

  Fixture() {
    this->server.Start();
    this->thread = std::thread([this] { this->io.run(); });
  }
  ~Fixture() {
    this->guard.reset();
    this->io.stop();
    this->thread.join();
  }

  static void Respond(const PeerServer::SessionPtr& aSession, uint64_t aStream,
                      const std::string& aBody) {
    aSession->Send(ResponseHeadFrame{.stream = aStream, .status = 200});
    aSession->Send(ResponseDataFrame{.stream = aStream, .data = aBody});
    aSession->Send(ResponseEndFrame{.stream = aStream, .complete = true});
  }

  std::shared_ptr<PeerClient> Dial(const std::string& aSecret, uint16_t aPort,
                                   std::function<void()> aOnState = {}) {
    auto client = std::make_shared<PeerClient>(PeerClient::Settings{
        .io = this->io,
        .self = {"client", Id128::Generate(), aSecret},
        .address = {.nodeId = "server", .host = "127.0.0.1", .port = aPort},
        .onState = [aOnState](const StateWire&, const std::string&) {
          if (aOnState) {
            aOnState();
          }
        }});
    client->Start();
    return client;
  }
};

/// Records how a stream ended.
struct StreamResult {
  std::promise<std::string> result;
  std::string body;
  PeerStreamHandlers Handlers() {
    return {
        .onHead = [](const ResponseHeadFrame&) {},
        .onData = [this](std::string aData) { this->body += aData; },
        .onEnd =
            [this](const ResponseEndFrame& aFrame) {
              this->result.set_value(aFrame.complete ? this->body : "broken");
            },
        .onRefusal =
            [this](const RefusalFrame&) { this->result.set_value("refused"); },
        .onAttemptReply =
            [this](const AttemptReplyFrame&) {
              this->result.set_value("reply");
            },
        .onConnectionLost =
            [this](bool aSent) {
              this->result.set_value(aSent ? "lost, sent" : "lost, unsent");
            }};
  }
};

/// Listener that accepts connections and never reads or writes, like a
/// connection that a middlebox has dropped.
struct UnresponsiveListener {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor{io,
                                   {asio::ip::make_address("127.0.0.1"), 0}};
};

}  // namespace

// Guards against responses that reach the wrong request when they arrive out of
// order.
TEST_CASE("responses out of order reach their own requests") {
  Fixture fixture;
  fixture.holdsRequests = true;
  const auto client = fixture.Dial("secret", fixture.server.Port());
  constexpr size_t kRequests = 20;
  std::vector<StreamResult> streamResults(kRequests);
  for (size_t i = 0; i < kRequests; ++i) {
    client->Request(RequestFrame{.method = "GET"}, streamResults[i].Handlers());
  }
  std::promise<void> responded;
  asio::steady_timer timer(fixture.io, std::chrono::milliseconds(200));
  timer.async_wait([&](const asio::error_code&) {
    // Stream ids start at 1 in the order of the requests.
    for (auto heldRequests = fixture.heldRequests.rbegin();
         heldRequests != fixture.heldRequests.rend(); ++heldRequests) {
      heldRequests->first->Post(
          [session = heldRequests->first, stream = heldRequests->second] {
            Fixture::Respond(session, stream, std::to_string(stream));
          });
    }
    responded.set_value();
  });
  responded.get_future().wait();
  for (size_t i = 0; i < kRequests; ++i) {
    CHECK(streamResults[i].result.get_future().get() == std::to_string(i + 1));
  }
}

// Guards against accepting a node without the fleet secret.
TEST_CASE("a peer with another secret is rejected before any request") {
  Fixture fixture;
  const auto client = fixture.Dial("wrong", fixture.server.Port());
  StreamResult streamResult;
  client->Request(RequestFrame{.method = "GET"}, streamResult.Handlers());
  CHECK(streamResult.result.get_future().get() == "lost, unsent");
}

// Guards against waiting forever on a connection without any response: it ends
// within the connect timeout or the idle timeout.
TEST_CASE("a request to an unresponsive listener fails as not sent") {
  Fixture fixture;
  UnresponsiveListener listener;
  const auto client =
      fixture.Dial("secret", listener.acceptor.local_endpoint().port());
  StreamResult streamResult;
  client->Request(RequestFrame{.method = "GET"}, streamResult.Handlers());
  auto result = streamResult.result.get_future();
  REQUIRE(result.wait_for(std::chrono::seconds(10)) ==
          std::future_status::ready);
  CHECK(result.get() == "lost, unsent");
}

// Guards against sending a query to a later incarnation, which has no record of
// the attempt.
TEST_CASE("a query for another incarnation returns unknown") {
  Fixture fixture;
  const auto client = fixture.Dial("secret", fixture.server.Port());
  std::promise<uint8_t> outcome;
  StreamResult streamResult;
  PeerStreamHandlers handlers = streamResult.Handlers();
  handlers.onAttemptReply = [&](const AttemptReplyFrame& aFrame) {
    outcome.set_value(aFrame.outcome);
  };
  client->Query(Id128::Generate(), Duration(0), Id128::Generate().ToString(),
                handlers);
  CHECK(outcome.get_future().get() == static_cast<uint8_t>(Outcome::Unknown));
}
