#include <doctest/doctest.h>

#include <asio.hpp>
#include <future>
#include <thread>

#include "Core/Outcome.h"
#include "Transport/PeerClient.h"
#include "Transport/PeerServer.h"

using namespace fescueline;

namespace {

/// A peer listener that answers each request with its own body, and forwards
/// bytes through a relay that can stop passing them on.
struct Fixture {
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> guard =
      asio::make_work_guard(this->io);
  PeerIdentity serverIdentity{"server", Id128::Generate(), "secret"};
  std::vector<std::pair<PeerServer::SessionPtr, uint64_t>> held;
  bool holds = false;
  PeerServer server{
      {.io = this->io,
       .self = this->serverIdentity,
       .host = "127.0.0.1",
       .handlers = {
           .onRequest =
               [this](const PeerServer::SessionPtr& aSession,
                      RequestFrame aFrame, Duration) {
                 if (this->holds) {
                   this->held.emplace_back(aSession, aFrame.stream);
                   return;
                 }
                 this->Answer(aSession, aFrame.stream, aFrame.body);
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

  static void Answer(const PeerServer::SessionPtr& aSession, uint64_t aStream,
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

/// Outcome of one stream.
struct Ending {
  std::promise<std::string> answer;
  std::string body;
  PeerStreamHandlers Handlers() {
    return {
        .onHead = [](const ResponseHeadFrame&) {},
        .onData = [this](std::string aData) { this->body += aData; },
        .onEnd =
            [this](const ResponseEndFrame& aFrame) {
              this->answer.set_value(aFrame.complete ? this->body : "broken");
            },
        .onRefusal =
            [this](const RefusalFrame&) { this->answer.set_value("refused"); },
        .onAttemptReply =
            [this](const AttemptReplyFrame&) {
              this->answer.set_value("reply");
            },
        .onLost =
            [this](bool aSent) {
              this->answer.set_value(aSent ? "lost, sent" : "lost, unsent");
            }};
  }
};

/// Listener that accepts and never reads or writes, as a connection that a
/// middlebox has forgotten.
struct SilentListener {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor{io,
                                   {asio::ip::make_address("127.0.0.1"), 0}};
};

}  // namespace

// Guards against responses that reach the wrong request when they come out of
// order.
TEST_CASE("responses out of order reach their own requests") {
  Fixture fixture;
  fixture.holds = true;
  const auto client = fixture.Dial("secret", fixture.server.Port());
  constexpr size_t kRequests = 20;
  std::vector<Ending> endings(kRequests);
  for (size_t i = 0; i < kRequests; ++i) {
    client->Request(RequestFrame{.method = "GET"}, endings[i].Handlers());
  }
  std::promise<void> answered;
  asio::steady_timer timer(fixture.io, std::chrono::milliseconds(200));
  timer.async_wait([&](const asio::error_code&) {
    // Streams are numbered from 1 in the order of the requests.
    for (auto held = fixture.held.rbegin(); held != fixture.held.rend();
         ++held) {
      held->first->Post([session = held->first, stream = held->second] {
        Fixture::Answer(session, stream, std::to_string(stream));
      });
    }
    answered.set_value();
  });
  answered.get_future().wait();
  for (size_t i = 0; i < kRequests; ++i) {
    CHECK(endings[i].answer.get_future().get() == std::to_string(i + 1));
  }
}

// Guards against a node without the fleet secret that takes part.
TEST_CASE("a peer with another secret is refused before any request") {
  Fixture fixture;
  const auto client = fixture.Dial("wrong", fixture.server.Port());
  Ending ending;
  client->Request(RequestFrame{.method = "GET"}, ending.Handlers());
  CHECK(ending.answer.get_future().get() == "lost, unsent");
}

// Guards against waiting for ever on a connection that went silent: it ends
// within the connect timeout or the silence limit.
TEST_CASE("a silent listener ends the request as not sent") {
  Fixture fixture;
  SilentListener silent;
  const auto client =
      fixture.Dial("secret", silent.acceptor.local_endpoint().port());
  Ending ending;
  client->Request(RequestFrame{.method = "GET"}, ending.Handlers());
  auto answer = ending.answer.get_future();
  REQUIRE(answer.wait_for(std::chrono::seconds(10)) ==
          std::future_status::ready);
  CHECK(answer.get() == "lost, unsent");
}

// Guards against a query that is answered by a later incarnation, which knows
// nothing of the attempt.
TEST_CASE("a query for another incarnation is answered unknown") {
  Fixture fixture;
  const auto client = fixture.Dial("secret", fixture.server.Port());
  std::promise<uint8_t> outcome;
  Ending ending;
  PeerStreamHandlers handlers = ending.Handlers();
  handlers.onAttemptReply = [&](const AttemptReplyFrame& aFrame) {
    outcome.set_value(aFrame.outcome);
  };
  client->Query(Id128::Generate(), Duration(0), Id128::Generate().ToString(),
                handlers);
  CHECK(outcome.get_future().get() == static_cast<uint8_t>(Outcome::Unknown));
}
