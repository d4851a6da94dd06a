#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "Core/RandomSource.h"
#include "Mesh/MemberTable.h"

using namespace fescueline;

namespace {

StoredRow Row(const std::string& aKey, uint64_t aVersion) {
  return {.key = aKey, .value = "v", .version = aVersion};
}

StoredRow Removal(const std::string& aKey, uint64_t aVersion) {
  return {.key = aKey, .version = aVersion, .removed = true};
}

/// Keys and versions of all rows of a table.
std::map<std::string, uint64_t> RowsOf(const MemberTable& aTable) {
  std::map<std::string, uint64_t> rows;
  for (const StoredRow& row : aTable.Since(0).rows) {
    if (!row.removed) {
      rows[row.key] = row.version;
    }
  }
  return rows;
}

}  // namespace

// Guards against whole tables that are sent for one change.
TEST_CASE("a peer gets only the changes that it lacks") {
  MemberTable table;
  table.OnSnapshot({Row("a", 3), Row("b", 4)}, 10);
  table.OnChanges({Row("c", 12), Removal("a", 13)}, 14);
  struct Case {
    uint64_t since;
    bool complete;
    std::vector<std::string> keys;
  };
  for (const Case& row : std::vector<Case>{{0, true, {"b", "c"}},
                                           {3, false, {"b", "c", "a"}},
                                           {10, false, {"c", "a"}},
                                           {12, false, {"a"}},
                                           {14, false, {}}}) {
    CAPTURE(row.since);
    const MemberChanges changes = table.Since(row.since);
    CHECK(changes.complete == row.complete);
    CHECK(changes.readUpTo == 14);
    std::vector<std::string> keys;
    for (const StoredRow& changed : changes.rows) {
      keys.push_back(changed.key);
    }
    CHECK(keys == row.keys);
  }
}

// A node leaves, the store goes down, and a peer that last read the table
// before that sends its rows. Guards against a member that is never removed
// again: it would get a part of each rate, and removals of its row would fail
// repeatedly.
TEST_CASE("a peer's rows do not restore a removed member") {
  struct Case {
    const char* name;
    MemberChanges changes;
    bool applied;
    bool hasMember;
  };
  // The member's row had version 5 and was removed with version 6.
  for (const Case& row : std::vector<Case>{
           {"older peer",
            {.since = 2, .readUpTo = 5, .rows = {Row("m", 5)}},
            false,
            false},
           {"older peer, all rows",
            {.readUpTo = 5, .complete = true, .rows = {Row("m", 5)}},
            false,
            false},
           {"same version",
            {.since = 2, .readUpTo = 7, .rows = {Row("m", 5)}},
            false,
            false},
           {"later version of the same row",
            {.since = 2, .readUpTo = 9, .rows = {Row("m", 5)}},
            true,
            false},
           {"gap before the changes",
            {.since = 8, .readUpTo = 9, .rows = {Row("m", 9)}},
            false,
            false},
           {"row that was written again",
            {.since = 7, .readUpTo = 9, .rows = {Row("m", 8)}},
            true,
            true}}) {
    CAPTURE(std::string(row.name));
    for (const bool bySnapshot : {false, true}) {
      CAPTURE(bySnapshot);
      MemberTable table;
      if (bySnapshot) {
        table.OnSnapshot({}, 7);
      } else {
        table.OnSnapshot({Row("m", 5)}, 5);
        table.OnChanges({Removal("m", 6)}, 7);
      }
      CHECK(table.Apply(row.changes) == row.applied);
      CHECK(RowsOf(table).contains("m") == row.hasMember);
    }
  }
}

// Guards against a node that asks the same peer again and again, and against
// one that takes an outdated table for a current one.
TEST_CASE("digests are equal exactly if the rows are") {
  MemberTable first;
  first.OnSnapshot({Row("a", 1), Row("b", 2)}, 2);
  MemberTable second;
  second.OnSnapshot({}, 0);
  second.OnChanges({Row("b", 2), Row("x", 2)}, 2);
  CHECK(first.Digest() != second.Digest());
  second.OnChanges({Removal("x", 3), Row("a", 1)}, 3);
  CHECK(first.Digest() == second.Digest());
  second.OnChanges({Row("a", 4)}, 4);
  CHECK(first.Digest() != second.Digest());
}

// Guards against removals that are remembered without a bound, and against a
// peer that never learns of a forgotten one.
TEST_CASE("forgotten removals lead to a complete table") {
  MemberTable table;
  table.OnSnapshot({Row("a", 1)}, 1);
  const uint64_t last = MemberTable::kMaxRemoved + 10;
  for (uint64_t version = 2; version <= last; ++version) {
    table.OnChanges({Removal("r" + std::to_string(version), version)}, version);
  }
  CHECK(table.Since(1).complete);
  CHECK(table.Since(1).rows.size() == 1);
  CHECK_FALSE(table.Since(last - 5).complete);
  CHECK(table.Since(last - 5).rows.size() == 5);
}

// Nodes read the store, or learn from each other, in any order. Guards against
// a table that stays different from the store's.
TEST_CASE("tables that exchange changes converge to the store's") {
  constexpr size_t kNodes = 12;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    RandomSource random(seed);
    std::map<std::string, StoredRow> store;
    uint64_t version = 1;
    std::vector<MemberTable> tables(kNodes);
    const auto readStore = [&](MemberTable& aTable) {
      std::vector<StoredRow> rows;
      for (const auto& [key, row] : store) {
        if (!row.removed) {
          rows.push_back(row);
        }
      }
      aTable.OnSnapshot(rows, version);
    };
    const auto followStore = [&](MemberTable& aTable) {
      std::vector<StoredRow> rows;
      for (const auto& [key, row] : store) {
        if (row.version > aTable.ReadUpTo()) {
          rows.push_back(row);
        }
      }
      aTable.OnChanges(rows, version);
    };
    const auto exchange = [&](size_t aTo, size_t aFrom) {
      const auto pull = [&] {
        tables[aTo].Apply(tables[aFrom].Since(tables[aTo].ReadUpTo()));
        return tables[aTo].ReadUpTo() == tables[aFrom].ReadUpTo() &&
               tables[aTo].Digest() != tables[aFrom].Digest();
      };
      if (pull()) {
        tables[aTo].Distrust();
        CHECK_FALSE(pull());
      }
    };
    for (int step = 0; step < 300; ++step) {
      const std::string key = "k" + std::to_string(random.NextBelow(10));
      const size_t node = random.NextBelow(kNodes);
      switch (random.NextBelow(4)) {
        case 0:
          ++version;
          store[key] = random.NextBelow(3) == 0 ? Removal(key, version)
                                                : Row(key, version);
          break;
        case 1:
          random.NextBelow(2) == 0 ? readStore(tables[node])
                                   : followStore(tables[node]);
          break;
        default:
          exchange(node, random.NextBelow(kNodes));
      }
    }
    readStore(tables[0]);
    for (size_t node = 1; node < kNodes; ++node) {
      exchange(node, 0);
      CHECK(RowsOf(tables[node]) == RowsOf(tables[0]));
      CHECK(tables[node].Digest() == tables[0].Digest());
    }
  }
}
