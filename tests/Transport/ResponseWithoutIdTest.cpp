#include <doctest/doctest.h>

#include <vector>

#include "Transport/HttpFixtures.h"
#include "Transport/IdentifiedRequest.h"

using namespace fescueline;
using namespace fescueline::test;

namespace {
/// Response that echoes the request id. X-Of identifies the request for the
/// checks.
std::string OwnResponse(const std::string& aId) {
  return "HTTP/1.1 200 OK\r\nX-Attempt: " + aId + "\r\nX-Of: " + aId +
         "\r\nContent-Length: 3\r\n\r\n" + aId;
}
}  // namespace

// A response without a request id, or the start of one, arrives in place of the
// second response on a reused connection. Guards against accepting it: a body
// of another request, or a refusal of a request that runs.
TEST_CASE("a reused connection accepts no response without a request id") {
  struct Row {
    const char* name;
    std::string extra;
  };
  for (const Row& row : std::vector<Row>{
           {"success",
            "HTTP/1.1 200 OK\r\nX-Of: other\r\nContent-Length: 2\r\n\r\nok"},
           {"refusal",
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
           {"part of a refusal", "HTTP/1.1 503 Service Unavail"},
           {"part of a field", "HTTP/1.1 200 OK\r\nX-Of: oth"}}) {
    CAPTURE(std::string(row.name));
    const ScriptedPeer server([&](const ScriptedPeer::Turn& aTurn) {
      aTurn.Send((aTurn.request > 0 ? row.extra : "") +
                 OwnResponse(aTurn.Header(kIdHeader)));
    });
    HttpClient client;
    CHECK(Fetch(client, IdentifiedRequest(server, "one")).result.complete);
    const FetchResult second = Fetch(client, IdentifiedRequest(server, "two"));
    CHECK(server.Connections() == 1);
    CAPTURE(second.status);
    CAPTURE(second.body);
    CAPTURE(second.result.error);
    if (second.result.complete) {
      CHECK(second.status == 200);
      CHECK(second.body == "two");
      CHECK(FindHeader(second.headers, "x-of") == "two");
    }
  }
}
