#include "Mesh/TargetPath.h"

using namespace fescueline;
using namespace fescueline::test;

// Pattern: a request has two identifiers, and its target echoes the first.
// Guards against a response that is taken for another request's, so that its
// caller waits until the deadline.
TEST_CASE("a request with two identifiers goes by the first one") {
  TargetPath path([](TargetConnection& aConnection, const std::string&) {
    aConnection.Send(
        "HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: 2\r\n\r\nok");
  });
  RawPeer& caller = path.NewCaller();
  caller.Send(TargetPath::Request("GET", "/once/", "first",
                                  "X-Id: second\r\nX-Timeout: 500\r\n"));
  REQUIRE(RunUntil(path.io, [&caller] {
    return SeenResponse::Of(caller.received, false, false).whole;
  }));
  CHECK(SeenResponse::Of(caller.received, false, false).status == 200);
}
