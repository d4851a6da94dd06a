#include <doctest/doctest.h>

#include <thread>

#include "Process/ProcessFleet.h"

using namespace fescueline;
using namespace fescueline::test;

namespace {
constexpr size_t kEntry = 0;
constexpr size_t kFailing = 1;

/// An entry node without a target of the service, and two instances of the
/// service, one of which fails.
ProcessFleet::Settings EntryAndTwo() {
  const std::vector<std::string> work = {"--work-us", "50000"};
  return {.instances = {{.service = "front"},
                        {.service = "fees", .targetArguments = work},
                        {.service = "fees", .targetArguments = work}}};
}

struct Payments {
  ProcessFleet fleet{EntryAndTwo()};
  std::string key;
  CallSeries series;
  size_t sent = 0;

  Payments() {
    REQUIRE(this->fleet.WaitReady());
    this->key = this->fleet.CreateCaller("acme", 10000, 10000);
    this->fleet.CreateRoute("fees", "fees");
    REQUIRE(this->fleet.WaitServed(kEntry, this->key, "/fees"));
  }

  /// Sends non-idempotent POSTs at 100 a second.
  void Send(size_t aCount) {
    for (size_t i = 0; i < aCount; ++i) {
      this->series.Start(this->fleet.Client(),
                         "pay-" + std::to_string(this->sent++),
                         {.url = this->fleet.CallerUrl(kEntry) + "/fees",
                          .method = "POST",
                          .headers = Bearer(this->key),
                          .body = "payment",
                          .timeout = std::chrono::seconds(20)});
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  /// Sends until the failing instance gets requests; after a failure it gets
  /// only a few probes.
  void SendUntilFailingRuns() {
    const uint64_t before = this->fleet.Journal(kFailing, "run").size();
    for (size_t i = 0; i < 100; ++i) {
      this->Send(20);
      if (this->fleet.Journal(kFailing, "run").size() > before + 20) {
        return;
      }
    }
    FAIL("the instance gets no requests");
  }

  /// Checks that every request is answered, none ran twice, and each reported
  /// outcome is true.
  void Check() {
    REQUIRE(this->series.WaitAll(std::chrono::seconds(40)));
    // Attempts whose response was lost end within this time.
    std::this_thread::sleep_for(std::chrono::seconds(1));
    auto executions = this->fleet.Executions();
    size_t served = 0;
    size_t notRun = 0;
    size_t unknown = 0;
    for (const auto& [id, reply] : this->series.Replies()) {
      CAPTURE(id);
      CAPTURE(reply.status);
      CAPTURE(reply.body);
      CAPTURE(reply.result.error);
      const uint64_t runs = executions[id];
      CHECK(runs <= 1);
      CHECK(reply.status != 0);
      if (reply.status == 200) {
        CHECK(runs == 1);
        served++;
      } else if (reply.Outcome() == "not-run") {
        CHECK(runs == 0);
        notRun++;
      } else {
        unknown++;
      }
    }
    MESSAGE("served " << served << ", not run " << notRun << ", other "
                      << unknown);
    CHECK(this->series.Replies().size() == this->sent);
    // The rest of the fleet keeps serving.
    CHECK(served > this->sent / 3);
  }
};
}  // namespace

// Guards against a payment that is sent again after the connection to its node
// was lost, and against "not run" for one that ran.
TEST_CASE("process-payments-node-killed") {
  Payments payments;
  payments.Send(100);
  payments.fleet.Node(kFailing).Kill();
  payments.Send(100);
  payments.fleet.StartNode(kFailing);
  payments.Send(200);
  payments.Check();
}

// Guards against a payment that a paused node runs after its sender abandoned
// it and reported "not run" or sent it elsewhere.
TEST_CASE("process-payments-node-frozen") {
  Payments payments;
  payments.SendUntilFailingRuns();
  payments.fleet.Node(kFailing).Freeze();
  // Longer than the 1.5 s of silence after which a peer connection is closed.
  payments.Send(250);
  payments.fleet.Node(kFailing).Thaw();
  payments.SendUntilFailingRuns();
  // Longer than that time and the 3 s for which a sender queries the outcome.
  payments.fleet.Node(kFailing).Freeze();
  payments.Send(600);
  payments.fleet.Node(kFailing).Thaw();
  payments.Send(50);
  payments.Check();
}

// Guards against a payment that is retried after its target died during the
// work.
TEST_CASE("process-payments-target-killed") {
  Payments payments;
  payments.Send(100);
  payments.fleet.Target(kFailing).Kill();
  payments.Send(100);
  payments.fleet.StartTarget(kFailing);
  payments.Send(200);
  payments.Check();
}
