#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "Http1/LoopHttpServer.h"
#include "Http1/RawPeer.h"
#include "Log/Log.h"
#include "ReportDecoder.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace fescueline::platform;

// Guards against applying a truncated report or deregistration, in which a
// truncated identifier or start time names another target.
TEST_CASE("a report truncated at any byte is ignored") {
  DisableLog();
  const std::string body =
      R"({"address":"10.0.0.9:1","born":17,"info":{"service":"s","slots":4},)"
      R"("status":{"state":"draining","sequence":4}})";
  const std::string leave = R"({"born":17})";
  const std::string head = " HTTP/1.1\r\nHost: n\r\n";
  struct Row {
    const char* name;
    std::string call;
  };
  for (const Row& row : std::vector<Row>{
           {"report", "POST /v1/Instances.Heartbeat/i-7" + head +
                          "Content-Length: " + std::to_string(body.size()) +
                          "\r\n\r\n" + body},
           {"report in chunks", "POST /v1/Instances.Heartbeat/i-7" + head +
                                    "Transfer-Encoding: chunked\r\n\r\n6e\r\n" +
                                    body + "\r\n0\r\n\r\n"},
           {"leave", "POST /v1/Instances.Deregister/i-7" + head + "\r\n"},
           {"leave of a process", "POST /v1/Instances.Deregister/i-7" + head +
                                      "Content-Length: 11\r\n\r\n" + leave}}) {
    CAPTURE(std::string(row.name));
    asio::io_context io{1};
    size_t calls = 0;
    ReportKind kind = ReportKind::Malformed;
    LoopHttpServer server({.io = io,
                           .host = "127.0.0.1",
                           .onRequest = [&](const HttpExchangePtr& aExchange) {
                             ++calls;
                             kind = DecodeReport(aExchange->Request()).kind;
                             aExchange->Respond({.status = 200});
                           }});
    server.Start();
    for (size_t size = 1; size <= row.call.size(); ++size) {
      CAPTURE(size);
      asio::ip::tcp::socket target(io);
      target.connect({asio::ip::address_v4::loopback(), server.Port()});
      asio::write(target, asio::buffer(row.call.substr(0, size)));
      if (size < row.call.size()) {
        target.shutdown(asio::ip::tcp::socket::shutdown_send);
        std::string answer;
        bool closed = false;
        asio::async_read(
            target, asio::dynamic_buffer(answer),
            [&closed](const asio::error_code&, size_t) { closed = true; });
        CHECK(RunUntil(io, [&closed] { return closed; }));
        CHECK(calls == 0);
      } else {
        CHECK(RunUntil(io, [&calls] { return calls == 1; }));
        CHECK(kind != ReportKind::Malformed);
      }
    }
  }
}
