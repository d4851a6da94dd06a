#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "Http1/LoopPeer.h"
#include "Transport/FrameChannel.h"
#include "Transport/PeerClient.h"
#include "Transport/PeerServer.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

using Tcp = asio::ip::tcp;

/// The other side of a connection: writes a frame slowly and sees the close.
struct SlowSender {
  explicit SlowSender(asio::io_context& aIo) : socket(aIo), timer(aIo) {}

  /// Writes the first bytes at once, and one every 10 ms.
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

// Pattern: a faulty peer sends a frame byte by byte. Guards against a
// connection that counts as alive although nothing on it gets through, which
// holds up every request there.
TEST_CASE("a frame that does not end closes the connection") {
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
  // Whole frames that arrive slowly do no harm.
  sender.Start(ping + ping + ping + data, ping.size() + 4);
  CHECK(RunPromptly(
      io, [&reason] { return !reason.empty(); }, 3000ms));
  CHECK(frames == 3);
  CHECK(reason == "frame without end");
}

// Pattern: something other than a node connects and sends slowly, or claims a
// long frame. Guards against connections that hold memory without the secret.
TEST_CASE("a connection without a handshake is closed in time") {
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
    // A frame that is too long is refused at once.
    CHECK(RunPromptly(
        io, [&] { return closed && sender.closed; },
        claimed > 1000 ? 500ms : 1500ms));
  }
}

// Pattern: a target's state changes while a node connects. Guards against a
// connection that ends for a frame within the handshake, with the requests that
// wait for it, and against a state that is told to anybody.
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
  const size_t answer = dialler.received.size();
  server.PushState();
  // The connection is closed for want of a proof.
  REQUIRE(RunPromptly(io, [&dialler] { return dialler.closed; }));
  CHECK(dialler.received.size() == answer);
}

// Pattern: callers leave while a long request is being written. Guards against
// requests that run for nobody: the other side was never told of their end.
TEST_CASE("a request is cancelled although others are written before it") {
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
  const PeerStreamHandlers ignored{.onLost = [](bool) {}};
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

// Pattern: a busy node gets to a connection late, behind other work. Guards
// against a connection that is closed as silent although the other side's
// bytes wait in the socket, with the requests on it.
TEST_CASE("a connection with unread bytes is not silent") {
  asio::io_context io;
  Tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  Tcp::socket other(io);
  other.connect(acceptor.local_endpoint());
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
  // Events of the socket and of the timer queue up behind this, the timer's
  // first.
  channel->Post([] { std::this_thread::sleep_for(250ms); });
  std::vector<std::thread> workers;
  for (int i = 0; i < 2; ++i) {
    workers.emplace_back([&io] { io.run(); });
  }
  std::this_thread::sleep_for(120ms);
  asio::write(other, asio::buffer(EncodeFrame(PingFrame{.sequence = 1})));
  auto closed = reason.get_future();
  REQUIRE(closed.wait_for(5s) == std::future_status::ready);
  // It does end once nothing more comes.
  CHECK(closed.get() == "silent");
  CHECK(frames == 1);
  for (std::thread& worker : workers) {
    worker.join();
  }
}
