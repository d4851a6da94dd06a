#include <doctest/doctest.h>

#include <algorithm>

#include "Process/ProcessFleet.h"

using namespace fescueline;
using namespace fescueline::test;

namespace {
HttpTransferRequest Payment(const std::string& aUrl, const std::string& aKey,
                            const std::string& aIdempotencyKey) {
  HttpHeaders headers = Bearer(aKey);
  headers.push_back({"Idempotency-Key", aIdempotencyKey});
  return {.url = aUrl, .method = "POST", .headers = headers, .body = "pay"};
}
}  // namespace

// Guards against a retried payment that runs again because the retry came
// through another node, and against a run without a claim while the table is
// down.
TEST_CASE("process-idempotency-key") {
  ProcessFleet fleet({});
  const std::string key = fleet.ServeFees();
  REQUIRE(!key.empty());
  constexpr size_t kPairs = 50;
  CallSeries series;
  for (size_t i = 0; i < kPairs; ++i) {
    const std::string name = "at-once-" + std::to_string(i);
    for (size_t node = 0; node < 2; ++node) {
      series.Start(fleet.Client(), name + "/" + std::to_string(node),
                   Payment(fleet.CallerUrl(node) + "/fees", key, name));
    }
  }
  REQUIRE(series.WaitAll(std::chrono::seconds(30)));
  auto executions = fleet.Executions();
  auto replies = series.Replies();
  for (size_t i = 0; i < kPairs; ++i) {
    const std::string name = "at-once-" + std::to_string(i);
    const Reply& first = replies[name + "/0"];
    const Reply& second = replies[name + "/1"];
    CAPTURE(name);
    CAPTURE(first.body);
    CAPTURE(second.body);
    CHECK(executions[name + "/0"] + executions[name + "/1"] == 1);
    CHECK(std::min(first.status, second.status) == 200);
    CHECK(std::max(first.status, second.status) == 409);
  }

  const uint64_t before = fleet.ExecutionCount();
  CHECK(fleet.Call(0, Payment("/fees", key, "in-turn")).status == 200);
  for (size_t node = 0; node < fleet.Size(); ++node) {
    const Reply again = fleet.Call(node, Payment("/fees", key, "in-turn"));
    CHECK(again.status == 409);
    CHECK(again.Cause() == "duplicate");
  }
  CHECK(fleet.ExecutionCount() == before + 1);

  fleet.SetTableFault(R"({"down":true})");
  for (size_t node = 0; node < fleet.Size(); ++node) {
    CAPTURE(node);
    const Reply refused = fleet.Call(node, Payment("/fees", key, "down"));
    CHECK(refused.status == 503);
    CHECK(refused.Outcome() == "not-run");
    CHECK(refused.Cause() == "store-unavailable");
  }
  CHECK(fleet.ExecutionCount() == before + 1);

  // A refusal with "not run" releases the key.
  fleet.SetTableFault(R"({"down":false})");
  REQUIRE(WaitFor(std::chrono::seconds(20), [&] {
    return fleet.Call(1, Payment("/fees", key, "down")).status != 503;
  }));
  CHECK(fleet.ExecutionCount() == before + 2);
}
