#include <doctest/doctest.h>

#include <optional>
#include <stdexcept>
#include <vector>

#include "Http1/HttpClientConnection.h"
#include "Http1/LoopHttpServer.h"
#include "Http1/RawPeer.h"
#include "Log/Log.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

// Guards against a request whose handling fails and that ends the process, or
// the connections of other callers.
TEST_CASE("a failing request handler ends its own connection only") {
  DisableLog();
  asio::io_context io{1};
  LoopHttpServer server({.io = io,
                         .host = "127.0.0.1",
                         .onRequest = [](const HttpExchangePtr& aExchange) {
                           if (aExchange->Request().target == "/fail") {
                             throw std::runtime_error("handler");
                           }
                           aExchange->Respond({.status = 200, .body = "fine"});
                         }});
  server.Start();
  RawPeer failing(io);
  failing.Connect(server.Port());
  failing.Send("GET /fail HTTP/1.1\r\nHost: h\r\n\r\n");
  RawPeer other(io);
  other.Connect(server.Port());
  CHECK(RunUntil(io, [&] { return failing.closed; }));
  other.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(RunUntil(io, [&] { return Contains(other.received, "fine"); }));
}

// The handlers run within the frames of a C library. Guards against an
// exception that ends the process there, and against an exchange without an
// end.
TEST_CASE("a failing response handler ends its exchange") {
  DisableLog();
  enum class Fails : uint8_t { Head, Body };
  for (const Fails fails : {Fails::Head, Fails::Body}) {
    CAPTURE(static_cast<int>(fails));
    asio::io_context io{1};
    asio::ip::tcp::acceptor acceptor(io,
                                     {asio::ip::make_address("127.0.0.1"), 0});
    RawPeer server(io);
    server.Accept(acceptor);
    const auto client = std::make_shared<HttpClientConnection>(io);
    bool connected = false;
    client->Connect(acceptor.local_endpoint(), 1s,
                    [&](const std::string&) { connected = true; });
    REQUIRE(RunUntil(io, [&] { return connected && server.accepted; }));
    std::optional<ClientExchangeResult> result;
    client->Send(
        "GET / HTTP/1.1\r\n\r\n", false,
        {.onHead =
             [&](const HttpHead&) {
               if (fails == Fails::Head) {
                 throw std::runtime_error("head");
               }
               return ResponseVerdict::Accept;
             },
         .onBody = [](std::string_view) { throw std::runtime_error("body"); },
         .onDone =
             [&](const ClientExchangeResult& aResult) { result = aResult; }});
    server.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    REQUIRE(RunUntil(io, [&] { return result.has_value(); }));
    CHECK_FALSE(result->complete);
  }
}
