#include <doctest/doctest.h>

#include "PlatformAdapter/MeshWorld.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

// Guards against a broken path through the fleet, and against keys that reach a
// target.
TEST_CASE("a request is served through two nodes and a downstream call") {
  MeshWorld world({});
  const MeshAnswer answer = world.Call(0, "GET", "/lookup/x");
  CHECK(answer.status == 200);
  CHECK(answer.complete);
  CHECK(answer.body == "answer to r1");
  CHECK(answer.Header("X-Server-Signature") == "s-r1");
  REQUIRE(world.runs.size() == 2);
  CHECK(world.runs[0].service == "front");
  CHECK(world.runs[0].organisation == "acme");
  CHECK(world.runs[1].service == "deep");
  CHECK(world.runs[1].organisation.empty());
  for (const PlatformTarget::Run& run : world.runs) {
    CHECK_FALSE(run.sawKey);
  }
}

// Every node restarts while its target keeps running. Guards against a fleet
// that serves nothing until each target's next report.
TEST_CASE("a node finds a running target before its first report") {
  MeshWorld world({.targetsReport = false});
  CHECK(world.Call(0, "GET", "/lookup/x").status == 200);
}

// A request arrives at a stopping node while the store is slow to remove the
// node's row. Guards against a process that ends and aborts the request.
TEST_CASE("a node ends after the last request that arrived before its end") {
  MeshWorld world({.deepWork = 300ms});
  world.Node(0).Stop();
  // The row is removed 2.6 s after the stop, when callers have left.
  world.Pass(2500ms);
  world.store.Fault().slow = 400ms;
  world.Pass(250ms);
  world.Send(0, "late", "GET", "/lookup/late");
  const auto limit = std::chrono::steady_clock::now() + 3s;
  do {
    // The node stops the event loop when it ends.
    world.io.restart();
    world.io.run_for(5ms);
  } while (!world.io.stopped() && std::chrono::steady_clock::now() < limit);
  REQUIRE(world.io.stopped());
  REQUIRE(world.answers.contains("late"));
  CHECK(world.answers["late"].status == 200);
  CHECK(world.answers["late"].complete);
}

struct RefusedCase {
  const char* path;
  const char* key;
  int status;
};

// Guards against unauthorised requests that run.
TEST_CASE("requests with unknown routes or keys are refused and do not run") {
  MeshWorld world({});
  for (const RefusedCase& row :
       std::vector<RefusedCase>{{"/none/", "acme-key", 404},
                                {"/lookup/", "", 401},
                                {"/lookup/", "other", 401},
                                {"/deep/", "", 200}}) {
    CAPTURE(row.path);
    CHECK(world.Call(0, "GET", row.path, row.key).status == row.status);
  }
  CHECK(world.runs.size() == 1);
}

// Guards against a withdrawn key that is still accepted, and a new key that is
// not.
TEST_CASE("a new configuration is applied by every node at once") {
  MeshWorld world({});
  CHECK(world.Call(0, "GET", "/lookup/").status == 200);
  world.PutConfig(5, {"new-key"});
  world.Pass(300ms);
  for (size_t node = 0; node < world.Size(); ++node) {
    CHECK(world.Call(node, "GET", "/lookup/").status == 401);
    CHECK(world.Call(node, "GET", "/lookup/", "new-key").status == 200);
  }
  // An older version that arrives late changes nothing.
  world.PutConfig(3, {"acme-key"});
  world.Pass(300ms);
  CHECK(world.Call(0, "GET", "/lookup/").status == 401);
}

// Guards against keys that are still accepted when no node can verify whether
// they were withdrawn, and against open routes that fail without the store.
TEST_CASE("without the store, only open routes outlive the freshness limit") {
  for (const bool silent : {false, true}) {
    CAPTURE(silent);
    MeshWorld world({});
    (silent ? world.store.Fault().silent : world.store.Fault().down) = true;
    world.Pass(1000ms);
    CHECK(world.Call(0, "GET", "/lookup/").status == 200);
    world.Pass(3500ms);
    const size_t before = world.runs.size();
    CHECK(world.Call(0, "GET", "/lookup/").status == 503);
    CHECK(world.runs.size() == before);
    CHECK(world.Call(0, "GET", "/deep/", "").status == 200);
    world.store.Fault() = {};
    CHECK(RunUntil(world.io, [&] {
      return world.Call(0, "GET", "/lookup/").status == 200;
    }));
  }
}

// Guards against new requests for a target that has announced its departure,
// and against aborted requests when it drains.
TEST_CASE("a draining target gets no new requests and completes its own") {
  MeshWorld world({.fronts = 1, .deeps = 3, .deepWork = 100ms});
  for (int i = 0; i < 12; ++i) {
    world.Send(0, fmt::format("a{}", i), "GET", "/deep/", "");
  }
  world.Pass(40ms);
  world.Target(1).Drain();
  REQUIRE(RunUntil(world.io,
                   [&] { return world.Target(1).DrainedAt().has_value(); }));
  world.Pass(200ms);
  const uint64_t before = world.Target(1).Runs();
  for (int i = 0; i < 30; ++i) {
    world.Send(0, fmt::format("b{}", i), "GET", "/deep/", "");
    world.Pass(5ms);
  }
  REQUIRE(world.WaitAnswers(42));
  CHECK(world.Target(1).Runs() == before);
  for (const auto& [id, answer] : world.answers) {
    CAPTURE(id);
    CHECK(answer.status == 200);
  }
}

// Targets lose responses, shed requests and lose connections. Guards against a
// non-idempotent request that runs twice, or that is reported as "not run"
// although it ran.
TEST_CASE("a non-idempotent request runs at most once") {
  MeshWorld world({.fronts = 2, .deeps = 2, .frontCalls = false});
  world.Target(0).SetLose(0.3);
  world.Target(1).SetShed(0.3);
  constexpr int kRequests = 150;
  for (int i = 0; i < kRequests; ++i) {
    world.Send(i % world.Size(), fmt::format("p{}", i), "POST", "/filing/");
    world.Pass(3ms);
  }
  REQUIRE(world.WaitAnswers(kRequests));
  size_t unknown = 0;
  for (const auto& [id, answer] : world.answers) {
    CAPTURE(id);
    CAPTURE(answer.status);
    CHECK(world.RunsOf(id) <= 1);
    if (answer.status == 200) {
      CHECK(world.RunsOf(id) == 1);
      CHECK(answer.body == "answer to " + id);
    } else if (answer.status == 503 || answer.status == 429) {
      CHECK(world.RunsOf(id) == 0);
    } else {
      CHECK(answer.status == 502);
      ++unknown;
    }
  }
  CHECK(unknown > 0);
}

// Guards against a planned stop that aborts requests or delays others.
TEST_CASE("a stopping node is not ready at once and aborts no request") {
  MeshWorld world({.fronts = 2, .deeps = 3, .deepWork = 150ms});
  for (int i = 0; i < 20; ++i) {
    world.Send(i % 2, fmt::format("s{}", i), "GET", "/lookup/");
  }
  world.Pass(60ms);
  world.Node(2).Stop();
  CHECK_FALSE(world.Node(2).IsReady());
  for (int i = 20; i < 60; ++i) {
    world.Send(i % 2, fmt::format("s{}", i), "GET", "/lookup/");
    world.Pass(10ms);
  }
  REQUIRE(world.WaitAnswers(60));
  for (const auto& [id, answer] : world.answers) {
    CAPTURE(id);
    CHECK(answer.status == 200);
  }
}

// Guards against a fleet-wide rate that each node grants separately.
TEST_CASE("an organisation gets its rate once, not once per node") {
  MeshWorld world({.frontCalls = false});
  world.PutConfig(2, {"acme-key"}, 40);
  world.Pass(1500ms);
  int sent = 0;
  for (int step = 0; step < 200; ++step) {
    for (size_t node = 0; node < world.Size(); ++node) {
      world.Send(node, fmt::format("q{}", sent++), "GET", "/direct/");
    }
    world.Pass(10ms);
  }
  REQUIRE(world.WaitAnswers(sent));
  size_t served = 0;
  for (const auto& [id, answer] : world.answers) {
    CHECK((answer.status == 200 || answer.status == 429));
    served += answer.status == 200 ? 1 : 0;
  }
  // A rate of 40 per second and a burst of 40, over at least 2 s and at most
  // 8 s, with the tolerance that users accept.
  CHECK(served >= 60);
  CHECK(served <= (40 * 8 + 40) * 1.1 + 20);
}
