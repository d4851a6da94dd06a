#include <doctest/doctest.h>
#include <fmt/format.h>

#include <vector>

#include "Http1/ConnectionPool.h"
#include "Http1/HttpClientConnection.h"
#include "Http1/LoopPeer.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

/// A client connection and the server that the test plays.
struct Pair {
  Pair() : acceptor(this->io, {asio::ip::make_address("127.0.0.1"), 0}) {
    this->server.Accept(this->acceptor);
    std::string error = "pending";
    this->client->Connect(
        this->acceptor.local_endpoint(), 1s,
        [&error](const std::string& aError) { error = aError; });
    REQUIRE(RunUntil(
        this->io, [&] { return error != "pending" && this->server.accepted; }));
    REQUIRE(error.empty());
  }

  /// Sends a request; the answer must carry the id to be accepted.
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

std::string Answer(const std::string& aId, const std::string& aBody) {
  return "HTTP/1.1 200 OK\r\nId: " + aId +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

}  // namespace

// Guards against a late second answer reaching the next request.
TEST_CASE("an answer of another request is skipped") {
  Pair pair;
  pair.Send("b");
  pair.server.Send(Answer("a", "late") + Answer("b", "mine"));
  REQUIRE(pair.WaitDone());
  CHECK(pair.result->complete);
  CHECK(pair.body == "mine");
  // The server is out of step: more answers of other requests may follow.
  CHECK_FALSE(pair.result->reusable);
  CHECK_FALSE(pair.client->IsOpen());
}

struct UnskippableCase {
  const char* what;
  /// Method of the request before, and of the one in progress.
  const char* before;
  const char* method;
  std::string bytes;
  ResponseFault fault;
};

// Guards against bytes of a skipped response that are taken for the next one:
// its end must be certain. And against a response to skip that never ends.
TEST_CASE("an answer is skipped only where its end is certain and near") {
  const std::string mine = Answer("b", "mine");
  const std::string unsized = "HTTP/1.1 200 OK\r\nId: a\r\n";
  std::string many;
  for (int i = 0; i < 5; ++i) {
    many += Answer("a", "late");
  }
  const std::string large(size_t{2} << 20, 'x');
  std::string interim;
  while (interim.size() < large.size()) {
    interim += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  for (const UnskippableCase& row : std::vector<UnskippableCase>{
           {"in progress: HEAD", "GET", "HEAD", Answer("a", "") + mine,
            ResponseFault::Unframed},
           // Without its body, as the server wrote it first.
           {"before: HEAD", "HEAD", "GET",
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
           {"long", "GET", "GET", Answer("a", large), ResponseFault::Malformed},
           {"endless", "GET", "GET",
            fmt::format("{}Transfer-Encoding: chunked\r\n\r\n200000\r\n{}",
                        unsized, large),
            ResponseFault::Malformed},
           {"endless interim answers", "GET", "GET", interim,
            ResponseFault::Malformed}}) {
    CAPTURE(std::string(row.what));
    Pair pair;
    pair.Send("a", row.before);
    pair.server.Send(std::string_view(row.before) == "HEAD"
                         ? unsized + "Content-Length: 150\r\n\r\n"
                         : Answer("a", "first"));
    REQUIRE(pair.WaitDone());
    REQUIRE(pair.result->reusable);
    pair.result.reset();
    pair.body.clear();
    pair.Send("b", row.method);
    pair.server.SendLater(row.bytes);
    REQUIRE(pair.WaitDone());
    CHECK_FALSE(pair.result->complete);
    CHECK_FALSE(pair.result->reusable);
    CHECK(pair.result->fault == row.fault);
    CHECK(pair.body.empty());
    CHECK_FALSE(pair.client->IsOpen());
  }
}

// Guards against a broken response that is waited through.
TEST_CASE("a rejected response ends its exchange at once") {
  Pair pair;
  pair.client->Send(
      "GET / HTTP/1.1\r\n\r\n", false,
      {.onHead = [](const HttpHead&) { return ResponseVerdict::Reject; },
       .onBody = [&pair](std::string_view aPart) { pair.body += aPart; },
       .onDone =
           [&pair](const ClientExchangeResult& aResult) {
             pair.result = aResult;
           }});
  pair.server.Send(Answer("a", "x") + Answer("a", "y"));
  REQUIRE(pair.WaitDone());
  CHECK_FALSE(pair.result->complete);
  CHECK(pair.body.empty());
  CHECK_FALSE(pair.client->IsOpen());
}

// Guards against reuse of a connection on which bytes belong to no request.
TEST_CASE("bytes while the connection rests close it") {
  Pair pair;
  pair.Send("a");
  pair.server.Send(Answer("a", "x"));
  REQUIRE(pair.WaitDone());
  CHECK(pair.client->IsIdle());
  pair.server.Send(Answer("a", "again"));
  CHECK(RunUntil(pair.io, [&] { return !pair.client->IsOpen(); }));
}

struct SurplusCase {
  const char* what;
  std::string trailing;
};

// Guards against bytes behind a response that reach the next request: its
// owner may send that one as soon as it hears of the end.
TEST_CASE("bytes behind a response reach no other request") {
  for (const SurplusCase& row : std::vector<SurplusCase>{
           {"the same again", Answer("a", "x")},
           {"a response without id",
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
           {"the next response", Answer("b", "x")},
           {"a part of a head", "HTTP"},
           {"no response", "garbage\r\n\r\n"},
           {"a line end", "\r\n"}}) {
    CAPTURE(std::string(row.what));
    Pair pair;
    bool reused = false;
    bool answered = false;
    pair.client->Send(
        "GET / HTTP/1.1\r\nId: a\r\n\r\n", false,
        {.onHead = [](const HttpHead&) { return ResponseVerdict::Accept; },
         .onBody = [](std::string_view) {},
         .onDone =
             [&](const ClientExchangeResult& aResult) {
               pair.result = aResult;
               if (!aResult.reusable) {
                 return;
               }
               reused = true;
               pair.client->Send(
                   "GET / HTTP/1.1\r\nId: b\r\n\r\n", false,
                   {.onHead =
                        [&answered](const HttpHead&) {
                          answered = true;
                          return ResponseVerdict::Accept;
                        },
                    .onBody = [](std::string_view) {},
                    .onDone = [](const ClientExchangeResult&) {}});
             }});
    REQUIRE(RunUntil(pair.io, [&] { return !pair.server.received.empty(); }));
    pair.server.Send(Answer("a", "x") + row.trailing);
    REQUIRE(pair.WaitDone());
    CHECK(pair.result->complete);
    CHECK_FALSE(reused);
    CHECK_FALSE(answered);
    CHECK_FALSE(pair.client->IsOpen());
  }
}

// Guards against a next request that is written where the rest of a long one
// is due: the server answers early, keeps the connection and reads on later.
TEST_CASE("a response before the end of its request ends the connection") {
  Pair pair;
  pair.server.Pause();
  // More than the buffers of both sockets hold.
  const std::string body(size_t{32} << 20, 'x');
  pair.client->Send(
      "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n\r\n" + body,
      false,
      {.onHead = [](const HttpHead&) { return ResponseVerdict::Accept; },
       .onBody = [](std::string_view) {},
       .onDone =
           [&pair](const ClientExchangeResult& aResult) {
             pair.result = aResult;
           }});
  pair.server.Send(Answer("a", "too long"));
  REQUIRE(pair.WaitDone());
  CHECK(pair.result->complete);
  CHECK_FALSE(pair.result->reusable);
  CHECK_FALSE(pair.client->IsOpen());
  pair.server.Resume();
  REQUIRE(RunUntil(pair.io, [&] { return pair.server.closed; }));
  // Nothing but a part of that request arrived.
  CHECK(pair.server.received.size() < body.size());
  CHECK(pair.server.received.find("POST", 1) == std::string::npos);
}

struct BrokenCase {
  const char* what;
  std::string bytes;
  bool complete;
};

// Guards against broken answers that count as complete.
TEST_CASE("answers that break off are not whole") {
  for (const BrokenCase& row : std::vector<BrokenCase>{
           {"no answer", "", false},
           {"half a head", "HTTP/1.1 200 O", false},
           {"short body",
            "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nx", false},
           {"no answer at all", "garbage\r\n\r\n", false},
           {"until the end", "HTTP/1.1 200 OK\r\nId: a\r\n\r\nall", true}}) {
    CAPTURE(std::string(row.what));
    Pair pair;
    pair.Send("a");
    if (!row.bytes.empty()) {
      pair.server.Send(row.bytes);
    }
    pair.server.Close();
    REQUIRE(pair.WaitDone());
    CHECK(pair.result->complete == row.complete);
    CHECK_FALSE(pair.result->reusable);
    CHECK(pair.result->sent);
  }
}

// Guards against bytes that are no response unseen by the operator.
TEST_CASE("bytes that are no response are reported as such") {
  for (const std::string bytes :
       {"garbage\r\n\r\n", "HTTP/9 nonsense\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: x\r\n\r\n"}) {
    CAPTURE(bytes);
    Pair pair;
    pair.Send("a");
    pair.server.Send(bytes);
    REQUIRE(pair.WaitDone());
    CHECK_FALSE(pair.result->complete);
    CHECK(pair.result->fault == ResponseFault::Malformed);
    CHECK_FALSE(pair.client->IsOpen());
  }
}

// Guards against a reset that completes a response without a length.
TEST_CASE("a reset does not complete a response without a length") {
  Pair pair;
  pair.Send("a");
  pair.server.Send("HTTP/1.1 200 OK\r\nId: a\r\n\r\nall");
  REQUIRE(RunUntil(pair.io, [&] { return pair.body == "all"; }));
  pair.server.Reset();
  REQUIRE(pair.WaitDone());
  CHECK_FALSE(pair.result->complete);
}

// Guards against payments on a connection that the target has forgotten.
TEST_CASE("a pool hands out connections by the time they rested") {
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
  CHECK(pool.Made() == 2);
  pool.Release(fresh);
  // The one that rested least is taken first.
  CHECK(acquire(1s) == fresh);
}

namespace {

/// A pool and the server that its connections lead to.
struct PoolWorld {
  PoolWorld() : acceptor(this->io, {asio::ip::make_address("127.0.0.1"), 0}) {}

  /// The connection that the pool hands out for a request.
  ConnectionPool::ConnectionPtr Take(const std::string& aId) {
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

// Guards against a request without an identifier on a connection on which an
// earlier response may still come.
TEST_CASE("a new connection is handed out although others rest") {
  PoolWorld world;
  const auto first = world.Take("a");
  world.pool.Release(first);
  ConnectionPool::ConnectionPtr taken;
  world.pool.AcquireNew(
      [&taken](ConnectionPool::ConnectionPtr aConnection, const std::string&) {
        taken = std::move(aConnection);
      });
  REQUIRE(RunUntil(world.io, [&] { return taken != nullptr; }));
  CHECK(taken != first);
}

// Guards against a late response to a request that is taken for that to the
// same request sent again.
TEST_CASE("a request identifier goes out once on a connection") {
  PoolWorld world;
  const auto first = world.Take("a");
  world.pool.Release(first);
  CHECK(world.Take("b") == first);
  world.pool.Release(first);
  const auto second = world.Take("a");
  CHECK(second != first);
  CHECK(world.pool.Made() == 2);
  // Nothing else could use it, and one is idle for each that is in use.
  CHECK_FALSE(first->IsOpen());
  // One that has not carried it is preferred to one that rested less.
  const auto other = world.Take("b");
  world.pool.Release(other);
  world.pool.Release(second);
  CHECK(world.Take("a") == other);
  CHECK(second->IsOpen());
}

// Guards against identifiers that pile up, or are forgotten, on a connection
// that lives long.
TEST_CASE("a connection ends before it forgets a request") {
  PoolWorld world;
  const auto first = world.Take("0");
  for (size_t i = 1; i < CarriedIds::kMax; ++i) {
    world.pool.Release(first);
    REQUIRE(world.Take(std::to_string(i)) == first);
  }
  world.pool.Release(first);
  CHECK_FALSE(first->IsOpen());
  CHECK(world.Take("next") != first);
}

// Guards against requests to a target on the connections of the one before it:
// they were in use, or being made, when it changed.
TEST_CASE("a connection to a former server does not return to the pool") {
  PoolWorld world;
  const auto idle = world.Take("a");
  const auto inUse = world.Take("b");
  ConnectionPool::ConnectionPtr pending;
  world.pool.AcquireFor(
      "c", 1s,
      [&pending](ConnectionPool::ConnectionPtr aConnection,
                 const std::string&) { pending = std::move(aConnection); });
  world.pool.Release(idle);
  world.pool.Clear();
  CHECK_FALSE(idle->IsOpen());
  REQUIRE(RunUntil(world.io, [&] { return pending != nullptr; }));
  for (const auto& former : {inUse, pending}) {
    world.pool.Release(former);
    CHECK_FALSE(former->IsOpen());
  }
  const auto fresh = world.Take("d");
  world.pool.Release(fresh);
  CHECK(world.Take("e") == fresh);
}

// Guards against a target that is gone holding up its callers.
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
