#include <doctest/doctest.h>

#include <string>

#include "Transport/HttpFixtures.h"
#include "Transport/IdentifiedRequest.h"

using namespace fescueline;
using namespace fescueline::test;

namespace {
/// Head of a response with the given request id and framing field.
std::string Head(const std::string& aId, const std::string& aFraming) {
  return "HTTP/1.1 200 OK\r\nX-Attempt: " + aId + "\r\n" + aFraming +
         "\r\n\r\n";
}
}  // namespace

// A target stops within a body and sends the complete response again. Guards
// against a body that consists of parts of both and counts as complete, in the
// client that uses libcurl.
TEST_CASE("a response that restarts within its body is not complete") {
  const std::string body(400, 'b');
  struct Row {
    const char* name;
    std::string framing;
    std::string prefix;
    std::string suffix;
  };
  for (const Row& row : {Row{"length", "Content-Length: 400", "", ""},
                         Row{"chunk", "Transfer-Encoding: chunked", "190\r\n",
                             "\r\n0\r\n\r\n"}}) {
    CAPTURE(std::string(row.name));
    for (const size_t cut : {size_t{0}, size_t{1}, size_t{200}}) {
      CAPTURE(cut);
      const ScriptedPeer server([&](const ScriptedPeer::Turn& aTurn) {
        const std::string head = Head(aTurn.Header(kIdHeader), row.framing);
        // The second copy fills the rest of the first body.
        const std::string copy = head + row.prefix + body + row.suffix;
        aTurn.Send(head + row.prefix + body.substr(0, cut) +
                   copy.substr(0, body.size() - cut) + row.suffix);
      });
      HttpClient client;
      const FetchResult fetched =
          Fetch(client, IdentifiedRequest(server, "one"));
      CHECK_FALSE(fetched.result.complete);
      CHECK(fetched.result.mayHaveBeenSent);
    }
  }
}

// Guards against rejecting a body that quotes another message.
TEST_CASE("a body that quotes another response is complete") {
  const std::string body = Head("two", "Content-Length: 0") + "end";
  const ScriptedPeer server([&](const ScriptedPeer::Turn& aTurn) {
    aTurn.Send(Head(aTurn.Header(kIdHeader),
                    "Content-Length: " + std::to_string(body.size())) +
               body);
  });
  HttpClient client;
  const FetchResult fetched = Fetch(client, IdentifiedRequest(server, "one"));
  CHECK(fetched.result.complete);
  CHECK(fetched.body == body);
}
