#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "Http1/LoopPeer.h"
#include "Transport/PeerClient.h"
#include "Transport/PeerServer.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

using Tcp = asio::ip::tcp;

/// Passes bytes between a dialling node and its peer, and closes both sides
/// after so many bytes of the peer.
class CuttingRelay {
 public:
  CuttingRelay(asio::io_context& aIo, uint16_t aPeerPort)
      : near(aIo),
        far(aIo),
        acceptor(aIo, {asio::ip::make_address("127.0.0.1"), 0}),
        peerPort(aPeerPort) {}

  uint16_t Port() const { return this->acceptor.local_endpoint().port(); }
  void Start(size_t aCut) {
    this->left = aCut;
    this->acceptor.async_accept(
        this->near, [this](const asio::error_code& aError) {
          if (!aError) {
            this->far.connect(
                {asio::ip::make_address("127.0.0.1"), this->peerPort});
            this->Pass(this->near, this->far, this->there, false);
            this->Pass(this->far, this->near, this->back, true);
          }
        });
  }
  void Close() {
    asio::error_code ignored;
    this->near.close(ignored);
    this->far.close(ignored);
  }

  /// Bytes of the peer that were passed on.
  size_t passed = 0;

 private:
  using Buffer = std::array<char, 4096>;

  void Pass(Tcp::socket& aFrom, Tcp::socket& aTo, Buffer& aBuffer, bool aCuts) {
    aFrom.async_read_some(
        asio::buffer(aBuffer),
        [this, &aFrom, &aTo, &aBuffer, aCuts](const asio::error_code& aError,
                                              size_t aSize) {
          if (aError) {
            this->Close();
            return;
          }
          const size_t size = aCuts ? std::min(aSize, this->left) : aSize;
          asio::error_code error;
          asio::write(aTo, asio::buffer(aBuffer.data(), size), error);
          if (aCuts) {
            this->passed += size;
            this->left -= size;
          }
          if (error || (aCuts && this->left == 0)) {
            this->Close();
            return;
          }
          this->Pass(aFrom, aTo, aBuffer, aCuts);
        });
  }

  Tcp::socket near;
  Tcp::socket far;
  Tcp::acceptor acceptor;
  uint16_t peerPort;
  size_t left = 0;
  Buffer there{};
  Buffer back{};
};

/// What a stream reported.
struct Seen {
  std::string body;
  std::optional<bool> complete;
  std::optional<bool> lost;

  bool HasEnded() const { return this->complete || this->lost; }
  PeerStreamHandlers Handlers() {
    return {
        .onHead = [](const ResponseHeadFrame&) {},
        .onData = [this](const std::string& aData) { this->body += aData; },
        .onEnd =
            [this](const ResponseEndFrame& aFrame) {
              this->complete = aFrame.complete;
            },
        .onRefusal = [this](const RefusalFrame&) { this->complete = false; },
        .onAttemptReply = [](const AttemptReplyFrame&) {},
        .onLost = [this](bool aSent) { this->lost = aSent; }};
  }
};

}  // namespace

// Pattern: a connection between nodes ends at any byte of the frames of two
// responses. Guards against a part of a frame that counts, and against data of
// one request in the response of the other.
TEST_CASE("a connection that ends within a frame loses only what is open") {
  asio::io_context io{1};
  PeerServer server(
      {.io = io,
       .self = {"server", Id128::Generate(), "secret"},
       .host = "127.0.0.1",
       .handlers = {.onRequest =
                        [](const PeerServer::SessionPtr& aSession,
                           RequestFrame aFrame, Duration) {
                          aSession->Send(ResponseHeadFrame{
                              .stream = aFrame.stream, .status = 200});
                          aSession->Send(ResponseDataFrame{
                              .stream = aFrame.stream, .data = aFrame.body});
                          aSession->Send(ResponseEndFrame{
                              .stream = aFrame.stream, .complete = true});
                        },
                    .onClosed = [](const PeerServer::SessionPtr&) {},
                    .state = [] { return StateWire{.service = "fees"}; }}});
  server.Start();
  const std::string bodies[] = {std::string(40, 'a'), std::string(40, 'b')};
  size_t cut = 1;
  bool allComplete = false;
  for (; !allComplete; ++cut) {
    CAPTURE(cut);
    CuttingRelay relay(io, server.Port());
    relay.Start(cut);
    const auto client = std::make_shared<PeerClient>(PeerClient::Settings{
        .io = io,
        .self = {"client", Id128::Generate(), "secret"},
        .address = {
            .nodeId = "server", .host = "127.0.0.1", .port = relay.Port()}});
    client->Start();
    Seen seen[2];
    for (size_t i = 0; i < 2; ++i) {
      client->Request({.method = "GET", .body = bodies[i]}, seen[i].Handlers());
    }
    REQUIRE(RunPromptly(
        io, [&seen] { return seen[0].HasEnded() && seen[1].HasEnded(); }));
    for (size_t i = 0; i < 2; ++i) {
      CHECK(bodies[i].starts_with(seen[i].body));
      if (seen[i].complete) {
        CHECK(*seen[i].complete);
        CHECK(seen[i].body == bodies[i]);
      }
    }
    allComplete = seen[0].complete && seen[1].complete;
    client->Close("end of the row");
    relay.Close();
    REQUIRE(RunPromptly(io, [&] {
      return client->IsClosed() && server.ConnectedNodes().empty();
    }));
    io.restart();
    io.poll();
    REQUIRE(cut < 2000);
  }
  CHECK(cut > 200);
}
