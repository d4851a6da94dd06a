#include <doctest/doctest.h>

#include <vector>

#include "Http1/LoopHttpServer.h"
#include "Http1/LoopPeer.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

/// A server that keeps the exchanges for the test to answer.
struct Listener {
  explicit Listener(const CallerLimits& aLimits = {})
      : server({.io = this->io,
                .host = "127.0.0.1",
                .limits = aLimits,
                .onRequest = [this](HttpExchangePtr aExchange) {
                  this->exchanges.push_back(std::move(aExchange));
                }}) {
    this->server.Start();
  }

  bool WaitExchanges(size_t aCount) {
    return RunUntil(this->io, [&] { return this->exchanges.size() >= aCount; });
  }

  asio::io_context io{1};
  std::vector<HttpExchangePtr> exchanges;
  LoopHttpServer server;
};

}  // namespace

// Guards against answers that reach another request of the same connection.
TEST_CASE("requests of one connection are answered one after the other") {
  Listener listener;
  RawPeer caller(listener.io);
  caller.Connect(listener.server.Port());
  caller.Send(
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(listener.WaitExchanges(1));
  RunUntil(
      listener.io, [] { return false; }, 20ms);
  CHECK(listener.exchanges.size() == 1);
  listener.exchanges[0]->Respond({.status = 200, .body = "one"});
  REQUIRE(listener.WaitExchanges(2));
  CHECK(listener.exchanges[1]->Request().target == "/2");
  listener.exchanges[1]->Respond({.status = 200, .body = "two"});
  REQUIRE(
      RunUntil(listener.io, [&] { return Contains(caller.received, "two"); }));
  CHECK(caller.received.find("one") < caller.received.find("two"));
}

// Guards against targets that work on for callers that have left.
TEST_CASE("a caller that leaves aborts its request") {
  for (const bool reset : {false, true}) {
    CAPTURE(reset);
    Listener listener;
    RawPeer caller(listener.io);
    caller.Connect(listener.server.Port());
    caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(listener.WaitExchanges(1));
    bool aborted = false;
    listener.exchanges[0]->OnAbort([&aborted] { aborted = true; });
    reset ? caller.Reset() : caller.Close();
    CHECK(RunUntil(listener.io, [&] { return aborted; }));
    // An answer that comes too late goes nowhere.
    listener.exchanges[0]->Respond({.status = 200});
    CHECK(listener.server.Connections() == 0);
  }
}

// Guards against a broken response that looks complete.
TEST_CASE("a stream that breaks off ends without its end mark") {
  Listener listener;
  RawPeer caller(listener.io);
  caller.Connect(listener.server.Port());
  caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(listener.WaitExchanges(1));
  bool written = false;
  listener.exchanges[0]->StartStream(200, {}, std::nullopt);
  listener.exchanges[0]->Write("part", [&written] { written = true; });
  REQUIRE(RunUntil(listener.io, [&] { return written; }));
  listener.exchanges[0]->EndStream(false);
  REQUIRE(RunUntil(listener.io, [&] { return caller.closed; }));
  CHECK(Contains(caller.received, "part"));
  CHECK_FALSE(Contains(caller.received, "\r\n0\r\n\r\n"));
}

// Guards against unbounded bodies and against closing before the caller has
// read why.
TEST_CASE("requests over the limits are refused and the connection closes") {
  struct Case {
    std::string bytes;
    const char* status;
  };
  const std::string many(300, 'x');
  for (const Case& row : std::vector<Case>{
           {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300\r\n\r\n" + many,
            "413"},
           {"GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string(2000, 'x') +
                "\r\n\r\n",
            "431"},
           {"nonsense\r\n\r\n", "431"}}) {
    Listener listener({.maxHeadBytes = 1000, .maxBodyBytes = 200});
    RawPeer caller(listener.io);
    caller.Connect(listener.server.Port());
    caller.Send(row.bytes);
    CHECK(RunUntil(listener.io, [&] { return caller.closed; }));
    CHECK(caller.received.substr(9, 3) == row.status);
    CHECK(listener.exchanges.empty());
  }
}

// Guards against connections that hold memory for ever.
TEST_CASE("connections without progress are closed in time") {
  struct Case {
    std::string bytes;
    bool closes;
  };
  for (const Case& row : std::vector<Case>{
           {"", true},                      // rests
           {"GET / HTTP/1.1\r\nHo", true},  // head does not end
           {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", false}}) {  // is served
    CAPTURE(row.bytes);
    Listener listener({.headTimeout = 200ms, .idleTimeout = 200ms});
    RawPeer caller(listener.io);
    caller.Connect(listener.server.Port());
    caller.Send(row.bytes);
    CHECK(RunUntil(
              listener.io, [&] { return caller.closed; },
              row.closes ? 5000ms : 1500ms) == row.closes);
  }
}

// Guards against callers that send on a connection that is about to close.
TEST_CASE("a stopping server closes connections with their responses") {
  Listener listener;
  RawPeer caller(listener.io);
  caller.Connect(listener.server.Port());
  caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(listener.WaitExchanges(1));
  listener.server.CloseAfterResponses();
  listener.exchanges[0]->Respond({.status = 200, .body = "last"});
  REQUIRE(RunUntil(listener.io, [&] { return caller.closed; }));
  CHECK(Contains(caller.received, "Connection: close"));
  CHECK(Contains(caller.received, "last"));
}
