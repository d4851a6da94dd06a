#include <doctest/doctest.h>

#include "Process/ProcessFleet.h"

using namespace fescueline;
using namespace fescueline::test;

// Guards against requests that run without a valid key, keys or forged contexts
// that reach a target, and invalid input whose refusal does not name the error.
TEST_CASE("process-request") {
  ProcessFleet fleet({});
  REQUIRE(fleet.WaitReady());
  const std::string key = fleet.CreateCaller("acme", 1000, 1000);
  fleet.CreateRoute("fees", "fees");
  fleet.CreateRoute("open", "fees", R"({"access":"open"})");
  for (size_t node = 0; node < fleet.Size(); ++node) {
    REQUIRE(fleet.WaitServed(node, key, "/fees"));
  }

  struct Row {
    const char* name;
    HttpTransferRequest request;
    int status;
    const char* cause;
    const char* field;
  };
  const std::string forged = "AAAA.BBBB";
  HttpHeaders withForged = Bearer(key);
  withForged.push_back({"fescueline-context", forged});
  withForged.push_back({"fescueline-organisation", "other"});
  HttpHeaders twoKeys = Bearer(key);
  twoKeys.push_back({"X-Api-Key", "other"});
  const std::vector<Row> rows = {
      {"with key", {.url = "/fees", .headers = Bearer(key)}, 200, "", ""},
      {"key in x-api-key",
       {.url = "/fees", .headers = {{"X-Api-Key", key}}},
       200,
       "",
       ""},
      {"forged context with key",
       {.url = "/fees", .headers = withForged},
       200,
       "",
       ""},
      {"open without key", {.url = "/open"}, 200, "", ""},
      {"open with unknown key",
       {.url = "/open", .headers = Bearer("fk_none")},
       200,
       "",
       ""},
      {"without key", {.url = "/fees"}, 401, "no-key", ""},
      {"unknown key",
       {.url = "/fees", .headers = Bearer("fk_none")},
       401,
       "unknown-key",
       ""},
      {"forged context without key",
       {.url = "/fees", .headers = {{"fescueline-context", forged}}},
       401,
       "no-key",
       ""},
      {"no route",
       {.url = "/none", .headers = Bearer(key)},
       404,
       "no-route",
       ""},
      {"key in the query",
       {.url = "/fees?a=" + key, .headers = Bearer(key)},
       400,
       "bad-request",
       "url"},
      {"key in the body",
       {.url = "/fees", .method = "POST", .headers = Bearer(key), .body = key},
       400,
       "bad-request",
       "body"},
      {"two keys",
       {.url = "/fees", .headers = twoKeys},
       400,
       "bad-request",
       "x-api-key"},
  };
  uint64_t served = fleet.ExecutionCount();
  for (size_t node = 0; node < fleet.Size(); ++node) {
    for (const Row& row : rows) {
      CAPTURE(node);
      CAPTURE(row.name);
      const Reply reply = fleet.Call(node, row.request);
      CAPTURE(reply.body);
      CHECK(reply.status == row.status);
      CHECK(reply.result.complete);
      CHECK(reply.Cause() == row.cause);
      CHECK(reply.body.find(row.field) != std::string::npos);
      served += row.status == 200 ? 1 : 0;
      CHECK(fleet.ExecutionCount() == served);
    }
  }
  // Targets are chosen at random: the few requests above can all miss one.
  constexpr int kMore = 20;
  for (int i = 0; i < kMore; ++i) {
    for (size_t node = 0; node < fleet.Size(); ++node) {
      CHECK(fleet.Call(node, {.url = "/fees", .headers = Bearer(key)}).status ==
            200);
    }
  }
  for (size_t target = 0; target < fleet.Size(); ++target) {
    const Reply stats = fleet.CallTarget(target, "GET", "/stand-in/stats");
    CHECK(stats.Json()["keys_seen"] == 0);
    CHECK(stats.Json()["executions"] > 0);
    CHECK(stats.body.find(forged) == std::string::npos);
    CHECK(stats.Json()["last_headers"].value("fescueline-organisation", "") !=
          "other");
  }
}

// Guards against invalid input of operators that is accepted or whose refusal
// does not name the field.
TEST_CASE("process-wrong-input") {
  ProcessFleet fleet({.instances = std::vector<ProcessFleet::Instance>(1)});
  REQUIRE(fleet.WaitReady());
  struct Row {
    const char* path;
    const char* body;
    const char* field;
  };
  const std::vector<Row> rows = {
      {"/v1/config/org/a", R"({"rate":-1,"burst":1,"weight":1})", "rate"},
      {"/v1/config/org/a", R"({"rate":1,"burst":"x","weight":1})", "burst"},
      {"/v1/config/route/r", R"({"service":"s","path_prefix":"r","labels":{}})",
       "path_prefix"},
      {"/v1/config/route/r",
       R"({"service":"s","path_prefix":"/r","labels":{"access":"maybe"}})",
       "access"},
      {"/v1/config/rule/r", R"({"selector":"a=","labels":{}})", "selector"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.body);
    const Reply reply = fleet.CallAdmin("PUT", row.path, row.body);
    CAPTURE(reply.body);
    CHECK(reply.status == 400);
    CHECK(reply.body.find(row.field) != std::string::npos);
  }
}
