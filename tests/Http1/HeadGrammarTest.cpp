#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
#include <vector>

#include "Core/Error.h"
#include "Core/ResponseHeadTracker.h"
#include "Http1/HttpReader.h"

using namespace fescueline;

namespace {

/// Result of parsing bytes with one of the two readers of responses.
struct ParseResult {
  bool rejected = false;
  /// Whether the head of a final response is complete.
  bool hasHead = false;
};

/// Parses with the reader of the event loop, in steps.
ParseResult ParseByReader(HttpReaderKind aKind, const std::string& aBytes,
                          size_t aStep) {
  ParseResult result;
  HttpReader reader({.kind = aKind,
                     .events = {.onHead =
                                    [&result](const HttpHead&) {
                                      result.hasHead = true;
                                      return true;
                                    },
                                .onBody = [](std::string_view) {},
                                .onEnd = [] {}}});
  try {
    for (size_t at = 0; at < aBytes.size();) {
      const size_t used = reader.Feed(aBytes.substr(at, aStep));
      if (used == 0) {
        break;
      }
      at += used;
    }
  } catch (const Error&) {
    result.rejected = true;
  }
  return result;
}

/// Parses the lines of a head as the callbacks of libcurl do.
ParseResult ParseByTracker(const std::string& aBytes) {
  ParseResult result;
  ResponseHeadTracker tracker;
  for (size_t at = 0;
       at < aBytes.size() && !result.rejected && !tracker.IsComplete();) {
    const size_t end = std::min(aBytes.find('\n', at), aBytes.size() - 1) + 1;
    result.rejected = !tracker.AddLine(aBytes.substr(at, end - at)).empty();
    at = end;
  }
  result.hasHead = tracker.IsComplete();
  return result;
}

/// Checks that each reader rejects a response, or that each accepts its head,
/// however the network splits the bytes.
void CheckResponse(const std::string& aBytes, bool aRejected) {
  CAPTURE(aBytes);
  for (const size_t step : {aBytes.size(), size_t{1}, size_t{7}}) {
    CAPTURE(step);
    const ParseResult result =
        ParseByReader(HttpReaderKind::Response, aBytes, step);
    CHECK(result.rejected == aRejected);
    CHECK(result.hasHead == !aRejected);
  }
  const ParseResult result = ParseByTracker(aBytes);
  CHECK(result.rejected == aRejected);
  CHECK(result.hasHead == !aRejected);
}

/// Whether the byte may be part of a field name (RFC 9110, section 5.6.2).
bool IsNameByte(int aByte) {
  return std::isalnum(aByte) != 0 ||
         (aByte != 0 &&
          std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(aByte)) !=
              std::string_view::npos);
}

}  // namespace

// A target in trouble sends a status that is no HTTP status. Guards against
// passing it on as a response, and against 000 as the end of an exchange.
TEST_CASE("a status outside the grammar is malformed") {
  for (const std::string status :
       {"000", "001", "099", "600", "999", "0200", "2000", "20", "2", "", "+20",
        "-20", "2x0", "20o", " 200", "20 0", "\t200", "200\t", "2.0"}) {
    CheckResponse("HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nab",
                  true);
  }
  for (const std::string line :
       {"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1. 200 OK",
        "HTTP/11 200 OK", "HTTP/2.0 200 OK", "http/1.1 200 OK", "200 OK",
        "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7fK"}) {
    CheckResponse(line + "\r\nContent-Length: 2\r\n\r\nab", true);
  }
  for (const std::string line :
       {"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 599 X",
        "HTTP/1.1 200 R\xc3\xa9ussi\tX", "HTTP/1.1 299 ?"}) {
    CheckResponse(line + "\r\nContent-Length: 2\r\n\r\nab", false);
  }
}

// A target in trouble sends a field whose name holds a blank or a control byte.
// http_parser takes `Content-Length : 2` for framing and `Content-Le ngth: 2`
// for none. Guards against passing on such a field, and against a body that is
// not the target's.
TEST_CASE("a byte that is no part of a field name makes a head malformed") {
  for (const std::string name :
       {"Content-Length", "Transfer-Encoding", "Connection", "X-Mark"}) {
    const std::string value = name == "Transfer-Encoding" ? "chunked" : "2";
    for (const size_t at : {size_t{0}, name.size() / 2, name.size() - 1}) {
      for (int byte = 0; byte < 256; ++byte) {
        // A colon ends the name, and a line feed the line: at its start, that
        // ends the head.
        if (byte == ':' || (byte == '\n' && at == 0)) {
          continue;
        }
        std::string changed = name;
        changed[at] = static_cast<char>(byte);
        CheckResponse("HTTP/1.1 200 OK\r\n" + changed + ": " + value +
                          "\r\nX-Last: 1\r\n\r\n",
                      !IsNameByte(byte));
      }
    }
  }
}

// Guards against fields that are passed on or taken for framing although their
// line is malformed.
TEST_CASE("malformed field lines make a head malformed") {
  for (const std::string line :
       {"Content-Length : 2", "Content-Length\t: 2",
        "Transfer-Encoding : chunked", "Connection : close", ": no name",
        "no colon", "X-Mark", "X: a\x01z", "X: a\x7f", "X: \x1b[2J"}) {
    CheckResponse("HTTP/1.1 200 OK\r\n" + line + "\r\nX-Last: 1\r\n\r\n", true);
    CheckResponse("HTTP/1.1 103 Early\r\n" + line +
                      "\r\n\r\nHTTP/1.1 200 OK\r\nX-Last: 1\r\n\r\n",
                  true);
    CAPTURE(line);
    CHECK(ParseByReader(HttpReaderKind::Request,
                        "GET / HTTP/1.1\r\n" + line + "\r\n\r\n", 4096)
              .rejected);
    CHECK(ParseByReader(HttpReaderKind::Response,
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "0\r\n" +
                            line + "\r\n\r\n",
                        4096)
              .rejected);
  }
  CheckResponse(std::string("HTTP/1.1 200 OK\r\nX: a\0b\r\n\r\n", 27), true);
  for (const std::string line : {"X:", "X: ", "X:a", "X: a:b", "X:\ta \xe9\xff",
                                 "!#$%&'*+-.^_`|~09Az: 1"}) {
    CheckResponse("HTTP/1.1 200 OK\r\n" + line + "\r\nX-Last: 1\r\n\r\n",
                  false);
  }
}
