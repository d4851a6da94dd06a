#include <fmt/format.h>

#include "Mesh/TargetPath.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

struct MergedCase {
  std::string what;
  /// Response of which a part is written before the request's own.
  std::string bytes;
};

const std::vector<MergedCase> kMerged = {
    {"refusal with the identifier last",
     "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Mark: other\r\n"
     "X-Id: earlier\r\nContent-Length: 0\r\n\r\n"},
    {"refusal with the identifier first",
     "HTTP/1.1 429 Too Many Requests\r\nX-Id: earlier\r\nX-Not-Run: 1\r\n"
     "Content-Length: 0\r\n\r\n"},
    {"misdirected",
     "HTTP/1.1 421 Misdirected Request\r\nX-Mark: other\r\n\r\n"},
    {"success without an identifier",
     "HTTP/1.1 200 OK\r\nX-Mark: other\r\nContent-Length: 2\r\n\r\nok"},
    {"cacheable success, no identifier",
     "HTTP/1.1 200 OK\r\nCache-Control: max-age=60\r\nX-Mark: other\r\n"
     "Content-Length: 2\r\n\r\nok"}};

std::string IdOf(const std::string& aRequest) {
  const size_t at = aRequest.find("X-Id: ") + 6;
  return aRequest.substr(at, aRequest.find("\r\n", at) - at);
}

/// The request's own response.
std::string OwnResponse(const std::string& aId) {
  const std::string body = "answer to " + aId;
  return fmt::format(
      "HTTP/1.1 200 OK\r\nX-Id: {}\r\nX-Mark: own\r\nContent-Length: {}\r\n"
      "\r\n{}",
      aId, body.size(), body);
}

/// Checks that a caller got the request's own response, or an unknown outcome.
void CheckOwn(const std::string& aId, const std::string& aReceived) {
  CAPTURE(aReceived);
  const ReceivedResponse seen = ReceivedResponse::Of(aReceived, false, false);
  const bool none = seen.status == 502 || seen.status == 504;
  CHECK((seen.status == 200 || none));
  if (seen.status == 200) {
    CHECK(seen.body == "answer to " + aId);
    CHECK(Contains(aReceived, "\r\nX-Mark: own\r\n"));
  }
  CHECK_FALSE(Contains(aReceived, "other"));
  // No field contains a status line.
  CHECK(aReceived.find("HTTP/1.1 ", 1) == std::string::npos);
}

}  // namespace

// A target begins to repeat an earlier response where the next one is expected,
// stops within its head and continues with the expected response. Guards
// against a merged head with the status or fields of one and the identifier of
// the other: "not run" for a request that runs, and a field of another
// response.
TEST_CASE("a partial head before a response is not merged with it") {
  for (const MergedCase& row : kMerged) {
    CAPTURE(row.what);
    size_t cut = 0;
    size_t merged = 0;
    TargetPath path(
        [&](TargetConnection& aConnection, const std::string& aRequest) {
          const std::string id = IdOf(aRequest);
          const bool late = id.starts_with("late");
          merged += late ? 1 : 0;
          aConnection.Send((late ? row.bytes.substr(0, cut) : "") +
                           OwnResponse(id));
        });
    RawPeer& caller = path.NewCaller();
    const size_t headEnd = row.bytes.find("\r\n\r\n") + 4;
    for (cut = 0; cut <= headEnd; ++cut) {
      CAPTURE(cut);
      const size_t before = merged;
      for (const char* kind : {"plain", "late"}) {
        const std::string id = fmt::format("{}{}", kind, cut);
        caller.received.clear();
        caller.Send(
            TargetPath::Request("GET", "/once/", id, "X-Timeout: 200\r\n"));
        REQUIRE(RunUntil(path.io, [&caller] {
          return ReceivedResponse::Of(caller.received, false, false).complete;
        }));
        CheckOwn(id, caller.received);
      }
      // On the connection of the previous request.
      CHECK(merged == before + 1);
    }
  }
}

// A target stops within the head of its response and writes the complete
// response again. Guards against a response with fields of both.
TEST_CASE("a restarted head is not merged with its first part") {
  size_t cut = 0;
  TargetPath path(
      [&cut](TargetConnection& aConnection, const std::string& aRequest) {
        const std::string own = OwnResponse(IdOf(aRequest));
        aConnection.Send(own.substr(0, cut) + own);
      });
  RawPeer& caller = path.NewCaller();
  const size_t headEnd = OwnResponse("again10").find("\r\n\r\n") + 4;
  for (; cut < headEnd; ++cut) {
    CAPTURE(cut);
    const std::string id = fmt::format("again{}", 10 + cut);
    caller.received.clear();
    caller.Send(TargetPath::Request("GET", "/once/", id, "X-Timeout: 200\r\n"));
    REQUIRE(RunUntil(path.io, [&caller] {
      return ReceivedResponse::Of(caller.received, false, false).complete;
    }));
    CheckOwn(id, caller.received);
  }
}
