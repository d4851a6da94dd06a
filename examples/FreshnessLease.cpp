// Decides by the age of a node's configuration whether a permission, which may
// have been withdrawn, can still be used, and reports a withdrawal only when no
// node can use the permission any more.
#include "Freshness/FreshnessLease.h"

#include <iostream>

#include "Freshness/AcceptanceWait.h"
#include "Freshness/VouchTally.h"

using namespace fescueline;
using std::chrono::milliseconds;
using std::chrono::seconds;

int main() {
  constexpr Duration kLimit = seconds(4);
  constexpr uint64_t kOld = 7;
  constexpr uint64_t kNew = 8;
  ManualClock clock;
  const VoucherSet set(1, {"n1", "n2", "n3"});

  // Node n4 sends a request to the vouchers; two of three respond that version
  // 7 is the newest.
  FreshnessLease lease(kLimit);
  VouchTally tally(set, clock.Now());
  clock.Advance(milliseconds(5));
  tally.Add({.node = "n1", .version = kOld, .eligible = true});
  tally.Add({.node = "n2", .version = kOld, .eligible = true});
  bool passed = tally.Renew(lease, set, /* aAppliedVersion */ kOld);
  passed = passed && lease.IsFresh(clock.Now());

  // Version 8 withdraws a permission. Two vouchers acknowledge it.
  AcceptanceWait wait(kNew, {set}, kLimit);
  const TimePoint requestedAt = clock.Now();
  clock.Advance(milliseconds(5));
  wait.OnResponse("n1", {.low = 1}, kNew, requestedAt, clock.Now());
  wait.OnResponse("n3", {.low = 3}, kNew, requestedAt, clock.Now());
  passed = passed && !wait.IsAccepted(clock.Now());

  // Another node renews its lease by a relay from n4. The relayed age is about
  // 3 s of the limit of 4 s, so both are fresh for one more second.
  FreshnessLease relayed(kLimit);
  clock.Advance(milliseconds(2990));
  const auto answer = lease.Relay(clock.Now());
  passed = passed && answer &&
           relayed.RenewByRelay(*answer, clock.Now(), kOld) &&
           *relayed.Age(clock.Now()) == seconds(3);

  // Once the change is accepted, no node uses the old version.
  clock.Advance(*wait.AcceptedAt() - clock.Now());
  passed = passed && wait.IsAccepted(clock.Now()) &&
           !lease.IsFresh(clock.Now()) && !relayed.IsFresh(clock.Now());
  std::cout << (passed ? "stopped before the change was reported\n"
                       : "wrong\n");
  return passed ? 0 : 1;
}
