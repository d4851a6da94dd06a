#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "Http1/RawPeer.h"
#include "Transport/FrameChannel.h"
#include "Transport/PeerClient.h"
#include "Transport/PeerServer.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

using Tcp = asio::ip::tcp;

/// Remote side of a connection: writes a frame slowly and records the close.
struct SlowSender {
  explicit SlowSender(asio::io_context& aIo) : socket(aIo), timer(aIo) {}

  /// Writes the first aAtOnce bytes immediately, then one byte every 10 ms.
  void Start(std::string aBytes, size_t aAtOnce) {
    this->bytes = std::move(aBytes);
    this->at = aAtOnce;
    asio::write(this->socket, asio::buffer(this->bytes.data(), aAtOnce));
    this->socket.async_read_some(asio::buffer(this->buffer),
                                 [this](const asio::error_code& aError,
                                        size_t) { this->closed = !!aError; });
    this->Next();
  }

  Tcp::socket socket;
  bool closed = false;

 private:
  void Next() {
    this->timer.expires_after(10ms);
    this->timer.async_wait([this](const asio::error_code& aError) {
      if (aError || this->closed || this->at == this->bytes.size()) {
        return;
      }
      asio::error_code ignored;
      asio::write(this->socket, asio::buffer(&this->bytes[this->at++], 1),
                  ignored);
      this->Next();
    });
  }

  asio::steady_timer timer;
  std::string bytes;
  size_t at = 0;
  std::array<char, 64> buffer{};
};

}  // namespace

// A faulty peer sends a frame byte by byte. Guards against a connection that
// counts as alive although no frame is completed, which delays every request on
// it.
TEST_CASE("an endless frame closes the connection") {
  asio::io_context io{1};
  Tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  SlowSender sender(io);
  sender.socket.connect(acceptor.local_endpoint());
  const Strand strand = asio::make_strand(io);
  const auto channel = std::make_shared<FrameChannel>(
      FrameChannel::Settings{.socket = acceptor.accept(strand),
                             .strand = strand,
                             .peer = "p",
                             .pingPeriod = 50ms,
                             .frameTimeout = 300ms});
  size_t frames = 0;
  std::string reason;
  channel->Start(
      {.onFrame = [&frames](const DecodedFrame&) { ++frames; },
       .onClosed =
           [&reason](const std::string& aReason) { reason = aReason; }});
  const std::string ping = EncodeFrame(PingFrame{.sequence = 1});
  const std::string data = EncodeFrame(
      ResponseDataFrame{.stream = 1, .data = std::string(1000, 'x')});
  // Complete frames may arrive slowly.
  sender.Start(ping + ping + ping + data, ping.size() + 4);
  CHECK(RunPromptly(
      io, [&reason] { return !reason.empty(); }, 3000ms));
  CHECK(frames == 3);
  CHECK(reason == "frame without end");
}

// A client that is not a node connects and sends slowly, or announces a long
// frame. Guards against memory use by connections without the fleet secret.
TEST_CASE("a connection without a handshake times out") {
  for (const size_t claimed : {size_t{400}, size_t{1'000'000}}) {
    CAPTURE(claimed);
    asio::io_context io{1};
    bool closed = false;
    PeerServer server(
        {.io = io,
         .self = {"n1", Id128::Generate(), "secret"},
         .host = "127.0.0.1",
         .handlers = {.onClosed = [&closed](const PeerServer::SessionPtr&) {
           closed = true;
         }}});
    server.Start();
    SlowSender sender(io);
    sender.socket.connect({asio::ip::make_address("127.0.0.1"), server.Port()});
    std::string bytes(4, '\0');
    for (size_t i = 0; i < 4; ++i) {
      bytes[3 - i] = static_cast<char>((claimed >> (8 * i)) & 0xff);
    }
    sender.Start(bytes + std::string(500, 'x'), 4);
    // A frame that is too long is rejected immediately.
    CHECK(RunPromptly(
        io, [&] { return closed && sender.closed; },
        claimed > 1000 ? 500ms : 1500ms));
  }
}

// A target's state changes while a node connects. Guards against a state frame
// within the handshake, which closes the connection and fails the requests that
// wait for it, and against sending the state to an unauthenticated client.
TEST_CASE("no state is pushed before the handshake is done") {
  asio::io_context io{1};
  PeerServer server(
      {.io = io,
       .self = {"n1", Id128::Generate(), "secret"},
       .host = "127.0.0.1",
       .handlers = {.onClosed = [](const PeerServer::SessionPtr&) {},
                    .state = [] { return StateWire{.service = "fees"}; }}});
  server.Start();
  RawPeer dialler(io);
  dialler.Connect(server.Port());
  const HelloFrame hello{.nodeId = "n2",
                         .incarnation = Id128::Generate().ToString(),
                         .nonce = std::string(16, 'x')};
  dialler.Send(EncodeFrame(hello));
  REQUIRE(RunPromptly(io, [&dialler] { return !dialler.received.empty(); }));
  const size_t helloAckBytes = dialler.received.size();
  server.PushState();
  // The connection is closed because no proof arrives.
  REQUIRE(RunPromptly(io, [&dialler] { return dialler.closed; }));
  CHECK(dialler.received.size() == helloAckBytes);
}

// Callers disconnect while a long request is being written. Guards against
// requests that run without a caller because no Cancel frame was sent.
TEST_CASE("a request is cancelled while an earlier one is being written") {
  asio::io_context io{1};
  size_t requests = 0;
  std::vector<uint64_t> cancelled;
  PeerServer server(
      {.io = io,
       .self = {"n1", Id128::Generate(), "secret"},
       .host = "127.0.0.1",
       .handlers = {
           .onRequest = [&requests](const PeerServer::SessionPtr&, RequestFrame,
                                    Duration) { ++requests; },
           .onCancel = [&cancelled](
                           const PeerServer::SessionPtr&,
                           uint64_t aStream) { cancelled.push_back(aStream); },
           .onClosed = [](const PeerServer::SessionPtr&) {},
           .state = [] { return StateWire{}; }}});
  server.Start();
  const auto client = std::make_shared<PeerClient>(PeerClient::Settings{
      .io = io,
      .self = {"n2", Id128::Generate(), "secret"},
      .address = {.nodeId = "n1", .host = "127.0.0.1", .port = server.Port()}});
  client->Start();
  REQUIRE(RunPromptly(io, [&client] { return client->IsReady(); }));
  const PeerStreamHandlers ignored{.onConnectionLost = [](bool) {}};
  client->Request(
      RequestFrame{.method = "POST", .body = std::string(1'000'000, 'x')},
      ignored);
  const uint64_t stream =
      client->Request(RequestFrame{.method = "GET"}, ignored);
  client->Cancel(stream);
  REQUIRE(RunPromptly(io, [&requests] { return requests == 2; }));
  CHECK(RunPromptly(
      io, [&cancelled] { return !cancelled.empty(); }, 500ms));
  CHECK(cancelled == std::vector<uint64_t>{stream});
  client->Close("done");
  RunUntil(
      io, [] { return false; }, 50ms);
}

// A busy node handles the events of a connection late. Guards against closing
// the connection as idle, which fails the requests on it, although unread bytes
// are waiting in the socket.
TEST_CASE("a connection with unread bytes is not idle") {
  asio::io_context io;
  Tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  Tcp::socket remote(io);
  remote.connect(acceptor.local_endpoint());
  const Strand strand = asio::make_strand(io);
  const auto channel = std::make_shared<FrameChannel>(
      FrameChannel::Settings{.socket = acceptor.accept(strand),
                             .strand = strand,
                             .peer = "p",
                             .pingPeriod = 50ms,
                             .idleTimeout = 150ms});
  std::atomic<size_t> frames{0};
  std::promise<std::string> reason;
  channel->Post([&] {
    channel->Start({.onFrame = [&frames](const DecodedFrame&) { ++frames; },
                    .onClosed =
                        [&reason](const std::string& aReason) {
                          reason.set_value(aReason);
                        }});
  });
  // The events of the timer and then of the socket are queued while the strand
  // is blocked.
  channel->Post([] { std::this_thread::sleep_for(250ms); });
  std::vector<std::thread> workers;
  for (int i = 0; i < 2; ++i) {
    workers.emplace_back([&io] { io.run(); });
  }
  std::this_thread::sleep_for(120ms);
  asio::write(remote, asio::buffer(EncodeFrame(PingFrame{.sequence = 1})));
  auto closed = reason.get_future();
  REQUIRE(closed.wait_for(5s) == std::future_status::ready);
  // The connection is closed once no more bytes arrive.
  CHECK(closed.get() == "silent");
  CHECK(frames == 1);
  for (std::thread& worker : workers) {
    worker.join();
  }
}
