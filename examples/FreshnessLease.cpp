// Decides by the age of a node's knowledge whether a withdrawn permission may
// still be used, and reports a change only when no node can use it any more.
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

  // Node n4 asks the vouchers; two of three answer that 7 is the newest.
  FreshnessLease lease(kLimit);
  VouchTally tally(set, clock.Now());
  clock.Advance(milliseconds(5));
  tally.Add({.node = "n1", .version = kOld, .eligible = true});
  tally.Add({.node = "n2", .version = kOld, .eligible = true});
  bool right = tally.Renew(lease, set, /* aAppliedVersion */ kOld);
  right = right && lease.IsFresh(clock.Now());

  // Version 8 withdraws something. Two vouchers acknowledge it.
  AcceptanceWait wait(kNew, {set}, kLimit);
  const TimePoint sentAt = clock.Now();
  clock.Advance(milliseconds(5));
  wait.OnResponse("n1", {.low = 1}, kNew, sentAt, clock.Now());
  wait.OnResponse("n3", {.low = 3}, kNew, sentAt, clock.Now());
  right = right && !wait.IsAccepted(clock.Now());

  // A peer that n4 relays from is 3 s old, so n4 is fresh for one more second.
  FreshnessLease relayed(kLimit);
  clock.Advance(milliseconds(2990));
  const auto answer = lease.Relay(clock.Now());
  right = right && answer && relayed.RenewByRelay(*answer, clock.Now(), kOld) &&
          *relayed.Age(clock.Now()) == seconds(3);

  // Once the change is accepted, no node acts on the old version.
  clock.Advance(*wait.AcceptedAt() - clock.Now());
  right = right && wait.IsAccepted(clock.Now()) &&
          !lease.IsFresh(clock.Now()) && !relayed.IsFresh(clock.Now());
  std::cout << (right ? "stopped before the change was reported\n" : "wrong\n");
  return right ? 0 : 1;
}
