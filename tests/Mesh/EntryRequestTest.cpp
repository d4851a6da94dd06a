#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "Mesh/EntryRequest.h"
#include "Mesh/EntrySide.h"

using namespace fescueline;
using namespace fescueline::test;
using namespace std::chrono_literals;

namespace {

MeshConfigPtr TwoRoutes(const std::string&) {
  MeshConfig::Content content{
      .version = 7, .organisations = {{.name = "acme", .keys = {"acme-key"}}}};
  for (const bool open : {true, false}) {
    MeshRoute route;
    route.name = open ? "lookup" : "filing";
    route.host = "h";
    route.prefix = open ? "/open/" : "/closed/";
    route.services = {{.service = "fees", .weight = 1}};
    route.timeout = 5s;
    route.open = open;
    content.routes.push_back(route);
  }
  return std::make_shared<MeshConfig>(content);
}

struct World {
  /// A request as received from a caller.
  static HttpRequest Received(const std::string& aPath, HttpHeaders aHeaders) {
    aHeaders.push_back({"Host", "h"});
    aHeaders.push_back({"x-id", "a"});
    return {.method = "GET", .target = aPath, .headers = std::move(aHeaders)};
  }
  RequestContext SentBy(const EntryRequest& aRequest, bool aIsRetry,
                        TimePoint aNow) const {
    const auto sent = VerifyContext(
        aRequest
            .Frame({.isRetry = aIsRetry, .retries = 0, .fleetSecret = "s"},
                   aNow)
            .context,
        "s");
    REQUIRE(sent);
    return *sent;
  }

  asio::io_context io{1};
  EntrySide entry{this->io,
                  {.node = "n0", .service = "desk"},
                  {.requestId = "x-id",
                   .timeout = "x-timeout",
                   .key = "x-key",
                   .organisation = "x-organisation",
                   .callerService = "x-caller"},
                  TwoRoutes};
};

}  // namespace

// Guards against requests that run without a valid key, and against a final
// refusal of a valid request by a node with an old configuration.
TEST_CASE("a request is refused for its route, key or a stale configuration") {
  struct Case {
    std::string what;
    std::string path;
    HttpHeaders headers;
    Cause fresh;
    Cause stale;
  };
  for (const Case& row : std::vector<Case>{
           {"open", "/open/x", {}, Cause::None, Cause::None},
           {"open, unknown key",
            "/open/x",
            {{"X-Key", "other"}},
            Cause::None,
            Cause::None},
           {"no route", "/x", {}, Cause::NoRoute, Cause::StaleKnowledge},
           {"no key", "/closed/x", {}, Cause::NoKey, Cause::StaleKnowledge},
           {"empty key",
            "/closed/x",
            {{"X-Key", ""}},
            Cause::NoKey,
            Cause::StaleKnowledge},
           {"unknown key",
            "/closed/x",
            {{"X-Key", "other"}},
            Cause::UnknownKey,
            Cause::StaleKnowledge},
           {"known key",
            "/closed/x",
            {{"X-Key", "acme-key"}},
            Cause::None,
            Cause::StaleKnowledge}}) {
    for (const bool fresh : {true, false}) {
      CAPTURE(row.what);
      CAPTURE(fresh);
      World world;
      if (fresh) {
        world.entry.config.Confirm(BootClock::now());
      }
      HttpRequest received = World::Received(row.path, row.headers);
      EntryRequest request(world.entry.context, received);
      CHECK(request.Classify() == (fresh ? row.fresh : row.stale));
    }
  }
}

// Guards against requests that outlive their caller's timeout, their route's
// timeout or their parent request.
TEST_CASE("the deadline of a request is the earliest of its limits") {
  struct Case {
    std::string what;
    HttpHeaders headers;
    Duration timeout;
  };
  for (const Case& row : std::vector<Case>{
           {"route", {}, 5s},
           {"caller", {{"X-Timeout", "1500"}}, 1500ms},
           {"route earlier than caller", {{"X-Timeout", "9000"}}, 5s},
           {"malformed header", {{"X-Timeout", "soon"}}, 5s}}) {
    CAPTURE(row.what);
    World world;
    HttpRequest received = World::Received("/open/x", row.headers);
    EntryRequest request(world.entry.context, received);
    REQUIRE(request.Classify() == Cause::None);
    const TimePoint start = request.StartedAt();
    CHECK(request.Deadline() - start == row.timeout);
    // Less the time reserved for the response's way back.
    const Duration left = world.SentBy(request, false, start).remaining;
    CHECK(left < row.timeout);
    CHECK(left > row.timeout - 100ms);
    CHECK(world.SentBy(request, false, start + 1min).remaining ==
          Duration::zero());
    for (const Duration parentTimeout : {10s, 1s}) {
      request.Inherit(RunningAttempt(
          {}, {.rootStart = start, .deadline = start + parentTimeout}, 0));
      CHECK(request.Deadline() - start ==
            std::min<Duration>(row.timeout, parentTimeout));
    }
  }
}

// Guards against downstream calls that are counted or refused as those of
// another organisation, and against retries that count as first attempts
// downstream.
TEST_CASE("an attempt carries the attributes of its root request") {
  World world;
  world.entry.config.Confirm(BootClock::now());
  HttpRequest received = World::Received("/closed/x", {{"X-Key", "acme-key"}});
  EntryRequest request(world.entry.context, received);
  REQUIRE(request.Classify() == Cause::None);
  request.SetService("fees");
  const RequestContext own =
      world.SentBy(request, false, request.StartedAt() + 1s);
  CHECK(own.organisation == "acme");
  CHECK(own.keyHash == AsBytes(Sha256("acme-key")));
  CHECK(own.route == "filing");
  CHECK(own.service == "fees");
  CHECK(own.configVersion == 7);
  CHECK(own.age == 1s);
  CHECK(own.depth == 0);
  CHECK_FALSE(own.open);
  CHECK_FALSE(own.isRetry);
  CHECK(world.SentBy(request, true, request.StartedAt()).isRetry);

  RequestContext root;
  root.organisation = "other";
  root.rootId = Id128::Generate();
  root.depth = 2;
  root.isRetry = true;
  request.Inherit(RunningAttempt(
      root, {.rootStart = {}, .deadline = request.Deadline()}, 0));
  const RequestContext call = world.SentBy(request, false, request.StartedAt());
  CHECK(call.organisation == "other");
  CHECK(call.rootId == root.rootId);
  CHECK(call.depth == 3);
  CHECK(call.isRetry);
  CHECK(request.IsPartOfRetry());
}
