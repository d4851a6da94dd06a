#include <doctest/doctest.h>

#include "Process/ProcessFleet.h"

using namespace fescueline;
using namespace fescueline::test;

// Guards against retries that multiply along a chain of services.
TEST_CASE("process-retries-of-chain") {
  ProcessFleet fleet(
      {.instances = {
           {.service = "front", .targetArguments = {"--call", "/middle"}},
           {.service = "middle", .targetArguments = {"--call", "/leaf"}},
           {.service = "middle", .targetArguments = {"--call", "/leaf"}},
           {.service = "leaf"},
           {.service = "leaf"}}});
  REQUIRE(fleet.WaitReady());
  const std::string key = fleet.CreateCaller("acme", 10000, 10000);
  for (const char* route : {"front", "middle", "leaf"}) {
    fleet.CreateRoute(route, route, R"({"retries":"3"})");
  }
  REQUIRE(fleet.WaitServed(0, key, "/front"));
  constexpr uint64_t kRetries = 3;
  constexpr size_t kFirstLeaf = 3;
  const auto arrivals = [&] {
    uint64_t count = 0;
    for (size_t leaf = kFirstLeaf; leaf < fleet.Size(); ++leaf) {
      for (const auto& [id, runs] : fleet.Journal(leaf, "arrive")) {
        count += runs;
      }
    }
    return count;
  };
  for (size_t leaf = kFirstLeaf; leaf < fleet.Size(); ++leaf) {
    REQUIRE(
        fleet.CallTarget(leaf, "POST", "/stand-in/set", R"({"shedding":true})")
            .status == 204);
  }
  uint64_t total = 0;
  uint64_t most = 0;
  constexpr size_t kRequests = 40;
  for (size_t i = 0; i < kRequests; ++i) {
    CAPTURE(i);
    const uint64_t before = arrivals();
    const Reply reply =
        fleet.Call(0, {.url = "/front", .headers = Bearer(key)});
    CHECK(reply.status != 200);
    CHECK(reply.result.complete);
    const uint64_t caused = arrivals() - before;
    CHECK(caused <= 1 + kRetries);
    most = std::max(most, caused);
    total += caused;
  }
  MESSAGE("arrivals at the leaves: " << total << " for " << kRequests
                                     << " requests, at most " << most);
  CHECK(total > 0);
}

// Guards against responses that are mixed up, truncated without an error, or
// reported as complete although the target truncated them.
TEST_CASE("process-large-responses") {
  ProcessFleet fleet({});
  REQUIRE(fleet.WaitReady());
  const std::string key = fleet.CreateCaller("acme", 10000, 10000);
  fleet.CreateRoute("fees", "fees");
  for (size_t node = 0; node < fleet.Size(); ++node) {
    REQUIRE(fleet.WaitServed(node, key, "/fees"));
  }
  constexpr size_t kBytes = 4 * 1024 * 1024;
  constexpr size_t kRequests = 60;
  CallSeries series;
  const TimePoint startedAt = SteadyClock().Now();
  for (size_t i = 0; i < kRequests; ++i) {
    HttpHeaders headers = Bearer(key);
    const std::string id = std::to_string(i);
    const bool large = i % 2 == 0;
    if (large) {
      headers.push_back({"x-body-bytes", std::to_string(kBytes + i)});
    } else {
      headers.push_back({"x-echo", "echo-" + id});
    }
    if (i % 4 == 0) {
      headers.push_back({"x-chunked", "1"});
    }
    if (i % 6 == 0) {
      headers.push_back({"x-break-body", "1"});
    }
    series.Start(fleet.Client(), id,
                 {.url = fleet.CallerUrl(i % fleet.Size()) + "/fees",
                  .headers = headers,
                  .timeout = std::chrono::seconds(30)});
  }
  REQUIRE(series.WaitAll(std::chrono::seconds(60)));
  MESSAGE(ToSeconds(SteadyClock().Now() - startedAt) << " s");
  auto replies = series.Replies();
  for (size_t i = 0; i < kRequests; ++i) {
    CAPTURE(i);
    const Reply& reply = replies[std::to_string(i)];
    CAPTURE(reply.result.error);
    CAPTURE(reply.body.size());
    CHECK(reply.status == 200);
    if (i % 6 == 0) {
      CHECK_FALSE(reply.result.complete);
      CHECK(reply.body.size() < kBytes + i);
    } else if (i % 2 == 0) {
      CHECK(reply.result.complete);
      // Not compared in CHECK, which would print both bodies.
      const bool same = reply.body == std::string(kBytes + i, 'x');
      CHECK(same);
    } else {
      CHECK(reply.result.complete);
      CHECK(reply.Json()["echo"] == "echo-" + std::to_string(i));
      CHECK(reply.Json()["organisation"] == "acme");
    }
  }
}
