#include <doctest/doctest.h>

#include <atomic>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "EmbeddedFleet.h"
#include "Log/Log.h"
#include "Transport/ScriptedPeer.h"

using namespace fescueline;
using namespace fescueline::test;

namespace {
/// A node beside a target that the test scripts.
struct FaultyFleet {
  explicit FaultyFleet(ScriptedPeer::Script aScript)
      : target(std::move(aScript)) {
    REQUIRE(this->fleet.WaitReady(std::chrono::seconds(20)));
    this->fleet.CreateRoute("fees", "fees", "/fees", R"({"access":"open"})");
    // Replaces the stand-in, whose next announcement is due only after the
    // test.
    const auto announced = EmbeddedFleet::Fetch(
        this->fleet.Client(),
        {.url = "http://127.0.0.1:" +
                std::to_string(this->fleet.At(0).TargetPort()) + "/v1/announce",
         .method = "POST",
         .headers = {{"Content-Type", "application/json"}},
         .body = R"({"service":"fees","state":"ready","slots":10,"address":")" +
                 this->target.Address() + "\"}"});
    REQUIRE(announced.status < 300);
  }

  static EmbeddedFleet::Settings OneNode() {
    DisableLog();
    EmbeddedFleet::Settings settings;
    settings.instances = {
        {.service = "fees",
         .target = {.announcePeriod = std::chrono::minutes(1)}}};
    return settings;
  }

  ScriptedPeer target;
  EmbeddedFleet fleet{OneNode()};
};

/// Path of a request.
std::string PathOf(const ScriptedPeer::Turn& aTurn) {
  const size_t begin = aTurn.head.find(' ') + 1;
  return aTurn.head.substr(begin, aTurn.head.find(' ', begin) - begin);
}

std::string ResponseTo(const ScriptedPeer::Turn& aTurn, int aStatus,
                       bool aEchoes) {
  const std::string attempt = aTurn.Header("fescueline-attempt");
  const std::string path = PathOf(aTurn);
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" +
         (aEchoes ? "fescueline-attempt: " + attempt + "\r\n" : "") +
         (aStatus == 503 ? "fescueline-shed: " + attempt + "\r\n" : "") +
         "Content-Length: " + std::to_string(path.size()) + "\r\n\r\n" + path;
}
}  // namespace

// Guards against a caller that gets the response to an earlier request, or a
// refusal of it, because the target wrote it twice on a keep-alive connection.
TEST_CASE("a response that a target writes again reaches no caller") {
  struct Row {
    const char* name;
    int status;
    /// Whether the response carries the attempt id.
    bool echoes;
    /// Whether the copy is sent with the next request's response.
    bool late;
  };
  for (const Row& row : std::vector<Row>{
           {"late, with attempt id", 200, true, true},
           {"late, without attempt id", 200, false, true},
           {"at once, with attempt id", 200, true, false},
           {"at once, without attempt id", 200, false, false},
           {"late refusal, with attempt id", 503, true, true},
           {"late refusal, without attempt id", 503, false, true}}) {
    CAPTURE(std::string(row.name));
    std::atomic<size_t> ran{0};
    std::mutex mutex;
    std::string copy;
    size_t copyOf = 0;
    FaultyFleet world([&](const ScriptedPeer::Turn& aTurn) {
      const std::lock_guard lock(mutex);
      const bool first = PathOf(aTurn) == "/fees/0";
      if (!first) {
        ++ran;
      }
      if (row.late && aTurn.request > 0 && copyOf == aTurn.connection) {
        aTurn.Send(std::exchange(copy, {}));
      }
      const std::string own =
          ResponseTo(aTurn, first ? row.status : 200, row.echoes);
      copy = own;
      copyOf = aTurn.connection;
      aTurn.Send(row.late ? own : own + own);
    });
    constexpr size_t kCalls = 6;
    for (size_t i = 0; i < kCalls; ++i) {
      const std::string path = "/fees/" + std::to_string(i);
      const size_t before = ran;
      const auto response = world.fleet.Call(0, {.url = path});
      CAPTURE(path);
      CAPTURE(response.body);
      if (response.status == 200) {
        CHECK(response.complete);
        CHECK(response.body == path);
      } else if (ran > before) {
        CHECK(FindHeader(response.headers, "fescueline-outcome") != "not-run");
      }
    }
  }
}

// Guards against a response with a truncated head that reaches the caller as an
// empty one with status 200.
TEST_CASE("a response that breaks off in its head is not passed on") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\n\r\n";
  std::atomic<size_t> size{0};
  FaultyFleet world([&](const ScriptedPeer::Turn& aTurn) {
    aTurn.Send(head.substr(0, size));
    aTurn.Close();
  });
  for (size = 0; size < head.size(); ++size) {
    CAPTURE(size.load());
    const auto response = world.fleet.Call(0, {.url = "/fees"});
    CHECK(response.status != 200);
    CHECK(FindHeader(response.headers, "fescueline-outcome") != "not-run");
  }
}

// Guards against a caller that gets a truncated response instead of the outcome
// of its request.
TEST_CASE("a short response that breaks off in its body is not passed on") {
  struct Row {
    const char* name;
    const char* method;
    std::string framing;
    std::string part;
  };
  const std::string length = "Content-Length: 5\r\n\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<Row> rows = {
      {"no byte of the body", "POST", length, ""},
      {"a part of the body", "POST", length, "abcd"},
      {"a part of the body of GET", "GET", length, "abcd"},
      {"no chunk", "POST", chunked, ""},
      {"a part of a chunk", "POST", chunked, "5\r\nab"},
      {"no last chunk", "POST", chunked, "5\r\nabcde\r\n"}};
  std::atomic<const Row*> row{nullptr};
  FaultyFleet world([&](const ScriptedPeer::Turn& aTurn) {
    aTurn.Send("HTTP/1.1 200 OK\r\n" + row.load()->framing + row.load()->part);
    aTurn.Close();
  });
  for (const Row& next : rows) {
    CAPTURE(std::string(next.name));
    row = &next;
    const auto response =
        world.fleet.Call(0, {.url = "/fees", .method = next.method});
    CHECK(response.status != 200);
    CHECK(response.status > 500);
    CHECK(response.complete);
    CHECK(FindHeader(response.headers, "fescueline-outcome") == "unknown");
    CHECK(FindHeader(response.headers, "fescueline-cause") == "target-failed");
  }
}
