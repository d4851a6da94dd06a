#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "Http1/RawPeer.h"
#include "Mesh/EntrySide.h"
#include "Transport/ScriptedNode.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

/// Longer than what the entry node buffers before it streams.
constexpr size_t kLength = 300'000;

MeshConfigPtr OpenRoute(const std::string&) {
  MeshRoute route;
  route.name = "lookup";
  route.host = "h";
  route.prefix = "/";
  route.services = {{.service = "fees", .weight = 1}};
  route.timeout = 5s;
  route.idempotent = true;
  route.open = true;
  route.maxTargets = 2;
  return std::make_shared<MeshConfig>(
      MeshConfig::Content{.version = 1, .routes = {route}});
}

using Script = ScriptedNode::Script;

/// Sends a long response, or aPart bytes of it and closes the connection.
Script LongResponse(size_t aPart) {
  return [aPart](const PeerServer::SessionPtr& aSession, uint64_t aStream) {
    aSession->Send(ResponseHeadFrame{
        .stream = aStream, .status = 200, .contentLength = kLength});
    SendBody(aSession, aStream, aPart);
    if (aPart == kLength) {
      aSession->Send(ResponseEndFrame{.stream = aStream, .complete = true});
      return;
    }
    CloseSoon(aSession);
  };
}

struct World {
  explicit World(const Script& aScript,
                 const std::string& aRequest =
                     "GET /x HTTP/1.1\r\nHost: h\r\nX-Id: a\r\n\r\n")
      : first(this->io, "n1", aScript), second(this->io, "n2", aScript) {
    this->entry.AddMember("n1", this->first.server.Port());
    this->entry.AddMember("n2", this->second.server.Port());
    REQUIRE(RunUntil(
        this->io, [this] { return this->entry.fleet.UsableTargets() == 2; }));
    this->entry.callers.Start();
    this->caller.Connect(this->entry.callers.Port());
    this->caller.Send(aRequest);
  }
  ~World() {
    this->entry.fleet.CloseAll();
    RunUntil(
        this->io, [] { return false; }, 50ms);
  }

  /// Whether the metrics page has a line with that name, label and value.
  bool HasMetric(const std::string& aName, const std::string& aLabel,
                 const std::string& aValue) const {
    std::istringstream page(this->entry.metrics.Page());
    for (std::string line; std::getline(page, line);) {
      if (line.starts_with(aName) && line.ends_with(" " + aValue) &&
          line.find(aLabel) != std::string::npos) {
        return true;
      }
    }
    return false;
  }
  /// Number of response heads that the caller has received.
  size_t Heads() const {
    size_t count = 0;
    const std::string& bytes = this->caller.received;
    for (size_t at = bytes.find("HTTP/1.1 "); at != std::string::npos;
         at = bytes.find("HTTP/1.1 ", at + 1)) {
      ++count;
    }
    return count;
  }

  asio::io_context io{1};
  ScriptedNode first;
  ScriptedNode second;
  EntrySide entry{this->io,
                  {.node = "n0", .fleetSecret = "secret"},
                  {.requestId = "x-id", .timeout = "x-timeout"},
                  OpenRoute};
  RawPeer caller{this->io};
};

}  // namespace

// The connection to a target's node is lost within a long response. Guards
// against sending another response, whose bytes the caller would take for the
// rest of the body.
TEST_CASE("a response that has begun is never replaced") {
  World world(LongResponse(200'000));
  REQUIRE(RunUntil(world.io, [&world] { return world.caller.closed; }));
  CHECK(world.Heads() == 1);
  CHECK(world.first.attempts + world.second.attempts == 1);
  // With fewer bytes than announced, the response does not look complete.
  CHECK(world.caller.received.size() < kLength);
  CHECK(world.HasMetric("fescueline_requests_refused_total", "connection-lost",
                        "1"));
}

// Guards against metrics that omit streamed responses.
TEST_CASE("a long response is counted when it is complete") {
  World world(LongResponse(kLength));
  REQUIRE(RunUntil(
      world.io, [&world] { return world.caller.received.size() >= kLength; }));
  CHECK(world.Heads() == 1);
  CHECK(RunUntil(world.io, [&world] {
    return world.HasMetric("fescueline_requests_served_total", "", "1");
  }));
}

// Guards against giving up a request whose truncated response was still
// buffered, so that the caller has received nothing of it.
TEST_CASE("a request with a truncated buffered response is retried") {
  World world(LongResponse(1000));
  REQUIRE(RunUntil(world.io, [&world] { return world.Heads() > 0; }));
  CHECK(world.first.attempts == 1);
  CHECK(world.second.attempts == 1);
  CHECK(world.caller.received.starts_with("HTTP/1.1 502"));
}

// Guards against a request that a stopping node accepts too late and aborts,
// and against a downstream call that fails because its parent's node stops.
TEST_CASE("a stopping node refuses callers but serves downstream calls") {
  for (const bool isCall : {false, true}) {
    CAPTURE(isCall);
    World world(LongResponse(1000), "");
    RunningAttemptPtr parent;
    if (isCall) {
      parent = std::make_shared<RunningAttempt>(
          RequestContext{},
          RunningAttempt::Times{.rootStart = SteadyClock().Now(),
                                .deadline = SteadyClock().Now() + 5s},
          1);
      world.entry.running.Add("a", parent);
    }
    world.entry.service.RefuseNew();
    world.caller.Send("GET /x HTTP/1.1\r\nHost: h\r\nX-Id: " +
                      std::string(isCall ? "a.1" : "b") + "\r\n\r\n");
    REQUIRE(RunUntil(world.io, [&world] { return world.Heads() > 0; }));
    const size_t attempts = world.first.attempts + world.second.attempts;
    CHECK((attempts > 0) == isCall);
    CHECK(world.caller.received.starts_with("HTTP/1.1 503") != isCall);
    CHECK(world.HasMetric("fescueline_requests_refused_total", "draining",
                          "1") != isCall);
  }
}

namespace {
struct SequenceCase {
  std::string what;
  Script script;
};

const std::vector<SequenceCase> kInvalidSequences = {
    {"an end without a head",
     [](const SessionPtr& aSession, uint64_t aStream) {
       SendEnd(aSession, aStream);
     }},
    {"a body without a head",
     [](const SessionPtr& aSession, uint64_t aStream) {
       SendBody(aSession, aStream, 4);
       SendEnd(aSession, aStream);
     }},
    {"a second head",
     [](const SessionPtr& aSession, uint64_t aStream) {
       SendHead(aSession, aStream, -1);
       SendBody(aSession, aStream, 2);
       SendHead(aSession, aStream, -1);
       SendEnd(aSession, aStream);
     }},
    {"less than the length",
     [](const SessionPtr& aSession, uint64_t aStream) {
       SendHead(aSession, aStream, 5);
       SendBody(aSession, aStream, 4);
       SendEnd(aSession, aStream);
     }},
    {"more than the length",
     [](const SessionPtr& aSession, uint64_t aStream) {
       SendHead(aSession, aStream, 3);
       SendBody(aSession, aStream, 4);
       SendEnd(aSession, aStream);
     }},
    {"an interim status",
     [](const SessionPtr& aSession, uint64_t aStream) {
       SendHead(aSession, aStream, -1, 100);
       SendEnd(aSession, aStream);
     }},
    {"a body of a status without one",
     [](const SessionPtr& aSession, uint64_t aStream) {
       SendHead(aSession, aStream, -1, 204);
       SendBody(aSession, aStream, 4);
       SendEnd(aSession, aStream);
     }},
    {"a refusal after a head",
     [](const SessionPtr& aSession, uint64_t aStream) {
       SendHead(aSession, aStream, -1);
       aSession->Send(
           RefusalFrame{.stream = aStream,
                        .outcome = static_cast<uint8_t>(Outcome::NotRun),
                        .cause = static_cast<uint8_t>(Cause::TargetShed)});
     }}};
}  // namespace

// A peer sends frames in an invalid sequence. Guards against a part of a
// response that looks complete, and against "not run" for a request that has
// run.
TEST_CASE("an invalid sequence of frames is answered as unknown") {
  for (const SequenceCase& row : kInvalidSequences) {
    CAPTURE(row.what);
    World world(row.script);
    REQUIRE(RunUntil(world.io, [&world] { return world.Heads() > 0; }));
    CHECK(world.caller.received.starts_with("HTTP/1.1 502"));
  }
}

// Guards against bytes of a second response within a body.
TEST_CASE("a second head in a long response ends the connection") {
  World world([](const SessionPtr& aSession, uint64_t aStream) {
    SendHead(aSession, aStream, kLength);
    SendBody(aSession, aStream, 200'000);
    SendHead(aSession, aStream, 100'000);
    SendBody(aSession, aStream, 100'000);
    SendEnd(aSession, aStream);
  });
  CHECK(RunUntil(world.io, [&world] { return world.caller.closed; }));
  CHECK(world.Heads() == 1);
  CHECK(world.caller.received.size() < kLength);
}

// An attempt breaks off within a short response, and the next one ends without
// a response. Guards against delivering the partial response of the first one.
TEST_CASE("an attempt does not end with the response of another") {
  const auto attempts = std::make_shared<size_t>(0);
  World world([attempts](const SessionPtr& aSession, uint64_t aStream) {
    if (++*attempts > 1) {
      SendEnd(aSession, aStream);
      return;
    }
    SendHead(aSession, aStream, -1);
    SendBody(aSession, aStream, 100);
    CloseSoon(aSession);
  });
  REQUIRE(RunUntil(world.io, [&world] { return world.Heads() > 0; }));
  CHECK(*attempts == 2);
  CHECK(world.caller.received.starts_with("HTTP/1.1 502"));
}

// Guards against a response to HEAD whose length differs from that of the body
// that GET would get.
TEST_CASE("a response to HEAD keeps its length") {
  World world(
      [](const SessionPtr& aSession, uint64_t aStream) {
        SendHead(aSession, aStream, 1234);
        SendEnd(aSession, aStream);
      },
      "HEAD /x HTTP/1.1\r\nHost: h\r\nX-Id: a\r\n\r\n");
  REQUIRE(RunUntil(world.io, [&world] { return world.Heads() > 0; }));
  CHECK(world.caller.received.starts_with("HTTP/1.1 200"));
  CHECK(Contains(world.caller.received, "Content-Length: 1234\r\n"));
  CHECK(world.caller.received.ends_with("\r\n\r\n"));
}

namespace {

struct StoppingCase {
  const char* what;
  bool refusesCalls;
  /// Identifier of the request; "a.1" is a call made by the request "a".
  const char* id;
  /// Whether the request that made the call runs at the local target.
  bool hasParent;
  std::string status;
};

}  // namespace

// A stopping node gets requests until it ends. Guards against passing on what
// the end of the process would abort, and against failing the requests that run
// at its target by refusing their calls too early.
TEST_CASE("a stopping node passes on no request that it cannot finish") {
  for (const StoppingCase& row : std::vector<StoppingCase>{
           {"a caller's request", false, "b", false, "503"},
           {"a call", false, "a.1", true, "200"},
           {"a call of an unknown request", false, "a.1", false, "200"},
           {"a caller's request shortly before the end", true, "b", false,
            "503"},
           {"a call shortly before the end", true, "a.1", true, "503"},
           {"a call of an unknown request shortly before the end", true, "a.1",
            false, "503"}}) {
    CAPTURE(row.what);
    World world(LongResponse(kLength));
    REQUIRE(RunUntil(world.io, [&world] {
      return world.caller.received.size() >= kLength;
    }));
    if (row.hasParent) {
      const TimePoint now = SteadyClock().Now();
      world.entry.running.Add(
          "a",
          std::make_shared<RunningAttempt>(
              RequestContext{.remaining = 5s},
              RunningAttempt::Times{.rootStart = now, .deadline = now + 5s},
              1));
    }
    world.entry.service.RefuseNew();
    if (row.refusesCalls) {
      world.entry.service.RefuseCalls();
    }
    const size_t before = world.first.attempts + world.second.attempts;
    RawPeer caller(world.io);
    caller.Connect(world.entry.callers.Port());
    caller.Send(std::string("GET /x HTTP/1.1\r\nHost: h\r\nX-Id: ") + row.id +
                "\r\n\r\n");
    REQUIRE(RunUntil(world.io, [&caller] { return !caller.received.empty(); }));
    CHECK(caller.received.substr(9, 3) == row.status);
    CHECK(world.first.attempts + world.second.attempts ==
          before + (row.status == "200" ? 1 : 0));
    RunUntil(world.io, [&world] { return world.entry.service.Open() == 0; });
  }
}
