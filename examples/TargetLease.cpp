// Tracks a server's announcement lease, and the members of a service with the
// time since they became unreachable.
#include "Membership/TargetLease.h"

#include <iostream>
#include <vector>

#include "Membership/Directory.h"

using namespace fescueline;
using std::chrono::milliseconds;
using std::chrono::seconds;

int main() {
  ManualClock clock;
  TargetLease lease(TargetLeaseSettings{.length = seconds(3)});
  const TargetAnnouncement ready{.service = "fees",
                                 .address = "127.0.0.1:9000",
                                 .state = TargetState::Ready};

  // A change of state is reported once, so that it can be pushed to the
  // callers.
  bool passed = lease.Announce(ready, clock.Now());
  clock.Advance(seconds(1));
  passed = passed && !lease.Announce(ready, clock.Now());

  // The lease ends after three seconds without an announcement.
  clock.Advance(milliseconds(3001));
  passed = passed && lease.State(clock.Now()) == TargetState::Gone &&
           lease.Expire(clock.Now()) && lease.Current(clock.Now()) == nullptr;

  // Two of three members are reachable; the third has been unreachable for
  // 30 s.
  Directory directory({.region = "r1", .removeAfter = seconds(30)});
  std::vector<MemberInfo> members;
  for (const char* name : {"n1", "n2", "n3"}) {
    members.push_back({.node = name,
                       .incarnation = Id128::Generate(),
                       .region = "r1",
                       .service = "fees"});
    directory.Upsert(members.back());
    directory.OnContact(name, members.back().incarnation);
  }
  directory.OnUnreachable("n3", members[2].incarnation);
  std::vector<MemberRef> removable;
  for (int i = 0; i <= 31; ++i) {
    removable = directory.RemovalCandidates(clock.Now());
    passed = passed && (i > 29 || removable.empty());
    clock.Advance(seconds(1));
  }
  passed = passed && directory.OfService("fees").size() == 3 &&
           removable.size() == 1 && removable.front().node == "n3";
  std::cout << (passed ? "the unreachable member can be removed\n" : "wrong\n");
  return passed ? 0 : 1;
}
