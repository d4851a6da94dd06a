#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "Config/ConfigApi.h"
#include "Config/FaultyTableStore.h"

using namespace fescueline;
using Json = nlohmann::json;

namespace {
const std::string kCredential = "0123456789abcdef0123456789abcdef";
const std::string kOrganisation = R"({"rate":10,"burst":20,"weight":1})";

struct RequestCase {
  std::string method;
  std::string path;
  std::vector<ApiHeader> headers;
  std::string body;
  HttpStatus status;
  std::string error;
};

/// An API over a table in memory. Waiting for acceptance brings the replica up
/// to date.
struct Fixture {
  MemoryTableStore table;
  FaultyTableStore store{this->table};
  ConfigReplica replica;
  bool confirmed = true;
  ConfigApi<FaultyTableStore> api{
      this->replica, this->store,
      ConfigApiOptions{.credential = Secret(kCredential),
                       .awaitAcceptance =
                           [this](uint64_t aVersion) {
                             this->replica.Apply(this->table.ChangesSince(
                                 this->replica.Version(), 1'000));
                             return this->confirmed &&
                                    this->replica.Version() >= aVersion;
                           },
                       .nodeStatus = nullptr}};

  ApiResponse Send(std::string aMethod, std::string aPath,
                   std::vector<ApiHeader> aHeaders, std::string aBody = "") {
    aHeaders.push_back({"authorization", "Bearer " + kCredential});
    return this->api.Handle({.method = std::move(aMethod),
                             .path = std::move(aPath),
                             .headers = std::move(aHeaders),
                             .body = std::move(aBody)});
  }
};

Json BodyOf(const ApiResponse& aResponse) {
  return Json::parse(aResponse.body);
}
}  // namespace

// Guards against a status that does not match what happened to the change.
TEST_CASE("records are created, read, changed and deleted") {
  Fixture fixture;
  const auto put = [&](const std::string& aVersion) {
    return fixture.Send("PUT", "/v1/config/org/acme", {{"If-Match", aVersion}},
                        kOrganisation);
  };
  const ApiResponse created = put("0");
  CHECK(created.status == HttpStatus::Ok);
  CHECK(BodyOf(created)["status"] == "accepted");
  CHECK(BodyOf(created)["version"] == 1);
  CHECK(put("0").status == HttpStatus::Conflict);
  CHECK(BodyOf(put("7"))["version"] == 1);
  CHECK(BodyOf(put("1"))["version"] == 2);

  const Json read = BodyOf(fixture.Send("GET", "/v1/config/org/acme", {}));
  CHECK(read["value"] == Json::parse(kOrganisation));
  CHECK(read["version"] == 2);
  CHECK(BodyOf(fixture.Send("GET", "/v1/config/org", {}))["records"].size() ==
        1);
  CHECK(BodyOf(fixture.Send("GET", "/v1/status", {}))["version"] == 2);

  CHECK(fixture.Send("DELETE", "/v1/config/org/acme", {{"If-Match", "1"}})
            .status == HttpStatus::Conflict);
  CHECK(fixture.Send("DELETE", "/v1/config/org/acme", {{"If-Match", "2"}})
            .status == HttpStatus::Ok);
  CHECK(fixture.Send("GET", "/v1/config/org/acme", {}).status ==
        HttpStatus::NotFound);
}

// Guards against invalid input that is accepted, or refused without naming
// what is wrong.
TEST_CASE("invalid requests are refused") {
  const std::vector<ApiHeader> create{{"If-Match", "0"}};
  const std::vector<RequestCase> cases = {
      {"GET", "/", {}, "", HttpStatus::NotFound, "no such resource"},
      {"GET",
       "/v1/config/org/a/b",
       {},
       "",
       HttpStatus::NotFound,
       "no such resource"},
      {"GET",
       "/v1/config/../keys",
       {},
       "",
       HttpStatus::NotFound,
       "no such resource"},
      {"GET",
       "/v1/config/other",
       {},
       "",
       HttpStatus::NotFound,
       "no such kind of record"},
      {"PUT", "/v1/config/member/a", create, "{}", HttpStatus::NotFound,
       "no kind of record that operators change"},
      {"PUT", "/v1/config/org/a%0d%0a", create, kOrganisation,
       HttpStatus::NotFound, "no such resource"},
      {"POST", "/v1/config/org/a", create, kOrganisation,
       HttpStatus::MethodNotAllowed, "the method must be GET, PUT or DELETE"},
      {"PUT",
       "/v1/config/org/a",
       {},
       kOrganisation,
       HttpStatus::PreconditionRequired,
       "If-Match must give the record's version, 0 to create it"},
      {"PUT",
       "/v1/config/org/a",
       {{"If-Match", "*"}},
       kOrganisation,
       HttpStatus::BadRequest,
       "If-Match: must be a version number"},
      {"PUT",
       "/v1/config/org/a",
       {{"If-Match", "0"}, {"if-match", "1"}},
       kOrganisation,
       HttpStatus::BadRequest,
       "If-Match: must occur once"},
      {"PUT", "/v1/config/org/a", create, "{", HttpStatus::BadRequest,
       "the record is not valid JSON"},
      {"PUT", "/v1/config/org/a", create, R"({"rate":1e999})",
       HttpStatus::BadRequest, "the record is not valid JSON"},
      {"PUT", "/v1/config/org/a", create, R"({"rate":[]})",
       HttpStatus::BadRequest, "rate: must be a number from 0 to 1000000000"},
      {"PUT", "/v1/config/rule/a", create,
       R"~({"selector":"a in (","labels":{}})~", HttpStatus::BadRequest,
       "selector: column 7: a value must be 1 to 63 letters, digits, '.', '_' "
       "or '-', beginning with a letter or digit"},
      {"PUT",
       "/v1/config/org/a",
       {{"If-Match", "0"}, {"Fescueline-Token", "a\r\nb"}},
       kOrganisation,
       HttpStatus::BadRequest,
       "token: must be 1 to 63 letters, digits, '.', '_' or '-', beginning "
       "with a letter or digit"},
      {"DELETE",
       "/v1/config/org/a",
       {{"If-Match", "0"}},
       "",
       HttpStatus::BadRequest,
       "version: must be the version of an existing record"},
      {"POST",
       "/v1/keys",
       {},
       R"({"organisation":"none"})",
       HttpStatus::BadRequest,
       "organisation: does not exist"},
      {"POST",
       "/v1/keys",
       {},
       R"({"organisation":"a\r\nb"})",
       HttpStatus::BadRequest,
       "organisation: must be 1 to 63 letters, digits, '.', '_' or '-', "
       "beginning with a letter or digit"},
      {"POST",
       "/v1/explain",
       {},
       R"({"method":"GET","path":"/x\u0000"})",
       HttpStatus::BadRequest,
       "path: must be printable ASCII characters"},
      {"POST",
       "/v1/explain",
       {},
       R"({"method":"GET","path":"/x"})",
       HttpStatus::NotFound,
       "no route for this method and path"},
      {"GET", "/v1/explain", {}, "", HttpStatus::NotFound, "no such resource"},
  };
  Fixture fixture;
  for (const RequestCase& row : cases) {
    CAPTURE(row.method);
    CAPTURE(row.path);
    CAPTURE(row.body);
    const ApiResponse response =
        fixture.Send(row.method, row.path, row.headers, row.body);
    CHECK(response.status == row.status);
    CHECK(BodyOf(response)["status"] == "refused");
    CHECK(BodyOf(response)["error"] == row.error);
  }
  CHECK(fixture.table.List("").empty());
}

// Guards against access without the operators' credential.
TEST_CASE("every request needs the credential") {
  Fixture fixture;
  for (const std::string value :
       {"", "Bearer ", "Bearer wrong", "Basic x", "bearer"}) {
    CAPTURE(value);
    for (const std::string path :
         {"/v1/status", "/v1/keys", "/v1/config/org", "/x"}) {
      CHECK(fixture.api
                .Handle({.method = "GET",
                         .path = path,
                         .headers = {{"Authorization", value}},
                         .body = ""})
                .status == HttpStatus::Unauthorized);
    }
  }
  CHECK(fixture.api
            .Handle({.method = "GET",
                     .path = "/v1/status",
                     .headers = {},
                     .body = ""})
            .status == HttpStatus::Unauthorized);
  ConfigApi<FaultyTableStore> open(
      fixture.replica, fixture.store,
      {.credential = Secret(),
       .awaitAcceptance = [](uint64_t) { return true; },
       .nodeStatus = nullptr});
  CHECK(open.Handle({.method = "GET",
                     .path = "/v1/status",
                     .headers = {{"Authorization", "Bearer "}},
                     .body = ""})
            .status == HttpStatus::Forbidden);
}

// Guards against the status "accepted" before the change is in force, and
// "refused" if it may have been written.
TEST_CASE("unconfirmed and lost changes are reported as unknown") {
  Fixture fixture;
  const std::vector<ApiHeader> headers{{"If-Match", "0"},
                                       {"Fescueline-Token", "t"}};
  const auto put = [&] {
    return fixture.Send("PUT", "/v1/config/org/acme", headers, kOrganisation);
  };
  fixture.store.Refuse(1);
  CHECK(put().status == HttpStatus::ServiceUnavailable);
  fixture.store.Lose(3, true);
  ApiResponse response = put();
  CHECK(response.status == HttpStatus::GatewayTimeout);
  CHECK(BodyOf(response)["token"] == "t");
  fixture.confirmed = false;
  response = put();
  CHECK(response.status == HttpStatus::GatewayTimeout);
  CHECK(BodyOf(response)["status"] == "unknown");
  fixture.confirmed = true;
  response = put();
  CHECK(response.status == HttpStatus::Ok);
  CHECK(BodyOf(response)["version"] == 1);
}

// Guards against a key that can be read more than once, or not at all.
TEST_CASE("a key is returned once, even before its grant is confirmed") {
  Fixture fixture;
  fixture.Send("PUT", "/v1/config/org/acme", {{"If-Match", "0"}},
               kOrganisation);
  fixture.confirmed = false;
  const ApiResponse granted =
      fixture.Send("POST", "/v1/keys", {{"Fescueline-Token", "t"}},
                   R"({"organisation":"acme","name":"ci"})");
  CHECK(granted.status == HttpStatus::GatewayTimeout);
  const std::string key = BodyOf(granted)["key"];
  const std::string id = BodyOf(granted)["id"];
  fixture.confirmed = true;
  const ApiResponse repeated =
      fixture.Send("POST", "/v1/keys", {{"Fescueline-Token", "t"}},
                   R"({"organisation":"acme","name":"ci"})");
  CHECK(repeated.status == HttpStatus::Ok);
  CHECK(BodyOf(repeated)["id"] == id);
  CHECK_FALSE(BodyOf(repeated).contains("key"));
  CHECK(fixture.replica.Snapshot()->FindKey(Sha256(key))->id == id);

  const std::string listed = fixture.Send("GET", "/v1/keys", {}).body;
  CHECK(listed.find(id) != std::string::npos);
  CHECK(listed.find(key) == std::string::npos);
  CHECK(listed.find(ToHex(AsBytes(Sha256(key)))) == std::string::npos);
  CHECK(fixture.Send("DELETE", "/v1/keys/" + id, {}).status == HttpStatus::Ok);
  CHECK(fixture.Send("DELETE", "/v1/keys/other", {}).status ==
        HttpStatus::NotFound);
  CHECK(fixture.replica.Snapshot()->FindKey(Sha256(key))->state ==
        KeyState::Withdrawn);
}

// Guards against an explanation that differs from the policy in use.
TEST_CASE("explain names the route, rule or default that set each label") {
  Fixture fixture;
  fixture.Send("PUT", "/v1/config/route/fees", {{"If-Match", "0"}},
               R"({"service":"fees","path_prefix":"/fees",
                   "labels":{"importance":"high","access":"open"}})");
  fixture.Send("PUT", "/v1/config/rule/slow", {{"If-Match", "0"}},
               R"({"selector":"service=fees,method=POST",
                   "labels":{"deadline":"1500ms","importance":"low"}})");
  const Json explained = BodyOf(fixture.Send(
      "POST", "/v1/explain", {},
      R"({"method":"POST","path":"/fees/7","organisation":"acme"})"));
  CHECK(explained["route"] == "fees");
  CHECK(explained["service"] == "fees");
  const Json expected = {
      {"access", {{"value", "open"}, {"by", "route"}, {"name", "fees"}}},
      {"importance", {{"value", "low"}, {"by", "rule"}, {"name", "slow"}}},
      {"idempotent", {{"value", "no"}, {"by", "default"}, {"name", ""}}},
      {"deadline", {{"value", "1500ms"}, {"by", "rule"}, {"name", "slow"}}},
      {"retries", {{"value", "2"}, {"by", "default"}, {"name", ""}}}};
  CHECK(explained["labels"] == expected);
}
