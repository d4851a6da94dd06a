#include <doctest/doctest.h>

#include <vector>

#include "Transport/HttpFixtures.h"
#include "Transport/ScriptedPeer.h"

using namespace fescueline;
using namespace fescueline::test;

// Guards against a truncated response that is reported as complete.
TEST_CASE("a truncated response is reported as incomplete") {
  struct Row {
    std::string name;
    std::optional<uint64_t> length;
    bool complete;
  };
  const std::vector<Row> rows = {{"length, complete", 10, true},
                                 {"length, truncated", 20, false},
                                 {"chunked, complete", std::nullopt, true},
                                 {"chunked, truncated", std::nullopt, false}};
  Pool pool;
  Row current{};
  HttpServer server({.io = pool.io,
                     .host = "127.0.0.1",
                     .onRequest = [&current](HttpExchangePtr aExchange) {
                       // The client may have the complete response after
                       // Write, and the next row may start before EndStream.
                       const Row row = current;
                       aExchange->StartStream(200, {{"x-a", "b"}}, row.length);
                       aExchange->Write("0123456789", {});
                       aExchange->EndStream(row.complete);
                     }});
  HttpClient client;
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    current = row;
    const FetchResult fetched = Fetch(client, {.url = Url(server, "/")});
    CAPTURE(fetched.result.error);
    CHECK(fetched.status == 200);
    CHECK(fetched.body == "0123456789");
    CHECK(fetched.result.complete == row.complete);
  }
}

// Guards against a response that is truncated in its head or body and reported
// as a complete one that is empty or short.
TEST_CASE("a response truncated at any byte is not complete") {
  struct Row {
    const char* name;
    std::string response;
    /// Number of bytes at the end that the complete response may lack.
    size_t spare = 0;
    /// Whether the close of the connection ends the response, so that a reset
    /// leaves it incomplete.
    bool untilClose = false;
  };
  const std::string line = "HTTP/1.1 200 OK\r\n";
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::vector<Row> rows = {
      {"length", line + "X-A: b\r\nContent-Length: 12\r\n\r\n0123456789ab"},
      {"no body", line + "X-A: b\r\nContent-Length: 0\r\n\r\n"},
      {"status without a body", "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n"},
      // The final LF may be missing, since the body ends before the last CR.
      {"chunks",
       line + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 1},
      {"after an interim response",
       interim + line + "X-A: b\r\nContent-Length: 0\r\n\r\n"},
      {"until the close", line + "X-A: b\r\n\r\n0123", 4, true}};
  HttpClient client;
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    const size_t minSize = row.response.size() - row.spare;
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
        const FetchResult fetched = Fetch(client, {.url = server.Url("/")});
        CAPTURE(fetched.status);
        CAPTURE(fetched.body);
        if (size < minSize || (reset && row.untilClose)) {
          CHECK_FALSE(fetched.result.complete);
        } else if (!reset) {
          // A reset may discard bytes that were sent before it.
          CHECK(fetched.result.complete);
        }
        if (fetched.result.complete) {
          CHECK(fetched.status >= 200);
        }
        CHECK(fetched.result.mayHaveBeenSent);
      }
    }
  }
}

// Guards against unbounded memory use by an endless head.
TEST_CASE("an endless head is rejected") {
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
    constexpr size_t kMaxWritten = size_t{64} * 1024 * 1024;
    std::atomic<size_t> written{0};
    const ScriptedPeer server([&](const ScriptedPeer::Turn& aTurn) {
      aTurn.Send(row.begin);
      std::string more;
      while (more.size() < size_t{64} * 1024) {
        more += row.more;
      }
      asio::error_code error;
      while (!error && written < kMaxWritten) {
        written += asio::write(aTurn.socket, asio::buffer(more), error);
      }
      aTurn.Reset();
    });
    HttpClient client;
    const FetchResult fetched = Fetch(
        client, {.url = server.Url("/"), .timeout = std::chrono::seconds(5)});
    CAPTURE(fetched.result.error);
    CHECK_FALSE(fetched.result.complete);
    CHECK_FALSE(fetched.result.timedOut);
    CHECK(written < kMaxWritten);
  }
}

namespace {
/// Heads that no server in order sends.
const std::vector<std::string> kMalformedHeads = {
    "HTTP/1.1 000 OK\r\n",
    "HTTP/1.1 099 OK\r\n",
    "HTTP/1.1 600 OK\r\n",
    "HTTP/1.1 2000 OK\r\n",
    "HTTP/1.1 +20 OK\r\n",
    "HTTP/1.1 200 OK\r\nX Mark: 1\r\n",
    "HTTP/1.1 200 OK\r\nX\x01Mark: 1\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n"};
}  // namespace

// A server in trouble sends a status that is no HTTP status, or a blank or a
// control byte in the name of a field. Guards against passing that on as a
// response.
TEST_CASE("a response with a malformed head is not complete") {
  HttpClient client;
  for (const std::string& head : kMalformedHeads) {
    CAPTURE(head);
    const ScriptedPeer server([&head](const ScriptedPeer::Turn& aTurn) {
      aTurn.Send(head + "Content-Length: 2\r\n\r\nab");
      aTurn.Close();
    });
    const FetchResult fetched = Fetch(client, {.url = server.Url("/")});
    CHECK_FALSE(fetched.result.complete);
    CHECK(fetched.result.mayHaveBeenSent);
    CHECK(fetched.status == 0);
    CHECK(fetched.body.empty());
  }
}

// A server responds before it has read a long request body, and closes or
// resets the connection within a body that only the close ends. Guards against
// a part of a body that counts as complete.
TEST_CASE("a part of a response to an unfinished request is not complete") {
  HttpClient client;
  for (const bool reset : {false, true}) {
    CAPTURE(reset);
    const ScriptedPeer server([reset](const ScriptedPeer::Turn& aTurn) {
      aTurn.Send("HTTP/1.1 200 OK\r\nX-A: b\r\n\r\npart");
      if (reset) {
        aTurn.Reset();
      } else {
        // Unread bytes of the request turn the close into a reset.
        CloseSocket(aTurn.socket);
      }
    });
    const FetchResult fetched =
        Fetch(client, {.url = server.Url("/"),
                       .method = "POST",
                       .body = std::string(size_t{32} << 20, 'u')});
    CHECK_FALSE(fetched.result.complete);
  }
}
