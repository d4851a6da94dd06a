#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

#include "Membership/Directory.h"

using namespace fescueline;
using namespace std::chrono_literals;

namespace {
MemberInfo Member(int aNumber, uint64_t aIncarnation = 1,
                  const std::string& aService = "fees",
                  const std::string& aRegion = "r1") {
  return {.node = "n" + std::to_string(aNumber),
          .incarnation = {.high = 1, .low = aIncarnation},
          .dataCentre = "dc1",
          .region = aRegion,
          .service = aService,
          .peerAddress = "10.0.0.1:1",
          .controlAddress = "10.0.0.1:2"};
}

Id128 FirstIncarnation() { return {.high = 1, .low = 1}; }

/// A directory whose clock runs without pauses.
struct Fixture {
  explicit Fixture(int aMembers) {
    for (int i = 0; i < aMembers; ++i) {
      this->directory.Upsert(Member(i));
      this->directory.OnContact("n" + std::to_string(i), FirstIncarnation());
    }
    this->directory.RemovalCandidates(this->clock.Now());
  }

  std::vector<MemberRef> RemovableAfter(Duration aTime) {
    std::vector<MemberRef> removable;
    const TimePoint end = this->clock.Now() + aTime;
    while (this->clock.Now() < end) {
      this->clock.Advance(std::min<Duration>(1s, end - this->clock.Now()));
      removable = this->directory.RemovalCandidates(this->clock.Now());
    }
    return removable;
  }

  Directory directory{{.region = "r1"}};
  ManualClock clock;
};
}  // namespace

// Guards against removal of a member that has been in contact meanwhile, and
// against records of failed members that stay.
TEST_CASE("a member is removable after 30 s without contact") {
  Fixture fixture(4);
  fixture.directory.OnUnreachable("n1", FirstIncarnation());
  CHECK(fixture.RemovableAfter(20s).empty());
  fixture.directory.OnUnreachable("n1", FirstIncarnation());
  CHECK(fixture.RemovableAfter(9999ms).empty());
  CHECK(fixture.RemovableAfter(1ms) ==
        std::vector<MemberRef>{
            {.node = "n1", .incarnation = FirstIncarnation()}});
  fixture.directory.OnContact("n1", FirstIncarnation());
  CHECK(fixture.RemovableAfter(1s).empty());
  // A member that this node never talked to does not become a candidate.
  fixture.directory.Upsert(Member(9));
  CHECK(fixture.RemovableAfter(60s).empty());
}

// Guards against a process that was paused and treats its peers as failed.
TEST_CASE("a pause does not count as time without contact") {
  Fixture fixture(4);
  fixture.directory.OnUnreachable("n1", FirstIncarnation());
  fixture.clock.Advance(60s);
  CHECK(fixture.directory.RemovalCandidates(fixture.clock.Now()).empty());
  CHECK(fixture.RemovableAfter(28s).empty());
  CHECK(fixture.RemovableAfter(1s).size() == 1);
}

// Guards against a partition that removes members which are alive.
TEST_CASE("no member is removable from the smaller side of a partition") {
  Fixture fixture(5);
  fixture.directory.Upsert(Member(5, 1, "fees", "r2"));
  fixture.directory.OnUnreachable("n5", FirstIncarnation());
  fixture.directory.OnUnreachable("n0", FirstIncarnation());
  fixture.directory.OnUnreachable("n1", FirstIncarnation());
  CHECK(fixture.RemovableAfter(40s).size() == 2);
  fixture.directory.OnUnreachable("n2", FirstIncarnation());
  CHECK(fixture.RemovableAfter(40s).empty());
  fixture.directory.OnContact("n2", FirstIncarnation());
  CHECK(fixture.RemovableAfter(1s).size() == 2);
}

// Guards against reports about an old incarnation that are applied to the new
// one.
TEST_CASE("a new incarnation does not inherit the contact state") {
  Fixture fixture(3);
  fixture.directory.OnUnreachable("n1", FirstIncarnation());
  CHECK(fixture.directory.Upsert(Member(1, 2)) == MemberChange::Replaced);
  CHECK(fixture.RemovableAfter(60s).empty());
  fixture.directory.OnUnreachable("n1", FirstIncarnation());
  CHECK(fixture.RemovableAfter(60s).empty());
  fixture.directory.OnUnreachable("n1", {.high = 1, .low = 2});
  const auto removable = fixture.RemovableAfter(30s);
  REQUIRE(removable.size() == 1);
  CHECK(removable[0].incarnation == Id128{.high = 1, .low = 2});
  CHECK(fixture.directory.Upsert(Member(1, 2)) == MemberChange::Unchanged);
}

// Guards against views by service and reported changes that do not match the
// member records, after any sequence of record sets.
TEST_CASE("views and changes follow the records") {
  const bool holds = rc::check("random record sets", [] {
    Directory directory({.region = "r1"});
    std::map<std::string, MemberInfo> model;
    for (const auto& set :
         *rc::gen::arbitrary<std::vector<std::map<uint8_t, uint8_t>>>()) {
      std::map<std::string, MemberInfo> next;
      std::vector<MemberInfo> members;
      for (const auto& [node, value] : set) {
        const MemberInfo member =
            Member(node % 16, value % 3, value % 2 == 0 ? "fees" : "filings");
        if (next.emplace(member.node, member).second) {
          members.push_back(member);
        }
      }
      const DirectoryChanges changes = directory.Assign(members);
      size_t present = 0;
      size_t gone = 0;
      for (const auto& [node, member] : next) {
        const auto old = model.find(node);
        present += old == model.end() || old->second != member;
      }
      for (const auto& [node, member] : model) {
        const auto now = next.find(node);
        gone +=
            now == next.end() || now->second.incarnation != member.incarnation;
      }
      RC_ASSERT(changes.present.size() == present);
      RC_ASSERT(changes.gone.size() == gone);
      RC_ASSERT(directory.Size() == next.size());
      size_t viewed = 0;
      for (const char* service : {"fees", "filings"}) {
        for (const MemberInfo* member : directory.OfService(service)) {
          RC_ASSERT(*member == next.at(member->node));
          RC_ASSERT(member->service == service);
          ++viewed;
        }
      }
      RC_ASSERT(viewed == next.size());
      model = next;
    }
  });
  CHECK(holds);
}
