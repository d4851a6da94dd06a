#include <doctest/doctest.h>

#include <vector>

#include "Core/Error.h"
#include "Http1/HttpReader.h"

using namespace fescueline;

namespace {

/// Events of one message.
struct Parsed {
  HttpHead head;
  std::string body;
  /// Number of parts in which the body was reported.
  size_t parts = 0;
  bool ended = false;
};

/// A reader and the messages that it reported.
struct Recorder {
  explicit Recorder(HttpReaderKind aKind, size_t aMaxHead = 4096)
      : reader({.kind = aKind,
                .maxHeadBytes = aMaxHead,
                .events = {
                    .onHead =
                        [this](HttpHead aHead) {
                          this->messages.push_back({.head = std::move(aHead)});
                          return true;
                        },
                    .onBody =
                        [this](std::string_view aPart) {
                          this->messages.back().body += aPart;
                          ++this->messages.back().parts;
                        },
                    .onEnd = [this] { this->messages.back().ended = true; }}}) {
  }

  std::vector<Parsed> messages;
  HttpReader reader;
};

struct MessageCase {
  const char* what;
  HttpReaderKind kind;
  std::string bytes;
  std::string body;
  std::optional<uint64_t> length;
  bool keepAlive;
};

const std::vector<MessageCase> kMessages = {
    {"request without a body", HttpReaderKind::Request,
     "GET /a/b?c=1 HTTP/1.1\r\nHost: h\r\n\r\n", "", std::nullopt, true},
    {"request with a length", HttpReaderKind::Request,
     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz", "xyz", 3,
     true},
    {"chunked request", HttpReaderKind::Request,
     "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
     "2\r\nxy\r\n1\r\nz\r\n0\r\n\r\n",
     "xyz", std::nullopt, true},
    {"response with a length", HttpReaderKind::Response,
     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz", "xyz", 3, true},
    {"response that closes", HttpReaderKind::Response,
     "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "", 0,
     false},
    {"response after an interim one", HttpReaderKind::Response,
     "HTTP/1.1 100 Continue\r\n\r\n"
     "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
     "x", 1, true}};

}  // namespace

// Guards against messages that are parsed differently when the network splits
// them.
TEST_CASE("messages parse the same however the bytes are split") {
  for (const MessageCase& row : kMessages) {
    CAPTURE(row.what);
    for (const size_t step : {row.bytes.size(), size_t{1}, size_t{7}}) {
      Recorder recorder(row.kind);
      for (size_t at = 0; at < row.bytes.size(); at += step) {
        const std::string part = row.bytes.substr(at, step);
        CHECK(recorder.reader.Feed(part) == part.size());
      }
      REQUIRE(recorder.messages.size() == 1);
      const Parsed& message = recorder.messages.front();
      CHECK(message.ended);
      CHECK(message.body == row.body);
      CHECK(message.head.length == row.length);
      CHECK(message.head.keepAlive == row.keepAlive);
      CHECK_FALSE(recorder.reader.InMessage());
    }
  }
}

// Guards against trailing bytes being taken for a part of the response.
TEST_CASE("a reader stops at the end of a message") {
  Recorder recorder(HttpReaderKind::Response);
  const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
  const std::string both = first + "HTTP/1.1 200 OK\r\n";
  CHECK(recorder.reader.Feed(both) == first.size());
  CHECK(recorder.messages.size() == 1);
  CHECK(recorder.messages.front().ended);
}

// Guards against a truncated response that counts as complete.
TEST_CASE("the end of input completes only a response without a length") {
  struct Case {
    const char* bytes;
    bool complete;
  };
  for (const Case& row : std::vector<Case>{
           {"HTTP/1.1 200 OK\r\n\r\nabc", true},
           {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", false},
           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
            "\r\n3\r\nabc\r\n",
            false},
           {"HTTP/1.1 200 OK\r\nConte", false}}) {
    CAPTURE(row.bytes);
    Recorder recorder(HttpReaderKind::Response);
    recorder.reader.Feed(row.bytes);
    CHECK(recorder.reader.FinishAtEof() == row.complete);
  }
}

// Guards against smuggled requests and unbounded heads.
TEST_CASE("malformed messages are rejected") {
  for (const std::string& bytes : std::vector<std::string>{
           "NONSENSE\r\n\r\n", "GET / HTTP/1.1\r\nbroken header\r\n\r\n",
           "POST / HTTP/1.1\r\nContent-Length: 1\r\n"
           "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
           "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
           "GET / HTTP/1.1\r\nA: " + std::string(8192, 'a') + "\r\n\r\n"}) {
    CAPTURE(bytes.substr(0, 60));
    Recorder recorder(HttpReaderKind::Request);
    CHECK_THROWS_AS(recorder.reader.Feed(bytes), Error);
  }
}

// Guards against waiting for the body of a response to HEAD.
TEST_CASE("a response to HEAD has no body") {
  Recorder recorder(HttpReaderKind::Response);
  recorder.reader.ExpectNoBody(true);
  recorder.reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
  REQUIRE(recorder.messages.size() == 1);
  CHECK(recorder.messages.front().ended);
}

namespace {
struct DamagedCase {
  std::string what;
  HttpReaderKind kind;
  std::string bytes;
};

const std::string kChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Messages that http_parser accepts as complete although a line or chunk is
/// damaged.
const std::vector<DamagedCase> kDamaged = {
    {"a byte after CR in the status line", HttpReaderKind::Response,
     "HTTP/1.1 200 O\rK\r\nContent-Length: 2\r\n\r\nab"},
    {"a byte after CR at the end of the head", HttpReaderKind::Response,
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\rXab"},
    {"a byte after CR in a field", HttpReaderKind::Request,
     "GET / HTTP/1.1\r\nHost: h\rX\r\n\r\n"},
    {"a field continued on the next line", HttpReaderKind::Request,
     "GET / HTTP/1.1\r\nHost: h\r\n g\r\n\r\n"},
    {"a first field after whitespace", HttpReaderKind::Response,
     "HTTP/1.1 200 OK\r\n A: b\r\nContent-Length: 2\r\n\r\nab"},
    {"a chunk longer than its size", HttpReaderKind::Response,
     kChunkedHead + "2\r\nabXX0\r\n\r\n"},
    {"a byte after CR of a chunk size", HttpReaderKind::Response,
     kChunkedHead + "2\rXab\r\n0\r\n\r\n"},
    {"other bytes after a chunk size", HttpReaderKind::Response,
     kChunkedHead + "2 zz\r\nab\r\n0\r\n\r\n"},
    {"a byte after CR of the last chunk", HttpReaderKind::Response,
     kChunkedHead + "2\r\nab\r\n0\r\n\rX"},
    {"a chunk without a size", HttpReaderKind::Request,
     "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
     ";a\r\n\r\n"},
    {"an endless chunk size line", HttpReaderKind::Response,
     kChunkedHead + "2;" + std::string(2000, 'x') + "\r\nab\r\n0\r\n\r\n"}};

/// Feeds bytes in steps; returns whether they were rejected.
bool IsRejected(Recorder& aRecorder, const std::string& aBytes, size_t aStep) {
  try {
    for (size_t at = 0; at < aBytes.size();) {
      at += aRecorder.reader.Feed(aBytes.substr(at, aStep));
    }
  } catch (const Error&) {
    return true;
  }
  return false;
}
}  // namespace

// A target writes wrong bytes into a line end of a head or chunk. Guards
// against accepting a damaged message as complete.
TEST_CASE("damaged lines and chunks are rejected") {
  for (const DamagedCase& row : kDamaged) {
    CAPTURE(row.what);
    for (const size_t step : {row.bytes.size(), size_t{1}, size_t{7}}) {
      Recorder recorder(row.kind);
      CHECK(IsRejected(recorder, row.bytes, step));
      for (const Parsed& message : recorder.messages) {
        CHECK_FALSE(message.ended);
      }
    }
  }
}

// Guards against rejecting unusual but valid chunks, trailers and lines.
TEST_CASE("valid chunks and trailers are accepted") {
  for (const std::string& body : std::vector<std::string>{
           "2\r\nab\r\n0\r\n\r\n", "0002\r\nab\r\n000\r\n\r\n",
           "2;a=b\r\nab\r\n0;c\r\n\r\n", "2 ;a\r\nab\r\n0\r\n\r\n",
           "1\r\na\r\n1\r\nb\r\n0\r\nA: b\r\nC: d\r\n\r\n"}) {
    CAPTURE(body);
    const std::string bytes = kChunkedHead + body;
    for (const size_t step : {bytes.size(), size_t{1}, size_t{7}}) {
      Recorder recorder(HttpReaderKind::Response);
      CHECK_FALSE(IsRejected(recorder, bytes, step));
      REQUIRE(recorder.messages.size() == 1);
      CHECK(recorder.messages.front().ended);
      CHECK(recorder.messages.front().body == "ab");
    }
  }
  Recorder recorder(HttpReaderKind::Request);
  CHECK_FALSE(IsRejected(recorder, "\r\nGET / HTTP/1.1\nHost: h\n\n", 1));
  REQUIRE(recorder.messages.size() == 1);
  CHECK(recorder.messages.front().ended);
}

// A target sends 304 with the length of the body that it omits, as HTTP allows,
// or an interim or empty response with a length by mistake. Guards against
// taking bytes of the next response for its body, and against waiting for bytes
// that never arrive.
TEST_CASE("responses that never have a body end with their head") {
  const std::string next = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
  for (const std::string& status : std::vector<std::string>{"204", "304"}) {
    for (const std::string& field : std::vector<std::string>{
             "Content-Length: 5", "Transfer-Encoding: chunked", "A: b"}) {
      CAPTURE(status);
      CAPTURE(field);
      const std::string head =
          "HTTP/1.1 " + status + " X\r\n" + field + "\r\n\r\n";
      Recorder recorder(HttpReaderKind::Response);
      CHECK(recorder.reader.Feed(head + next) == head.size());
      REQUIRE(recorder.messages.size() == 1);
      CHECK(recorder.messages.front().ended);
      CHECK(recorder.messages.front().body.empty());
    }
  }
  Recorder recorder(HttpReaderKind::Response);
  const std::string bytes =
      "HTTP/1.1 103 X\r\nContent-Length: 5\r\n\r\n" + next;
  CHECK(recorder.reader.Feed(bytes) == bytes.size());
  REQUIRE(recorder.messages.size() == 1);
  CHECK(recorder.messages.front().body == "ab");
}

// A caller puts whitespace before the colon of a field. http_parser accepts the
// field, but the lists of fields to remove do not match its name. Guards
// against requests that a target frames differently, and against callers that
// set their own organisation.
TEST_CASE("whitespace in field names is rejected in requests") {
  for (const std::string& field : std::vector<std::string>{
           "Transfer-Encoding : chunked", "Content-Length : 0",
           "X-Tenant : other", "X Tenant: other", "X-Tenant\t: other"}) {
    CAPTURE(field);
    Recorder recorder(HttpReaderKind::Request);
    CHECK(IsRejected(
        recorder,
        "POST / HTTP/1.1\r\nHost: h\r\n" + field + "\r\n\r\n0\r\n\r\n", 4096));
    CHECK(recorder.messages.empty());
  }
}

// A caller or target sends thousands of tiny fields within the size limit of a
// head. Guards against a head that does not fit into a frame between nodes: the
// receiver would close the connection with all requests on it.
TEST_CASE("heads and trailers with too many fields are rejected") {
  for (const size_t count : {size_t{400}, size_t{1100}}) {
    CAPTURE(count);
    std::string fields;
    for (size_t i = 0; i < count; ++i) {
      fields += "a:b\r\n";
    }
    const bool tooMany = count > 1000;
    Recorder request(HttpReaderKind::Request, size_t{16} * 1024);
    CHECK(IsRejected(request, "GET / HTTP/1.1\r\n" + fields + "\r\n", 4096) ==
          tooMany);
    CHECK(request.messages.empty() == tooMany);
    Recorder response(HttpReaderKind::Response, size_t{16} * 1024);
    CHECK(IsRejected(response, "HTTP/1.1 200 OK\r\n" + fields + "\r\n", 4096) ==
          tooMany);
    CHECK(response.messages.empty() == tooMany);
    Recorder trailers(HttpReaderKind::Response, size_t{16} * 1024);
    CHECK(IsRejected(trailers,
                     kChunkedHead + "1\r\na\r\n0\r\n" + fields + "\r\n",
                     4096) == tooMany);
  }
}

// Guards against heads whose version, status or transfer coding gives the bytes
// another meaning than the reader assumes.
TEST_CASE("heads with an unknown version, status or coding are rejected") {
  for (const DamagedCase& row : std::vector<DamagedCase>{
           {"a request without a version", HttpReaderKind::Request,
            "GET /\r\n\r\n"},
           {"another version", HttpReaderKind::Request,
            "GET / HTTP/2.0\r\nHost: h\r\n\r\n"},
           {"a response of another version", HttpReaderKind::Response,
            "HTTP/9.9 200 OK\r\n\r\n"},
           {"a status of one digit", HttpReaderKind::Response,
            "HTTP/1.1 7 OK\r\n\r\n"},
           {"a switch to another protocol", HttpReaderKind::Response,
            "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"},
           {"a coding that is not decoded", HttpReaderKind::Response,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
            "0\r\n\r\n"},
           {"a coding of a body until the close", HttpReaderKind::Response,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nab"},
           {"a coding of a request", HttpReaderKind::Request,
            "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
            "0\r\n\r\n"},
           {"chunks in HTTP/1.0", HttpReaderKind::Request,
            "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
            "0\r\n\r\n"},
           {"a CONNECT request with a body", HttpReaderKind::Request,
            "CONNECT h:1 HTTP/1.1\r\nContent-Length: 26\r\n\r\n"
            "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"}}) {
    CAPTURE(row.what);
    Recorder recorder(row.kind);
    CHECK(IsRejected(recorder, row.bytes, 4096));
    CHECK(recorder.messages.empty());
  }
  Recorder recorder(HttpReaderKind::Response);
  CHECK_FALSE(IsRejected(recorder,
                         "HTTP/1.0 200 OK\r\nTransfer-Encoding: CHUNKED \r\n"
                         "\r\n0\r\n\r\n",
                         4096));
}

// A target sends endless interim responses, or responses to other requests.
// Guards against unbounded work for a response that never arrives.
TEST_CASE("responses before the expected one are bounded") {
  const std::string interim = "HTTP/1.1 102 X\r\n\r\n";
  const auto other = [](size_t aLength) {
    return "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: " +
           std::to_string(aLength) + "\r\n\r\n" + std::string(aLength, 'x');
  };
  struct Case {
    std::string what;
    std::string bytes;
    /// How many may precede the expected response; one more is rejected.
    size_t allowed;
  };
  for (const Case& row : std::vector<Case>{
           {"interim responses", interim, 100},
           {"responses to other requests", other(250'000), 4},
           {"empty responses to other requests", other(0), 4},
           {"long responses to other requests", other(600'000), 1},
           {"the longest response to another request", other(size_t{1} << 20),
            1},
           {"a response over the limit", other((size_t{1} << 20) + 1), 0}}) {
    CAPTURE(row.what);
    bool accepts = false;
    bool accepted = false;
    const auto feed = [&](HttpReader& aReader, size_t aCount) {
      for (size_t i = 0; i < aCount; ++i) {
        CHECK(aReader.Feed(row.bytes) == row.bytes.size());
      }
    };
    HttpReader reader({.kind = HttpReaderKind::Response,
                       .events = {.onHead =
                                      [&](const HttpHead&) {
                                        accepted = accepts;
                                        return accepts;
                                      },
                                  .onBody = [](std::string_view) {},
                                  .onEnd = [] {}}});
    // An accepted response resets the count.
    for (int round = 0; round < 3; ++round) {
      feed(reader, row.allowed);
      accepts = true;
      reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      CHECK(accepted);
      accepts = false;
    }
    size_t fed = 0;
    try {
      for (; fed <= row.allowed; ++fed) {
        reader.Feed(row.bytes);
      }
    } catch (const Error&) {
    }
    CHECK(fed == row.allowed);
  }
}

// A server sends chunks of a single byte. Guards against receivers that keep
// buffers and callbacks for each of them.
TEST_CASE("the chunks of one input are reported as one part of the body") {
  struct Row {
    const char* what;
    std::string chunks;
    std::string body;
  };
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const Row& row : std::vector<Row>{
           {"one chunk", "2\r\nab\r\n", "ab"},
           {"single bytes", "1\r\na\r\n1\r\nb\r\n1\r\nc\r\n", "abc"},
           {"chunks and the end", "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n", "abc"}}) {
    CAPTURE(row.what);
    Recorder recorder(HttpReaderKind::Response);
    const std::string bytes = head + row.chunks;
    CHECK(recorder.reader.Feed(bytes) == bytes.size());
    REQUIRE(recorder.messages.size() == 1);
    CHECK(recorder.messages.front().body == row.body);
    CHECK(recorder.messages.front().parts == 1);
  }
}
