#include <doctest/doctest.h>

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

const std::string kLine = "HTTP/1.1 200 OK\r\n";
const std::string kOwn = kLine + "A: b\r\nX-Id: r1\r\nC: d\r\n\r\n";

std::string Times(const std::string& aText, size_t aCount) {
  std::string text;
  for (size_t i = 0; i < aCount; ++i) {
    text += aText;
  }
  return text;
}

const std::vector<ScanCase> kScans = {
    {"a copy alone", kOwn, true},
    {"a copy behind other bytes", "some of the body" + kOwn + "body", true},
    {"a refusal", "x HTTP/1.0 503 Full\r\nx-id:\tr1 \r\n", true},
    {"a status without a reason", "xHTTP/1.1 200\r\nX-Id: r1\r\n", true},
    {"white space around the field", kLine + "X-Id \t: \t r1 \t\r\n", true},
    {"lines without a CR", "HTTP/1.1 200 OK\nA: b\nX-Id: r1\n", true},
    {"bytes that begin like a status line", "HTTHTTP/HHTTP/1.H" + kOwn, true},
    {"a name without a status", "HTTP/1.1 2x0 HTTP/1.x" + kOwn, true},
    {"a head that is cut and begun again", "HTTP/1.1 200 OK\r\nX-I" + kOwn,
     true},
    {"a quoted head before the copy",
     kLine + "X-Id: r0\r\n\r\ntext\r\n\r\n" + kOwn, true},
    {"a quoted line before the copy", kLine + Times("text\n", 5) + kOwn, true},
    {"a long quotation before the copy",
     kLine + Times("long line of a quotation\n", 5000) + kOwn, true},
    {"a very long line before the field",
     kLine + "A: " + std::string(5000, 'x') + "\r\nX-Id: r1\r\n", true},
    {"nothing", ""},
    {"a text", "Nothing of HTTP here."},
    {"a status line", "HTTP/1.1 200 OK\r\n\r\n"},
    {"a head of another request", kLine + "X-Id: r2\r\n\r\n"},
    {"a longer identifier", kLine + "X-Id: r10\r\n\r\n"},
    {"a shorter identifier", kLine + "X-Id: r\r\n\r\n"},
    {"another field", kLine + "X-Idx: r1\r\nY-Id: r1\r\nXX-Id: r1\r\n\r\n"},
    {"the identifier in the reason", "HTTP/1.1 200 X-Id: r1\r\n\r\n"},
    {"the identifier behind the head", kLine + "\r\nX-Id: r1\r\n"},
    {"the identifier behind a head without CRs",
     "HTTP/1.1 200 OK\n\nX-Id: r1\n"},
    {"the identifier in front of the head", "X-Id: r1\r\n" + kLine + "\r\n"},
    {"a request's head", "TRACE /x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n\r\n"},
    {"a line of an access log",
     "h - \"GET / HTTP/1.1\" 200 7\r\nX-Id: r1\r\n\r\n"},
    {"another version", "HTTP/2 200 OK\r\nX-Id: r1\r\n\r\n"},
    {"the identifier far behind a status line",
     kLine + Times("a line of text\r\n", 8000) + "X-Id: r1\r\n"},
    {"an identifier's line that does not end", kLine + "X-Id: r1"}};

}  // namespace

// Guards against a second response that is missed where reads split it, and
// against an ordinary body that is taken for one.
TEST_CASE("a response within a body is found however it is read") {
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

// Guards against a copy whose head the end of the body cuts, so that only the
// bytes behind it show it; and against a whole body in front of a copy.
TEST_CASE("a head that begins within a body is found behind its end") {
  const std::string body = "body of the first";
  const size_t idEnd = kOwn.find("\r\nC: d") + 2;
  for (size_t within = 0; within <= kOwn.size(); ++within) {
    CAPTURE(within);
    RepeatedHeadScanner scanner("X-Id", "r1");
    scanner.Scan(body + kOwn.substr(0, within));
    CHECK(scanner.HasFound() == (within >= idEnd));
    scanner.ScanTrailing(kOwn.substr(within) + body);
    CHECK(scanner.HasFound() == (within > 0));
  }
  for (const char* end : {"", "H", "HTTP/1.1 20", "quoted: HTTP/1.1 200 OK\r\n",
                          "quoted: HTTP/1.1 200 OK\r\nHT"}) {
    CAPTURE(std::string(end));
    RepeatedHeadScanner scanner("X-Id", "r1");
    scanner.Scan(body + end);
    scanner.ScanTrailing(kOwn);
    CHECK_FALSE(scanner.HasFound());
  }
}
