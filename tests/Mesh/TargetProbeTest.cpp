#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "Http1/LoopHttpServer.h"
#include "Http1/RawPeer.h"
#include "Mesh/TargetProbe.h"
#include "Transport/EndlessServer.h"

using namespace fescueline;
using namespace fescueline::test;

namespace {
const HeaderNames kNames{.targetId = "x-id", .load = "x-load"};

/// A probe of a target, and its result.
struct ProbeFixture {
  ProbeFixture(asio::io_context& aIo, const asio::ip::tcp::endpoint& aTarget)
      : probe({.io = aIo,
               .target = aTarget,
               .headers = kNames,
               .host = "t",
               .onReady = [this](const ProbeResult& aAnswer) {
                 this->answer = aAnswer;
               }}) {}

  std::optional<ProbeResult> answer;
  TargetProbe probe;
};
}  // namespace

// Guards against slots parsed from another value or from malformed text.
TEST_CASE("slots are the third number of a load header") {
  struct Row {
    const char* text;
    std::optional<uint32_t> slots;
  };
  for (const Row& row : std::vector<Row>{{"3,0,8", 8},
                                         {"0,0,125", 125},
                                         {"3,0,8,100", 8},
                                         {"3,0,8,100,7", 8},
                                         {"3,0,,100", std::nullopt},
                                         {"8", std::nullopt},
                                         {"3,8", std::nullopt},
                                         {"3,0,0", std::nullopt},
                                         {"3,0,-8", std::nullopt},
                                         {"3,0,x", std::nullopt},
                                         {"3,0,8x", std::nullopt},
                                         {"", std::nullopt}}) {
    CAPTURE(row.text);
    CHECK(ParseSlots(row.text) == row.slots);
  }
}

// Guards against using a target that is not ready or does not identify itself.
TEST_CASE("only a complete response of a ready target counts") {
  struct Row {
    const char* name;
    int status;
    HttpHeaders headers;
    bool ready;
    std::optional<uint32_t> slots;
  };
  const HeaderNames names{.targetId = "x-id", .load = "x-load"};
  for (const Row& row : std::vector<Row>{
           {"ready", 200, {{"X-Id", "t1"}, {"X-Load", "1,0,9"}}, true, 9},
           {"leaving", 503, {{"X-Id", "t1"}, {"X-Load", "1,0,9"}}, false, {}},
           {"nameless", 200, {{"X-Load", "1,0,9"}}, false, {}},
           {"no slots", 200, {{"X-Id", "t1"}}, true, {}},
           {"malformed slots",
            200,
            {{"X-Id", "t1"}, {"X-Load", "1,0,x"}},
            true,
            {}}}) {
    CAPTURE(std::string(row.name));
    asio::io_context io{1};
    size_t probes = 0;
    LoopHttpServer server(
        {.io = io,
         .host = "127.0.0.1",
         .onRequest = [&](const HttpExchangePtr& aExchange) {
           ++probes;
           aExchange->Respond({.status = row.status, .headers = row.headers});
         }});
    server.Start();
    std::optional<ProbeResult> answer;
    TargetProbe probe(
        {.io = io,
         .target = {asio::ip::make_address("127.0.0.1"), server.Port()},
         .headers = names,
         .host = "t",
         .onReady = [&answer](const ProbeResult& aAnswer) {
           answer = aAnswer;
         }});
    for (int i = 0; i < 10; ++i) {
      probe.Start("/health");
    }
    RunUntil(
        io, [] { return false; }, std::chrono::milliseconds(100));
    CHECK(probes == 3);
    probe.Renew();
    probe.Start("/health");
    RunUntil(
        io, [] { return false; }, std::chrono::milliseconds(30));
    CHECK(probes == 4);
    CHECK(answer.has_value() == row.ready);
    if (answer) {
      CHECK(answer->id == "t1");
      CHECK(answer->slots == row.slots);
    }
  }
}

// Guards against connections that an unresponsive target keeps open for ever.
TEST_CASE("a probe without a response times out") {
  asio::io_context io{1};
  asio::ip::tcp::acceptor acceptor(io,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  RawPeer silent(io);
  silent.Accept(acceptor);
  const HeaderNames names{.targetId = "x-id", .load = "x-load"};
  TargetProbe probe({.io = io,
                     .target = acceptor.local_endpoint(),
                     .headers = names,
                     .host = "t",
                     .onReady = [](const ProbeResult&) { CHECK(false); }});
  probe.Start("/health");
  REQUIRE(RunUntil(io, [&silent] { return !silent.received.empty(); }));
  CHECK(RunUntil(
      io, [&silent] { return silent.closed; }, std::chrono::seconds(3)));
}

// A target may send a late duplicate of its response to a probe. Guards against
// reading it as the response to a request on the same connection.
TEST_CASE("the connection of a probe is not reused") {
  struct Row {
    const char* name;
    int status;
  };
  for (const Row& row :
       std::vector<Row>{{"ready", 200}, {"leaving", 503}, {"unknown", 404}}) {
    CAPTURE(std::string(row.name));
    asio::io_context io{1};
    asio::ip::tcp::acceptor acceptor(io,
                                     {asio::ip::make_address("127.0.0.1"), 0});
    RawPeer target(io);
    target.Accept(acceptor);
    ProbeFixture fixture(io, acceptor.local_endpoint());
    fixture.probe.Start("/health");
    REQUIRE(RunUntil(io, [&target] { return !target.received.empty(); }));
    target.Send("HTTP/1.1 " + std::to_string(row.status) +
                " X\r\nX-Id: t1\r\nX-Load: 1,0,9\r\n"
                "Content-Length: 2\r\n\r\nok");
    CHECK(RunUntil(io, [&target] { return target.closed; }));
    CHECK(fixture.answer.has_value() == (row.status == 200));
  }
}

// Guards against reading an endless response at full speed until the timeout,
// and against accepting a truncated response.
TEST_CASE("a probe reads a bounded response") {
  constexpr size_t kKiB = 1024;
  struct Row {
    const char* name;
    std::string begin;
    std::string endless;
  };
  std::string interim;
  while (interim.size() < kKiB) {
    interim += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  const std::string ready = "HTTP/1.1 200 OK\r\nX-Id: t1\r\nX-Load: 1,0,9\r\n";
  for (const Row& row : std::vector<Row>{
           {"head", ready, "X-More: " + std::string(kKiB, 'x') + "\r\n"},
           {"name of a header", ready, std::string(kKiB, 'x')},
           {"interim responses", interim, interim},
           {"body without a length", ready + "\r\n", std::string(kKiB, 'x')},
           {"body with a length",
            ready + "Content-Length: 999999999999\r\n\r\n",
            std::string(kKiB, 'x')},
           {"chunks", ready + "Transfer-Encoding: chunked\r\n\r\n",
            "400\r\n" + std::string(kKiB, 'x') + "\r\n"}}) {
    CAPTURE(std::string(row.name));
    asio::io_context io{1};
    EndlessServer target(io, row.begin, row.endless);
    ProbeFixture fixture(io, target.Endpoint());
    fixture.probe.Start("/health");
    CHECK(RunUntil(
        io, [&target] { return target.Closed() == 1; },
        std::chrono::seconds(3)));
    // Socket buffers hold a few MiB.
    CHECK(target.Written() < 16 * kKiB * kKiB);
    CHECK_FALSE(fixture.answer);
  }
}
