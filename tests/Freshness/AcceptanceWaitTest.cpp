#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "Freshness/AcceptanceWait.h"
#include "Freshness/ClockDrift.h"
#include "Freshness/FreshnessLease.h"
#include "Freshness/PropertyRun.h"
#include "Freshness/VouchTally.h"
#include "Freshness/VoucherEligibility.h"

using namespace fescueline;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
constexpr Duration kLimit = seconds(4);
const TimePoint kStart{std::chrono::hours(1)};
constexpr Id128 kFirst{.high = 0, .low = 1};
constexpr Id128 kSecond{.high = 0, .low = 2};
}  // namespace

// Guards against reporting a change while a node may still serve without it.
TEST_CASE("acceptance needs a majority and then the freshness limit") {
  AcceptanceWait wait(9, {VoucherSet(1, {"a", "b", "c"})}, kLimit);
  wait.OnResponse("a", kFirst, 9, kStart, kStart);
  wait.OnResponse("b", kFirst, 8, kStart, kStart);
  wait.OnResponse("x", kFirst, 9, kStart, kStart);
  CHECK_FALSE(wait.MajorityAt().has_value());
  CHECK_FALSE(wait.IsAccepted(kStart + seconds(60)));
  const TimePoint majority = kStart + seconds(1);
  wait.OnResponse("b", kFirst, 10, kStart, majority);
  CHECK(*wait.MajorityAt() == majority);
  CHECK_FALSE(wait.IsAccepted(majority + kLimit));
  CHECK(wait.IsAccepted(majority + WithClockDrift(kLimit)));
}

// Guards against counting an acknowledgement that a voucher has lost in a
// restart.
TEST_CASE("acknowledgements expire and end with the incarnation") {
  const VoucherSet set(1, {"a", "b", "c"});
  AcceptanceWait expired(9, {set}, kLimit);
  expired.OnResponse("a", kFirst, 9, kStart, kStart);
  expired.OnResponse("b", kFirst, 9, kStart + kLimit, kStart + kLimit);
  CHECK_FALSE(expired.MajorityAt().has_value());
  expired.OnResponse("a", kFirst, 9, kStart + kLimit, kStart + kLimit);
  CHECK(expired.MajorityAt().has_value());

  AcceptanceWait restarted(9, {set}, kLimit);
  restarted.OnResponse("a", kFirst, 9, kStart, kStart);
  restarted.OnResponse("a", kSecond, 8, kStart + seconds(1),
                       kStart + seconds(1));
  restarted.OnResponse("b", kFirst, 9, kStart + seconds(1),
                       kStart + seconds(1));
  CHECK_FALSE(restarted.MajorityAt().has_value());
}

// Guards against a new voucher set that is in force before a majority of the
// old set reports it to requesters.
TEST_CASE("a change of the voucher set needs majorities of both sets") {
  AcceptanceWait wait(
      9, {VoucherSet(1, {"a", "b", "c"}), VoucherSet(9, {"a", "b", "c", "d"})},
      kLimit);
  wait.OnResponse("a", kFirst, 9, kStart, kStart);
  wait.OnResponse("d", kFirst, 9, kStart, kStart);
  CHECK_FALSE(wait.MajorityAt().has_value());
  wait.OnResponse("b", kFirst, 9, kStart, kStart);
  CHECK(wait.MajorityAt().has_value());
}

// Guards against any schedule of restarts, relays, requests and delays under
// which a node is still fresh without a change that was reported as accepted.
// There are three vouchers and two other nodes; one version is committed. The
// number of cases is ten times the number that found a faulty eligibility rule,
// by which a restarted voucher vouches as soon as it is fresh.
TEST_CASE("property: no node is fresh without an accepted change") {
  CHECK(HoldsFor(20000, [] {
    constexpr size_t kVouchers = 3;
    constexpr size_t kNodes = 5;
    const std::vector<std::string> names = {"a", "b", "c", "d", "e"};
    const VoucherSet set(1, {"a", "b", "c"});
    struct Replica {
      FreshnessLease lease{kLimit};
      VoucherEligibility eligibility{kStart - seconds(60), kLimit};
      Id128 incarnation{.high = 0, .low = 1};
      uint64_t applied = 1;
    };
    std::vector<Replica> nodes(kNodes);
    TimePoint now = kStart;
    for (Replica& node : nodes) {
      node.lease.Renew(1, now, 1);
      node.eligibility.OnTableRead(now);
    }
    AcceptanceWait wait(2, {set}, kLimit);
    const auto renewed = [&](Replica& aNode) {
      aNode.eligibility.OnRenewed(aNode.lease);
    };
    const int steps = *rc::gen::inRange(1, 150);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::element(0, 0, 10, 500, 1500));
      const auto index = *rc::gen::inRange<size_t>(0, kNodes);
      const auto peer = *rc::gen::inRange<size_t>(0, kNodes);
      Replica& node = nodes[index];
      const TimePoint sentAt = now - milliseconds(*rc::gen::element(0, 0, 900));
      switch (*rc::gen::inRange(0, 8)) {
        case 0:  // A voucher reads the changes from the table.
          if (index < kVouchers) {
            node.applied = 2;
            wait.OnResponse(names[index], node.incarnation, 2, now, now);
          }
          break;
        case 1:  // The writer gets a response from a voucher.
          if (index < kVouchers) {
            wait.OnResponse(names[index], node.incarnation, node.applied,
                            sentAt, now);
          }
          break;
        case 2:  // Restart: all state is lost.
          node = Replica{
              .lease = FreshnessLease(kLimit),
              .eligibility = VoucherEligibility(now, kLimit),
              .incarnation = {.high = 0, .low = node.incarnation.low + 1},
              .applied = 1};
          break;
        case 3:
        case 4: {  // A node asks the vouchers; some responses are lost.
          VouchTally tally(set, now);
          for (size_t v = 0; v < kVouchers; ++v) {
            if (*rc::gen::inRange(0, 4) != 0) {
              tally.Add({names[v], nodes[v].applied,
                         nodes[v].eligibility.MayVouch()});
            }
          }
          now += milliseconds(*rc::gen::element(0, 50));
          tally.Renew(node.lease, set, node.applied);
          renewed(node);
          break;
        }
        default:  // Relay, with or without the peer's changes.
          if (*rc::gen::arbitrary<bool>()) {
            node.applied = std::max(node.applied, nodes[peer].applied);
          }
          if (const auto response = nodes[peer].lease.Relay(now)) {
            node.lease.RenewByRelay(*response, now, node.applied);
            renewed(node);
          }
      }
      if (wait.IsAccepted(now)) {
        for (const Replica& each : nodes) {
          RC_ASSERT(each.applied >= 2 || !each.lease.IsFresh(now));
        }
      }
    }
  }));
}
