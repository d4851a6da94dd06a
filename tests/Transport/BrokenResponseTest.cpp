#include <doctest/doctest.h>

#include <vector>

#include "Transport/HttpFixtures.h"

using namespace fescueline;
using namespace fescueline::test;

// Guards against a broken response that reaches the caller as a whole one.
TEST_CASE("a response that breaks off is seen as broken") {
  struct Row {
    std::string name;
    std::optional<uint64_t> length;
    bool whole;
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
                       // The client has a whole response after Write, and the
                       // next row may begin before EndStream.
                       const Row row = current;
                       aExchange->StartStream(200, {{"x-a", "b"}}, row.length);
                       aExchange->Write("0123456789", {});
                       aExchange->EndStream(row.whole);
                     }});
  HttpClient client;
  for (const Row& row : rows) {
    CAPTURE(row.name);
    current = row;
    const Answer answer = Fetch(client, {.url = Url(server, "/")});
    CAPTURE(answer.result.error);
    CHECK(answer.status == 200);
    CHECK(answer.body == "0123456789");
    CHECK(answer.result.whole == row.whole);
  }
}
