#include <doctest/doctest.h>

#include <vector>

#include "Transport/HttpFixtures.h"
#include "Transport/ScriptedPeer.h"

using namespace fescueline;
using namespace fescueline::test;

// Guards against a broken response that reaches the caller as a complete one.
TEST_CASE("a response that breaks off is seen as broken") {
  struct Row {
    std::string name;
    std::optional<uint64_t> length;
    bool complete;
  };
  const std::vector<Row> rows = {{"length, whole", 10, true},
                                 {"length, broken", 20, false},
                                 {"chunked, whole", std::nullopt, true},
                                 {"chunked, broken", std::nullopt, false}};
  Pool pool;
  Row current{};
  HttpServer server({.io = pool.io,
                     .host = "127.0.0.1",
                     .onRequest = [&current](HttpExchangePtr aExchange) {
                       // The client has a complete response after Write, and
                       // the next row may begin before EndStream.
                       const Row row = current;
                       aExchange->StartStream(200, {{"x-a", "b"}}, row.length);
                       aExchange->Write("0123456789", {});
                       aExchange->EndStream(row.complete);
                     }});
  HttpClient client;
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    current = row;
    const Answer answer = Fetch(client, {.url = Url(server, "/")});
    CAPTURE(answer.result.error);
    CHECK(answer.status == 200);
    CHECK(answer.body == "0123456789");
    CHECK(answer.result.complete == row.complete);
  }
}

// Guards against a response that breaks off in its head, or in its body, and
// reaches the caller as a complete one that is empty or short.
TEST_CASE("a response cut at any byte is not whole") {
  struct Row {
    const char* name;
    std::string response;
    /// Bytes at the end that the response is complete without.
    size_t spare = 0;
    /// Whether the response ends with the connection, so that a reset breaks
    /// it.
    bool untilClose = false;
  };
  const std::string line = "HTTP/1.1 200 OK\r\n";
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::vector<Row> rows = {
      {"length", line + "X-A: b\r\nContent-Length: 12\r\n\r\n0123456789ab"},
      {"no body", line + "X-A: b\r\nContent-Length: 0\r\n\r\n"},
      {"never a body", "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n"},
      // Nothing of the body follows the CR of its last line.
      {"chunks",
       line + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 1},
      {"after an interim response",
       interim + line + "X-A: b\r\nContent-Length: 0\r\n\r\n"},
      {"until the close", line + "X-A: b\r\n\r\n0123", 4, true}};
  HttpClient client;
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    const size_t whole = row.response.size() - row.spare;
    for (size_t size = 0; size <= row.response.size(); ++size) {
      for (const bool reset : {false, true}) {
        CAPTURE(size);
        CAPTURE(reset);
        const ScriptedPeer server([&](const ScriptedPeer::Turn& aTurn) {
          aTurn.Send(row.response.substr(0, size));
          if (reset) {
            aTurn.Reset();
          } else {
            aTurn.Close();
          }
        });
        const Answer answer = Fetch(client, {.url = server.Url("/")});
        CAPTURE(answer.status);
        CAPTURE(answer.body);
        if (size < whole || (reset && row.untilClose)) {
          CHECK_FALSE(answer.result.complete);
        } else if (!reset) {
          // A reset may discard bytes that were sent before it.
          CHECK(answer.result.complete);
        }
        if (answer.result.complete) {
          CHECK(answer.status >= 200);
        }
        CHECK(answer.result.mayHaveBeenSent);
      }
    }
  }
}

// Guards against a head without an end that fills the memory.
TEST_CASE("a head without an end is refused") {
  struct Row {
    const char* name;
    std::string begin;
    std::string more;
  };
  for (const Row& row : std::vector<Row>{
           {"headers", "HTTP/1.1 200 OK\r\n",
            "X-More: " + std::string(500, 'x') + "\r\n"},
           {"one header", "HTTP/1.1 200 OK\r\nX-More: ", std::string(500, 'x')},
           {"interim responses", "HTTP/1.1 100 Continue\r\n\r\n",
            "HTTP/1.1 102 Processing\r\nX-More: x\r\n\r\n"},
           {"trailers",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "X-More: " + std::string(500, 'x') + "\r\n"}}) {
    CAPTURE(std::string(row.name));
    constexpr size_t kMuch = size_t{64} * 1024 * 1024;
    std::atomic<size_t> written{0};
    const ScriptedPeer server([&](const ScriptedPeer::Turn& aTurn) {
      aTurn.Send(row.begin);
      std::string more;
      while (more.size() < size_t{64} * 1024) {
        more += row.more;
      }
      asio::error_code error;
      while (!error && written < kMuch) {
        written += asio::write(aTurn.socket, asio::buffer(more), error);
      }
      aTurn.Reset();
    });
    HttpClient client;
    const Answer answer = Fetch(
        client, {.url = server.Url("/"), .timeout = std::chrono::seconds(5)});
    CAPTURE(answer.result.error);
    CHECK_FALSE(answer.result.complete);
    CHECK_FALSE(answer.result.timedOut);
    CHECK(written < kMuch);
  }
}
