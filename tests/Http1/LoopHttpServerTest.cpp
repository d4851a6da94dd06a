#include <doctest/doctest.h>

#include <vector>

#include "Http1/LoopHttpServer.h"
#include "Http1/RawPeer.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

constexpr const char* kRequest = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server that stores the exchanges, so that the test can respond.
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

  /// Connects a caller, sends a request and waits until it has arrived.
  void Receive(RawPeer& aCaller, const std::string& aRequest = kRequest) {
    aCaller.Connect(this->server.Port());
    aCaller.Send(aRequest);
    REQUIRE(this->WaitExchanges(1));
  }
  bool WaitExchanges(size_t aCount) {
    return RunUntil(this->io, [&] { return this->exchanges.size() >= aCount; });
  }

  asio::io_context io{1};
  std::vector<HttpExchangePtr> exchanges;
  LoopHttpServer server;
};

}  // namespace

// Guards against responses that reach another request on the same connection.
TEST_CASE("requests on one connection are handled one after the other") {
  Listener listener;
  RawPeer caller(listener.io);
  listener.Receive(
      caller, std::string(kRequest) + "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
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

// Guards against targets that continue work for callers that have disconnected.
TEST_CASE("a caller that disconnects aborts its request") {
  for (const bool reset : {false, true}) {
    CAPTURE(reset);
    Listener listener;
    RawPeer caller(listener.io);
    listener.Receive(caller);
    bool aborted = false;
    listener.exchanges[0]->OnAbort([&aborted] { aborted = true; });
    reset ? caller.Reset() : caller.Close();
    CHECK(RunUntil(listener.io, [&] { return aborted; }));
    // A late response has no effect.
    listener.exchanges[0]->Respond({.status = 200});
    CHECK(listener.server.Connections() == 0);
  }
}

// Guards against a truncated response that looks complete.
TEST_CASE("a truncated stream ends without the last chunk") {
  Listener listener;
  RawPeer caller(listener.io);
  listener.Receive(caller);
  bool written = false;
  listener.exchanges[0]->StartStream(200, {}, std::nullopt);
  listener.exchanges[0]->Write("part", [&written] { written = true; });
  REQUIRE(RunUntil(listener.io, [&] { return written; }));
  listener.exchanges[0]->EndStream(false);
  REQUIRE(RunUntil(listener.io, [&] { return caller.closed; }));
  CHECK(Contains(caller.received, "part"));
  CHECK_FALSE(Contains(caller.received, "\r\n0\r\n\r\n"));
}

// Guards against unbounded bodies, and against closing before the caller has
// read the error response.
TEST_CASE("requests over the limits are rejected and the connection closes") {
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

// Guards against connections that hold memory forever.
TEST_CASE("connections without progress time out") {
  struct Case {
    std::string bytes;
    bool closes;
  };
  for (const Case& row : std::vector<Case>{
           {"", true},                                       // idle
           {"GET / HTTP/1.1\r\nHo", true},                   // incomplete head
           {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", false}}) {  // in progress
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

// Guards against callers that send on a connection that is about to be closed.
TEST_CASE("a stopping server closes connections with their responses") {
  Listener listener;
  RawPeer caller(listener.io);
  listener.Receive(caller);
  listener.server.CloseAfterResponses();
  listener.exchanges[0]->Respond({.status = 200, .body = "last"});
  REQUIRE(RunUntil(listener.io, [&] { return caller.closed; }));
  CHECK(Contains(caller.received, "Connection: close"));
  CHECK(Contains(caller.received, "last"));
}

namespace {
/// Starts a streamed response to a request and waits until its first part has
/// been written.
void StartResponse(Listener& aListener, RawPeer& aCaller,
                   const std::string& aRequest,
                   std::optional<uint64_t> aLength) {
  aListener.Receive(aCaller, aRequest);
  aListener.exchanges[0]->StartStream(200, {}, aLength);
  bool written = false;
  aListener.exchanges[0]->Write("part", [&written] { written = true; });
  REQUIRE(RunUntil(aListener.io, [&written] { return written; }));
}
}  // namespace

// Guards against a planned stop that ends before a caller who reads slowly has
// the whole response.
TEST_CASE("a response counts as unsent until its last byte is written") {
  constexpr size_t kSize = size_t{16} << 20;
  for (const bool streamed : {false, true}) {
    CAPTURE(streamed);
    Listener listener;
    RawPeer caller(listener.io);
    listener.Receive(caller);
    CHECK_FALSE(listener.server.HasUnsentBytes());
    caller.Pause();
    if (streamed) {
      listener.exchanges[0]->StartStream(200, {}, kSize);
      listener.exchanges[0]->Write(std::string(kSize, 'b'), {});
      listener.exchanges[0]->EndStream(true, {});
    } else {
      listener.exchanges[0]->Respond(
          {.status = 200, .headers = {}, .body = std::string(kSize, 'b')});
    }
    RunUntil(
        listener.io, [] { return false; }, 50ms);
    CHECK(listener.server.HasUnsentBytes());
    caller.Resume();
    CHECK(
        RunUntil(listener.io, [&] { return caller.received.size() > kSize; }));
    CHECK(RunUntil(listener.io,
                   [&] { return !listener.server.HasUnsentBytes(); }));
  }
}

// An HTTP/1.0 caller gets a long response without a length, whose body ends
// with the connection. Guards against chunk sizes in the body, and against a
// truncated response that looks complete.
TEST_CASE("an HTTP/1.0 caller gets an unchunked body, or a reset") {
  for (const bool complete : {true, false}) {
    CAPTURE(complete);
    Listener listener;
    RawPeer caller(listener.io);
    StartResponse(
        listener, caller,
        "GET /1 HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n",
        std::nullopt);
    listener.exchanges[0]->EndStream(complete);
    REQUIRE(RunUntil(listener.io, [&] { return caller.closed; }));
    CHECK(caller.reset != complete);
    CHECK_FALSE(Contains(caller.received, "chunked"));
    if (complete) {
      CHECK(caller.received.ends_with("\r\n\r\npart"));
    }
  }
}

struct MisuseCase {
  std::string what;
  std::optional<uint64_t> length;
  std::function<void(HttpExchange&)> use;
};

// A peer sends a response that does not match its head. Guards against bytes
// that the caller takes for another response, and against a truncated body that
// looks complete.
TEST_CASE("a response that does not match its head closes the connection") {
  for (const MisuseCase& row : std::vector<MisuseCase>{
           {"an end before its length", 10,
            [](HttpExchange& aExchange) { aExchange.EndStream(true); }},
           {"more than its length", 6,
            [](HttpExchange& aExchange) {
              aExchange.Write("longer", {});
              aExchange.EndStream(true);
            }},
           {"a second head", 10,
            [](HttpExchange& aExchange) {
              aExchange.StartStream(200, {}, 6);
              aExchange.Write("longer", {});
              aExchange.EndStream(true);
            }},
           {"another response", 10, [](HttpExchange& aExchange) {
              aExchange.Respond({.status = 503, .body = "not run"});
            }}}) {
    CAPTURE(row.what);
    Listener listener;
    RawPeer caller(listener.io);
    StartResponse(listener, caller, kRequest, row.length);
    row.use(*listener.exchanges[0]);
    CHECK(RunUntil(
        listener.io, [&] { return caller.closed; }, 1000ms));
    CHECK(caller.received.ends_with("part"));
  }
}

// Guards against an empty part that is sent as the last chunk.
TEST_CASE("an empty part does not end a response") {
  Listener listener;
  RawPeer caller(listener.io);
  StartResponse(listener, caller, kRequest, std::nullopt);
  bool writeDone = false;
  listener.exchanges[0]->Write("", [&writeDone] { writeDone = true; });
  CHECK(RunUntil(listener.io, [&writeDone] { return writeDone; }));
  RunUntil(
      listener.io, [] { return false; }, 20ms);
  CHECK_FALSE(Contains(caller.received, "\r\n0\r\n"));
  listener.exchanges[0]->Write("rest", {});
  listener.exchanges[0]->EndStream(true);
  CHECK(RunUntil(listener.io, [&] {
    return caller.received.ends_with("4\r\nrest\r\n0\r\n\r\n");
  }));
}

// Guards against a caller that waits for the rest of a response whose exchange
// was destroyed.
TEST_CASE("destroying an exchange during its response closes the connection") {
  Listener listener;
  RawPeer caller(listener.io);
  StartResponse(listener, caller, kRequest, std::nullopt);
  listener.exchanges.clear();
  CHECK(RunUntil(
      listener.io, [&] { return caller.closed; }, 1000ms));
  CHECK_FALSE(Contains(caller.received, "\r\n0\r\n"));
}

// Guards against bytes of an ended response being sent as the response to the
// next request on the connection.
TEST_CASE("writes after the end of a response are ignored") {
  Listener listener;
  RawPeer caller(listener.io);
  listener.Receive(caller);
  HttpExchange& first = *listener.exchanges[0];
  first.Respond({.status = 200, .body = "one"});
  // The response is not written yet, so the exchange is still the current one.
  first.Write("stray", {});
  first.Respond({.status = 200, .body = "stray"});
  first.EndStream(true);
  REQUIRE(
      RunUntil(listener.io, [&] { return Contains(caller.received, "one"); }));
  caller.Send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(listener.WaitExchanges(2));
  first.Write("stray", {});
  listener.exchanges[1]->Respond({.status = 200, .body = "two"});
  REQUIRE(
      RunUntil(listener.io, [&] { return Contains(caller.received, "two"); }));
  CHECK_FALSE(Contains(caller.received, "stray"));
}

// Guards against a body where the caller expects the next response: after a
// response to HEAD, or a status that never has a body.
TEST_CASE("responses without a body are written without one") {
  struct Case {
    std::string method;
    int status;
    bool hasLength;
  };
  for (const Case& row : std::vector<Case>{
           {"HEAD", 200, true}, {"GET", 204, false}, {"GET", 304, false}}) {
    for (const bool streamed : {false, true}) {
      CAPTURE(row.status);
      CAPTURE(streamed);
      Listener listener;
      RawPeer caller(listener.io);
      listener.Receive(caller, row.method + " /1 HTTP/1.1\r\nHost: h\r\n\r\n");
      if (streamed) {
        listener.exchanges[0]->StartStream(row.status, {}, 4);
        listener.exchanges[0]->Write("part", {});
        listener.exchanges[0]->EndStream(true);
      } else {
        listener.exchanges[0]->Respond({.status = row.status, .body = "part"});
      }
      caller.Send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
      REQUIRE(listener.WaitExchanges(2));
      CHECK(caller.received.ends_with("\r\n\r\n"));
      CHECK(Contains(caller.received, "Content-Length: 4") == row.hasLength);
    }
  }
}

// A caller sends single bytes slowly. Guards against connections that are held
// forever by a head, by empty lines before one, or by a body.
TEST_CASE("a slow request times out") {
  for (const std::string& bytes : std::vector<std::string>{
           "GET /1 HTTP/1.1\r\nHost: h\r\nA: " + std::string(200, 'a'),
           std::string(200, '\n'),
           "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n"}) {
    CAPTURE(bytes.substr(0, 5));
    Listener listener(
        {.headTimeout = 300ms, .requestTimeout = 500ms, .idleTimeout = 300ms});
    RawPeer caller(listener.io);
    caller.Connect(listener.server.Port());
    if (bytes.starts_with("POST")) {
      caller.Send(bytes);
    }
    asio::steady_timer timer(listener.io);
    size_t at = 0;
    const std::function<void(const asio::error_code&)> sendNext =
        [&](const asio::error_code& aError) {
          if (aError || caller.closed || at == bytes.size()) {
            return;
          }
          try {
            caller.Send(bytes.substr(at++, 1));
          } catch (const asio::system_error&) {
            return;  // closed in between
          }
          timer.expires_after(50ms);
          timer.async_wait(sendNext);
        };
    sendNext({});
    CHECK(RunUntil(
        listener.io, [&] { return caller.closed; }, 2500ms));
    CHECK(listener.exchanges.empty());
  }
}

namespace {
struct SmuggleCase {
  std::string what;
  /// A request that hides another one in the bytes after it.
  std::string bytes;
};

const std::string kHidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kPost = "POST /1 HTTP/1.1\r\nHost: h\r\n";

const std::vector<SmuggleCase> kSmuggled = {
    {"length and chunks", kPost +
                              "Content-Length: 4\r\nTransfer-Encoding: "
                              "chunked\r\n\r\n0\r\n\r\n" +
                              kHidden},
    {"chunks and length", kPost +
                              "Transfer-Encoding: chunked\r\nContent-Length: "
                              "4\r\n\r\n0\r\n\r\n" +
                              kHidden},
    {"two lengths",
     kPost + "Content-Length: 0\r\nContent-Length: 34\r\n\r\n" + kHidden},
    {"a list of lengths", kPost + "Content-Length: 0, 34\r\n\r\n" + kHidden},
    {"a length with a sign", kPost + "Content-Length: +0\r\n\r\n" + kHidden},
    {"a folded length", kPost + "Content-Length:\r\n 34\r\n\r\n" + kHidden},
    {"a coding with whitespace in its name",
     kPost + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + kHidden},
    {"two codings", kPost +
                        "Transfer-Encoding: chunked\r\nTransfer-Encoding: "
                        "identity\r\n\r\n0\r\n\r\n" +
                        kHidden},
    {"a bare CR in a field",
     kPost + "A: b\rContent-Length: 34\r\n\r\n" + kHidden},
    {"a bare CR at the end of the head", kPost + "\rX" + kHidden},
    {"a chunk longer than its size",
     kPost +
         "Transfer-Encoding: chunked\r\n\r\n1\r\nabc"
         "0\r\n\r\n" +
         kHidden},
    {"a chunk size with other bytes",
     kPost + "Transfer-Encoding: chunked\r\n\r\n0x\r\n\r\n" + kHidden},
    {"a CONNECT request with a body",
     "CONNECT h:1 HTTP/1.1\r\nHost: h\r\nContent-Length: 34\r\n\r\n" + kHidden},
    {"a body over the limit",
     kPost + "Content-Length: 300\r\n\r\n" + std::string(300, 'x') + kHidden}};
}  // namespace

// A caller hides a request after one whose end is ambiguous. Guards against
// forwarding either of them, however the network splits the bytes.
TEST_CASE("an ambiguous request and all bytes after it are rejected") {
  for (const SmuggleCase& row : kSmuggled) {
    for (const size_t step : {size_t{4096}, size_t{9}}) {
      CAPTURE(row.what);
      CAPTURE(step);
      Listener listener({.maxBodyBytes = 200});
      RawPeer caller(listener.io);
      caller.Connect(listener.server.Port());
      for (size_t at = 0; at < row.bytes.size(); at += step) {
        caller.Send(row.bytes.substr(at, step));
        listener.io.restart();
        listener.io.poll();
      }
      CHECK(RunUntil(listener.io, [&] { return caller.closed; }));
      CHECK(listener.exchanges.empty());
      const std::string status =
          caller.received.empty() ? "" : caller.received.substr(9, 3);
      CHECK((status == "400" || status == "413" || status == "431"));
      CHECK(Contains(caller.received, "Connection: close"));
      CHECK(caller.received.find("HTTP/1.1") ==
            caller.received.rfind("HTTP/1.1"));
    }
  }
}

// Guards against forwarding an incomplete request.
TEST_CASE("a request truncated at any byte is not forwarded") {
  for (const std::string& bytes : std::vector<std::string>{
           "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n",
           kPost + "Content-Length: 4\r\n\r\nbody",
           kPost +
               "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"}) {
    Listener listener;
    for (size_t cut = 0; cut < bytes.size(); ++cut) {
      CAPTURE(bytes.substr(0, cut));
      RawPeer caller(listener.io);
      caller.Connect(listener.server.Port());
      REQUIRE(RunPromptly(listener.io, [&listener] {
        return listener.server.Connections() == 1;
      }));
      caller.Send(bytes.substr(0, cut));
      cut % 2 == 0 ? caller.Close() : caller.Reset();
      REQUIRE(RunPromptly(listener.io, [&] {
        return caller.closed && listener.server.Connections() == 0;
      }));
      CHECK(listener.exchanges.empty());
    }
  }
}
