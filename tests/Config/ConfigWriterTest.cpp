#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "Config/ConfigReplica.h"
#include "Config/ConfigWriter.h"
#include "Config/FaultyTableStore.h"

using namespace fescueline;

namespace {
const OrganisationRecord kOrganisation{.rate = 10, .burst = 20, .weight = 1};

struct NameCase {
  std::string name;
};

/// A table, a store that adds faults to it, and a writer.
struct Fixture {
  MemoryTableStore table;
  FaultyTableStore store{this->table};
  ConfigWriter<FaultyTableStore> writer{this->store};

  std::shared_ptr<const ConfigSnapshot> Read() {
    ConfigReplica replica;
    replica.Apply(this->table.ChangesSince(0, 1'000));
    return replica.Snapshot();
  }
  uint64_t VersionOf(const std::string& aKey) {
    const auto record = this->table.Get(aKey);
    return record ? record->version : 0;
  }
};

KeyState StateOf(Fixture& aFixture, const std::string& aKeyText) {
  const auto snapshot = aFixture.Read();
  const KeyRecord* key = snapshot->FindKey(Sha256(aKeyText));
  REQUIRE(key != nullptr);
  return key->state;
}
}  // namespace

// Guards against a lost update when two operators change the same record.
TEST_CASE("the second of two conflicting changes gets the current version") {
  Fixture fixture;
  const WriteResult created =
      fixture.writer.Put("acme", kOrganisation, 0, "t1");
  CHECK(created.status == WriteStatus::Accepted);
  OrganisationRecord changed = kOrganisation;
  changed.rate = 11;
  const WriteResult first =
      fixture.writer.Put("acme", changed, created.version, "t2");
  CHECK(first.status == WriteStatus::Accepted);
  changed.rate = 12;
  const WriteResult second =
      fixture.writer.Put("acme", changed, created.version, "t3");
  CHECK(second.status == WriteStatus::Conflict);
  CHECK(second.version == first.version);
  CHECK(fixture.Read()->FindOrganisation("acme")->rate == 11);
  CHECK(fixture.writer.Put("acme", changed, 0, "").status ==
        WriteStatus::Conflict);
  const WriteResult deleted =
      fixture.writer.Delete<OrganisationRecord>("acme", created.version, "t4");
  CHECK(deleted.status == WriteStatus::Conflict);
  CHECK(fixture.writer.Delete<OrganisationRecord>("acme", second.version, "t5")
            .status == WriteStatus::Accepted);
  CHECK(fixture.Read()->FindOrganisation("acme") == nullptr);
  CHECK(fixture.writer.Put("acme", changed, second.version, "").version == 0);
}

// Guards against lost updates with writers on several threads: every accepted
// change must be based on the one before it.
TEST_CASE("concurrent increments are never lost") {
  constexpr int kWriters = 4;
  constexpr int kIncrements = 25;
  MemoryTableStore table;
  ConfigWriter<MemoryTableStore>(table).Put("acme", kOrganisation, 0, "");
  const auto increment = [&table] {
    ConfigWriter<MemoryTableStore> writer(table);
    for (int done = 0; done < kIncrements;) {
      const auto record = table.Get("org/acme");
      auto next =
          OrganisationRecord::FromJson(record->value, UnknownFields::Refuse);
      next.rate += 1;
      done += writer.Put("acme", next, record->version, "").status ==
                      WriteStatus::Accepted
                  ? 1
                  : 0;
    }
  };
  std::vector<std::thread> threads;
  for (int index = 0; index < kWriters; ++index) {
    threads.emplace_back(increment);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const auto last = OrganisationRecord::FromJson(table.Get("org/acme")->value,
                                                 UnknownFields::Refuse);
  CHECK(last.rate == kOrganisation.rate + kWriters * kIncrements);
}

// Guards against a change that is applied twice, or reported wrongly, when the
// table's answer is lost.
TEST_CASE("repeating with the token gives the result after a lost answer") {
  for (const bool applied : {true, false}) {
    CAPTURE(applied);
    Fixture fixture;
    fixture.store.Lose(3, applied);
    const WriteResult lost = fixture.writer.Put("acme", kOrganisation, 0, "");
    CHECK(lost.status == WriteStatus::Unknown);
    CHECK_FALSE(lost.token.empty());
    const WriteResult settled =
        fixture.writer.Put("acme", kOrganisation, 0, lost.token);
    CHECK(settled.status == WriteStatus::Accepted);
    CHECK(settled.version == fixture.VersionOf("org/acme"));
    CHECK(fixture.table.ChangesSince(0, 10).version == 1);
  }
}

// Guards against reporting a write whose answer was lost as refused because the
// table is unavailable afterwards.
TEST_CASE("a lost answer followed by an outage stays unknown") {
  Fixture fixture;
  fixture.store.Lose(1, true);
  fixture.store.Refuse(2);
  CHECK(fixture.writer.Put("acme", kOrganisation, 0, "t").status ==
        WriteStatus::Unknown);
  fixture.store.Refuse(1);
  CHECK_THROWS_AS(fixture.writer.Put("other", kOrganisation, 0, "t"),
                  PlatformError);
  CHECK(fixture.VersionOf("org/other") == 0);
}

// Guards against a change that is reported as made because another change used
// the same token.
TEST_CASE("a token belongs to one change") {
  Fixture fixture;
  CHECK(fixture.writer.Put("a", kOrganisation, 0, "t").status ==
        WriteStatus::Accepted);
  CHECK(fixture.writer.Put("b", kOrganisation, 0, "t").status ==
        WriteStatus::Accepted);
  CHECK(fixture.VersionOf("org/b") == 2);
}

// Guards against keys that can be guessed or read from the table.
TEST_CASE("a granted key is stored only as its digest") {
  Fixture fixture;
  fixture.writer.Put("acme", kOrganisation, 0, "");
  const KeyGrantResult first = fixture.writer.GrantKey("acme", "ci", "");
  const KeyGrantResult second = fixture.writer.GrantKey("acme", "ci", "");
  CHECK(first.key.starts_with("fk_"));
  // 27 base64url digits carry 160 bits.
  CHECK(first.key.size() >= 3 + 27);
  CHECK(first.key != second.key);
  CHECK(first.id != second.id);
  CHECK(StateOf(fixture, first.key) == KeyState::Active);
  for (const TableRecord& record : fixture.table.List("")) {
    CHECK(record.key.find(first.key) == std::string::npos);
    CHECK(record.value.find(first.key) == std::string::npos);
  }
  CHECK_THROWS_AS(fixture.writer.GrantKey("nobody", "", ""), ConfigError);
}

// Guards against two keys, or a key whose text is never returned, after a lost
// answer.
TEST_CASE("a repeated grant gives the same key once") {
  for (const bool applied : {true, false}) {
    CAPTURE(applied);
    Fixture fixture;
    fixture.writer.Put("acme", kOrganisation, 0, "");
    fixture.store.Lose(3, applied);
    const KeyGrantResult lost = fixture.writer.GrantKey("acme", "ci", "t");
    CHECK(lost.write.status == WriteStatus::Unknown);
    CHECK(lost.key.empty());
    const KeyGrantResult settled = fixture.writer.GrantKey("acme", "ci", "t");
    CHECK(settled.write.status == WriteStatus::Accepted);
    CHECK(StateOf(fixture, settled.key) == KeyState::Active);
    CHECK(fixture.table.List("key/").size() == 1);
    // Another node, which does not have the text, must not return a new one.
    ConfigWriter<MemoryTableStore> other(fixture.table);
    const KeyGrantResult repeated = other.GrantKey("acme", "ci", "t");
    CHECK(repeated.write.status == WriteStatus::Accepted);
    CHECK(repeated.id == settled.id);
    CHECK(repeated.key.empty());
    CHECK(fixture.table.List("key/").size() == 1);
  }
}

// Guards against a withdrawal that is undone, or reported as failed although it
// took effect.
TEST_CASE("a withdrawn key stays withdrawn") {
  Fixture fixture;
  fixture.writer.Put("acme", kOrganisation, 0, "");
  const KeyGrantResult key = fixture.writer.GrantKey("acme", "", "");
  CHECK(fixture.writer.WithdrawKey("unknown", "").status ==
        WriteStatus::Missing);
  fixture.store.Lose(3, true);
  CHECK(fixture.writer.WithdrawKey(key.id, "w").status == WriteStatus::Unknown);
  const WriteResult settled = fixture.writer.WithdrawKey(key.id, "w");
  CHECK(settled.status == WriteStatus::Accepted);
  CHECK(fixture.writer.WithdrawKey(key.id, "").version == settled.version);
  CHECK(StateOf(fixture, key.key) == KeyState::Withdrawn);
}

// Guards against old keys that work for a new organisation of the same name.
TEST_CASE("deleting or creating an organisation withdraws its keys") {
  Fixture fixture;
  const WriteResult created = fixture.writer.Put("acme", kOrganisation, 0, "");
  const KeyGrantResult key = fixture.writer.GrantKey("acme", "", "");
  // A grant that is committed between reading the keys and the deletion.
  KeyGrantResult late;
  fixture.store.BeforeNext([&] {
    late =
        ConfigWriter<MemoryTableStore>(fixture.table).GrantKey("acme", "", "");
  });
  CHECK(fixture.writer.Delete<OrganisationRecord>("acme", created.version, "")
            .status == WriteStatus::Accepted);
  CHECK(StateOf(fixture, key.key) == KeyState::Withdrawn);
  CHECK(fixture.writer.Put("acme", kOrganisation, 0, "").status ==
        WriteStatus::Accepted);
  CHECK(StateOf(fixture, late.key) == KeyState::Withdrawn);
}

// Guards against a deletion that fails, or leaves a key active, because a key
// changes at the same time.
TEST_CASE("a key that changes during the deletion does not block it") {
  Fixture fixture;
  const WriteResult created = fixture.writer.Put("acme", kOrganisation, 0, "");
  const KeyGrantResult key = fixture.writer.GrantKey("acme", "", "");
  fixture.store.BeforeNext([&] {
    ConfigWriter<MemoryTableStore>(fixture.table).WithdrawKey(key.id, "");
  });
  CHECK(fixture.writer.Delete<OrganisationRecord>("acme", created.version, "")
            .status == WriteStatus::Accepted);
  CHECK(StateOf(fixture, key.key) == KeyState::Withdrawn);
}

// Guards against names that corrupt table keys, headers or logs.
TEST_CASE("malicious names and tokens are refused") {
  Fixture fixture;
  const std::vector<NameCase> cases = {
      {""}, {"a\r\nb"}, {"a/b"}, {"../a"}, {"a b"}, {std::string(64, 'a')}};
  for (const NameCase& row : cases) {
    CAPTURE(row.name);
    CHECK_THROWS_AS(fixture.writer.Put(row.name, kOrganisation, 0, ""),
                    ConfigError);
    CHECK_THROWS_AS(fixture.writer.Delete<RouteRecord>(row.name, 1, ""),
                    ConfigError);
    CHECK_THROWS_AS(fixture.writer.GrantKey(row.name, "", ""), ConfigError);
    CHECK_THROWS_AS(fixture.writer.WithdrawKey(row.name, ""), ConfigError);
    if (!row.name.empty()) {
      CHECK_THROWS_AS(fixture.writer.Put("a", kOrganisation, 0, row.name),
                      ConfigError);
    }
  }
  CHECK_THROWS_AS(fixture.writer.Delete<RouteRecord>("a", 0, ""), ConfigError);
  CHECK(fixture.table.List("").empty());
}
