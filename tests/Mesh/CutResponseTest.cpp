#include <fmt/format.h>

#include "Mesh/TargetPath.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

struct CutCase {
  std::string what;
  /// Response; ID is replaced by the request's identifier.
  std::string bytes;
  std::string method = "GET";
  /// Status of the complete response.
  int status = 200;
  /// Whether the status is valid as soon as the head is complete: there is no
  /// body, or it is ignored.
  bool headIsEnough = false;
  /// Whether the end of the connection (without a reset) ends the body.
  bool endsWithConnection = false;
};

const std::vector<CutCase> kCuts = {
    {"with a length",
     "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 9\r\n\r\nall of it"},
    {"chunked",
     "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n"
     "3;a=b\r\nall\r\n6\r\n of it\r\n0\r\nA: b\r\n\r\n"},
    {.what = "without a length",
     .bytes =
         "HTTP/1.1 200 OK\r\nX-Id: ID\r\nConnection: close\r\n\r\nall of it",
     .endsWithConnection = true},
    {"empty", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n"},
    {.what = "no content",
     .bytes = "HTTP/1.1 204 No Content\r\nX-Id: ID\r\nA: b\r\n\r\n",
     .status = 204},
    {.what = "not modified, with the length of the absent body",
     .bytes =
         "HTTP/1.1 304 Not Modified\r\nX-Id: ID\r\nContent-Length: 9\r\n\r\n",
     .status = 304},
    {.what = "to HEAD",
     .bytes = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 9\r\n\r\n",
     .method = "HEAD"},
    {.what = "not run",
     .bytes = "HTTP/1.1 503 Full\r\nX-Id: ID\r\nX-Not-Run: 1\r\n"
              "Content-Length: 5\r\n\r\nfull\n",
     .status = 503,
     .headIsEnough = true},
    {"after an interim response",
     "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
     "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 9\r\n\r\nall of it"}};

std::string BytesOf(const CutCase& aCase, const std::string& aId) {
  std::string bytes = aCase.bytes;
  bytes.replace(bytes.find("ID"), 2, aId);
  return bytes;
}

/// Position after the head of the final response.
size_t HeadEnd(const std::string& aBytes) {
  return aBytes.find("\r\n\r\n", aBytes.rfind("HTTP/1.1 ")) + 4;
}

/// Expected status at the caller of a truncated response.
int StatusOf(const CutCase& aCase, const std::string& aBytes, size_t aCut,
             bool aReset) {
  const bool hasHead = aCut >= HeadEnd(aBytes);
  const bool ends = aCase.endsWithConnection && !aReset;
  const bool counts =
      aCut == aBytes.size() || (hasHead && (aCase.headIsEnough || ends));
  return counts ? aCase.status : 502;
}

std::string IdOf(const std::string& aRequest) {
  const size_t at = aRequest.find("X-Id: ") + 6;
  return aRequest.substr(at, aRequest.find("\r\n", at) - at);
}

/// Writes the first aCut bytes of a response and closes the connection.
void SendCut(TargetConnection& aConnection, const std::string& aResponse,
             size_t aCut, bool aReset) {
  aConnection.Send(aResponse.substr(0, aCut),
                   [self = aConnection.shared_from_this(), aReset] {
                     aReset ? self->Reset() : self->Close();
                   });
}

}  // namespace

// A target stops at any byte of its response and closes or resets the
// connection. Guards against a part that passes as a complete response, against
// "not run" for a request that has run, and against bytes of one response in
// the next one.
TEST_CASE("a response truncated at any byte is answered as unknown") {
  for (const CutCase& row : kCuts) {
    for (const bool reset : {false, true}) {
      CAPTURE(row.what);
      CAPTURE(reset);
      size_t cut = 0;
      TargetPath path(
          [&](TargetConnection& aConnection, const std::string& aRequest) {
            SendCut(aConnection, BytesOf(row, IdOf(aRequest)), cut, reset);
          });
      RawPeer& caller = path.NewCaller();
      const size_t size = BytesOf(row, "r100").size();
      // A reset may discard bytes that the node has not read yet.
      for (; cut < size + (reset ? 0 : 1); ++cut) {
        CAPTURE(cut);
        const std::string id = fmt::format("r{}", 100 + cut);
        const std::string bytes = BytesOf(row, id);
        ReceivedResponse seen;
        caller.received.clear();
        caller.Send(TargetPath::Request(
            row.method, cut % 2 == 0 ? "/safe/" : "/once/", id));
        REQUIRE(RunPromptly(path.io, [&] {
          seen = ReceivedResponse::Of(caller.received, row.method == "HEAD",
                                      caller.closed && !caller.reset);
          return seen.complete;
        }));
        const int status = StatusOf(row, bytes, cut, reset);
        if (reset && status != 502) {
          CHECK((seen.status == status || seen.status == 502));
        } else {
          CHECK(seen.status == status);
        }
        CHECK(Contains(caller.received, "X-Id: " + id + "\r\n"));
        if (seen.status == 200 && row.method == "GET" && cut < size) {
          CHECK(row.endsWithConnection);
          CHECK(seen.body == bytes.substr(HeadEnd(bytes), seen.body.size()));
        }
      }
    }
  }
}

namespace {
struct LongCase {
  std::string what;
  /// Header fields after the identifier.
  std::string fields;
  bool chunked = false;
  bool endsWithConnection = false;
};

/// Longer than what the entry node buffers before it streams.
constexpr size_t kLongBody = 200'000;

std::string LongResponse(const LongCase& aCase, const std::string& aId) {
  std::string bytes =
      "HTTP/1.1 200 OK\r\nX-Id: " + aId + "\r\n" + aCase.fields + "\r\n";
  const std::string part(kLongBody / 10, 'x');
  for (int i = 0; i < 10; ++i) {
    bytes +=
        aCase.chunked ? fmt::format("{:x}\r\n{}\r\n", part.size(), part) : part;
  }
  return bytes + (aCase.chunked ? "0\r\n\r\n" : "");
}
}  // namespace

// A target stops within a response of which the caller has received a part, and
// closes or resets the connection. Guards against a part that looks complete to
// callers that keep their connection, close it, or use HTTP/1.0 without chunks.
TEST_CASE("a truncated long response never looks complete") {
  const std::vector<LongCase> rows = {
      {"with a length", fmt::format("Content-Length: {}\r\n", kLongBody)},
      {.what = "chunked",
       .fields = "Transfer-Encoding: chunked\r\n",
       .chunked = true},
      {.what = "without a length", .fields = "", .endsWithConnection = true}};
  struct Caller {
    std::string version;
    std::string fields;
  };
  for (const LongCase& row : rows) {
    for (const bool reset : {false, true}) {
      size_t cut = 0;
      TargetPath path(
          [&](TargetConnection& aConnection, const std::string& aRequest) {
            SendCut(aConnection, LongResponse(row, IdOf(aRequest)), cut, reset);
          });
      const size_t size = LongResponse(row, "r1").size();
      for (const size_t at :
           {size_t{1000}, size_t{131'072}, size_t{150'000}, size - 1, size}) {
        for (const Caller& kind : std::vector<Caller>{
                 {"1.1", ""}, {"1.1", "Connection: close\r\n"}, {"1.0", ""}}) {
          CAPTURE(row.what);
          CAPTURE(reset);
          CAPTURE(at);
          CAPTURE(kind.version);
          CAPTURE(kind.fields);
          cut = at;
          RawPeer& caller = path.NewCaller();
          caller.Send(TargetPath::Request("GET", "/once/", "r1", kind.fields,
                                          kind.version));
          ReceivedResponse seen;
          REQUIRE(RunPromptly(path.io, [&] {
            seen = ReceivedResponse::Of(caller.received, false,
                                        caller.closed && !caller.reset);
            return seen.complete || caller.closed;
          }));
          if (kind.version == "1.0") {
            CHECK_FALSE(Contains(caller.received, "chunked"));
          }
          const bool ends = row.endsWithConnection && !reset;
          if (seen.status == 200 && at < size && !ends) {
            CHECK_FALSE(seen.complete);
          }
          if (at == size && !reset) {
            CHECK(seen.status == 200);
            CHECK(seen.complete);
            CHECK(seen.body.size() == kLongBody);
          }
        }
      }
    }
  }
}

// Guards against two attempts on one stream when a peer reuses the number of an
// open stream.
TEST_CASE("a stream number already in use is refused") {
  size_t runs = 0;
  TargetPath path([&runs](TargetConnection& aConnection, const std::string&) {
    ++runs;
    aConnection.Send("HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 0\r\n\r\n");
  });
  path.sendsTwice = true;
  RawPeer& caller = path.NewCaller();
  caller.Send(TargetPath::Request("GET", "/once/", "r"));
  REQUIRE(RunPromptly(path.io, [&caller] { return !caller.received.empty(); }));
  RunPromptly(
      path.io, [] { return false; }, 50ms);
  CAPTURE(caller.received);
  CHECK(caller.received.starts_with("HTTP/1.1 502"));
  CHECK(runs <= 1);
  CHECK(path.Open() == 0);
}
