#include <doctest/doctest.h>

#include "PlatformAdapter/MeshTestFleet.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

// Guards against a broken path through the fleet, and against keys that reach a
// target.
TEST_CASE("a request is served through two nodes and a downstream call") {
  MeshTestFleet fleet({});
  const MeshAnswer answer = fleet.Call(0, "GET", "/lookup/x");
  CHECK(answer.status == 200);
  CHECK(answer.complete);
  CHECK(answer.body == "answer to r1");
  CHECK(answer.Header("X-Server-Signature") == "s-r1");
  REQUIRE(fleet.runs.size() == 2);
  CHECK(fleet.runs[0].service == "front");
  CHECK(fleet.runs[0].organisation == "acme");
  CHECK(fleet.runs[1].service == "deep");
  CHECK(fleet.runs[1].organisation.empty());
  for (const PlatformTarget::Run& run : fleet.runs) {
    CHECK_FALSE(run.sawKey);
  }
}

// Every node restarts while its target keeps running. Guards against a fleet
// that serves nothing until each target's next report.
TEST_CASE("a node finds a running target before its first report") {
  MeshTestFleet fleet({.targetsReport = false});
  CHECK(fleet.Call(0, "GET", "/lookup/x").status == 200);
}

// A request arrives at a stopping node while the store is slow to remove the
// node's row. Guards against a process that ends and aborts the request.
TEST_CASE("a node ends after the last request that arrived before its end") {
  MeshTestFleet fleet({.deepWork = 300ms});
  fleet.Node(0).Stop();
  // The row is removed 2.6 s after the stop, when callers have left.
  fleet.Pass(2500ms);
  fleet.store.Fault().slow = 400ms;
  fleet.Pass(250ms);
  fleet.Send(0, "late", "GET", "/lookup/late");
  const auto limit = std::chrono::steady_clock::now() + 3s;
  do {
    // The node stops the event loop when it ends.
    fleet.io.restart();
    fleet.io.run_for(5ms);
  } while (!fleet.io.stopped() && std::chrono::steady_clock::now() < limit);
  REQUIRE(fleet.io.stopped());
  REQUIRE(fleet.answers.contains("late"));
  CHECK(fleet.answers["late"].status == 200);
  CHECK(fleet.answers["late"].complete);
}

struct RefusedCase {
  const char* path;
  const char* key;
  int status;
};

// Guards against unauthorised requests that run.
TEST_CASE("requests with unknown routes or keys are refused and do not run") {
  MeshTestFleet fleet({});
  for (const RefusedCase& row :
       std::vector<RefusedCase>{{"/none/", "acme-key", 404},
                                {"/lookup/", "", 401},
                                {"/lookup/", "other", 401},
                                {"/deep/", "", 200}}) {
    CAPTURE(row.path);
    CHECK(fleet.Call(0, "GET", row.path, row.key).status == row.status);
  }
  CHECK(fleet.runs.size() == 1);
}

// Guards against a withdrawn key that is still accepted, and a new key that is
// not.
TEST_CASE("a new configuration is applied by every node at once") {
  MeshTestFleet fleet({});
  CHECK(fleet.Call(0, "GET", "/lookup/").status == 200);
  fleet.PutConfig(5, {"new-key"});
  fleet.Pass(300ms);
  for (size_t node = 0; node < fleet.Size(); ++node) {
    CHECK(fleet.Call(node, "GET", "/lookup/").status == 401);
    CHECK(fleet.Call(node, "GET", "/lookup/", "new-key").status == 200);
  }
  // An older version that arrives late changes nothing.
  fleet.PutConfig(3, {"acme-key"});
  fleet.Pass(300ms);
  CHECK(fleet.Call(0, "GET", "/lookup/").status == 401);
}

// Guards against keys that are still accepted when no node can verify whether
// they were withdrawn, and against open routes that fail without the store.
TEST_CASE("without the store, only open routes outlive the freshness limit") {
  for (const bool silent : {false, true}) {
    CAPTURE(silent);
    MeshTestFleet fleet({});
    (silent ? fleet.store.Fault().silent : fleet.store.Fault().down) = true;
    fleet.Pass(1000ms);
    CHECK(fleet.Call(0, "GET", "/lookup/").status == 200);
    fleet.Pass(3500ms);
    const size_t before = fleet.runs.size();
    CHECK(fleet.Call(0, "GET", "/lookup/").status == 503);
    CHECK(fleet.runs.size() == before);
    CHECK(fleet.Call(0, "GET", "/deep/", "").status == 200);
    fleet.store.Fault() = {};
    CHECK(RunUntil(fleet.io, [&] {
      return fleet.Call(0, "GET", "/lookup/").status == 200;
    }));
  }
}

// Guards against new requests for a target that has announced its departure,
// and against aborted requests when it drains.
TEST_CASE("a draining target gets no new requests and completes its own") {
  MeshTestFleet fleet({.fronts = 1, .deeps = 3, .deepWork = 100ms});
  for (int i = 0; i < 12; ++i) {
    fleet.Send(0, fmt::format("a{}", i), "GET", "/deep/", "");
  }
  fleet.Pass(40ms);
  fleet.Target(1).Drain();
  REQUIRE(RunUntil(fleet.io,
                   [&] { return fleet.Target(1).DrainedAt().has_value(); }));
  fleet.Pass(200ms);
  const uint64_t before = fleet.Target(1).Runs();
  for (int i = 0; i < 30; ++i) {
    fleet.Send(0, fmt::format("b{}", i), "GET", "/deep/", "");
    fleet.Pass(5ms);
  }
  REQUIRE(fleet.WaitAnswers(42));
  CHECK(fleet.Target(1).Runs() == before);
  for (const auto& [id, answer] : fleet.answers) {
    CAPTURE(id);
    CHECK(answer.status == 200);
  }
}

// Targets lose responses, shed requests and lose connections. Guards against a
// non-idempotent request that runs twice, or that is reported as "not run"
// although it ran.
TEST_CASE("a non-idempotent request runs at most once") {
  MeshTestFleet fleet({.fronts = 2, .deeps = 2, .frontCalls = false});
  fleet.Target(0).SetLose(0.3);
  fleet.Target(1).SetShed(0.3);
  constexpr int kRequests = 150;
  for (int i = 0; i < kRequests; ++i) {
    fleet.Send(i % fleet.Size(), fmt::format("p{}", i), "POST", "/filing/");
    fleet.Pass(3ms);
  }
  REQUIRE(fleet.WaitAnswers(kRequests));
  size_t unknown = 0;
  for (const auto& [id, answer] : fleet.answers) {
    CAPTURE(id);
    CAPTURE(answer.status);
    CHECK(fleet.RunsOf(id) <= 1);
    if (answer.status == 200) {
      CHECK(fleet.RunsOf(id) == 1);
      CHECK(answer.body == "answer to " + id);
    } else if (answer.status == 503 || answer.status == 429) {
      CHECK(fleet.RunsOf(id) == 0);
    } else {
      CHECK(answer.status == 502);
      ++unknown;
    }
  }
  CHECK(unknown > 0);
}

// Guards against a planned stop that aborts requests or delays others.
TEST_CASE("a stopping node is not ready at once and aborts no request") {
  MeshTestFleet fleet({.fronts = 2, .deeps = 3, .deepWork = 150ms});
  for (int i = 0; i < 20; ++i) {
    fleet.Send(i % 2, fmt::format("s{}", i), "GET", "/lookup/");
  }
  fleet.Pass(60ms);
  fleet.Node(2).Stop();
  CHECK_FALSE(fleet.Node(2).IsReady());
  for (int i = 20; i < 60; ++i) {
    fleet.Send(i % 2, fmt::format("s{}", i), "GET", "/lookup/");
    fleet.Pass(10ms);
  }
  REQUIRE(fleet.WaitAnswers(60));
  for (const auto& [id, answer] : fleet.answers) {
    CAPTURE(id);
    CHECK(answer.status == 200);
  }
}

// Guards against a fleet-wide rate that each node grants separately.
TEST_CASE("an organisation gets its rate once, not once per node") {
  MeshTestFleet fleet({.frontCalls = false});
  fleet.PutConfig(2, {"acme-key"}, 40);
  fleet.Pass(1500ms);
  int sent = 0;
  for (int step = 0; step < 200; ++step) {
    for (size_t node = 0; node < fleet.Size(); ++node) {
      fleet.Send(node, fmt::format("q{}", sent++), "GET", "/direct/");
    }
    fleet.Pass(10ms);
  }
  REQUIRE(fleet.WaitAnswers(sent));
  size_t served = 0;
  for (const auto& [id, answer] : fleet.answers) {
    CHECK((answer.status == 200 || answer.status == 429));
    served += answer.status == 200 ? 1 : 0;
  }
  // A rate of 40 per second and a burst of 40, over at least 2 s and at most
  // 8 s, with the tolerance that users accept.
  CHECK(served >= 60);
  CHECK(served <= (40 * 8 + 40) * 1.1 + 20);
}
