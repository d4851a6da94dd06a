#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "Http1/LoopHttpServer.h"
#include "Http1/LoopPeer.h"
#include "Mesh/TargetProbe.h"

using namespace fescueline;
using namespace fescueline::test;

// Guards against slots that are read from something else.
TEST_CASE("slots are the last of three numbers") {
  struct Row {
    const char* text;
    std::optional<uint32_t> slots;
  };
  for (const Row& row : std::vector<Row>{{"3,0,8", 8},
                                         {"0,0,125", 125},
                                         {"8", std::nullopt},
                                         {"3,8", std::nullopt},
                                         {"3,0,0", std::nullopt},
                                         {"3,0,-8", std::nullopt},
                                         {"3,0,x", std::nullopt},
                                         {"3,0,8x", std::nullopt},
                                         {"", std::nullopt}}) {
    CAPTURE(row.text);
    CHECK(SlotsOfLoad(row.text) == row.slots);
  }
}

// Guards against a target that is used although it does not say that it is
// ready, or does not say who it is.
TEST_CASE("only a complete answer of a ready target counts") {
  struct Row {
    const char* name;
    int status;
    HttpHeaders headers;
    bool ready;
  };
  const HeaderVocabulary names{.targetId = "x-id", .load = "x-load"};
  for (const Row& row : std::vector<Row>{
           {"ready", 200, {{"X-Id", "t1"}, {"X-Load", "1,0,9"}}, true},
           {"leaving", 503, {{"X-Id", "t1"}, {"X-Load", "1,0,9"}}, false},
           {"nameless", 200, {{"X-Load", "1,0,9"}}, false},
           {"no slots", 200, {{"X-Id", "t1"}}, false}}) {
    CAPTURE(std::string(row.name));
    asio::io_context io{1};
    size_t questions = 0;
    LoopHttpServer server(
        {.io = io,
         .host = "127.0.0.1",
         .onRequest = [&](const HttpExchangePtr& aExchange) {
           ++questions;
           aExchange->Respond({.status = row.status, .headers = row.headers});
         }});
    server.Start();
    ConnectionPool pool(
        {.io = io,
         .peer = {asio::ip::make_address("127.0.0.1"), server.Port()}});
    std::optional<ProbeAnswer> answer;
    TargetProbe probe({.io = io,
                       .pool = pool,
                       .headers = names,
                       .host = "t",
                       .onReady = [&answer](const ProbeAnswer& aAnswer) {
                         answer = aAnswer;
                       }});
    for (int i = 0; i < 10; ++i) {
      probe.Ask("/health");
    }
    RunUntil(
        io, [] { return false; }, std::chrono::milliseconds(100));
    CHECK(questions == 3);
    CHECK(answer.has_value() == row.ready);
    if (answer) {
      CHECK(answer->id == "t1");
      CHECK(answer->slots == 9);
    }
  }
}

// Guards against connections that a silent target holds for ever.
TEST_CASE("a probe that is not answered ends") {
  asio::io_context io{1};
  asio::ip::tcp::acceptor acceptor(io,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  RawPeer silent(io);
  silent.Accept(acceptor);
  ConnectionPool pool({.io = io, .peer = acceptor.local_endpoint()});
  const HeaderVocabulary names{.targetId = "x-id", .load = "x-load"};
  TargetProbe probe({.io = io,
                     .pool = pool,
                     .headers = names,
                     .host = "t",
                     .onReady = [](const ProbeAnswer&) { CHECK(false); }});
  probe.Ask("/health");
  REQUIRE(RunUntil(io, [&silent] { return !silent.received.empty(); }));
  CHECK(RunUntil(
      io, [&silent] { return silent.closed; }, std::chrono::seconds(3)));
}
