#include <doctest/doctest.h>

#include "EmbeddedFleet.h"
#include "Log/Log.h"

using namespace fescueline;

namespace {
EmbeddedFleet::Settings ThreeNodes() {
  DisableLog();
  EmbeddedFleet::Settings settings;
  settings.instances = {{.service = "front", .target = {.calls = {"/fees"}}},
                        {.service = "fees", .target = {}},
                        {.service = "fees", .target = {}}};
  return settings;
}

HttpHeaders Bearer(const std::string& aKey) {
  return {{"Authorization", "Bearer " + aKey}};
}
}  // namespace

// Guards against requests that run without a valid key, keys that reach a
// target, and contexts forged by a caller.
TEST_CASE(
    "a request is served end to end and its key stays at the entry node") {
  EmbeddedFleet fleet(ThreeNodes());
  REQUIRE(fleet.WaitReady(std::chrono::seconds(20)));
  fleet.CreateOrganisation("acme", 1000, 1000);
  fleet.CreateRoute("fees", "fees", "/fees");
  fleet.CreateRoute("front", "front", "/front");
  fleet.CreateRoute("open", "fees", "/open", R"({"access":"open"})");
  const std::string key = fleet.GrantKey("acme");

  struct Row {
    const char* name;
    std::string path;
    HttpHeaders headers;
    int status;
    const char* cause;
  };
  const std::vector<Row> rows = {
      {"with key", "/fees", Bearer(key), 200, ""},
      {"through two services", "/front", Bearer(key), 200, ""},
      {"without key", "/fees", {}, 401, "no-key"},
      {"unknown key", "/fees", Bearer("fk_none"), 401, "unknown-key"},
      {"open without key", "/open", {}, 200, ""},
      {"no route", "/nowhere", Bearer(key), 404, "no-route"},
      {"key in the query", "/fees?key=" + key, Bearer(key), 400, "bad-request"},
      {"forged context",
       "/fees",
       {{"fescueline-context", "AAAA.BBBB"}},
       401,
       "no-key"},
      {"two keys",
       "/fees",
       {{"Authorization", "Bearer " + key}, {"X-Api-Key", "other"}},
       400,
       "bad-request"},
  };
  for (size_t node = 0; node < fleet.Size(); ++node) {
    for (const Row& row : rows) {
      CAPTURE(node);
      CAPTURE(row.name);
      const auto response =
          fleet.Call(node, {.url = row.path, .headers = row.headers});
      CAPTURE(response.body);
      CHECK(response.status == row.status);
      CHECK(response.complete);
      CHECK(FindHeader(response.headers, "fescueline-cause").value_or("") ==
            row.cause);
    }
  }
  // Targets are chosen at random: the nine requests above all miss one of the
  // two with a probability of 0.4%.
  constexpr int kMore = 20;
  for (int i = 0; i < kMore; ++i) {
    for (size_t node = 0; node < fleet.Size(); ++node) {
      CHECK(fleet.Call(node, {.url = "/fees", .headers = Bearer(key)}).status ==
            200);
    }
  }
  for (size_t node = 0; node < fleet.Size(); ++node) {
    const auto stats = fleet.TargetAt(node).GetStats();
    CHECK(stats.keysSeen == 0);
    CHECK(stats.executions > 0);
  }
}
