#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <thread>
#include <vector>

#include "Config/ConfigReplica.h"
#include "Platform/MemoryTableStore.h"

using namespace fescueline;

namespace {
std::string MakeOrganisation(uint64_t aRate) {
  return R"({"rate":)" + std::to_string(aRate) + R"(,"burst":1,"weight":1})";
}

TableChanges MakeChanges(uint64_t aVersion, std::vector<TableRecord> aRecords) {
  return {.version = aVersion, .records = std::move(aRecords), .more = false};
}

TableRecord MakeRecord(const std::string& aName, uint64_t aVersion) {
  return {.key = "org/" + aName,
          .value = MakeOrganisation(aVersion),
          .version = aVersion,
          .deleted = false};
}

/// Rate of each organisation.
std::map<std::string, double> RatesOf(const ConfigReplica& aReplica) {
  std::map<std::string, double> rates;
  for (const auto& item : aReplica.Snapshot()->Organisations().Items()) {
    rates[item->name] = item->record.rate;
  }
  return rates;
}

std::map<std::string, double> RatesOf(MemoryTableStore& aStore) {
  std::map<std::string, double> rates;
  for (const TableRecord& record : aStore.List("org/")) {
    rates[record.key.substr(4)] =
        OrganisationRecord::FromJson(record.value, UnknownFields::Ignore).rate;
  }
  return rates;
}
}  // namespace

// Guards against an accepted configuration that reverts when lists of changes
// arrive late, twice or out of order.
TEST_CASE("stale lists and records never change the replica") {
  ConfigReplica replica;
  CHECK(replica.Apply(MakeChanges(5, {MakeRecord("a", 5)})));
  CHECK_FALSE(replica.Apply(MakeChanges(5, {MakeRecord("a", 5)})));
  CHECK_FALSE(replica.Apply(MakeChanges(4, {MakeRecord("a", 4)})));
  CHECK(replica.Apply(MakeChanges(6, {MakeRecord("a", 3)})));
  CHECK(RatesOf(replica) == std::map<std::string, double>{{"a", 5}});
  CHECK(
      replica.Apply(MakeChanges(8, {MakeRecord("a", 8), MakeRecord("a", 7)})));
  CHECK(RatesOf(replica) == std::map<std::string, double>{{"a", 8}});
  CHECK(replica.Apply(MakeChanges(9, {MakeRecord("b", 12)})));
  CHECK(RatesOf(replica) == std::map<std::string, double>{{"a", 8}});
  CHECK(replica.Version() == 9);
}

// Guards against an accepted configuration that reverts in random histories,
// in which responses of the table and of a peer are delivered late and
// repeatedly.
TEST_CASE("replica follows the table and never reverts") {
  const bool holds = rc::check([] {
    MemoryTableStore store;
    ConfigReplica peer;
    ConfigReplica replica;
    std::vector<TableChanges> received;
    uint64_t rate = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 100));
    for (const int step : steps) {
      const uint64_t before = replica.Version();
      const auto limit = static_cast<size_t>(1 + step % 7);
      if (step < 40) {
        const std::string key = "org/" + std::string(1, char('a' + step % 5));
        TableTransaction change;
        change.writes.push_back({.key = key, .value = std::nullopt});
        if (step % 4 != 0) {
          change.writes.back().value = MakeOrganisation(++rate);
        }
        change.writes.push_back(
            {.key = "org/z", .value = MakeOrganisation(++rate)});
        store.Transact(change);
      } else if (step < 50) {
        received.push_back(store.ChangesSince(replica.Version(), limit));
      } else if (step < 70) {
        peer.Apply(store.ChangesSince(peer.Version(), limit));
        received.push_back(peer.ChangesSince(replica.Version(), limit));
      } else if (!received.empty()) {
        replica.Apply(received[static_cast<size_t>(step) % received.size()]);
      }
      RC_ASSERT(replica.Version() >= before);
      for (const auto& item : replica.Snapshot()->Organisations().Items()) {
        RC_ASSERT(item->version <= replica.Version());
      }
    }
    for (ConfigReplica* each : {&peer, &replica}) {
      while (each->Apply(store.ChangesSince(each->Version(), 2))) {
      }
      RC_ASSERT(RatesOf(*each) == RatesOf(store));
    }
    // A new peer that reads the replica page by page has the same records.
    ConfigReplica joined;
    while (joined.Apply(replica.ChangesSince(joined.Version(), 2))) {
    }
    RC_ASSERT(joined.Version() == replica.Version());
    RC_ASSERT(RatesOf(joined) == RatesOf(store));
  });
  CHECK(holds);
}

// Guards against a page that ends inside a transaction: a reader that continues
// after the page's version would never get the rest.
TEST_CASE("a page of changes never splits a transaction") {
  ConfigReplica replica;
  replica.Apply(MakeChanges(3, {MakeRecord("a", 1), MakeRecord("b", 2),
                                MakeRecord("c", 2), MakeRecord("d", 3)}));
  const TableChanges page = replica.ChangesSince(0, 2);
  CHECK(page.version == 2);
  CHECK(page.records.size() == 3);
  CHECK(page.more);
  const TableChanges rest = replica.ChangesSince(2, 2);
  CHECK(rest.version == 3);
  CHECK(rest.records.size() == 1);
  CHECK_FALSE(rest.more);
  CHECK(replica.ChangesSince(3, 2).records.empty());
  CHECK(replica.ChangesSince(UINT64_MAX, 2).records.empty());
}

// Guards against a deletion that does not reach a peer, even if the answer to a
// query from version 0 is delayed until the peer holds the record.
TEST_CASE("deletions are served to peers that may hold the record") {
  ConfigReplica replica;
  replica.Apply(MakeChanges(1, {MakeRecord("a", 1)}));
  ConfigReplica peer;
  const TableChanges early = replica.ChangesSince(0, 10);
  replica.Apply(MakeChanges(
      2, {{.key = "org/a", .value = "", .version = 2, .deleted = true}}));
  const TableChanges late = replica.ChangesSince(0, 10);
  peer.Apply(early);
  peer.Apply(late);
  CHECK(RatesOf(peer).empty());
  CHECK(peer.Version() == 2);
}

// Guards against a reader that sees the version of one snapshot and the
// records of another.
TEST_CASE("readers see consistent snapshots while lists are applied") {
  constexpr uint64_t kVersions = 2'000;
  ConfigReplica replica;
  replica.Apply(MakeChanges(1, {MakeRecord("a", 1)}));
  std::thread writer([&] {
    for (uint64_t version = 2; version <= kVersions; ++version) {
      replica.Apply(MakeChanges(version, {MakeRecord("a", version)}));
    }
  });
  uint64_t last = 0;
  bool consistent = true;
  while (last < kVersions) {
    const auto snapshot = replica.Snapshot();
    consistent = consistent && snapshot->Version() >= last &&
                 snapshot->FindOrganisation("a")->rate ==
                     static_cast<double>(snapshot->Version());
    last = snapshot->Version();
  }
  writer.join();
  CHECK(consistent);
}
