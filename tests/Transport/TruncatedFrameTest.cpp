#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "Http1/RawPeer.h"
#include "Transport/PeerClient.h"
#include "Transport/PeerServer.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

using Tcp = asio::ip::tcp;

/// Forwards bytes between a dialling node and its peer, and closes both
/// connections after a given number of bytes from the peer.
class CuttingRelay {
 public:
  CuttingRelay(asio::io_context& aIo, uint16_t aPeerPort)
      : dialler(aIo),
        remote(aIo),
        acceptor(aIo, {asio::ip::make_address("127.0.0.1"), 0}),
        peerPort(aPeerPort) {}

  uint16_t Port() const { return this->acceptor.local_endpoint().port(); }
  void Start(size_t aCut) {
    this->bytesLeft = aCut;
    this->acceptor.async_accept(
        this->dialler, [this](const asio::error_code& aError) {
          if (!aError) {
            this->remote.connect(
                {asio::ip::make_address("127.0.0.1"), this->peerPort});
            this->Forward(this->dialler, this->remote, this->toRemote, false);
            this->Forward(this->remote, this->dialler, this->toDialler, true);
          }
        });
  }
  void Close() {
    asio::error_code ignored;
    this->dialler.close(ignored);
    this->remote.close(ignored);
  }

  /// Number of the peer's bytes that were forwarded.
  size_t forwardedBytes = 0;

 private:
  using Buffer = std::array<char, 4096>;

  void Forward(Tcp::socket& aFrom, Tcp::socket& aTo, Buffer& aBuffer,
               bool aIsLimited) {
    aFrom.async_read_some(
        asio::buffer(aBuffer),
        [this, &aFrom, &aTo, &aBuffer, aIsLimited](
            const asio::error_code& aError, size_t aSize) {
          if (aError) {
            this->Close();
            return;
          }
          const size_t size =
              aIsLimited ? std::min(aSize, this->bytesLeft) : aSize;
          asio::error_code error;
          asio::write(aTo, asio::buffer(aBuffer.data(), size), error);
          if (aIsLimited) {
            this->forwardedBytes += size;
            this->bytesLeft -= size;
          }
          if (error || (aIsLimited && this->bytesLeft == 0)) {
            this->Close();
            return;
          }
          this->Forward(aFrom, aTo, aBuffer, aIsLimited);
        });
  }

  Tcp::socket dialler;
  Tcp::socket remote;
  Tcp::acceptor acceptor;
  uint16_t peerPort;
  size_t bytesLeft = 0;
  Buffer toRemote{};
  Buffer toDialler{};
};

/// Records the events of a stream.
struct StreamRecorder {
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
        .onConnectionLost = [this](bool aSent) { this->lost = aSent; }};
  }
};

}  // namespace

// A connection between nodes ends at any byte of the frames of two responses.
// Guards against an incomplete frame that takes effect, and against data of one
// request in the response to the other.
TEST_CASE("a connection that ends within a frame loses only open streams") {
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
    StreamRecorder recorders[2];
    for (size_t i = 0; i < 2; ++i) {
      client->Request({.method = "GET", .body = bodies[i]},
                      recorders[i].Handlers());
    }
    REQUIRE(RunPromptly(io, [&recorders] {
      return recorders[0].HasEnded() && recorders[1].HasEnded();
    }));
    for (size_t i = 0; i < 2; ++i) {
      CHECK(bodies[i].starts_with(recorders[i].body));
      if (recorders[i].complete) {
        CHECK(*recorders[i].complete);
        CHECK(recorders[i].body == bodies[i]);
      }
    }
    allComplete = recorders[0].complete && recorders[1].complete;
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
