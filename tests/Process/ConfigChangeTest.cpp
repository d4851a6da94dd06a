#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include "Process/ProcessFleet.h"

using namespace fescueline;
using namespace fescueline::test;

namespace {
std::string Organisation(int aRate) {
  return R"({"rate":)" + std::to_string(aRate) + R"(,"burst":100,"weight":1})";
}

/// Version of a node's configuration; nothing if the node cannot be reached.
std::optional<uint64_t> VersionAt(ProcessFleet& aFleet, size_t aNode) {
  const auto status = aFleet.CallAdmin("GET", "/v1/status", "", aNode).Json();
  if (!status.is_object() || !status.contains("version")) {
    return std::nullopt;
  }
  return status["version"].get<uint64_t>();
}
}  // namespace

// Guards against traffic that depends on the table service, and against changes
// that are reported as accepted while it is down.
TEST_CASE("process-table-down") {
  ProcessFleet fleet({});
  REQUIRE(fleet.WaitReady());
  const std::string key = fleet.CreateCaller("acme", 10000, 10000);
  fleet.CreateRoute("fees", "fees");
  for (size_t node = 0; node < fleet.Size(); ++node) {
    REQUIRE(fleet.WaitServed(node, key, "/fees"));
  }
  fleet.SetTableFault(R"({"down":true})");
  const Reply change =
      fleet.CallAdmin("PUT", "/v1/config/org/late", Organisation(5), 1);
  CAPTURE(change.body);
  CHECK(change.status == 503);
  CallSeries series;
  constexpr size_t kRequests = 500;
  for (size_t i = 0; i < kRequests; ++i) {
    series.Start(
        fleet.Client(), "t-" + std::to_string(i),
        {.url = fleet.CallerUrl(i % 3) + "/fees", .headers = Bearer(key)});
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  REQUIRE(series.WaitAll(std::chrono::seconds(30)));
  size_t served = 0;
  for (const auto& [id, reply] : series.Replies()) {
    served += reply.status == 200 ? 1 : 0;
    if (reply.status != 200) {
      MESSAGE(id << ": " << reply.status << " " << reply.body);
    }
  }
  CHECK(served == kRequests);
  CHECK(fleet.CallAdmin("GET", "/v1/config/org/late", "", 0).status == 404);
  fleet.SetTableFault(R"({"down":false})");
  CHECK(WaitFor(std::chrono::seconds(30), [&] {
    return fleet.CallAdmin("PUT", "/v1/config/org/after", Organisation(5), 2)
               .status == 200;
  }));
}

// Guards against a lost update: two operators who change a record at the same
// time through two nodes.
TEST_CASE("process-conflicting-operators") {
  ProcessFleet fleet({});
  REQUIRE(fleet.WaitReady());
  fleet.CreateCaller("acme", 100, 100);
  for (int round = 0; round < 3; ++round) {
    CAPTURE(round);
    const uint64_t version =
        fleet.CallAdmin("GET", "/v1/config/org/acme", "", 0).Json()["version"];
    CallSeries series;
    for (size_t node = 0; node < 2; ++node) {
      series.Start(fleet.Client(), std::to_string(node),
                   fleet.OperatorRequest(
                       "PUT", "/v1/config/org/acme",
                       Organisation(200 + 10 * round + static_cast<int>(node)),
                       node, std::to_string(version)));
    }
    REQUIRE(series.WaitAll(std::chrono::seconds(40)));
    auto replies = series.Replies();
    const size_t winner = replies["0"].status == 200 ? 0 : 1;
    const Reply& won = replies[std::to_string(winner)];
    const Reply& lost = replies[std::to_string(1 - winner)];
    CAPTURE(won.body);
    CAPTURE(lost.body);
    REQUIRE(won.status == 200);
    REQUIRE(lost.status == 409);
    CHECK(won.Json()["version"] > version);
    CHECK(lost.Json()["version"] == won.Json()["version"]);
    for (size_t node = 0; node < fleet.Size(); ++node) {
      const auto record =
          fleet.CallAdmin("GET", "/v1/config/org/acme", "", node).Json();
      CHECK(record["value"]["rate"] ==
            200 + 10 * round + static_cast<int>(winner));
      CHECK(record["version"] == won.Json()["version"]);
    }
  }
}

// Guards against a reported failure or conflict when the table committed the
// change and its response was lost.
TEST_CASE("process-lost-table-answers") {
  ProcessFleet fleet({});
  REQUIRE(fleet.WaitReady());
  for (int lost = 1; lost <= 4; ++lost) {
    CAPTURE(lost);
    const std::string path = "/v1/config/org/o" + std::to_string(lost);
    fleet.SetTableFault(R"({"lose_answers":)" + std::to_string(lost) + "}");
    HttpTransferRequest request =
        fleet.OperatorRequest("PUT", path, Organisation(50), 0, "0");
    request.headers.push_back({"Fescueline-Token", "t" + std::to_string(lost)});
    Reply reply;
    // "Unknown" is allowed as long as a retry with the token resolves it.
    for (int i = 0; i < 3 && reply.status != 200; ++i) {
      CallSeries series;
      series.Start(fleet.Client(), "c", request);
      REQUIRE(series.WaitAll(std::chrono::seconds(40)));
      reply = series.Replies()["c"];
      CAPTURE(reply.body);
      CHECK((reply.status == 200 || reply.status == 504));
    }
    CAPTURE(reply.body);
    REQUIRE(reply.status == 200);
    for (size_t node = 0; node < fleet.Size(); ++node) {
      const auto record = fleet.CallAdmin("GET", path, "", node).Json();
      CHECK(record["version"] == reply.Json()["version"]);
    }
  }
}

// Guards against a node that serves an older configuration than the accepted
// one, especially right after its restart.
TEST_CASE("process-restarted-node-version") {
  ProcessFleet fleet({});
  REQUIRE(fleet.WaitReady());
  const std::string key = fleet.CreateCaller("acme", 10000, 10000);
  fleet.CreateRoute("old", "fees");
  for (size_t node = 0; node < fleet.Size(); ++node) {
    REQUIRE(fleet.WaitServed(node, key, "/old"));
  }
  const uint64_t routeVersion =
      fleet.CallAdmin("GET", "/v1/config/route/old", "", 0).Json()["version"];
  constexpr size_t kRestarted = 2;
  uint64_t accepted = 0;
  for (int round = 0; round < 3; ++round) {
    CAPTURE(round);
    const Reply change =
        round == 0
            ? fleet.CallAdmin("DELETE", "/v1/config/route/old", "", 0,
                              std::to_string(routeVersion))
            : fleet.CallAdmin("PUT", "/v1/config/org/n" + std::to_string(round),
                              Organisation(10), 0);
    REQUIRE_MESSAGE(change.status == 200, change.body);
    accepted = change.Json()["version"].get<uint64_t>();
    for (size_t node = 0; node < fleet.Size(); ++node) {
      CHECK(VersionAt(fleet, node).value_or(0) >= accepted);
    }
    fleet.Node(kRestarted).Kill();
    fleet.StartNode(kRestarted);
    // The version only grows, and no request is served by the deleted route.
    // Only polls that are answered count: the others depend on when the process
    // begins to listen, and thus on the machine's load.
    constexpr size_t kPolls = 200;
    const TimePoint limit = SteadyClock().Now() + std::chrono::seconds(30);
    uint64_t last = 0;
    size_t answered = 0;
    bool current = false;
    while (!current && answered < kPolls && SteadyClock().Now() < limit) {
      const auto version = VersionAt(fleet, kRestarted);
      answered += version ? 1 : 0;
      CHECK(version.value_or(last) >= last);
      last = version.value_or(last);
      const int status =
          fleet.Call(kRestarted, {.url = "/old", .headers = Bearer(key)})
              .status;
      CHECK(status != 200);
      current = last >= accepted;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    CAPTURE(answered);
    CAPTURE(last);
    CAPTURE(accepted);
    CHECK(current);
    REQUIRE(fleet.WaitReady());
  }
}
