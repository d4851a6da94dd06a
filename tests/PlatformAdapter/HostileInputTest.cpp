#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <functional>
#include <string>
#include <vector>

#include "ConfigDecoder.h"
#include "Core/Error.h"
#include "HttpRowStore.h"
#include "Mesh/MemberRows.h"
#include "PlatformAdapter/MeshTestFleet.h"
#include "ReportDecoder.h"
#include "Transport/FrameCodec.h"
#include "Transport/RequestContext.h"
#include "Transport/ScriptedPeer.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

std::string Nested(size_t aDepth) {
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

/// A configuration with one route; aRoute and aMetadata replace parts of it.
std::string Config(uint64_t aVersion, const std::string& aSpec,
                   const std::string& aMetadata = R"({"name":"r"})") {
  return fmt::format(
      R"({{"version":{},"resources":[{{"resource-type":"routes",)"
      R"("metadata":{},"spec":{}}}]}})",
      aVersion, aMetadata, aSpec);
}

std::string RouteSpec(const std::string& aField = "",
                      const std::string& aValue = "") {
  std::string spec =
      R"({"host":"h","prefix":"/a/","route-type":"safe","timeout-ms":1000,)"
      R"("priority":1,"max-attempts":2,"service":"s")";
  // The last of two fields with the same name counts.
  return spec +
         (aField.empty() ? "}" : fmt::format(R"(,"{}":{}}})", aField, aValue));
}

std::string ReportBody(const std::string& aAddress = "10.0.0.1:80",
                       const std::string& aSlots = "37",
                       const std::string& aSequence = "4",
                       const std::string& aCold = "0") {
  return fmt::format(
      R"({{"address":"{}","born":17,"info":{{"service":"s","version":"v",)"
      R"("zone":"z","slots":{}}},"status":{{"state":"ready","sequence":{},)"
      R"("cold-left-ms":{}}}}})",
      aAddress, aSlots, aSequence, aCold);
}

ReportKind KindOf(const std::string& aBody) {
  return platform::DecodeReport({.method = "POST",
                                 .target = "/v1/Instances.Heartbeat/i-1",
                                 .headers = {},
                                 .body = aBody})
      .kind;
}

}  // namespace

// Another writer leaves an odd configuration. Guards against a process that
// ends because of it, and against numbers that wrap into valid ones.
TEST_CASE("an odd configuration is refused with the name of its field") {
  struct Row {
    std::string text;
    std::string error;
  };
  CHECK(platform::DecodeConfig(Config(1, RouteSpec()))->Version() == 1);
  for (const Row& row : std::vector<Row>{
           {Config(1, RouteSpec(), Nested(200'000)), "nested"},
           {Config(1, Nested(200'000)), "nested"},
           {Nested(200'000), "nested"},
           {Config(1, RouteSpec("max-attempts", "-1")), "max-attempts"},
           {Config(1, RouteSpec("max-attempts", "4294967297")), "max-attempts"},
           {Config(1, RouteSpec("priority", "1.5")), "priority"},
           {Config(1, RouteSpec("timeout-ms", "1e300")), "timeout-ms"},
           {Config(1, RouteSpec("timeout-ms", "-5")), "timeout-ms"},
           {Config(1, RouteSpec("timeout-ms", "1e999")), "JSON"},
           {R"({"version":-1,"resources":[]})", "version"},
           {R"({"version":1e300,"resources":[]})", "version"},
           {R"({"version":1,"resources":[5]})", ""},
           {R"({"version":1,"resources":{"a":1}})", ""},
           {std::string(5'000'000, ' '), "long"}}) {
    CAPTURE(row.text.substr(0, 100));
    std::string error = "decoded";
    try {
      platform::DecodeConfig(row.text);
    } catch (const Error& failure) {
      error = failure.what();
    }
    CHECK(error != "decoded");
    CHECK(error.find(row.error) != std::string::npos);
  }
}

// Guards against a report of another writer that describes no usable target and
// replaces the state of the real one.
TEST_CASE("odd reports are malformed") {
  CHECK(KindOf(ReportBody()) == ReportKind::Report);
  for (const std::string& body :
       {ReportBody("10.0.0.1:65536"), ReportBody("10.0.0.1:0"),
        ReportBody("10.0.0.1:-1"), ReportBody("10.0.0.1"),
        ReportBody("10.0.0.1:80", "4294967296"),
        ReportBody("10.0.0.1:80", "1e9"), ReportBody("10.0.0.1:80", "-1"),
        ReportBody("10.0.0.1:80", "3", "18446744073709551615"),
        ReportBody("10.0.0.1:80", "3", "4", "1e300"),
        ReportBody("10.0.0.1:80", "3", "4", "-1"), Nested(200'000),
        std::string(R"({"info":)") + Nested(200'000) + "}"}) {
    CAPTURE(body.substr(0, 200));
    CHECK(KindOf(body) == ReportKind::Malformed);
  }
}

// Guards against a member row that takes memory far beyond its size, or that
// names an address to which no connection can lead.
TEST_CASE("odd member rows are refused") {
  const MeshMember member = LocalMember("n1", 7001);
  REQUIRE(DecodeMeshMember(EncodeMeshMember(member)) == member);
  struct Row {
    const char* name;
    std::string value;
  };
  // An array that claims 2^32 - 1 elements, and 600,000 nested arrays of one.
  for (const Row& row : std::vector<Row>{
           {"huge array", std::string("\xdd\xff\xff\xff\xff", 5)},
           {"nested arrays", std::string(600'000, '\x91')},
           {"long text", std::string("\x96\xdb\x7f\xff\xff\xff", 6)},
           {"port 0", EncodeMeshMember(LocalMember("n1", 0))},
           {"empty", ""}}) {
    CAPTURE(std::string(row.name));
    CHECK_FALSE(DecodeMeshMember(row.value));
  }
}

// Guards against an input that ends the process or is used in part.
TEST_CASE("mutated inputs are decoded or refused by every decoder") {
  struct Decoder {
    const char* name;
    std::string valid;
    std::function<void(const std::string&)> decode;
  };
  const std::vector<Decoder> decoders = {
      {"configuration", Config(1, RouteSpec()),
       [](const std::string& aText) { platform::DecodeConfig(aText); }},
      {"report", ReportBody(), [](const std::string& aText) { KindOf(aText); }},
      {"member", EncodeMeshMember(LocalMember("n1", 7001)),
       [](const std::string& aText) { DecodeMeshMember(aText); }},
      {"frame",
       EncodeFrame(
           PeerSyncFrame{.configVersion = 3,
                         .config = "c",
                         .rows = {{.key = "k", .value = "v", .version = 4}}})
           .substr(kFramePrefixBytes),
       [](const std::string& aText) {
         DecodeFrame(aText).As<PeerSyncFrame>();
       }},
      {"context", SignContext({}, "secret"),
       [](const std::string& aText) { VerifyContext(aText, "secret"); }}};
  const std::vector<std::string> fragments = {"[",
                                              "{",
                                              "\"",
                                              "-1",
                                              "1e400",
                                              "\xff",
                                              std::string(1, '\0'),
                                              "\xdd",
                                              "\xdb",
                                              "\x93",
                                              "null",
                                              ":",
                                              "99999999999999999999"};
  for (const Decoder& decoder : decoders) {
    CAPTURE(std::string(decoder.name));
    const bool holds = rc::check([&] {
      std::string text = decoder.valid;
      const int edits = *rc::gen::inRange(1, 5);
      for (int edit = 0; edit < edits; ++edit) {
        const auto at = *rc::gen::inRange<size_t>(0, text.size() + 1);
        const auto length = *rc::gen::inRange<size_t>(0, 6);
        text.replace(at, length, *rc::gen::elementOf(fragments));
      }
      try {
        decoder.decode(text);
      } catch (const Error&) {
        // The only exception that the callers expect.
        return;
      }
    });
    CHECK(holds);
  }
  // Truncation at each byte.
  for (const Decoder& decoder : decoders) {
    CAPTURE(std::string(decoder.name));
    for (size_t size = 0; size < decoder.valid.size(); ++size) {
      CAPTURE(size);
      try {
        decoder.decode(decoder.valid.substr(0, size));
      } catch (const Error&) {
        continue;
      }
    }
  }
}

// Guards against a reply of the store in which one row of another writer hides
// all others, so that a follower asks for the same page for ever.
TEST_CASE("a row with an unreadable value does not hide the others") {
  DisableLog();
  const std::string body =
      R"({"rows":[{"table":"t","part":"","key":"a","value":"****","ver":7},)"
      R"({"table":"t","part":"","key":"b","value":"eA==","ver":8},)"
      R"({"table":"t","part":"","key":"c","value":{"x":[1]},"ver":9}],)"
      R"("has-more":true,"ver":9,"now-ms":1000})";
  const ScriptedPeer peer([&](const ScriptedPeer::Turn& aTurn) {
    aTurn.Send(fmt::format("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n{}",
                           body.size(), body));
  });
  asio::io_context io{1};
  platform::HttpRowStore store(io, {.host = "127.0.0.1", .port = peer.Port()});
  std::optional<StoreReply> reply;
  store.Read("t", "", [&](const StoreReply& aReply) { reply = aReply; });
  REQUIRE(RunUntil(io, [&] { return reply.has_value(); }));
  CHECK(reply->status == StoreStatus::Done);
  REQUIRE(reply->rows.size() == 3);
  CHECK(reply->rows[0].value.empty());
  CHECK(reply->rows[1].value == "x");
  // The next page begins after the last key, whether or not its value is valid.
  CHECK(reply->rows[2].key == "c");
  CHECK(reply->more);
}

// Guards against a fleet that ends, or that no longer follows its tables, after
// another writer has left odd rows in them.
TEST_CASE("a fleet outlives odd rows and takes the next good version") {
  MeshTestFleet fleet({.fronts = 1, .deeps = 1});
  fleet.store.Put("op", "config", Config(50, RouteSpec(), Nested(200'000)));
  fleet.store.Put("op", "other", "\xff");
  fleet.store.Put("fleet", "node/odd", std::string(100'000, '\x91'));
  fleet.store.Put("fleet", "node/port",
                  EncodeMeshMember(LocalMember("port", 0)));
  fleet.store.Put("fleet", "", "x");
  fleet.Pass(600ms);
  CHECK(fleet.Call(0, "GET", "/lookup/").status == 200);
  fleet.PutConfig(60, {"new-key"});
  CHECK(RunUntil(fleet.io, [&] {
    return fleet.Call(1, "GET", "/lookup/", "new-key").status == 200;
  }));
  CHECK(fleet.Call(0, "GET", "/lookup/", "new-key").status == 200);
  CHECK(fleet.Call(0, "GET", "/lookup/", "acme-key").status == 401);
}
