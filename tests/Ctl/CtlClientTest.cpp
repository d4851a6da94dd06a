#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "Ctl/CtlClient.h"
#include "Transport/ScriptedPeer.h"

using namespace fescueline;
using namespace fescueline::test;

// Guards against a change that is reported as accepted, refused or in conflict
// because of a truncated response.
TEST_CASE("a response truncated at any byte counts as lost") {
  for (const std::string& complete : std::vector<std::string>{
           "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n",
           "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}",
           "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
           "2\r\n{}\r\n0\r\n\r",
           "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n",
           "HTTP/1.1 412 X\r\nContent-Length: 0\r\n\r\n"}) {
    CAPTURE(complete);
    for (size_t size = 0; size < complete.size(); ++size) {
      CAPTURE(size);
      const ScriptedPeer node([&](const ScriptedPeer::Turn& aTurn) {
        aTurn.Send(complete.substr(0, size));
        aTurn.Close();
      });
      const CtlClient client({.url = node.Url(""),
                              .credential = Secret("c"),
                              .timeout = std::chrono::seconds(5)});
      const CtlResponse response =
          client.Send({.method = "PUT", .path = "/v1/x", .body = "{}"});
      CHECK(response.delivery == CtlDelivery::Lost);
      CHECK(response.body.empty());
    }
  }
}

// Guards against a change that is reported as accepted because of a head that
// no node in order sends.
TEST_CASE("a response with a malformed head counts as lost") {
  for (const std::string head :
       {"HTTP/1.1 000 X\r\n", "HTTP/1.1 600 X\r\n", "HTTP/1.1 2000 X\r\n",
        "HTTP/1.1 200 X\r\nX Mark: 1\r\n", "HTTP/1.1 200 X\r\nX : 1\r\n"}) {
    CAPTURE(head);
    const ScriptedPeer node([&head](const ScriptedPeer::Turn& aTurn) {
      aTurn.Send(head + "Content-Length: 2\r\n\r\n{}");
      aTurn.Close();
    });
    const CtlClient client({.url = node.Url(""),
                            .credential = Secret("c"),
                            .timeout = std::chrono::seconds(5)});
    const CtlResponse response =
        client.Send({.method = "PUT", .path = "/v1/x", .body = "{}"});
    CHECK(response.delivery == CtlDelivery::Lost);
  }
}
