#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

#include "Freshness/FreshnessLease.h"
#include "Freshness/RelayFleet.h"

using namespace fescueline;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
constexpr Duration kLimit = seconds(4);
const TimePoint kStart{std::chrono::hours(1)};

struct RenewCase {
  const char* name;
  uint64_t version;
  Duration asOf;
  uint64_t applied;
  bool adopted;
};

struct FleetCase {
  size_t nodes;
  size_t vouchers;
  Duration limit;
  int rounds;
};
}  // namespace

// Guards against adopting a version that the node has not applied, and against
// a late response that moves the as-of time backwards.
TEST_CASE("a lease adopts only applied versions and newer as-of times") {
  const std::vector<RenewCase> cases = {
      {"newer as-of time, same version", 5, seconds(2), 5, true},
      {"newer version, applied", 6, seconds(2), 6, true},
      {"newer version, not applied", 6, seconds(2), 5, false},
      {"applied further than needed", 5, seconds(2), 9, true},
      {"older as-of time", 5, milliseconds(500), 5, false},
      {"equal as-of time", 5, seconds(1), 5, false},
      {"older version with newer as-of time", 4, seconds(2), 5, true},
  };
  for (const RenewCase& row : cases) {
    CAPTURE(row.name);
    FreshnessLease lease(kLimit);
    REQUIRE(lease.Renew(5, kStart + seconds(1), 5));
    CHECK(lease.Renew(row.version, kStart + row.asOf, row.applied) ==
          row.adopted);
    CHECK(lease.Current()->asOf ==
          kStart + (row.adopted ? row.asOf : Duration(seconds(1))));
  }
}

// Guards against serving at or beyond the age limit, and before the first
// renewal.
TEST_CASE("a lease is fresh for less than its limit") {
  FreshnessLease lease(kLimit);
  CHECK_FALSE(lease.IsFresh(kStart));
  CHECK_FALSE(lease.Age(kStart).has_value());
  CHECK_FALSE(lease.Relay(kStart).has_value());
  REQUIRE(lease.Renew(1, kStart, 1));
  CHECK(lease.IsFresh(kStart + kLimit - Duration(1)));
  CHECK_FALSE(lease.IsFresh(kStart + kLimit));
  CHECK_FALSE(lease.Relay(kStart + kLimit).has_value());
  CHECK(*lease.ExpiresAt() == kStart + kLimit);
}

// Guards against a relay that makes a configuration look more recent than it
// is.
TEST_CASE("a relay keeps the age and refuses impossible ages") {
  FreshnessLease source(kLimit);
  source.Renew(7, kStart, 7);
  const RelayResponse response = *source.Relay(kStart + seconds(1));
  CHECK(response.age == Duration(seconds(1)));
  FreshnessLease receiver(kLimit);
  CHECK_FALSE(receiver.RenewByRelay(response, kStart, 6));
  CHECK(receiver.RenewByRelay(response, kStart, 7));
  CHECK(*receiver.Age(kStart) == Duration(seconds(1)));
  CHECK_FALSE(receiver.RenewByRelay({.version = 7, .age = Duration(-1)},
                                    kStart + seconds(1), 7));
  CHECK_FALSE(receiver.RenewByRelay({.version = 7, .age = Duration::max()},
                                    kStart + seconds(1), 7));
}

// Guards against any chain of relays, in any order and with any delay, in which
// a node's as-of time is later than the table read that it derives from, or in
// which a node is fresh without having applied a version read before its as-of
// time.
TEST_CASE("property: a relayed as-of time is never too late") {
  CHECK(rc::check([] {
    constexpr size_t kNodes = 5;
    std::vector<FreshnessLease> leases(kNodes, FreshnessLease(kLimit));
    std::vector<uint64_t> applied(kNodes, 0);
    // Commit times of versions 1, 2, ...
    std::vector<TimePoint> commits;
    TimePoint now = kStart;
    const int steps = *rc::gen::inRange(1, 80);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 700));
      const auto node = *rc::gen::inRange<size_t>(0, kNodes);
      const auto peer = *rc::gen::inRange<size_t>(0, kNodes);
      const TimePoint sentAt = now - milliseconds(*rc::gen::inRange(0, 900));
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          commits.push_back(now);
          break;
        case 1:
          applied[node] = commits.size();
          leases[node].Renew(commits.size(), sentAt, applied[node]);
          break;
        default:
          if (*rc::gen::arbitrary<bool>()) {
            applied[node] = std::max(applied[node], applied[peer]);
          }
          if (const auto response = leases[peer].Relay(now)) {
            leases[node].RenewByRelay(*response, sentAt, applied[node]);
          }
      }
      for (size_t n = 0; n < kNodes; ++n) {
        if (!leases[n].Current()) {
          continue;
        }
        const TimePoint asOf = leases[n].Current()->asOf;
        const auto before = static_cast<uint64_t>(
            std::count_if(commits.begin(), commits.end(),
                          [&](TimePoint t) { return t < asOf; }));
        RC_ASSERT(applied[n] >= before);
      }
    }
  }));
}

// Guards against a relay that does not reach the whole fleet in the time that
// the freshness limit assumes: 4 s for small fleets, 8 s for 10,000 nodes.
TEST_CASE("relay pulls reach the whole fleet within the freshness limit") {
  const std::vector<FleetCase> cases = {
      {16, 3, seconds(4), 16},
      {256, 3, seconds(4), 16},
      {1000, 24, seconds(4), 16},
      {10000, 24, seconds(8), 32},
  };
  for (const FleetCase& row : cases) {
    CAPTURE(row.nodes);
    RelayFleet fleet(row.nodes, row.vouchers, row.limit, 7);
    for (int i = 0; i < 40; ++i) {
      fleet.RunRound();
      REQUIRE(fleet.CountStale() == 0);
    }
    fleet.Commit();
    int rounds = 0;
    while (fleet.CountCurrent() < row.nodes && rounds <= row.rounds) {
      fleet.RunRound();
      ++rounds;
    }
    CHECK(rounds <= row.rounds);
    CHECK(fleet.GreatestAge() < row.limit);
  }
}
