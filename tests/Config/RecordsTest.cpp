#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <string>
#include <vector>

#include "Config/ConfigError.h"
#include "Config/Records.h"

using namespace fescueline;

namespace {
struct DecodeCase {
  std::string json;
  std::string field;
  std::string description;
};

template <typename R>
void CheckErrors(const std::vector<DecodeCase>& aCases) {
  for (const DecodeCase& row : aCases) {
    CAPTURE(row.json);
    std::string field = "accepted";
    std::string description;
    try {
      R::FromJson(row.json, UnknownFields::Refuse);
    } catch (const ConfigError& error) {
      field = error.Field();
      description = error.Description();
    }
    CHECK(field == row.field);
    CHECK(description == row.description);
  }
}

template <typename R>
void CheckRoundTrip(const std::string& aJson) {
  CAPTURE(aJson);
  const R record = R::FromJson(aJson, UnknownFields::Refuse);
  CHECK(R::FromJson(record.ToJson(), UnknownFields::Refuse) == record);
}

const std::string kName =
    "must be 1 to 63 letters, digits, '.', '_' or '-', beginning with a "
    "letter or digit";
const std::string kRoute = R"({"service":"fees","path_prefix":"/fees")";
}  // namespace

// Guards against fields that are lost or changed when nodes exchange records.
TEST_CASE("records survive a round trip") {
  CheckRoundTrip<OrganisationRecord>(R"({"rate":0.1,"burst":20,"weight":2})");
  CheckRoundTrip<KeyRecord>(
      R"({"id":"k1","organisation":"acme","state":"active","name":"ci"})");
  CheckRoundTrip<RouteRecord>(kRoute +
                              R"(,"methods":["PUT","GET"],
      "labels":{"access":"open","deadline":"250ms","team":"x"}})");
  CheckRoundTrip<RuleRecord>(
      R"~({"selector":"a in (x,y)","labels":{"retries":"0"}})~");
  CheckRoundTrip<AllocationRecord>(R"({"version":7,"issuer":"n1",
      "issuer_incarnation":"00000000000000010000000000000002"})");
  CheckRoundTrip<MemberRecord>(R"({"incarnation":
      "00000000000000010000000000000002","data_centre":"d1","region":"r1",
      "service":"fees","peer_address":"10.0.0.1:7001",
      "control_address":"[::1]:7002"})");
  CheckRoundTrip<VouchersRecord>(R"({"nodes":["b","a","b"]})");
}

// Guards against invalid input that reaches the table, such as names that would
// corrupt HTTP headers.
TEST_CASE("the error of an invalid organisation names the field") {
  CheckErrors<OrganisationRecord>({
      {"", "", "the record is not valid JSON"},
      {"[]", "", "the record must be a JSON object"},
      {"{\"rate\":1", "", "the record is not valid JSON"},
      {R"({"rate":1,"rate":2,"burst":1,"weight":1})", "",
       "the record names a field twice"},
      {std::string(100, '['), "", "the record is nested too deeply"},
      {std::string(300'000, ' '), "",
       "the record must be at most 262144 bytes"},
      {R"({"burst":1,"weight":1})", "rate", "rate: is missing"},
      {R"({"rate":"1","burst":1,"weight":1})", "rate",
       "rate: must be a number from 0 to 1000000000"},
      {R"({"rate":-1,"burst":1,"weight":1})", "rate",
       "rate: must be a number from 0 to 1000000000"},
      {R"({"rate":1e400,"burst":1,"weight":1})", "",
       "the record is not valid JSON"},
      {R"({"rate":99999999999999999999999,"burst":1,"weight":1})", "rate",
       "rate: must be a number from 0 to 1000000000"},
      {R"({"rate":1,"burst":0,"weight":1})", "burst",
       "burst: must be a number from 1 to 1000000000"},
      {R"({"rate":1,"burst":1,"weight":null})", "weight",
       "weight: must be a number from 0.001 to 1000000"},
      {R"({"rate":1,"burst":1,"weight":1,"wieght":2})", "wieght",
       "wieght: unknown field"},
      {"{\"rate\":1,\"burst\":1,\"weight\":1,\"x\\r\\ny\":2}", "",
       "unknown field"},
  });
}

TEST_CASE("the error of an invalid key names the field") {
  CheckErrors<KeyRecord>({
      {R"({"id":"a\r\nX: y","organisation":"o","state":"active"})", "id",
       "id: " + kName},
      {R"({"id":"a","organisation":7,"state":"active"})", "organisation",
       "organisation: " + kName},
      {R"({"id":"a","organisation":"o","state":"on"})", "state",
       "state: must be active or withdrawn"},
  });
}

TEST_CASE("the error of an invalid route names the field") {
  const std::string path =
      "path_prefix: must begin with '/', not end in '/' (except \"/\"), and "
      "have no empty, '.' or '..' segments, '?', '#', '%', '\\' or spaces";
  CheckErrors<RouteRecord>({
      {R"({"service":"f","path_prefix":"fees"})", "path_prefix", path},
      {R"({"service":"f","path_prefix":"/a/../b"})", "path_prefix", path},
      {R"({"service":"f","path_prefix":"/a/"})", "path_prefix", path},
      {R"({"service":"f","path_prefix":"/%61"})", "path_prefix", path},
      {R"({"service":"f","path_prefix":"/a\r\nb"})", "path_prefix",
       "path_prefix: must be printable ASCII characters"},
      {kRoute + R"(,"methods":["get"]})", "methods[0]",
       "methods[0]: must be an HTTP method in upper case"},
      {kRoute + R"(,"methods":"GET"})", "methods",
       "methods: must be a list of at most 16 strings"},
      {kRoute + R"(,"methods":["GET",1]})", "methods[1]",
       "methods[1]: must be a string"},
      {kRoute + R"(,"labels":[]})", "labels",
       "labels: must be an object of at most 64 labels"},
      {kRoute + R"(,"labels":{"a":1}})", "labels.a",
       "labels.a: must be a string"},
      {kRoute + R"(,"labels":{"a\r\n":"x"}})", "labels",
       "labels: a label name " + kName},
      {kRoute + R"(,"labels":{"a":"x\r\ny"}})", "labels.a",
       "labels.a: " + kName + ", or be empty"},
      {kRoute + R"(,"labels":{"service":"x"}})", "labels.service",
       "labels.service: is reserved for the request's own attribute"},
      {kRoute + R"(,"labels":{"access":"opne"}})", "labels.access",
       "labels.access: must be open or closed"},
      {kRoute + R"(,"labels":{"importance":"top"}})", "labels.importance",
       "labels.importance: must be critical, high, normal or low"},
      {kRoute + R"(,"labels":{"idempotent":"true"}})", "labels.idempotent",
       "labels.idempotent: must be yes or no"},
      {kRoute + R"(,"labels":{"retries":"11"}})", "labels.retries",
       "labels.retries: must be a number from 0 to 10"},
      {kRoute + R"(,"labels":{"deadline":"10"}})", "labels.deadline",
       "labels.deadline: must be a duration above 0 and at most 45s, such as "
       "250ms or 4s"},
      {kRoute + R"(,"labels":{"deadline":"46s"}})", "labels.deadline",
       "labels.deadline: must be a duration above 0 and at most 45s, such as "
       "250ms or 4s"},
  });
}

TEST_CASE(
    "errors of rules, allocations, members and voucher sets name the field") {
  CheckErrors<RuleRecord>({
      {R"({"selector":"a=","labels":{"retries":"1"}})", "selector",
       "selector: column 3: a value " + kName},
      {R"({"selector":"a"})", "labels", "labels: must set at least one label"},
      {R"({"selector":"a","labels":{"importence":"low"}})", "labels.importence",
       "labels.importence: a rule may set access, importance, idempotent, "
       "deadline and retries only"},
  });
  CheckErrors<AllocationRecord>({
      {R"({"version":1.5,"issuer":"n","issuer_incarnation":"x"})", "version",
       "version: must be a whole number from 1 to 9007199254740992"},
      {R"({"version":1,"issuer":"n","issuer_incarnation":"x"})",
       "issuer_incarnation",
       "issuer_incarnation: must be 32 hexadecimal digits"},
  });
  const std::string member =
      R"({"incarnation":"00000000000000010000000000000002","data_centre":"d",
      "region":"r","control_address":"h:1","peer_address":)";
  CheckErrors<MemberRecord>({
      {member + R"("h"})", "peer_address",
       "peer_address: must be an address host:port"},
      {member + R"("h:x"})", "peer_address",
       "peer_address: must be an address host:port"},
  });
  CheckErrors<VouchersRecord>({
      {R"({"nodes":["a","b c"]})", "nodes[1]", "nodes[1]: " + kName},
  });
}

// Guards against a fleet that stops reading records when one node runs a newer
// version.
TEST_CASE("unknown fields from the table are ignored") {
  const auto record = OrganisationRecord::FromJson(
      R"({"rate":1,"burst":2,"weight":3,"later":true})", UnknownFields::Ignore);
  CHECK(record == OrganisationRecord{.rate = 1, .burst = 2, .weight = 3});
}

// Guards against malformed input that crashes a node, or that is decoded with
// characters that end a header.
TEST_CASE("corrupted records are decoded or refused with ConfigError") {
  const std::string valid =
      R"~({"service":"fees","path_prefix":"/fees","methods":["GET"],"labels":)~"
      R"~({"access":"open","deadline":"250ms","team":"x"}})~";
  const std::vector<std::string> fragments = {
      "{",       "}",      "[",     "]",
      "\"",      ",",      ":",     "\\u000d",
      "\\u000a", "null",   "1e999", "-1",
      "\\ud800", "\xff",   "true",  "99999999999999999999",
      "\r\n",    "labels", "..",
  };
  const bool holds = rc::check([&] {
    std::string text = valid;
    const int edits = *rc::gen::inRange(1, 4);
    for (int edit = 0; edit < edits; ++edit) {
      const auto at = *rc::gen::inRange<size_t>(0, text.size());
      const auto length = *rc::gen::inRange<size_t>(0, 8);
      text.replace(at, length, *rc::gen::elementOf(fragments));
    }
    try {
      const RouteRecord route =
          RouteRecord::FromJson(text, UnknownFields::Refuse);
      std::string all = route.service + route.pathPrefix;
      for (const Label& label : route.labels.Items()) {
        all += label.name + label.value;
      }
      RC_ASSERT(all.find_first_of("\r\n") == std::string::npos);
      RC_ASSERT(RouteRecord::FromJson(route.ToJson(), UnknownFields::Refuse) ==
                route);
    } catch (const ConfigError& error) {
      RC_ASSERT(error.Description().find_first_of("\r\n") == std::string::npos);
    }
  });
  CHECK(holds);
}
