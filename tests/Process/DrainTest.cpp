#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include "Process/ProcessFleet.h"

using namespace fescueline;
using namespace fescueline::test;

namespace {
constexpr size_t kEntry = 0;
constexpr size_t kLeaving = 1;

struct Load {
  ProcessFleet fleet{
      {.instances = {
           {.service = "front"},
           {.service = "fees", .targetArguments = {"--work-us", "20000"}},
           {.service = "fees", .targetArguments = {"--work-us", "20000"}}}}};
  std::string key;
  CallSeries series;
  size_t sent = 0;

  Load() {
    REQUIRE(this->fleet.WaitReady());
    this->key = this->fleet.CreateCaller("acme", 10000, 10000);
    this->fleet.CreateRoute("fees", "fees");
    REQUIRE(this->fleet.WaitServed(kEntry, this->key, "/fees"));
  }

  void Send(size_t aNode, const std::string& aMethod) {
    this->series.Start(this->fleet.Client(),
                       "w-" + std::to_string(this->sent++),
                       {.url = this->fleet.CallerUrl(aNode) + "/fees",
                        .method = aMethod,
                        .headers = Bearer(this->key),
                        .timeout = std::chrono::seconds(20)});
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }

  uint64_t RunsAt(size_t aTarget) const {
    uint64_t runs = 0;
    for (const auto& [id, count] : this->fleet.Journal(aTarget, "run")) {
      runs += count;
    }
    return runs;
  }

  /// Checks that every response is complete: 200 for a request that ran once,
  /// or a refusal of one that did not run.
  void CheckAllComplete() {
    REQUIRE(this->series.WaitAll(std::chrono::seconds(40)));
    auto executions = this->fleet.Executions();
    size_t refused = 0;
    for (const auto& [id, reply] : this->series.Replies()) {
      CAPTURE(id);
      CAPTURE(reply.status);
      CAPTURE(reply.body);
      CAPTURE(reply.result.error);
      // The stopped node no longer accepts connections.
      const bool unsent = reply.status == 0 && !reply.result.mayHaveBeenSent;
      CHECK((reply.result.complete || unsent));
      if (reply.status == 200) {
        CHECK(executions[id] == 1);
      } else {
        CHECK((unsent || reply.Outcome() == "not-run"));
        CHECK(executions[id] == 0);
        refused++;
      }
    }
    MESSAGE("sent " << this->sent << ", refused " << refused);
    CHECK(refused < this->sent / 2);
  }
};
}  // namespace

// Guards against nodes that keep sending requests to a draining target.
TEST_CASE("process-draining-target") {
  Load load;
  for (int i = 0; i < 100; ++i) {
    load.Send(kEntry, "GET");
  }
  REQUIRE(load.RunsAt(kLeaving) > 0);
  load.fleet.CallTarget(kLeaving, "POST", "/stand-in/set",
                        R"({"state":"draining"})");
  const TimePoint limit = SteadyClock().Now() + std::chrono::seconds(3);
  while (SteadyClock().Now() < limit) {
    load.Send(kEntry, "GET");
  }
  const uint64_t before = load.RunsAt(kLeaving);
  for (int i = 0; i < 400; ++i) {
    load.Send(kEntry, "GET");
  }
  REQUIRE(load.series.WaitAll(std::chrono::seconds(20)));
  CHECK(load.RunsAt(kLeaving) == before);
  load.CheckAllComplete();
}

// Guards against a planned stop of a target's node that truncates responses or
// leaves payments with an unknown outcome.
TEST_CASE("process-stop-of-target-node") {
  Load load;
  for (int i = 0; i < 100; ++i) {
    load.Send(kEntry, i % 2 == 0 ? "GET" : "POST");
  }
  REQUIRE(load.RunsAt(kLeaving) > 0);
  load.fleet.Node(kLeaving).Terminate();
  for (int i = 0; i < 300; ++i) {
    load.Send(kEntry, i % 2 == 0 ? "GET" : "POST");
  }
  CHECK(load.fleet.Node(kLeaving).WaitExit(std::chrono::seconds(30)) == 0);
  load.CheckAllComplete();
}

// Guards against a planned stop of the callers' entry node that truncates
// responses or leaves payments with an unknown outcome.
TEST_CASE("process-stop-of-entry-node") {
  Load load;
  for (int i = 0; i < 100; ++i) {
    load.Send(kEntry, i % 2 == 0 ? "GET" : "POST");
  }
  load.fleet.Node(kEntry).Terminate();
  for (int i = 0; i < 60; ++i) {
    load.Send(kEntry, i % 2 == 0 ? "GET" : "POST");
  }
  CHECK(load.fleet.Node(kEntry).WaitExit(std::chrono::seconds(30)) == 0);
  load.CheckAllComplete();
}
