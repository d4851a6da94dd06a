#include <doctest/doctest.h>

#include <vector>

#include "Transport/HttpFixtures.h"

using namespace fescueline;
using namespace fescueline::test;

// Guards against a broken response that reaches the caller as a whole one.
TEST_CASE("a response that breaks off is seen as broken") {
  struct Row {
    const char* name;
    std::optional<uint64_t> length;
    bool whole;
  };
  const std::vector<Row> rows = {{"length, whole", 10, true},
                                 {"length, broken", 20, false},
                                 {"chunked, whole", std::nullopt, true},
                                 {"chunked, broken", std::nullopt, false}};
  Pool pool;
  Row current{};
  HttpServer server(
      {.io = pool.io,
       .host = "127.0.0.1",
       .onRequest = [&current](HttpExchangePtr aExchange) {
         aExchange->StartStream(200, {{"x-a", "b"}}, current.length);
         aExchange->Write("0123456789", {});
         aExchange->EndStream(current.whole);
       }});
  HttpClient client;
  for (const Row& row : rows) {
    CAPTURE(row.name);
    current = row;
    const Answer answer = Fetch(client, {.url = Url(server, "/")});
    CHECK(answer.status == 200);
    CHECK(answer.body == "0123456789");
    CHECK(answer.result.whole == row.whole);
  }
}
