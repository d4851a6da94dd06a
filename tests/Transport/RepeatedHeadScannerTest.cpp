#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "Transport/RepeatedHeadScanner.h"

using namespace fescueline;

namespace {

struct ScanCase {
  std::string what;
  std::string body;
  bool found = false;
};

const std::string kStatusLine = "HTTP/1.1 200 OK\r\n";
const std::string kCopy = kStatusLine + "A: b\r\nX-Id: r1\r\nC: d\r\n\r\n";

std::string Repeat(const std::string& aText, size_t aCount) {
  std::string text;
  for (size_t i = 0; i < aCount; ++i) {
    text += aText;
  }
  return text;
}

const std::vector<ScanCase> kScans = {
    {"only a copy", kCopy, true},
    {"a copy after other bytes", "some of the body" + kCopy + "body", true},
    {"a refusal", "x HTTP/1.0 503 Full\r\nx-id:\tr1 \r\n", true},
    {"a status without a reason", "xHTTP/1.1 200\r\nX-Id: r1\r\n", true},
    {"whitespace around the field", kStatusLine + "X-Id \t: \t r1 \t\r\n",
     true},
    {"lines without a CR", "HTTP/1.1 200 OK\nA: b\nX-Id: r1\n", true},
    {"bytes that start like a status line", "HTTHTTP/HHTTP/1.H" + kCopy, true},
    {"a version without a status", "HTTP/1.1 2x0 HTTP/1.x" + kCopy, true},
    {"a truncated head that starts again", "HTTP/1.1 200 OK\r\nX-I" + kCopy,
     true},
    {"a quoted head before the copy",
     kStatusLine + "X-Id: r0\r\n\r\ntext\r\n\r\n" + kCopy, true},
    {"a quoted line before the copy", kStatusLine + Repeat("text\n", 5) + kCopy,
     true},
    {"a long quotation before the copy",
     kStatusLine + Repeat("long line of a quotation\n", 5000) + kCopy, true},
    {"a very long line before the field",
     kStatusLine + "A: " + std::string(5000, 'x') + "\r\nX-Id: r1\r\n", true},
    {"nothing", ""},
    {"a text", "Nothing of HTTP here."},
    {"a status line", "HTTP/1.1 200 OK\r\n\r\n"},
    {"a head of another request", kStatusLine + "X-Id: r2\r\n\r\n"},
    {"a longer request id", kStatusLine + "X-Id: r10\r\n\r\n"},
    {"a shorter request id", kStatusLine + "X-Id: r\r\n\r\n"},
    {"another field",
     kStatusLine + "X-Idx: r1\r\nY-Id: r1\r\nXX-Id: r1\r\n\r\n"},
    {"the request id in the reason", "HTTP/1.1 200 X-Id: r1\r\n\r\n"},
    {"the request id after the head", kStatusLine + "\r\nX-Id: r1\r\n"},
    {"the request id after a head without CRs",
     "HTTP/1.1 200 OK\n\nX-Id: r1\n"},
    {"the request id before the head", "X-Id: r1\r\n" + kStatusLine + "\r\n"},
    {"a request's head", "TRACE /x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n\r\n"},
    {"a line of an access log",
     "h - \"GET / HTTP/1.1\" 200 7\r\nX-Id: r1\r\n\r\n"},
    {"another version", "HTTP/2 200 OK\r\nX-Id: r1\r\n\r\n"},
    {"the request id far after a status line",
     kStatusLine + Repeat("a line of text\r\n", 8000) + "X-Id: r1\r\n"},
    {"an incomplete line with the request id", kStatusLine + "X-Id: r1"}};

}  // namespace

// Guards against missing a second response that is split between reads, and
// against mistaking an ordinary body for one.
TEST_CASE("a response within a body is found however the reads split it") {
  for (const ScanCase& row : kScans) {
    CAPTURE(row.what);
    const std::string_view body = row.body;
    for (const size_t step : {body.size(), size_t{1}, size_t{7}, size_t{11}}) {
      CAPTURE(step);
      RepeatedHeadScanner scanner("X-Id", "r1");
      for (size_t at = 0; at < body.size(); at += step) {
        scanner.Scan(body.substr(at, step));
      }
      CHECK(scanner.HasFound() == row.found);
    }
    for (size_t cut = 0; cut < std::min(body.size(), size_t{200}); ++cut) {
      CAPTURE(cut);
      RepeatedHeadScanner scanner("X-Id", "r1");
      scanner.Scan(body.substr(0, cut));
      scanner.Scan(body.substr(cut));
      CHECK(scanner.HasFound() == row.found);
    }
  }
}

// Guards against missing a copy whose head starts within the body and continues
// in the trailing bytes, and against rejecting a complete body that a copy
// follows.
TEST_CASE("a head that starts within a body is found in the trailing bytes") {
  const std::string body = "body of the first";
  const size_t idEnd = kCopy.find("\r\nC: d") + 2;
  for (size_t within = 0; within <= kCopy.size(); ++within) {
    CAPTURE(within);
    RepeatedHeadScanner scanner("X-Id", "r1");
    scanner.Scan(body + kCopy.substr(0, within));
    CHECK(scanner.HasFound() == (within >= idEnd));
    scanner.ScanTrailing(kCopy.substr(within) + body);
    CHECK(scanner.HasFound() == (within > 0));
  }
  for (const char* end : {"", "H", "HTTP/1.1 20", "quoted: HTTP/1.1 200 OK\r\n",
                          "quoted: HTTP/1.1 200 OK\r\nHT"}) {
    CAPTURE(std::string(end));
    RepeatedHeadScanner scanner("X-Id", "r1");
    scanner.Scan(body + end);
    scanner.ScanTrailing(kCopy);
    CHECK_FALSE(scanner.HasFound());
  }
}

// Guards against a body that counts as whole although the head of a copy begins
// in its last bytes, at any position, and against doubt about other bodies.
TEST_CASE("a body that ends within the head of a copy is in doubt") {
  const std::string body = "body of the first";
  const size_t idEnd = kCopy.find("\r\nC: d") + 2;
  const size_t versionEnd = std::string("HTTP/1.").size();
  for (size_t within = 0; within <= kCopy.size(); ++within) {
    CAPTURE(within);
    RepeatedHeadScanner scanner("X-Id", "r1");
    scanner.Scan(body + kCopy.substr(0, within));
    CHECK(scanner.MayComplete() == (within > 0 && within < idEnd));
    CHECK(scanner.EndsWithinHead() == (within >= versionEnd && within < idEnd));
  }
  for (const char* end :
       {"", "h", "HTTP/2", "HTTP/1.1 2x", "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "HTTP/1.1 200 OK\r\na text\r\n",
        "HTTP/1.1 200 OK\nA: b\n\n"}) {
    CAPTURE(std::string(end));
    RepeatedHeadScanner scanner("X-Id", "r1");
    scanner.Scan(body + end);
    CHECK_FALSE(scanner.MayComplete());
    CHECK_FALSE(scanner.EndsWithinHead());
  }
  RepeatedHeadScanner quotes("X-Id", "r1");
  quotes.Scan("HTTP/1.1 200 OK" + std::string(300, 'x'));
  CHECK_FALSE(quotes.MayComplete());
}

// Guards against doubt that ends, as more trailing bytes arrive, before the
// request id of the copy has been read.
TEST_CASE("doubt about the end of a body lasts until the id is known") {
  const size_t idEnd = kCopy.find("\r\nC: d") + 2;
  CHECK(rc::check([idEnd](const std::string& aBody) {
    const auto within = *rc::gen::inRange<size_t>(1, idEnd);
    RC_PRE(aBody.find("HTTP/1.") == std::string::npos);
    RepeatedHeadScanner scanner("X-Id", "r1");
    const std::string bytes = aBody + kCopy.substr(0, within);
    const auto split = *rc::gen::inRange<size_t>(0, bytes.size() + 1);
    scanner.Scan(bytes.substr(0, split));
    scanner.Scan(bytes.substr(split));
    RC_ASSERT(scanner.MayComplete());
    for (size_t trailing = 0; within + trailing <= kCopy.size(); ++trailing) {
      RepeatedHeadScanner rest = scanner;
      rest.ScanTrailing(kCopy.substr(within, trailing));
      RC_ASSERT(rest.HasFound() == (within + trailing >= idEnd));
      RC_ASSERT(rest.HasFound() || rest.MayComplete());
    }
  }));
}
