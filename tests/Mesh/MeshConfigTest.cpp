#include <doctest/doctest.h>

#include "Mesh/ConfigHolder.h"
#include "Mesh/MeshConfig.h"
#include "Mesh/RunningRequests.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {

MeshRoute Route(const std::string& aName, const std::string& aHost,
                const std::string& aPrefix, uint32_t aRank = 0) {
  MeshRoute route;
  route.name = aName;
  route.host = aHost;
  route.prefix = aPrefix;
  route.services = {{.service = "fees", .weight = 1}};
  route.rank = aRank;
  return route;
}

MeshOrganisation Organisation(const std::string& aName, uint32_t aRank) {
  return {.name = aName, .keys = {aName + "-key"}, .rank = aRank};
}

}  // namespace

// Guards against requests that are matched to another route.
TEST_CASE("the longest matching prefix of the host selects the route") {
  const MeshConfig config(
      {.version = 1,
       .routes = {Route("root", "a", "/"), Route("long", "a", "/x/y/"),
                  Route("short", "a", "/x/"), Route("other", "b", "/x/")}});
  struct Case {
    const char* host;
    const char* path;
    const char* route;
  };
  for (const Case& row : std::vector<Case>{{"a", "/x/y/z", "long"},
                                           {"A:8080", "/x/z", "short"},
                                           {"a", "/x", "root"},
                                           {"b", "/x/y/z", "other"},
                                           {"b", "/", nullptr},
                                           {"c", "/x/", nullptr}}) {
    CAPTURE(row.host);
    CAPTURE(row.path);
    const MeshRoute* found = config.FindRoute(row.host, row.path);
    REQUIRE((found != nullptr) == (row.route != nullptr));
    CHECK((found == nullptr || found->name == row.route));
  }
}

// Guards against a key that is found only by its text or only by its digest.
TEST_CASE("keys find their organisation by text and by digest") {
  const MeshConfig config(
      {.version = 1, .organisations = {Organisation("acme", 0)}});
  const MeshOrganisation* acme = config.FindOrganisation("acme");
  CHECK(config.FindByKey("acme-key") == acme);
  CHECK(config.FindByKeyHash(std::string(AsBytes(Sha256("acme-key")))) == acme);
  CHECK(config.FindByKey("other") == nullptr);
  CHECK(config.FindByKeyHash("") == nullptr);
}

// Guards against an importance that ignores the rank of the route among
// organisations of the same rank, or the rank of the organisation.
TEST_CASE("importance follows the rank of the organisation, then the route") {
  const MeshRoute filing = Route("filing", "a", "/f/", 0);
  const MeshRoute lookup = Route("lookup", "a", "/l/", 2);
  MeshRoute inner = Route("inner", "a", "/i/", 1);
  inner.open = true;
  const MeshOrganisation first = Organisation("first", 0);
  const MeshOrganisation second = Organisation("second", 1);
  const MeshConfig config({.version = 1,
                           .routes = {filing, lookup, inner},
                           .organisations = {first, second}});
  CHECK(config.ImportanceOf(filing, &first) == Importance::Critical);
  CHECK(config.ImportanceOf(lookup, &first) == Importance::High);
  CHECK(config.ImportanceOf(filing, &second) == Importance::Normal);
  CHECK(config.ImportanceOf(lookup, &second) == Importance::Low);
  CHECK(config.ImportanceOf(inner, nullptr) == Importance::High);
}

// Guards against reverting to an older configuration, and against treating one
// as fresh for longer than it was confirmed.
TEST_CASE("versions never go back and their age counts from confirmation") {
  ConfigHolder holder([](const std::string& aText) -> MeshConfigPtr {
    if (aText == "bad") {
      return nullptr;
    }
    return std::make_shared<const MeshConfig>(
        MeshConfig::Content{.version = std::stoull(aText)});
  });
  const BootTime start = BootClock::now();
  CHECK(holder.Age(start) == Duration::max());
  CHECK(holder.Apply("5"));
  CHECK_FALSE(holder.Apply("4"));
  CHECK_FALSE(holder.Apply("5"));
  CHECK_FALSE(holder.Apply("bad"));
  CHECK(holder.Version() == 5);
  holder.Confirm(start);
  holder.Confirm(start - 1s);
  CHECK(holder.Age(start + 2s) == 2s);
  // A confirmation by a peer counts from the ping, less the age in the pong.
  holder.ConfirmByPeer(5, start + 3s, 1s);
  CHECK(holder.Age(start + 3s) == 1s);
  holder.ConfirmByPeer(6, start + 9s, 0s);
  holder.ConfirmByPeer(5, start + 9s, -1us);
  CHECK(holder.Age(start + 9s) == 7s);
}

// Guards against a caller's request that inherits from an unrelated one.
TEST_CASE("only downstream calls of running requests have a parent") {
  RunningRequests running;
  const auto attempt = std::make_shared<RunningAttempt>(
      RequestContext{}, RunningAttempt::Times{}, 0);
  const auto later = std::make_shared<RunningAttempt>(
      RequestContext{}, RunningAttempt::Times{}, 0);
  running.Add("r1", attempt);
  running.Add("r1.a", later);
  CHECK(running.ParentOf("r1.x") == attempt);
  CHECK(running.ParentOf("r1.a.x") == later);
  CHECK(running.ParentOf("r1") == nullptr);
  CHECK(running.ParentOf("r2.x") == nullptr);
  CHECK(running.ParentOf("") == nullptr);
  // A retry has replaced the first attempt; the end of the first one must not
  // remove it.
  running.Add("r1", later);
  running.Remove("r1", attempt);
  CHECK(running.ParentOf("r1.x") == later);
  running.Remove("r1", later);
  CHECK(running.ParentOf("r1.x") == nullptr);
}
