#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Routing/TargetSubset.h"

using namespace fescueline;

namespace {
/// Members of one service spread over data centres; two per region.
struct Fleet {
  Fleet(size_t aCount, size_t aCentres) {
    for (size_t i = 0; i < aCount; ++i) {
      const size_t centre = i % aCentres;
      this->names.push_back({"node-" + std::to_string(i),
                             "dc" + std::to_string(centre),
                             "r" + std::to_string(centre / 2)});
    }
    for (const auto& name : this->names) {
      this->members.push_back(
          {.node = name[0], .dataCentre = name[1], .region = name[2]});
    }
  }

  std::vector<std::vector<std::string>> names;
  std::vector<SubsetCandidate> members;
};

std::set<std::string_view> Chosen(const SubsetCandidate& aSelf,
                                  const std::vector<SubsetCandidate>& aFleet) {
  std::set<std::string_view> nodes;
  for (const size_t position : TargetSubset({}).Select(aSelf, aFleet)) {
    nodes.insert(aFleet[position].node);
  }
  return nodes;
}
}  // namespace

// Guards against a number of connections that grows with the fleet, and against
// a subset without local targets.
TEST_CASE("a subset is bounded and prefers the local data centre") {
  const Fleet fleet(10000, 8);
  const auto chosen = TargetSubset({}).Select(fleet.members[0], fleet.members);
  std::map<std::string_view, size_t> centres;
  for (const size_t position : chosen) {
    ++centres[fleet.members[position].dataCentre];
  }
  CHECK(chosen.size() == 20);
  CHECK(centres["dc0"] == 12);
  CHECK(centres["dc1"] == 6);
  const Fleet small(4, 4);
  CHECK(TargetSubset({}).Select(small.members[0], small.members).size() == 4);
}

// Guards against connections that change across the fleet when one target
// leaves, and against a target that no node connects to.
TEST_CASE("a leaving target changes only the subsets that contain it") {
  const Fleet fleet(400, 2);
  std::vector<SubsetCandidate> rest(fleet.members.begin() + 1,
                                    fleet.members.end());
  std::map<std::string_view, size_t> users;
  for (const SubsetCandidate& self : fleet.members) {
    auto before = Chosen(self, fleet.members);
    for (const std::string_view node : before) {
      ++users[node];
    }
    const auto after = Chosen(self, rest);
    if (!before.contains(fleet.members[0].node)) {
      CHECK(before == after);
      continue;
    }
    before.erase(fleet.members[0].node);
    CHECK(std::includes(after.begin(), after.end(), before.begin(),
                        before.end()));
  }
  REQUIRE(users.size() == fleet.members.size());
  size_t most = 0;
  for (const auto& [node, count] : users) {
    most = std::max(most, count);
  }
  // The mean is 18; independent hashing has a standard deviation of 4.
  CHECK(most < 18 + 5 * 4);
}
