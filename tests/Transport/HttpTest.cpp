#include <doctest/doctest.h>

#include <asio.hpp>
#include <future>
#include <thread>

#include "Transport/HttpFixtures.h"

using namespace fescueline;
using namespace fescueline::test;

namespace {

/// Accepts connections, responds to the first request on each and closes the
/// connection without a response when a second request arrives.
class ClosingServer {
 public:
  ClosingServer()
      : acceptor(this->io, {asio::ip::make_address("127.0.0.1"), 0}),
        thread([this] { this->Run(); }) {}
  ~ClosingServer() {
    this->stopping = true;
    asio::error_code ignored;
    asio::ip::tcp::socket wake(this->io);
    wake.connect(this->acceptor.local_endpoint(), ignored);
    wake.close(ignored);
    this->thread.join();
  }
  std::string Url() {
    return "http://127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port()) + "/";
  }
  int Requests() const { return this->requests; }

 private:
  void Run() {
    while (!this->stopping) {
      asio::ip::tcp::socket socket(this->io);
      asio::error_code error;
      this->acceptor.accept(socket, error);
      if (!error && this->ReadRequest(socket)) {
        asio::write(socket,
                    asio::buffer(std::string(
                        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")),
                    error);
        this->ReadRequest(socket);
      }
    }
  }

  bool ReadRequest(asio::ip::tcp::socket& aSocket) {
    std::string text;
    asio::error_code error;
    asio::read_until(aSocket, asio::dynamic_buffer(text), "\r\n\r\n", error);
    this->requests += error ? 0 : 1;
    return !error;
  }

  asio::io_context io;
  asio::ip::tcp::acceptor acceptor;
  std::atomic<bool> stopping{false};
  std::atomic<int> requests{0};
  std::thread thread;
};

}  // namespace

// Guards against libcurl's automatic retry, which would run a request twice.
TEST_CASE("a request on a reused connection that closes is not sent again") {
  ClosingServer server;
  HttpClient client;
  CHECK(Fetch(client, {.url = server.Url()}).status == 200);
  const FetchResult second =
      Fetch(client, {.url = server.Url(), .method = "POST", .body = "x"});
  CHECK_FALSE(second.result.complete);
  CHECK(second.result.mayHaveBeenSent);
  CHECK(server.Requests() == 2);
}

// Guards against the outcome "not run" for a request that was sent, and the
// reverse.
TEST_CASE("a refused connection is reported as not sent") {
  HttpClient client;
  const FetchResult fetched = Fetch(client, {.url = "http://127.0.0.1:1/"});
  CHECK_FALSE(fetched.result.complete);
  CHECK_FALSE(fetched.result.mayHaveBeenSent);
}

// Guards against work that continues after its caller has disconnected.
TEST_CASE("a handler is notified when the caller disconnects") {
  Pool pool;
  std::promise<void> aborted;
  HttpExchangePtr held;
  std::promise<void> arrived;
  HttpServer server({.io = pool.io,
                     .host = "127.0.0.1",
                     .onRequest = [&](HttpExchangePtr aExchange) {
                       held = std::move(aExchange);
                       held->OnAbort([&] { aborted.set_value(); });
                       arrived.set_value();
                     }});
  HttpClient client;
  const uint64_t transfer = client.Start(
      {.url = Url(server, "/")}, {.onHead = [](int, HttpHeaders, int64_t) {},
                                  .onData = [](std::string) {},
                                  .onDone = [](const HttpTransferResult&) {}});
  arrived.get_future().wait();
  client.Cancel(transfer);
  CHECK(aborted.get_future().wait_for(std::chrono::seconds(10)) ==
        std::future_status::ready);
  held.reset();
}

// Guards against unbounded buffering when the receiver is slow.
TEST_CASE("a transfer stops at its credit and continues with more") {
  constexpr size_t kBody = 4 * 1024 * 1024;
  Pool pool;
  HttpServer server({.io = pool.io,
                     .host = "127.0.0.1",
                     .onRequest = [](HttpExchangePtr aExchange) {
                       aExchange->Respond({.status = 200,
                                           .headers = {},
                                           .body = std::string(kBody, 'x')});
                     }});
  HttpClient client;
  std::atomic<size_t> received{0};
  std::promise<HttpTransferResult> done;
  const uint64_t transfer = client.Start(
      {.url = Url(server, "/"), .credit = 100'000},
      {.onHead = [](int, HttpHeaders, int64_t) {},
       .onData = [&](std::string aData) { received += aData.size(); },
       .onDone =
           [&](const HttpTransferResult& aResult) {
             done.set_value(aResult);
           }});
  auto finished = done.get_future();
  CHECK(finished.wait_for(std::chrono::milliseconds(300)) ==
        std::future_status::timeout);
  CHECK(received < 200'000);
  client.Credit(transfer, kBody);
  CHECK(finished.get().complete);
  CHECK(received == kBody);
}

// Guards against request smuggling through an ambiguous body length.
TEST_CASE("conflicting framing is rejected") {
  Pool pool;
  std::atomic<int> handled{0};
  HttpServer server({.io = pool.io,
                     .host = "127.0.0.1",
                     .onRequest = [&](HttpExchangePtr aExchange) {
                       handled++;
                       aExchange->Respond({});
                     }});
  const std::vector<std::string> requests = {
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
      "Content-Length: 4\r\n\r\nabcd"};
  for (const std::string& request : requests) {
    CAPTURE(request);
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), server.Port()});
    asio::write(socket, asio::buffer(request));
    std::string reply;
    asio::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(reply), "\r\n", error);
    CHECK((reply.empty() || reply.starts_with("HTTP/1.1 400")));
  }
  CHECK(handled == 0);
}

// Guards against a deadlock: RESTinio closes the connection within the call
// that writes, and reports the close. A lock held during that call would block
// the worker thread, and with it the listener.
TEST_CASE("a stream that ends after its last write closes the connection") {
  Pool pool;
  HttpServer server({.io = pool.io,
                     .host = "127.0.0.1",
                     .port = 0,
                     .onRequest = [&pool](HttpExchangePtr aExchange) {
                       const bool complete = aExchange->Request().target == "/";
                       aExchange->OnAbort([] {});
                       aExchange->StartStream(200, {}, complete ? 5 : 10);
                       // EndStream runs after the write has completed, so that
                       // it closes the connection immediately.
                       aExchange->Write("12345", [&pool, aExchange, complete] {
                         asio::post(pool.io, [aExchange, complete] {
                           aExchange->EndStream(complete);
                         });
                       });
                     }});
  HttpClient client;
  struct Row {
    std::string path;
    HttpHeaders headers;
    bool complete;
  };
  const std::vector<Row> rows = {{"/broken", {}, false},
                                 {"/", {{"Connection", "close"}}, true},
                                 {"/", {}, true}};
  for (const Row& row : rows) {
    CAPTURE(row.path);
    const FetchResult fetched =
        Fetch(client, {.url = Url(server, row.path),
                       .headers = row.headers,
                       .timeout = std::chrono::seconds(5)});
    CHECK(fetched.status == 200);
    CHECK(fetched.body == "12345");
    CHECK(fetched.result.complete == row.complete);
  }
}

namespace {
/// Sends bytes on one connection and returns everything received until the
/// server closes it.
std::string Exchange(uint16_t aPort, const std::string& aBytes) {
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::make_address("127.0.0.1"), aPort});
  asio::write(socket, asio::buffer(aBytes));
  std::string reply;
  asio::error_code ignored;
  asio::read(socket, asio::dynamic_buffer(reply), ignored);
  return reply;
}
}  // namespace

// Guards against a body where the caller expects none and would take the bytes
// for the start of the next response.
TEST_CASE("a response that must not have a body is sent without one") {
  struct Row {
    const char* name;
    std::string method;
    int status;
    std::string framing;
  };
  Pool pool;
  int status = 200;
  HttpServer server({.io = pool.io,
                     .host = "127.0.0.1",
                     .onRequest = [&status](HttpExchangePtr aExchange) {
                       const bool first = aExchange->Request().target == "/1";
                       aExchange->Respond({.status = first ? status : 200,
                                           .headers = {{"X-A", "b"}},
                                           .body = "text"});
                     }});
  for (const Row& row :
       std::vector<Row>{{"HEAD", "HEAD", 200, "Content-Length: 4\r\n"},
                        {"refused HEAD", "HEAD", 503, "Content-Length: 4\r\n"},
                        {"204", "GET", 204, ""},
                        {"304", "GET", 304, ""}}) {
    CAPTURE(std::string(row.name));
    status = row.status;
    const std::string reply =
        Exchange(server.Port(), row.method +
                                    " /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                                    "GET /2 HTTP/1.1\r\nHost: a\r\n"
                                    "Connection: close\r\n\r\n");
    CAPTURE(reply);
    const size_t end = reply.find("\r\n\r\n");
    REQUIRE(end != std::string::npos);
    const std::string head = reply.substr(0, end + 2);
    CHECK(head.starts_with("HTTP/1.1 " + std::to_string(row.status)));
    CHECK(head.find("X-A: b\r\n") != std::string::npos);
    if (row.framing.empty()) {
      CHECK(head.find("Content-Length") == std::string::npos);
    } else {
      CHECK(head.find(row.framing) != std::string::npos);
    }
    const std::string next = reply.substr(end + 4);
    CHECK(next.starts_with("HTTP/1.1 200"));
    CHECK(next.ends_with("text"));
  }
}

// A caller sends an endless part of a request at full speed. Guards against
// unbounded memory and processor time for one request.
TEST_CASE("an endless request closes its connection") {
  struct Row {
    const char* name;
    std::string begin;
    std::string piece;
  };
  constexpr size_t kMaxRead = size_t{16} << 20;
  const std::string text(size_t{16} * 1024, 'x');
  const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  Pool pool;
  HttpServer server(
      {.io = pool.io,
       .host = "127.0.0.1",
       .onRequest = [](HttpExchangePtr aExchange) { aExchange->Respond({}); }});
  for (const Row& row :
       std::vector<Row>{{"empty lines", "", "\r\n\r\n\r\n\r\n"},
                        {"a method", "", "POST"},
                        {"a target", "GET /", text},
                        {"a version", "GET / HTTP/1.", "11111111"},
                        {"a name of a field", head, text},
                        {"a value of a field", head + "A: ", text},
                        {"fields", head, "A: b\r\nC: d\r\n"},
                        {"a body with a length",
                         head + "Content-Length: 1000000000000\r\n\r\n", text},
                        {"chunks", chunked, "4000\r\n" + text + "\r\n"},
                        {"tiny chunks", chunked, "1\r\nx\r\n1\r\nx\r\n"},
                        {"the size of a chunk", chunked, "00000000"},
                        {"an extension of a chunk", chunked + "1;", text},
                        {"trailers", chunked + "0\r\n", "A: b\r\nC: d\r\n"}}) {
    CAPTURE(std::string(row.name));
    asio::io_context io{1};
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), server.Port()});
    std::string piece = row.piece;
    while (piece.size() < text.size()) {
      piece += row.piece;
    }
    asio::write(socket, asio::buffer(row.begin));
    size_t written = 0;
    bool closed = false;
    std::function<void()> write = [&] {
      asio::async_write(socket, asio::buffer(piece),
                        [&](const asio::error_code& aError, size_t aSize) {
                          written += aSize;
                          closed = !!aError;
                          if (!closed && written < 2 * kMaxRead) {
                            write();
                          }
                        });
    };
    write();
    io.run_for(std::chrono::seconds(3));
    CHECK(closed);
    CHECK(written < kMaxRead);
  }
}
