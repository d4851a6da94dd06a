#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "Config/ConfigSnapshot.h"

using namespace fescueline;

namespace {
struct RouteCase {
  std::string method;
  std::string path;
  std::string route;
};

struct PolicyCase {
  std::string method;
  std::string organisation;
  std::string importance;
  std::string by;
};

TableRecord MakeRecord(const std::string& aKey, const std::string& aValue,
                       uint64_t aVersion = 1) {
  return {.key = aKey, .value = aValue, .version = aVersion, .deleted = false};
}

TableRecord MakeRoute(const std::string& aName, const std::string& aPrefix,
                      const std::string& aRest = "") {
  return MakeRecord("route/" + aName, R"({"service":"fees","path_prefix":")" +
                                          aPrefix + "\"" + aRest + "}");
}

TableRecord MakeRule(const std::string& aName, const std::string& aSelector,
                     const std::string& aImportance) {
  return MakeRecord("rule/" + aName, R"({"selector":")" + aSelector +
                                         R"(","labels":{"importance":")" +
                                         aImportance + "\"}}");
}

ConfigSnapshot Build(const std::vector<TableRecord>& aRecords) {
  return ConfigSnapshot(ConfigSnapshot(), 1, aRecords);
}
}  // namespace

// Guards against matching another route than the path that the target resolves,
// which would let a request for a route that requires a key pass through one
// that does not.
TEST_CASE("the longest prefix that accepts the method is the route") {
  const ConfigSnapshot snapshot = Build({
      MakeRoute("all", "/"),
      MakeRoute("fees", "/fees"),
      MakeRoute("fees-a", "/fees"),
      MakeRoute("fees-post", "/fees", R"(,"methods":["POST"])"),
      MakeRoute("deep", "/fees/2024/late", R"(,"methods":["GET"])"),
  });
  const std::vector<RouteCase> cases = {
      {"GET", "/", "all"},
      {"GET", "/feesX", "all"},
      {"GET", "/fees", "fees"},
      {"GET", "/fees/", "fees"},
      {"GET", "/fees?x=/a/../b", "fees"},
      {"POST", "/fees/1", "fees-post"},
      {"GET", "/fees/2024/late/7", "deep"},
      {"POST", "/fees/2024/late/7", "fees-post"},
      {"GET", "//fees", "fees"},
      {"GET", "/%66ees", "fees"},
      {"GET", "/x/../fees", ""},
      {"GET", "/x/%2e%2E/fees", ""},
      {"GET", "/x/./fees", ""},
      {"GET", "/x/..;a=b/fees", ""},
      {"GET", "/x/%2e%2e;/fees", ""},
      {"GET", "/fees;a=b", "all"},
      {"GET", "/x%2ffees", ""},
      {"GET", "/x\\fees", ""},
      {"GET", "/x%5cfees", ""},
      {"GET", "/x%00", ""},
      {"GET", "/x%", ""},
      {"GET", "/x%zz", ""},
      {"GET", "/.well-known", "all"},
      {"GET", "/fees/%20", "fees"},
      {"GET", "", ""},
      {"GET", "fees", ""},
      {"GET", "*", ""},
      {"GET", "/fees" + std::string(5000, '/') + "x", "fees"},
  };
  for (const RouteCase& row : cases) {
    CAPTURE(row.method);
    CAPTURE(row.path);
    const Route* route = snapshot.FindRoute(row.method, row.path);
    CHECK((route == nullptr ? "" : route->name) == row.route);
  }
  CHECK(Build({}).FindRoute("GET", "/") == nullptr);
}

// Guards against a less specific rule that overrides a more specific one, and
// against precedence that differs between nodes.
TEST_CASE(
    "the rule with more requirements decides, then the smaller name, then the "
    "route") {
  const ConfigSnapshot snapshot = Build({
      MakeRoute("fees", "/fees",
                R"(,"labels":{"importance":"low","tier":"gold"})"),
      MakeRule("b-org", "organisation=acme", "high"),
      MakeRule("a-tier", "tier=gold,method=PUT", "critical"),
      MakeRule("c-tier", "tier=gold,method=PUT", "high"),
      MakeRule("z-three", "service=fees,route=fees,organisation=big", "normal"),
      MakeRule("a-any", "organisation in (acme,big)", "critical"),
      MakeRule("never", "route=other,tier,service,method", "critical"),
  });
  const std::vector<PolicyCase> cases = {
      {"GET", "", "low", "route fees"},
      {"GET", "small", "low", "route fees"},
      {"GET", "acme", "critical", "rule a-any"},
      {"PUT", "acme", "critical", "rule a-tier"},
      {"PUT", "big", "normal", "rule z-three"},
      {"PUT", "", "critical", "rule a-tier"},
  };
  for (const PolicyCase& row : cases) {
    CAPTURE(row.method);
    CAPTURE(row.organisation);
    const RequestPolicy policy = snapshot.ResolvePolicy(
        {.route = snapshot.FindRoute(row.method, "/fees"),
         .method = row.method,
         .organisation = row.organisation});
    CHECK(ToName(policy.importance) == row.importance);
    const LabelDecision& decision = policy.DecisionOn(PolicyLabel::Importance);
    CHECK(std::string(ToName(decision.by)) + " " + std::string(decision.name) ==
          row.by);
    CHECK(policy.DecisionOn(PolicyLabel::Retries).by == DecidedBy::Default);
  }
}

// Guards against defaults that open a route or retry a non-idempotent request.
TEST_CASE("defaults are closed, normal, 10 s, 2 retries, idempotent reads") {
  const ConfigSnapshot snapshot = Build({MakeRoute("fees", "/fees")});
  const Route* route = snapshot.FindRoute("GET", "/fees");
  for (const std::string method : {"GET", "HEAD", "OPTIONS", "POST", "get"}) {
    CAPTURE(method);
    const RequestPolicy policy = snapshot.ResolvePolicy(
        {.route = route, .method = method, .organisation = ""});
    CHECK_FALSE(policy.open);
    CHECK(policy.importance == Importance::Normal);
    CHECK(policy.deadline == std::chrono::seconds(10));
    CHECK(policy.retries == 2);
    CHECK(policy.idempotent == (method != "POST" && method != "get"));
  }
}

// Guards against one undecodable record that hides the others or its own
// earlier value.
TEST_CASE("an undecodable record keeps its previous value and is counted") {
  const ConfigSnapshot first =
      Build({MakeRecord("org/a", R"({"rate":1,"burst":2,"weight":1})"),
             MakeRecord("vouchers", R"({"nodes":["n1"]})")});
  const ConfigSnapshot second(
      first, 2,
      {MakeRecord("org/a", "{", 2), MakeRecord("vouchers", "7", 2),
       MakeRecord("key/short", "{}", 2), MakeRecord("unknown/kind", "{", 2),
       MakeRecord("org/b", R"({"rate":5,"burst":2,"weight":1})", 2)});
  CHECK(second.Version() == 2);
  CHECK(second.DecodeErrors() == 3);
  REQUIRE(second.FindOrganisation("a") != nullptr);
  CHECK(second.FindOrganisation("a")->rate == 1);
  REQUIRE(second.FindOrganisation("b") != nullptr);
  CHECK(second.FindOrganisation("b")->rate == 5);
  CHECK(second.Vouchers().nodes == std::vector<std::string>{"n1"});
}

// Guards against a key that is found under another digest, or not at all.
TEST_CASE("keys are found by the digest of their text") {
  const std::string hash = ToHex(AsBytes(Sha256("fk_one")));
  const ConfigSnapshot snapshot = Build(
      {MakeRecord("key/" + hash,
                  R"({"id":"k1","organisation":"acme","state":"withdrawn"})")});
  REQUIRE(snapshot.FindKey(Sha256("fk_one")) != nullptr);
  CHECK(snapshot.FindKey(Sha256("fk_one"))->state == KeyState::Withdrawn);
  CHECK(snapshot.FindKey(Sha256("fk_two")) == nullptr);
}
