#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "ExposedKey.h"

using namespace fescueline;

// Guards against a stand-in that mistakes three characters of a signed context
// for a caller's key, and against one that misses a key.
TEST_CASE("the stand-in detects a key only where there is one") {
  struct Row {
    std::string name;
    HttpRequest request;
    bool exposed;
  };
  const auto with = [](const std::string& aName, const std::string& aValue) {
    return HttpRequest{.method = "GET",
                       .target = "/fees",
                       .headers = {{aName, aValue}},
                       .body = {}};
  };
  const std::vector<Row> rows = {
      {"context with the prefix by chance",
       with("fescueline-context", "eyJh.pfk_wJyYg"), false},
      {"key in the context", with("fescueline-context", "eyJh.fk_wJyYg"), true},
      {"key alone in the context", with("Fescueline-Context", "fk_wJyYg"),
       true},
      {"key within another header", with("x-note", "pfk_wJyYg"), true},
      {"Authorization header", with("Authorization", "Basic YQ=="), true},
      {"X-Api-Key header", with("X-Api-Key", ""), true},
      {"key in the target",
       {.method = "GET", .target = "/a?k=fk_a", .headers = {}, .body = {}},
       true},
      {"key in the body",
       {.method = "POST", .target = "/a", .headers = {}, .body = "fk_a"},
       true},
      {"no key", with("x-note", "fees"), false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CHECK(ExposesKey(row.request) == row.exposed);
  }
}
