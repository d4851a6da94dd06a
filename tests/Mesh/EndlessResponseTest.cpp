#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>

#include "Mesh/TargetPath.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

struct EndlessCase {
  std::string what;
  /// Sent once; ID is replaced by the request's identifier.
  std::string begin;
  /// Sent repeatedly until the node closes the connection.
  std::string piece;
  std::chrono::milliseconds pause = 0ms;
};

std::string Times(const std::string& aText, size_t aCount) {
  std::string text;
  for (size_t i = 0; i < aCount; ++i) {
    text += aText;
  }
  return text;
}

const std::string kStart = "HTTP/1.1 200 OK\r\nX-Id: ID\r\n";
const std::string kChunked = kStart + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kOther = "HTTP/1.1 200 OK\r\nX-Id: other\r\n";
const std::string kHuge = "Content-Length: 1000000000000\r\n\r\n";
const std::string kBody(size_t{16} * 1024, 'x');
/// Limits the rate of bodies, as the test keeps all bytes that callers receive.
constexpr auto kSteady = 1ms;
constexpr auto kSlow = 20ms;
/// Upper bound of the event-loop steps of a request and its response: a read
/// and a write at the caller, two nodes and the target in each direction, and
/// the posted steps in between.
constexpr size_t kSteps = 32;

const std::vector<EndlessCase> kEndless = {
    {"fields", kStart, Times("A: b\r\n", 100)},
    {"one value", kStart + "A: ", kBody},
    {"a reason phrase", "HTTP/1.1 200 ", kBody},
    {"empty lines before the status", "", Times("\r\n", 500)},
    {"interim responses", "", Times("HTTP/1.1 102 X\r\n\r\n", 50)},
    {"responses to other requests", "",
     Times(kOther + "Content-Length: 0\r\n\r\n", 50)},
    {"the body of a response to another request", kOther + kHuge, kBody},
    {"a chunk extension", kChunked + "1;", kBody},
    {"trailers", kChunked + "1\r\na\r\n0\r\n", Times("A: b\r\n", 100)},
    {"a body with a length", kStart + kHuge, kBody, kSteady},
    {"a body without a length", kStart + "\r\n", kBody, kSteady},
    {"tiny chunks", kChunked, Times("1\r\na\r\n", 100), kSteady},
    {"tiny chunks one by one", kChunked, "1\r\na\r\n", kSteady},
    {"slow fields", kStart, "A: b\r\n", kSlow},
    {"a slow value", kStart + "A: ", "x", kSlow},
    {"a slow reason phrase", "HTTP/1.1 200 ", "x", kSlow},
    {"slow empty lines", "", "\r\n", kSlow},
    {"slow interim responses", "", "HTTP/1.1 102 X\r\n\r\n", kSlow},
    {"a slow chunk extension", kChunked + "1;", "x", kSlow},
    {"slow trailers", kChunked + "0\r\n", "A: b\r\n", kSlow},
    {"a slow body", kStart + kHuge, "x", kSlow}};

/// Maximum number of events while another request is served: between two of its
/// steps, each connection of each endless response has an event at both ends.
const size_t kMaxEvents = kSteps * kEndless.size() * 6;

/// Sends the endless response selected by the request's path; answers any other
/// request normally.
void Play(TargetConnection& aConnection, const std::string& aRequest) {
  const size_t at = aRequest.find("/row");
  if (at != std::string::npos) {
    const EndlessCase& row = kEndless[std::stoul(aRequest.substr(at + 4))];
    std::string begin = row.begin;
    if (const size_t id = begin.find("ID"); id != std::string::npos) {
      begin.replace(id, 2, "r");
    }
    aConnection.Send(begin, [&aConnection, &row] {
      aConnection.SendRepeatedly(row.piece, row.pause);
    });
    return;
  }
  aConnection.Send(
      "HTTP/1.1 200 OK\r\nX-Id: ok\r\nContent-Length: 2\r\n\r\nok");
}

}  // namespace

// A target sends endless bytes, fast or slowly, in each part of a response.
// Guards against requests that outlive their deadline, against a response that
// looks complete, and against starvation of other requests.
TEST_CASE("endless responses last until the deadline at most") {
  constexpr auto kTimeout = 400ms;
  TargetPath path(Play);
  std::vector<RawPeer*> callers;
  for (size_t i = 0; i < kEndless.size(); ++i) {
    callers.push_back(&path.NewCaller());
    callers.back()->Send(TargetPath::Request(
        "GET", fmt::format("/{}/row{}/", i % 2 == 0 ? "safe" : "once", i), "r",
        "X-Timeout: 400\r\n"));
  }
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  RawPeer& other = path.NewCaller();
  while (std::chrono::steady_clock::now() < end - 100ms) {
    other.received.clear();
    other.Send(TargetPath::Request("GET", "/once/", "ok"));
    REQUIRE(RunEvents(
        path.io, [&other] { return other.received.ends_with("ok"); },
        kMaxEvents));
  }
  CHECK(RunPromptly(
      path.io, [&path] { return path.Open() == 0; }, 500ms));
  for (size_t i = 0; i < kEndless.size(); ++i) {
    CAPTURE(kEndless[i].what);
    const RawPeer& caller = *callers[i];
    // A response that has begun at the caller ends after that of the target.
    REQUIRE(RunPromptly(path.io, [&caller] {
      const bool began = caller.received.starts_with("HTTP/1.1 200");
      return !caller.received.empty() && (!began || caller.closed);
    }));
    const ReceivedResponse seen = ReceivedResponse::Of(
        caller.received, false, caller.closed && !caller.reset);
    CHECK((seen.status == 200 || seen.status == 502 || seen.status == 504));
    CHECK((seen.status != 200 || (!seen.complete && caller.closed)));
  }
  // Only the connection of the other requests stays open, idle. The target sees
  // the close of the others later than the node.
  CHECK(RunPromptly(path.io, [&path] {
    return std::ranges::count(path.connections, false,
                              &TargetConnection::closed) <= 1;
  }));
}

namespace {
/// Upper bound of what a node may read of a discarded body.
constexpr uint64_t kMaxDiscarded = uint64_t{8} << 20;

const std::vector<EndlessCase> kDiscarded = {
    {"with a length", kStart + kHuge, kBody},
    {"without a length", kStart + "\r\n", kBody},
    {"chunked", kChunked, "4000\r\n" + kBody + "\r\n"}};
}  // namespace

// A caller disconnects while a target answers a non-idempotent request with an
// endless body. Guards against reading it at full speed until the deadline, at
// the cost of the node's other requests.
TEST_CASE("an endless body of an abandoned request is not read to its end") {
  for (const EndlessCase& row : kDiscarded) {
    CAPTURE(row.what);
    TargetPath path([&row](TargetConnection& aConnection, const std::string&) {
      std::string begin = row.begin;
      begin.replace(begin.find("ID"), 2, "r");
      aConnection.Send(begin + row.piece, [&aConnection, &row] {
        aConnection.SendRepeatedly(row.piece, row.pause);
      });
    });
    RawPeer& caller = path.NewCaller();
    caller.Send(
        TargetPath::Request("POST", "/once/", "r", "Content-Length: 0\r\n"));
    REQUIRE(
        RunPromptly(path.io, [&caller] { return !caller.received.empty(); }));
    const uint64_t before = path.connections[0]->written;
    caller.Close();
    CHECK(RunPromptly(
        path.io, [&path] { return path.Open() == 0; }, 1000ms));
    CHECK(path.connections[0]->written - before < kMaxDiscarded);
  }
}

// A target declares that it did not run a request, with an endless body. Guards
// against a refusal that reaches the caller only at the deadline.
TEST_CASE("a refusal with an endless body is forwarded at once") {
  TargetPath path([](TargetConnection& aConnection, const std::string&) {
    aConnection.Send(
        "HTTP/1.1 503 Full\r\nX-Id: r\r\nX-Not-Run: 1\r\n" + kHuge,
        [&aConnection] { aConnection.SendRepeatedly(kBody, 0ms); });
  });
  RawPeer& caller = path.NewCaller();
  caller.Send(TargetPath::Request("GET", "/once/", "r"));
  CHECK(RunPromptly(
      path.io, [&caller] { return !caller.received.empty(); }, 1000ms));
  CHECK(caller.received.starts_with("HTTP/1.1 503"));
  CHECK(path.connections[0]->written < kMaxDiscarded);
}

namespace {
/// Number of requests that get the same endless response.
constexpr size_t kCallers = 8;
/// Upper bound of the bytes that two nodes hold for one response: a buffered
/// response, the credit of its stream at each of them, and a read of each.
constexpr size_t kMaxHeldBytes = size_t{1} << 20;

/// Bytes allocated by this process.
size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}
}  // namespace

// A target sends bytes without end in a head or in a body, and the callers read
// nothing. Guards against nodes that keep all of them and run out of memory.
TEST_CASE("nodes hold a bounded part of an endless response") {
  for (size_t i = 0; i < kEndless.size(); ++i) {
    if (kEndless[i].pause == kSlow) {
      continue;
    }
    CAPTURE(kEndless[i].what);
    uint64_t offered = 0;
    // Sent without a pause, as fast as the nodes read.
    TargetPath path([i](TargetConnection& aConnection, const std::string&) {
      std::string begin = kEndless[i].begin;
      if (const size_t id = begin.find("ID"); id != std::string::npos) {
        begin.replace(id, 2, "r");
      }
      aConnection.Send(begin, [&aConnection, i] {
        aConnection.SendRepeatedly(kEndless[i].piece, 0ms);
      });
    });
    RunPromptly(
        path.io, [] { return false; }, 20ms);
    const size_t before = AllocatedBytes();
    size_t most = 0;
    for (size_t caller = 0; caller < kCallers; ++caller) {
      RawPeer& peer = path.NewCaller();
      peer.Pause();
      peer.Send(TargetPath::Request("GET",
                                    caller % 2 == 0 ? "/safe/" : "/once/", "r",
                                    "X-Timeout: 600\r\n"));
    }
    RunPromptly(
        path.io,
        [&] {
          most = std::max(most, AllocatedBytes());
          return false;
        },
        400ms);
    for (const auto& connection : path.connections) {
      offered += connection->written;
    }
    REQUIRE(path.connections.size() >= kCallers);
    CHECK(offered > 0);
    CHECK(most < before + kCallers * kMaxHeldBytes);
  }
}
