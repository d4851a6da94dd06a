#include <doctest/doctest.h>

#include <vector>

#include "Transport/HttpFixtures.h"
#include "Transport/IdentifiedRequest.h"

using namespace fescueline;
using namespace fescueline::test;

namespace {
/// How a server frames its responses.
enum class Framing : uint8_t { Length, Chunked, NoBody };

/// Response to the request `aId`. X-Of identifies the request for the checks,
/// even if the response does not echo the request id.
std::string FormatResponse(Framing aFraming, int aStatus,
                           const std::string& aId, bool aEchoes) {
  std::string head = "HTTP/1.1 " + std::to_string(aStatus) +
                     " X\r\nX-Of: " + aId + "\r\n" +
                     (aEchoes ? "X-Attempt: " + aId + "\r\n" : "");
  switch (aFraming) {
    case Framing::Length:
      return head + "Content-Length: " + std::to_string(aId.size()) +
             "\r\n\r\n" + aId;
    case Framing::Chunked:
      return head + "Transfer-Encoding: chunked\r\n\r\n" +
             std::to_string(aId.size()) + "\r\n" + aId + "\r\n0\r\n\r\n";
    case Framing::NoBody:
      return head + "Content-Length: 0\r\n\r\n";
  }
  return {};
}
}  // namespace

// A server sends a response twice, immediately or late. Guards against the
// duplicate being taken for the response to the next request on the connection:
// a wrong body, or a refusal of a request that runs.
TEST_CASE("a duplicate response does not reach another request") {
  struct Row {
    const char* name;
    Framing framing;
    int status;
    /// Number of bytes of the duplicate that are sent with the first response;
    /// the rest is sent when the next request has arrived.
    size_t earlyBytes;
  };
  constexpr size_t kAll = 1000;
  std::vector<Row> rows;
  for (const Framing framing :
       {Framing::Length, Framing::Chunked, Framing::NoBody}) {
    for (const size_t earlyBytes : {size_t{0}, size_t{7}, size_t{30}, kAll}) {
      rows.push_back({"response", framing, 200, earlyBytes});
      rows.push_back({"refusal", framing, 503, earlyBytes});
    }
  }
  for (const Row& row : rows) {
    for (const bool echoes : {false, true}) {
      CAPTURE(std::string(row.name));
      CAPTURE(static_cast<int>(row.framing));
      CAPTURE(row.earlyBytes);
      CAPTURE(echoes);
      const ScriptedPeer server([&](const ScriptedPeer::Turn& aTurn) {
        const std::string id = aTurn.Header(kIdHeader);
        const std::string copy =
            FormatResponse(row.framing, row.status, "one", echoes);
        if (aTurn.request > 0) {
          aTurn.Send(copy.substr(std::min(row.earlyBytes, copy.size())));
        }
        const std::string response =
            id == "one" ? copy + copy.substr(0, row.earlyBytes)
                        : FormatResponse(row.framing, 200, id, echoes);
        aTurn.Send(response);
      });
      HttpClient client;
      CHECK(Fetch(client, IdentifiedRequest(server, "one")).result.complete);
      const FetchResult second =
          Fetch(client, IdentifiedRequest(server, "two"));
      CAPTURE(second.status);
      CAPTURE(second.body);
      CAPTURE(second.result.error);
      if (second.status != 0) {
        CHECK(FindHeader(second.headers, "x-of") == "two");
        CHECK(second.result.complete);
      }
      if (!echoes) {
        CHECK(second.result.complete);
      }
    }
  }
}

// Guards against a new connection per request to a server that echoes the
// request id, and against a reused connection to a server that does not.
TEST_CASE("a connection is reused only if responses echo the request id") {
  struct Row {
    const char* name;
    bool echoes;
    bool hasIdHeader;
    size_t connections;
  };
  constexpr size_t kRequests = 5;
  for (const Row& row :
       std::vector<Row>{{"repeated", true, true, 1},
                        {"not repeated", false, true, kRequests},
                        {"no request id", false, false, 1}}) {
    CAPTURE(std::string(row.name));
    const ScriptedPeer server([&](const ScriptedPeer::Turn& aTurn) {
      aTurn.Send(FormatResponse(Framing::Length, 200, aTurn.Header(kIdHeader),
                                row.echoes));
    });
    HttpClient client;
    for (size_t i = 0; i < kRequests; ++i) {
      HttpTransferRequest request =
          IdentifiedRequest(server, "n" + std::to_string(i));
      if (!row.hasIdHeader) {
        request.idHeader.reset();
      }
      CHECK(Fetch(client, std::move(request)).result.complete);
    }
    CHECK(server.Connections() == row.connections);
  }
}

// Guards against a response with another request id being accepted on a new
// connection.
TEST_CASE("a response with another request id fails the request") {
  struct Row {
    const char* name;
    std::string headers;
    bool complete;
  };
  for (const Row& row : std::vector<Row>{
           {"none", "", true},
           {"own", "X-Attempt: mine\r\n", true},
           {"own, spaces", "X-Attempt: \t mine \t\r\n", true},
           {"other", "X-Attempt: yours\r\n", false},
           {"longer", "X-Attempt: mine2\r\n", false},
           {"empty", "X-Attempt:\r\n", false},
           {"both", "X-Attempt: mine\r\nX-Attempt: yours\r\n", false}}) {
    CAPTURE(std::string(row.name));
    const ScriptedPeer server([&](const ScriptedPeer::Turn& aTurn) {
      aTurn.Send("HTTP/1.1 200 OK\r\n" + row.headers +
                 "Content-Length: 1\r\n\r\nx");
    });
    HttpClient client;
    const FetchResult fetched =
        Fetch(client, IdentifiedRequest(server, "mine"));
    CHECK(fetched.result.complete == row.complete);
    CHECK(fetched.status == (row.complete ? 200 : 0));
    CHECK(fetched.result.mayHaveBeenSent);
  }
}
