#include <fmt/format.h>

#include "Mesh/TargetPath.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

/// Longer than what the entry node buffers before it streams.
constexpr size_t kLong = 200'000;
constexpr size_t kShort = 600;

struct Kind {
  std::string what;
  size_t size = kShort;
  bool chunked = false;
  bool hasLength = true;
};

const std::vector<Kind> kKinds = {
    {"with a length"},
    {.what = "chunked", .chunked = true, .hasLength = false},
    {.what = "without a length", .hasLength = false},
    {.what = "long, with a length", .size = kLong},
    {.what = "long, chunked",
     .size = kLong,
     .chunked = true,
     .hasLength = false},
    {.what = "long, without a length", .size = kLong, .hasLength = false}};

std::string IdOf(const std::string& aRequest) {
  const size_t at = aRequest.find("X-Id: ") + 6;
  return aRequest.substr(at, aRequest.find("\r\n", at) - at);
}

/// Body whose content identifies each position.
std::string BodyOf(size_t aSize) {
  std::string body;
  while (body.size() < aSize) {
    body += fmt::format("{}.", body.size());
  }
  body.resize(aSize);
  return body;
}

std::string HeadOf(const Kind& aKind, const std::string& aId) {
  std::string fields = "Connection: close\r\n";
  if (aKind.chunked) {
    fields = "Transfer-Encoding: chunked\r\n";
  } else if (aKind.hasLength) {
    fields = fmt::format("Content-Length: {}\r\n", aKind.size);
  }
  return "HTTP/1.1 200 OK\r\nA: b\r\nX-Id: " + aId + "\r\n" + fields + "\r\n";
}

std::string ResponseOf(const Kind& aKind, const std::string& aId) {
  const std::string body = BodyOf(aKind.size);
  std::string bytes = HeadOf(aKind, aId);
  if (!aKind.chunked) {
    return bytes + body;
  }
  const size_t chunk = aKind.size / 4;
  for (size_t at = 0; at < body.size(); at += chunk) {
    bytes += fmt::format("{:x}\r\n{}\r\n", chunk, body.substr(at, chunk));
  }
  return bytes + "0\r\n\r\n";
}

/// Offsets in the response at which the first copy stops.
std::vector<size_t> CutsOf(const Kind& aKind) {
  const std::string bytes = ResponseOf(aKind, "r0");
  const size_t head = HeadOf(aKind, "r0").size();
  std::vector<size_t> cuts;
  for (size_t back = 1; back < 120; back += 3) {
    cuts.push_back(bytes.size() - back);
  }
  for (size_t i = 0; i < 8; ++i) {
    cuts.push_back(head + i * (aKind.size / 8) + 1);
  }
  return cuts;
}

/// Writes pieces one after another, with pauses.
void SendSlowly(const std::shared_ptr<TargetConnection>& aConnection,
                asio::io_context& aIo, std::vector<std::string> aPieces,
                std::function<void()> aDone) {
  if (aPieces.empty()) {
    aDone();
    return;
  }
  std::string first = std::move(aPieces.front());
  aPieces.erase(aPieces.begin());
  aConnection->Send(std::move(first), [aConnection, &aIo, aPieces, aDone] {
    const auto timer = std::make_shared<asio::steady_timer>(aIo, 2ms);
    timer->async_wait(
        [timer, aConnection, &aIo, aPieces, aDone](const asio::error_code&) {
          SendSlowly(aConnection, aIo, aPieces, aDone);
        });
  });
}

/// Waits until the response is complete or the caller's connection is closed.
ReceivedResponse Await(TargetPath& aPath, RawPeer& aCaller) {
  ReceivedResponse seen;
  REQUIRE(RunPromptly(aPath.io, [&] {
    seen = ReceivedResponse::Of(aCaller.received, false,
                                aCaller.closed && !aCaller.reset);
    return seen.complete || aCaller.closed;
  }));
  return seen;
}

}  // namespace

// A target stops within a body and writes the complete response again on the
// same connection, so that bytes of both fill the body. Guards against a
// corrupt body that looks complete, whether buffered or streamed.
TEST_CASE("a response restarted within its body is rejected") {
  for (const Kind& kind : kKinds) {
    CAPTURE(kind.what);
    size_t cut = 0;
    TargetPath path(
        [&](TargetConnection& aConnection, const std::string& aRequest) {
          const std::string full = ResponseOf(kind, IdOf(aRequest));
          const auto self = aConnection.shared_from_this();
          aConnection.Send(full.substr(0, cut) + full, [self, &kind] {
            if (!kind.chunked && !kind.hasLength) {
              self->Close();
            }
          });
        });
    size_t number = 0;
    for (const size_t at : CutsOf(kind)) {
      CAPTURE(at);
      cut = at;
      RawPeer& caller = path.NewCaller();
      ++number;
      caller.Send(TargetPath::Request("GET",
                                      number % 2 == 0 ? "/safe/" : "/once/",
                                      fmt::format("r{}", number % 10)));
      const ReceivedResponse seen = Await(path, caller);
      CHECK((seen.status == 502 || (seen.status == 200 && !seen.complete)));
      if (seen.status == 200 && kind.hasLength) {
        const size_t own =
            std::min(seen.body.size(), cut - HeadOf(kind, "r0").size());
        CHECK(seen.body.substr(0, own) == BodyOf(own));
      }
      CHECK(path.Open() == 0);
    }
    // If one read also contains the end of the chunk, the missing line end
    // after it is found first.
    CHECK((path.CountsFault(ResponseFault::Repeated) ||
           (kind.chunked && path.CountsFault(ResponseFault::Malformed))));
  }
}

// Guards against detection only if one read contains the head of the copy.
TEST_CASE("a restarted response is detected across split reads") {
  for (const Kind& kind : kKinds) {
    CAPTURE(kind.what);
    const size_t first = HeadOf(kind, "r1").size() + 170;
    TargetPath* world = nullptr;
    size_t split = 0;
    TargetPath path([&](TargetConnection& aConnection,
                        const std::string& aRequest) {
      const std::string full = ResponseOf(kind, IdOf(aRequest));
      const auto self = aConnection.shared_from_this();
      SendSlowly(
          self, world->io,
          {full.substr(0, first), full.substr(0, split), full.substr(split)},
          [self, &kind] {
            if (!kind.chunked && !kind.hasLength) {
              self->Close();
            }
          });
    });
    world = &path;
    for (split = 1; split < HeadOf(kind, "r1").size(); split += 2) {
      CAPTURE(split);
      RawPeer& caller = path.NewCaller();
      caller.Send(TargetPath::Request("GET", "/once/", "r1"));
      const ReceivedResponse seen = Await(path, caller);
      CHECK((seen.status == 502 || (seen.status == 200 && !seen.complete)));
    }
    CHECK(path.CountsFault(ResponseFault::Repeated));
  }
}

// Guards against rejecting bodies that quote another message or their own
// request.
TEST_CASE("bodies that quote other messages pass unchanged") {
  const std::vector<std::string> quotes = {
      "HTTP/1.1 200 OK",
      "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n",
      "HTTP/1.1 503 Full\r\nX-Id: r12\r\nX-Not-Run: 1\r\n\r\n",
      "GET /once/ HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n\r\n",
      "HTTP/1.1 200 OK\r\n\r\nX-Id: r1\r\n",
      "HTTP/1.1 20",
      "H"};
  std::string body;
  bool chunked = false;
  TargetPath path(
      [&](TargetConnection& aConnection, const std::string& aRequest) {
        const std::string head =
            "HTTP/1.1 200 OK\r\nX-Id: " + IdOf(aRequest) + "\r\n";
        aConnection.Send(
            chunked ? fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n"
                                  "{}\r\n0\r\n\r\n",
                                  head, body.size(), body)
                    : fmt::format("{}Content-Length: {}\r\n\r\n{}", head,
                                  body.size(), body));
      });
  for (const std::string& quote : quotes) {
    for (const size_t before : {size_t{0}, size_t{1000}, kLong}) {
      for (const size_t behind : {size_t{0}, size_t{1000}}) {
        for (const bool inChunks : {false, true}) {
          CAPTURE(quote);
          CAPTURE(before);
          CAPTURE(behind);
          CAPTURE(inChunks);
          body = BodyOf(before) + quote + BodyOf(behind);
          chunked = inChunks;
          RawPeer& caller = path.NewCaller();
          caller.Send(TargetPath::Request("GET", "/once/", "r1"));
          const ReceivedResponse seen = Await(path, caller);
          CHECK(seen.status == 200);
          CHECK(seen.complete);
          CHECK(seen.body == body);
        }
      }
    }
  }
  CHECK_FALSE(path.CountsFault(ResponseFault::Repeated));
}

// A target writes a complete response twice in a row. Guards against losing the
// first one because of the second.
TEST_CASE("a complete response before its copy is forwarded") {
  for (const Kind& kind : kKinds) {
    if (!kind.chunked && !kind.hasLength) {
      continue;  // Delimited by the end of the connection.
    }
    CAPTURE(kind.what);
    TargetPath path(
        [&](TargetConnection& aConnection, const std::string& aRequest) {
          const std::string full = ResponseOf(kind, IdOf(aRequest));
          aConnection.Send(full + full);
        });
    RawPeer& caller = path.NewCaller();
    caller.Send(TargetPath::Request("GET", "/once/", "r1"));
    const ReceivedResponse seen = Await(path, caller);
    CHECK(seen.status == 200);
    CHECK(seen.complete);
    CHECK(seen.body == BodyOf(kind.size));
    CHECK_FALSE(path.CountsFault(ResponseFault::Repeated));
  }
}

// A target stops shortly before the end of a body and writes the complete
// response again; the body ends within the head of the copy, whose rest follows
// later. Guards against a body with bytes of both that counts as whole.
TEST_CASE("a body that ends within the head of a copy is rejected") {
  for (const Kind& kind : kKinds) {
    if (kind.chunked) {
      continue;  // The last chunk ends the body without doubt.
    }
    CAPTURE(kind.what);
    const std::string head = HeadOf(kind, "r1");
    const size_t idEnd = head.find("r1\r\n") + 4;
    const size_t first = kind.hasLength ? 1 : std::string("HTTP/1.").size();
    TargetPath* world = nullptr;
    size_t within = 0;
    size_t split = 0;
    TargetPath path([&](TargetConnection& aConnection,
                        const std::string& aRequest) {
      const std::string full = ResponseOf(kind, IdOf(aRequest));
      const auto self = aConnection.shared_from_this();
      std::vector<std::string> pieces = {full.substr(0, full.size() - within) +
                                         full.substr(0, within)};
      if (kind.hasLength) {
        pieces.push_back(full.substr(within, split));
        pieces.push_back(full.substr(within + split));
      }
      SendSlowly(self, world->io, pieces, [self, &kind] {
        if (!kind.hasLength) {
          self->Close();
        }
      });
    });
    world = &path;
    for (within = first; within < idEnd; ++within) {
      for (const size_t pieceSize : {size_t{1}, idEnd - within, kind.size}) {
        CAPTURE(within);
        CAPTURE(pieceSize);
        split = pieceSize;
        RawPeer& caller = path.NewCaller();
        caller.Send(TargetPath::Request(
            "GET", within % 2 == 0 ? "/safe/" : "/once/", "r1"));
        const ReceivedResponse seen = Await(path, caller);
        CHECK((seen.status == 502 || (seen.status == 200 && !seen.complete)));
        CHECK(path.Open() == 0);
      }
    }
    CHECK(path.CountsFault(ResponseFault::Repeated));
  }
}

// Guards against a whole body that is lost or held back for long because its
// last bytes look like the head of another response.
TEST_CASE("a body that ends like a head is delivered in time") {
  constexpr auto kMaxDelay = 1s;
  const std::vector<std::string> ends = {
      "H", "HTTP/1.1 20", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX-Id: "};
  std::string body;
  bool closes = false;
  TargetPath path(
      [&](TargetConnection& aConnection, const std::string& aRequest) {
        const auto self = aConnection.shared_from_this();
        aConnection.Send(fmt::format("HTTP/1.1 200 OK\r\nX-Id: {}\r\n"
                                     "Content-Length: {}\r\n\r\n{}",
                                     IdOf(aRequest), body.size(), body),
                         [&closes, self] {
                           if (closes) {
                             self->Close();
                           }
                         });
      });
  for (const std::string& end : ends) {
    for (const bool closesAfter : {false, true}) {
      CAPTURE(end);
      CAPTURE(closesAfter);
      body = BodyOf(1000) + end;
      closes = closesAfter;
      RawPeer& caller = path.NewCaller();
      const auto start = std::chrono::steady_clock::now();
      caller.Send(TargetPath::Request("GET", "/once/", "r1"));
      const ReceivedResponse seen = Await(path, caller);
      CHECK(seen.complete);
      CHECK(seen.body == body);
      CHECK(std::chrono::steady_clock::now() - start < kMaxDelay);
    }
  }
  CHECK_FALSE(path.CountsFault(ResponseFault::Repeated));
}
