#include <doctest/doctest.h>

#include <vector>

#include "Freshness/VouchTally.h"
#include "Freshness/VoucherEligibility.h"

using namespace fescueline;
using std::chrono::seconds;

namespace {
constexpr Duration kLimit = seconds(4);
const TimePoint kStart{std::chrono::hours(1)};

struct TallyCase {
  const char* name;
  std::vector<Vouch> vouches;
  std::optional<uint64_t> majority;
};

struct SuccessorCase {
  const char* name;
  std::vector<std::string> current;
  std::vector<std::string> next;
  bool allowed;
};
}  // namespace

// Guards against a result without a majority of eligible members, and against
// one that ignores a higher version.
TEST_CASE("a tally needs a majority of eligible members") {
  const VoucherSet set(3, {"a", "b", "c"});
  const std::vector<TallyCase> cases = {
      {"one response", {{"a", 5, true}}, std::nullopt},
      {"two responses", {{"a", 5, true}, {"b", 5, true}}, 5},
      {"the same member twice", {{"a", 5, true}, {"a", 5, true}}, std::nullopt},
      {"not a member", {{"a", 5, true}, {"x", 9, true}}, std::nullopt},
      {"not eligible", {{"a", 5, true}, {"b", 5, false}}, std::nullopt},
      {"eligible in its second response",
       {{"a", 5, true}, {"b", 5, false}, {"b", 5, true}},
       5},
      {"the highest version counts", {{"a", 5, true}, {"b", 7, true}}, 7},
      {"the version of a response that does not count raises the result",
       {{"a", 5, true}, {"b", 5, true}, {"c", 8, false}},
       8},
  };
  for (const TallyCase& row : cases) {
    CAPTURE(row.name);
    VouchTally tally(set, kStart);
    for (const Vouch& vouch : row.vouches) {
      tally.Add(vouch);
    }
    CHECK(tally.Majority() == row.majority);
  }
}

// Guards against the result of a replaced voucher set, whose majority may miss
// changes that only the new set acknowledged.
TEST_CASE("a result renews only under the set that the request was sent to") {
  const VoucherSet set(3, {"a", "b", "c"});
  VouchTally tally(set, kStart);
  tally.Add({"a", 5, true});
  tally.Add({"b", 5, true});
  FreshnessLease lease(kLimit);
  CHECK_FALSE(tally.Renew(lease, VoucherSet(4, {"a", "b"}), 5));
  CHECK_FALSE(tally.Renew(lease, set, 4));
  CHECK(tally.Renew(lease, set, 5));
  CHECK(lease.Current()->asOf == kStart);
}

// Guards against steps between voucher sets whose majorities need not
// intersect.
TEST_CASE("voucher sets change by one member") {
  const std::vector<SuccessorCase> cases = {
      {"first set", {}, {"a", "b", "c"}, true},
      {"one added", {"a", "b"}, {"a", "b", "c"}, true},
      {"one removed", {"a", "b", "c"}, {"b", "c"}, true},
      {"one replaced", {"a", "b", "c"}, {"a", "b", "d"}, false},
      {"two added", {"a"}, {"a", "b", "c"}, false},
      {"unchanged", {"a", "b"}, {"a", "b"}, false},
      {"last removed", {"a"}, {}, false},
  };
  for (const SuccessorCase& row : cases) {
    CAPTURE(row.name);
    const VoucherSet current(1, row.current);
    CHECK(current.CanChangeTo(VoucherSet(2, row.next)) == row.allowed);
    CHECK_FALSE(current.CanChangeTo(VoucherSet(1, row.next)));
  }
}

// Guards against allowed steps between sets that have two disjoint majorities.
// Tries all sets of up to 5 of 6 nodes.
TEST_CASE("majorities of consecutive sets intersect") {
  constexpr unsigned kNodes = 6;
  const auto members = [](unsigned aMask) {
    std::vector<std::string> names;
    for (unsigned i = 0; i < kNodes; ++i) {
      if ((aMask >> i) & 1U) {
        names.push_back(std::string(1, static_cast<char>('a' + i)));
      }
    }
    return names;
  };
  for (unsigned from = 1; from < (1U << kNodes) - 1; ++from) {
    for (unsigned to = 1; to < (1U << kNodes) - 1; ++to) {
      const VoucherSet current(1, members(from));
      const VoucherSet next(2, members(to));
      if (!current.CanChangeTo(next)) {
        continue;
      }
      // The smallest possible overlap of two majorities.
      const size_t both = static_cast<size_t>(__builtin_popcount(from | to));
      CHECK(current.MajoritySize() + next.MajoritySize() > both);
    }
  }
}

// Guards against a restarted voucher that vouches before its configuration
// covers all changes that its former incarnation acknowledged.
TEST_CASE("a restarted voucher needs a configuration from after its start") {
  FreshnessLease lease(kLimit);
  VoucherEligibility relayed(kStart, kLimit);
  lease.Renew(1, kStart - seconds(1), 1);
  relayed.OnRenewed(lease);
  CHECK_FALSE(relayed.MayVouch());
  lease.Renew(1, kStart + seconds(1), 1);
  relayed.OnRenewed(lease);
  CHECK_FALSE(relayed.MayVouch());
  lease.Renew(1, kStart + WithClockDrift(kLimit), 1);
  relayed.OnRenewed(lease);
  CHECK(relayed.MayVouch());

  VoucherEligibility reader(kStart, kLimit);
  reader.OnTableRead(kStart - Duration(1));
  CHECK_FALSE(reader.MayVouch());
  reader.OnTableRead(kStart);
  CHECK(reader.MayVouch());
}
