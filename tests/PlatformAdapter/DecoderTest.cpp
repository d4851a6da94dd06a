#include <doctest/doctest.h>

#include "Base64.h"
#include "ConfigDecoder.h"
#include "Core/Error.h"
#include "ReportDecoder.h"

using namespace fescueline;
using namespace fescueline::platform;
using namespace std::chrono_literals;

namespace {

const std::string kConfig = R"({"version":7,"resources":[
{"resource-type":"routes","metadata":{"name":"r1"},"spec":{"host":"h.example",
 "prefix":"/a/","route-type":"safe","timeout-ms":5000,"target-latency-ms":1200,
 "priority":2,"weighted-services":[{"service":"s1","weight":90},
 {"service":"s2","weight":10}],"max-attempts":2,"public":false}},
{"resource-type":"routes","metadata":{"name":"r2"},"spec":{"host":"h.example",
 "prefix":"/b/","route-type":"unsafe","timeout-ms":600,"priority":0,
 "service":"s1","max-attempts":1,"public":true}},
{"resource-type":"services","metadata":{"name":"s1"},
 "spec":{"health-path":"/healthz","max-connections":850}},
{"resource-type":"tenants","metadata":{"name":"t1"},
 "spec":{"api-keys":["k1","k2"],"priority":1,"rate-per-s":158,"burst":100}},
{"resource-type":"something-new","metadata":{},"spec":{}},
{"resource-type":"limits","metadata":{},"spec":{"max-header-bytes":1000,
 "max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}]})";

HttpRequest Report(const std::string& aTarget, const std::string& aBody) {
  return {.method = "POST", .target = aTarget, .headers = {}, .body = aBody};
}

}  // namespace

// Guards against a misread field of the operator's configuration.
TEST_CASE("a configuration is decoded into MeshConfig") {
  const MeshConfigPtr config = DecodeConfig(kConfig);
  CHECK(config->Version() == 7);
  const MeshRoute* split = config->FindRoute("h.example", "/a/x");
  REQUIRE(split != nullptr);
  CHECK(split->idempotent);
  CHECK_FALSE(split->open);
  CHECK(split->services.size() == 2);
  CHECK(split->services[1].weight == 10);
  CHECK(split->timeout == 5s);
  CHECK(split->latencyObjective == 1200ms);
  CHECK(split->maxTargets == 2);
  const MeshRoute* single = config->FindRoute("h.example", "/b/");
  REQUIRE(single != nullptr);
  CHECK_FALSE(single->idempotent);
  CHECK(single->open);
  CHECK(single->services[0].service == "s1");
  CHECK(config->FindByKey("k2")->name == "t1");
  CHECK(config->FindOrganisation("t1")->rate ==
        OrganisationRate{.perSecond = 158, .burst = 100});
  CHECK(config->FindService("s1")->maxConnections == 850);
  CHECK(config->All().limits.maxHeadBytes == 1000);
  CHECK(config->All().limits.idleTimeout == 15s);
}

// Guards against a node that applies a part of a configuration.
TEST_CASE("a malformed configuration is rejected completely") {
  for (const char* text :
       {"", "[]", "{}", R"({"version":"7","resources":[]})",
        R"({"version":1,"resources":[{"resource-type":"routes","metadata":{},)"
        R"("spec":{"host":"h"}}]})",
        R"({"version":1,"resources":[{"resource-type":"routes","metadata":{},)"
        R"("spec":{"host":"h","prefix":"/","route-type":"safe",)"
        R"("timeout-ms":1,"weighted-services":[]}}]})"}) {
    CAPTURE(text);
    CHECK_THROWS_AS(DecodeConfig(text), Error);
  }
}

// Guards against applying malformed reports that other senders write with the
// identifier of a target.
TEST_CASE("reports are decoded, malformed ones change nothing") {
  const std::string body =
      R"({"address":"a:1","born":1700000000123,"info":{"service":"s1",)"
      R"("version":"v1","zone":"z","slots":37},"status":{"state":"draining",)"
      R"("sequence":4,"cold-left-ms":250}})";
  const ReportCall call =
      DecodeReport(Report("/v1/Instances.Heartbeat/i-1", body));
  REQUIRE(call.kind == ReportKind::Report);
  CHECK(call.report.id == "i-1");
  CHECK(call.report.startedAt == 1700000000123);
  CHECK(call.report.sequence == 4);
  CHECK(call.report.slots == 37);
  CHECK(call.report.draining);
  CHECK(call.report.coldFor == 250ms);

  struct Case {
    std::string target;
    std::string body;
    ReportKind kind;
  };
  const auto replaced = [&body](const std::string& aFrom,
                                const std::string& aTo) {
    std::string text = body;
    return text.replace(text.find(aFrom), aFrom.size(), aTo);
  };
  const std::string path = "/v1/Instances.Heartbeat/i-1";
  for (const Case& row : std::vector<Case>{
           {path, "", ReportKind::Malformed},
           {path, "\xff\xfe", ReportKind::Malformed},
           {path, "[]", ReportKind::Malformed},
           {path, replaced("37", "\"37\""), ReportKind::Malformed},
           {path, replaced("37", "-3"), ReportKind::Malformed},
           {path, replaced("\"sequence\":4", "\"sequence\":4.5"),
            ReportKind::Malformed},
           {path, replaced("draining", "resting"), ReportKind::Malformed},
           {path, replaced("1700000000123", "\"soon\""), ReportKind::Malformed},
           {"/v1/Instances.Heartbeat/", body, ReportKind::Malformed},
           {"/v1/Instances.Deregister/i-1", "", ReportKind::Leave},
           {"/v1/Instances.Deregister/i-1", "{", ReportKind::Malformed},
           {"/v1/else", body, ReportKind::Unknown}}) {
    CAPTURE(row.target);
    CAPTURE(row.body);
    CHECK(DecodeReport(Report(row.target, row.body)).kind == row.kind);
  }
  CHECK(DecodeReport(Report("/v1/Instances.Deregister/i-1", R"({"born":5})"))
            .startedAt == 5);
}

// Guards against values that change when they are stored and read back.
TEST_CASE("base64 decoding restores the encoded bytes") {
  for (size_t size = 0; size < 70; ++size) {
    std::string bytes;
    for (size_t i = 0; i < size; ++i) {
      bytes.push_back(static_cast<char>(i * 37 + size));
    }
    CHECK(FromBase64(ToBase64(bytes)) == bytes);
  }
  CHECK(ToBase64("node-1") == "bm9kZS0x");
  CHECK_THROWS_AS(FromBase64("abc"), Error);
  CHECK_THROWS_AS(FromBase64("****"), Error);
}
