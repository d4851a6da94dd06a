#include <doctest/doctest.h>
#include <fmt/format.h>

#include <vector>

#include "Http1/ConnectionPool.h"
#include "Http1/HttpClientConnection.h"
#include "Http1/RawPeer.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

/// A client connection and a server whose bytes the test writes.
struct ConnectionFixture {
  ConnectionFixture()
      : acceptor(this->io, {asio::ip::make_address("127.0.0.1"), 0}) {
    this->server.Accept(this->acceptor);
    std::string error = "pending";
    this->client->Connect(
        this->acceptor.local_endpoint(), 1s,
        [&error](const std::string& aError) { error = aError; });
    REQUIRE(RunUntil(
        this->io, [&] { return error != "pending" && this->server.accepted; }));
    REQUIRE(error.empty());
  }

  /// Sends a request; only a response with the same id is accepted.
  void Send(const std::string& aId, const std::string& aMethod = "GET") {
    this->client->Send(
        aMethod + " / HTTP/1.1\r\nId: " + aId + "\r\n\r\n", aMethod == "HEAD",
        {.onHead =
             [this, aId](const HttpHead& aHead) {
               return FindHeader(aHead.headers, "id") == aId
                          ? ResponseVerdict::Accept
                          : ResponseVerdict::Skip;
             },
         .onBody = [this](std::string_view aPart) { this->body += aPart; },
         .onDone =
             [this](const ClientExchangeResult& aResult) {
               this->result = aResult;
             }});
    REQUIRE(RunUntil(this->io, [&] {
      return Contains(this->server.received, "Id: " + aId);
    }));
  }
  bool WaitDone() {
    return RunUntil(this->io, [&] { return this->result.has_value(); });
  }

  asio::io_context io{1};
  asio::ip::tcp::acceptor acceptor;
  RawPeer server{this->io};
  std::shared_ptr<HttpClientConnection> client =
      std::make_shared<HttpClientConnection>(this->io);
  std::string body;
  std::optional<ClientExchangeResult> result;
};

std::string Response(const std::string& aId, const std::string& aBody) {
  return "HTTP/1.1 200 OK\r\nId: " + aId +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

}  // namespace

// Guards against a late duplicate response reaching the next request.
TEST_CASE("a response to another request is skipped") {
  ConnectionFixture fixture;
  fixture.Send("b");
  fixture.server.Send(Response("a", "late") + Response("b", "mine"));
  REQUIRE(fixture.WaitDone());
  CHECK(fixture.result->complete);
  CHECK(fixture.body == "mine");
  // More responses to other requests may follow.
  CHECK_FALSE(fixture.result->reusable);
  CHECK_FALSE(fixture.client->IsOpen());
}

struct UnskippableCase {
  const char* what;
  /// Methods of the previous request and of the one in progress.
  const char* before;
  const char* method;
  std::string bytes;
  ResponseFault fault;
};

// Guards against bytes of a skipped response being taken for the next one when
// its end cannot be determined, and against a skipped response that never ends.
TEST_CASE("a response is skipped only if its end is known and near") {
  const std::string mine = Response("b", "mine");
  const std::string unsized = "HTTP/1.1 200 OK\r\nId: a\r\n";
  std::string many;
  for (int i = 0; i < 5; ++i) {
    many += Response("a", "late");
  }
  const std::string large(size_t{2} << 20, 'x');
  std::string interim;
  while (interim.size() < large.size()) {
    interim += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  for (const UnskippableCase& row : std::vector<UnskippableCase>{
           {"in progress: HEAD", "GET", "HEAD", Response("a", "") + mine,
            ResponseFault::Unframed},
           // Without a body, like the first response to the HEAD request.
           {"previous: HEAD", "HEAD", "GET",
            fmt::format("{}Content-Length: 150\r\n\r\n{}", unsized, mine),
            ResponseFault::Unframed},
           {"no length", "GET", "GET", fmt::format("{}\r\n{}", unsized, mine),
            ResponseFault::Unframed},
           {"the last one", "GET", "GET",
            fmt::format("{}Content-Length: 0\r\nConnection: close\r\n\r\n{}",
                        unsized, mine),
            ResponseFault::Unframed},
           {"no body by its status", "GET", "GET",
            "HTTP/1.1 304 Not Modified\r\nId: a\r\nContent-Length: 150\r\n"
            "\r\n" +
                mine,
            ResponseFault::Unframed},
           {"many", "GET", "GET", many + mine, ResponseFault::Malformed},
           {"long", "GET", "GET", Response("a", large),
            ResponseFault::Malformed},
           {"endless", "GET", "GET",
            fmt::format("{}Transfer-Encoding: chunked\r\n\r\n200000\r\n{}",
                        unsized, large),
            ResponseFault::Malformed},
           {"endless interim responses", "GET", "GET", interim,
            ResponseFault::Malformed}}) {
    CAPTURE(std::string(row.what));
    ConnectionFixture fixture;
    fixture.Send("a", row.before);
    fixture.server.Send(std::string_view(row.before) == "HEAD"
                            ? unsized + "Content-Length: 150\r\n\r\n"
                            : Response("a", "first"));
    REQUIRE(fixture.WaitDone());
    REQUIRE(fixture.result->reusable);
    fixture.result.reset();
    fixture.body.clear();
    fixture.Send("b", row.method);
    fixture.server.SendLater(row.bytes);
    REQUIRE(fixture.WaitDone());
    CHECK_FALSE(fixture.result->complete);
    CHECK_FALSE(fixture.result->reusable);
    CHECK(fixture.result->fault == row.fault);
    CHECK(fixture.body.empty());
    CHECK_FALSE(fixture.client->IsOpen());
  }
}

// Guards against waiting for the end of a rejected response.
TEST_CASE("a rejected response ends its exchange immediately") {
  ConnectionFixture fixture;
  fixture.client->Send(
      "GET / HTTP/1.1\r\n\r\n", false,
      {.onHead = [](const HttpHead&) { return ResponseVerdict::Reject; },
       .onBody = [&fixture](std::string_view aPart) { fixture.body += aPart; },
       .onDone =
           [&fixture](const ClientExchangeResult& aResult) {
             fixture.result = aResult;
           }});
  fixture.server.Send(Response("a", "x") + Response("a", "y"));
  REQUIRE(fixture.WaitDone());
  CHECK_FALSE(fixture.result->complete);
  CHECK(fixture.body.empty());
  CHECK_FALSE(fixture.client->IsOpen());
}

// Guards against reuse of a connection after unsolicited bytes.
TEST_CASE("unsolicited bytes close an idle connection") {
  ConnectionFixture fixture;
  fixture.Send("a");
  fixture.server.Send(Response("a", "x"));
  REQUIRE(fixture.WaitDone());
  CHECK(fixture.client->IsIdle());
  fixture.server.Send(Response("a", "again"));
  CHECK(RunUntil(fixture.io, [&] { return !fixture.client->IsOpen(); }));
}

struct TrailingCase {
  const char* what;
  std::string trailing;
};

// Guards against trailing bytes being taken for the response to the next
// request, which onDone may send immediately.
TEST_CASE("trailing bytes after a response do not reach another request") {
  for (const TrailingCase& row : std::vector<TrailingCase>{
           {"the same again", Response("a", "x")},
           {"a response without id",
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
           {"the next response", Response("b", "x")},
           {"a part of a head", "HTTP"},
           {"no response", "garbage\r\n\r\n"},
           {"a line end", "\r\n"}}) {
    CAPTURE(std::string(row.what));
    ConnectionFixture fixture;
    bool secondSent = false;
    bool secondResponded = false;
    fixture.client->Send(
        "GET / HTTP/1.1\r\nId: a\r\n\r\n", false,
        {.onHead = [](const HttpHead&) { return ResponseVerdict::Accept; },
         .onBody = [](std::string_view) {},
         .onDone =
             [&](const ClientExchangeResult& aResult) {
               fixture.result = aResult;
               if (!aResult.reusable) {
                 return;
               }
               secondSent = true;
               fixture.client->Send(
                   "GET / HTTP/1.1\r\nId: b\r\n\r\n", false,
                   {.onHead =
                        [&secondResponded](const HttpHead&) {
                          secondResponded = true;
                          return ResponseVerdict::Accept;
                        },
                    .onBody = [](std::string_view) {},
                    .onDone = [](const ClientExchangeResult&) {}});
             }});
    REQUIRE(
        RunUntil(fixture.io, [&] { return !fixture.server.received.empty(); }));
    fixture.server.Send(Response("a", "x") + row.trailing);
    REQUIRE(fixture.WaitDone());
    CHECK(fixture.result->complete);
    CHECK_FALSE(secondSent);
    CHECK_FALSE(secondResponded);
    CHECK_FALSE(fixture.client->IsOpen());
  }
}

// A server responds before it has read all of a long request, and keeps the
// connection. Guards against the next request being written where the server
// expects the rest of the first one.
TEST_CASE("a response before the end of its request closes the connection") {
  ConnectionFixture fixture;
  fixture.server.Pause();
  // Exceeds the buffers of both sockets.
  const std::string body(size_t{32} << 20, 'x');
  fixture.client->Send(
      "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n\r\n" + body,
      false,
      {.onHead = [](const HttpHead&) { return ResponseVerdict::Accept; },
       .onBody = [](std::string_view) {},
       .onDone =
           [&fixture](const ClientExchangeResult& aResult) {
             fixture.result = aResult;
           }});
  fixture.server.Send(Response("a", "too long"));
  REQUIRE(fixture.WaitDone());
  CHECK(fixture.result->complete);
  CHECK_FALSE(fixture.result->reusable);
  CHECK_FALSE(fixture.client->IsOpen());
  fixture.server.Resume();
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.server.closed; }));
  // Only part of that request arrived.
  CHECK(fixture.server.received.size() < body.size());
  CHECK(fixture.server.received.find("POST", 1) == std::string::npos);
}

struct TruncatedCase {
  const char* what;
  std::string bytes;
  bool complete;
};

// Guards against truncated responses that count as complete.
TEST_CASE("truncated responses are not complete") {
  for (const TruncatedCase& row : std::vector<TruncatedCase>{
           {"no response", "", false},
           {"half a head", "HTTP/1.1 200 O", false},
           {"short body",
            "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nx", false},
           {"malformed response", "garbage\r\n\r\n", false},
           {"body until the close", "HTTP/1.1 200 OK\r\nId: a\r\n\r\nall",
            true}}) {
    CAPTURE(std::string(row.what));
    ConnectionFixture fixture;
    fixture.Send("a");
    if (!row.bytes.empty()) {
      fixture.server.Send(row.bytes);
    }
    fixture.server.Close();
    REQUIRE(fixture.WaitDone());
    CHECK(fixture.result->complete == row.complete);
    CHECK_FALSE(fixture.result->reusable);
    CHECK(fixture.result->sent);
  }
}

// Guards against malformed responses that are not reported to the operator.
TEST_CASE("malformed responses are reported as malformed") {
  for (const std::string bytes :
       {"garbage\r\n\r\n", "HTTP/9 nonsense\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: x\r\n\r\n"}) {
    CAPTURE(bytes);
    ConnectionFixture fixture;
    fixture.Send("a");
    fixture.server.Send(bytes);
    REQUIRE(fixture.WaitDone());
    CHECK_FALSE(fixture.result->complete);
    CHECK(fixture.result->fault == ResponseFault::Malformed);
    CHECK_FALSE(fixture.client->IsOpen());
  }
}

// Guards against a reset that completes a response without a length.
TEST_CASE("a reset does not complete a response without a length") {
  ConnectionFixture fixture;
  fixture.Send("a");
  fixture.server.Send("HTTP/1.1 200 OK\r\nId: a\r\n\r\nall");
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.body == "all"; }));
  fixture.server.Reset();
  REQUIRE(fixture.WaitDone());
  CHECK_FALSE(fixture.result->complete);
}

// Guards against sending a non-idempotent request on a connection that the
// target may have closed.
TEST_CASE("a pool selects connections by their idle time") {
  asio::io_context io{1};
  asio::ip::tcp::acceptor acceptor(io,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  ConnectionPool pool({.io = io, .peer = acceptor.local_endpoint()});
  size_t requests = 0;
  const auto acquire = [&](Duration aMaxIdleTime) {
    ConnectionPool::ConnectionPtr taken;
    bool done = false;
    pool.AcquireFor(
        std::to_string(++requests), aMaxIdleTime,
        [&](ConnectionPool::ConnectionPtr aConnection, const std::string&) {
          taken = std::move(aConnection);
          done = true;
        });
    REQUIRE(RunUntil(io, [&] { return done; }));
    return taken;
  };
  const auto first = acquire(1s);
  pool.Release(first);
  CHECK(acquire(1s) == first);
  pool.Release(first);
  RunUntil(
      io, [] { return false; }, 60ms);
  const auto fresh = acquire(20ms);
  CHECK(fresh != first);
  CHECK(pool.ConnectionsCreated() == 2);
  pool.Release(fresh);
  // The connection with the shortest idle time is used first.
  CHECK(acquire(1s) == fresh);
}

namespace {

/// A pool and the server that it connects to.
struct PoolFixture {
  PoolFixture()
      : acceptor(this->io, {asio::ip::make_address("127.0.0.1"), 0}) {}

  /// Acquires a connection for a request id.
  ConnectionPool::ConnectionPtr Acquire(const std::string& aId) {
    ConnectionPool::ConnectionPtr taken;
    this->pool.AcquireFor(
        aId, 1s,
        [&taken](ConnectionPool::ConnectionPtr aConnection,
                 const std::string&) { taken = std::move(aConnection); });
    REQUIRE(RunUntil(this->io, [&] { return taken != nullptr; }));
    return taken;
  }

  asio::io_context io{1};
  asio::ip::tcp::acceptor acceptor;
  ConnectionPool pool{
      {.io = this->io, .peer = this->acceptor.local_endpoint()}};
};

}  // namespace

// Guards against sending a request without an id on a connection on which a
// response to an earlier request may still arrive.
TEST_CASE("a new connection is created although others are idle") {
  PoolFixture fixture;
  const auto first = fixture.Acquire("a");
  fixture.pool.Release(first);
  ConnectionPool::ConnectionPtr taken;
  fixture.pool.AcquireNew(
      [&taken](ConnectionPool::ConnectionPtr aConnection, const std::string&) {
        taken = std::move(aConnection);
      });
  REQUIRE(RunUntil(fixture.io, [&] { return taken != nullptr; }));
  CHECK(taken != first);
}

// Guards against a late response to a request being taken for the response to
// its retry.
TEST_CASE("a request id is sent only once on a connection") {
  PoolFixture fixture;
  const auto first = fixture.Acquire("a");
  fixture.pool.Release(first);
  CHECK(fixture.Acquire("b") == first);
  fixture.pool.Release(first);
  const auto second = fixture.Acquire("a");
  CHECK(second != first);
  CHECK(fixture.pool.ConnectionsCreated() == 2);
  // The replaced connection is closed, so that idle ones do not accumulate.
  CHECK_FALSE(first->IsOpen());
  // A connection on which the id was not sent is preferred to one with a
  // shorter idle time.
  const auto other = fixture.Acquire("b");
  fixture.pool.Release(other);
  fixture.pool.Release(second);
  CHECK(fixture.Acquire("a") == other);
  CHECK(second->IsOpen());
}

// Guards against request ids that accumulate without bound, or are discarded,
// on a long-lived connection.
TEST_CASE("a connection is closed when its request ids reach the limit") {
  PoolFixture fixture;
  const auto first = fixture.Acquire("0");
  for (size_t i = 1; i < SentRequestIds::kMax; ++i) {
    fixture.pool.Release(first);
    REQUIRE(fixture.Acquire(std::to_string(i)) == first);
  }
  fixture.pool.Release(first);
  CHECK_FALSE(first->IsOpen());
  CHECK(fixture.Acquire("next") != first);
}

// Guards against sending requests for a target on connections to the previous
// one that were in use, or being established, when the target changed.
TEST_CASE("a connection to a previous server does not return to the pool") {
  PoolFixture fixture;
  const auto idle = fixture.Acquire("a");
  const auto inUse = fixture.Acquire("b");
  ConnectionPool::ConnectionPtr pending;
  fixture.pool.AcquireFor(
      "c", 1s,
      [&pending](ConnectionPool::ConnectionPtr aConnection,
                 const std::string&) { pending = std::move(aConnection); });
  fixture.pool.Release(idle);
  fixture.pool.Clear();
  CHECK_FALSE(idle->IsOpen());
  REQUIRE(RunUntil(fixture.io, [&] { return pending != nullptr; }));
  for (const auto& former : {inUse, pending}) {
    fixture.pool.Release(former);
    CHECK_FALSE(former->IsOpen());
  }
  const auto fresh = fixture.Acquire("d");
  fixture.pool.Release(fresh);
  CHECK(fixture.Acquire("e") == fresh);
}

// Guards against callers that wait for a target that is not running.
TEST_CASE("a connection that is refused is reported") {
  asio::io_context io{1};
  uint16_t port = 0;
  {
    asio::ip::tcp::acceptor closed(io,
                                   {asio::ip::make_address("127.0.0.1"), 0});
    port = closed.local_endpoint().port();
  }
  ConnectionPool pool(
      {.io = io, .peer = {asio::ip::make_address("127.0.0.1"), port}});
  std::string error;
  pool.AcquireFor("a", 1s,
                  [&](const ConnectionPool::ConnectionPtr& aConnection,
                      const std::string& aError) {
                    CHECK(aConnection == nullptr);
                    error = aError;
                  });
  CHECK(RunUntil(io, [&] { return !error.empty(); }));
}
