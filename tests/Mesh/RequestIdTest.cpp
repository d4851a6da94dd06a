#include "Mesh/TargetPath.h"

using namespace fescueline;
using namespace fescueline::test;

// A request has two identifiers and its target echoes the first. Guards against
// attributing the response to another request, so that the caller waits until
// the deadline.
TEST_CASE("a request with two identifiers is identified by the first one") {
  TargetPath path([](TargetConnection& aConnection, const std::string&) {
    aConnection.Send(
        "HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: 2\r\n\r\nok");
  });
  RawPeer& caller = path.NewCaller();
  caller.Send(TargetPath::Request("GET", "/once/", "first",
                                  "X-Id: second\r\nX-Timeout: 500\r\n"));
  REQUIRE(RunUntil(path.io, [&caller] {
    return ReceivedResponse::Of(caller.received, false, false).complete;
  }));
  CHECK(ReceivedResponse::Of(caller.received, false, false).status == 200);
}
