#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <vector>

#include "Platform/MemoryObjectStore.h"
#include "Platform/MemoryTableStore.h"

using namespace fescueline;

namespace {
/// One transaction with its expected answer, applied in order to one table.
struct TransactCase {
  TableTransaction transaction;
  TransactResult expected;
};

TransactResult Committed(uint64_t aVersion) {
  return {TransactStatus::Committed, aVersion, "", 0};
}

TransactResult Conflict(uint64_t aVersion, std::string aKey,
                        uint64_t aCurrent) {
  return {TransactStatus::Conflict, aVersion, std::move(aKey), aCurrent};
}
}  // namespace

// Guards against writes that ignore a failed check, repeat the effect of a
// token, or take a deleted record for an existing one.
TEST_CASE("a table evaluates checks, tokens and deletions") {
  MemoryTableStore store;
  const std::vector<TransactCase> cases = {
      {{"t1", {{"a", 0}}, {{"a", "1"}}}, Committed(1)},
      {{"t1", {{"a", 0}}, {{"a", "1"}}}, Committed(1)},
      {{"t2", {{"a", 0}}, {{"a", "2"}, {"b", "2"}}}, Conflict(1, "a", 1)},
      {{"t3", {{"a", 1}}, {{"a", std::nullopt}}}, Committed(2)},
      // The token keeps its first result although the check would hold now.
      {{"t2", {{"a", 0}}, {{"a", "2"}, {"b", "2"}}}, Conflict(1, "a", 1)},
      {{"t4", {{"a", 2}}, {{"a", "4"}}}, Conflict(2, "a", 0)},
      {{"t5", {{"a", 0}, {"b", 0}}, {{"a", "5"}, {"b", "5"}}}, Committed(3)},
      {{"", {{"a", 3}}, {}}, Committed(3)},
      {{"", {{"b", 2}}, {}}, Conflict(3, "b", 3)},
      {{"", {}, {{"c", "6"}}}, Committed(4)},
      {{"", {}, {{"c", "7"}}}, Committed(5)},
  };
  for (size_t i = 0; i < cases.size(); ++i) {
    CAPTURE(i);
    CHECK(store.Transact(cases[i].transaction) == cases[i].expected);
  }
  CHECK(store.Get("a") == TableRecord{"a", "5", 3, false});
  CHECK(store.List("").size() == 3);
}

// Guards against a follower that loses part of a transaction between pages.
TEST_CASE("changes keep transactions whole and include deletions") {
  MemoryTableStore store;
  store.Transact({"", {}, {{"a", "1"}, {"b", "1"}, {"c", "1"}}});
  store.Transact({"", {}, {{"d", "2"}, {"b", std::nullopt}}});
  store.Transact({"", {}, {{"e", "3"}}});

  const TableChanges first = store.ChangesSince(0, 1);
  CHECK(first.version == 1);
  CHECK(first.more);
  CHECK(first.records ==
        std::vector<TableRecord>{{"a", "1", 1, false}, {"c", "1", 1, false}});
  const TableChanges second = store.ChangesSince(first.version, 2);
  CHECK(second.version == 2);
  CHECK(second.more);
  CHECK(second.records ==
        std::vector<TableRecord>{{"b", "", 2, true}, {"d", "2", 2, false}});
  const TableChanges last = store.ChangesSince(second.version, 2);
  CHECK(last == TableChanges{3, {{"e", "3", 3, false}}, false});
  CHECK(store.ChangesSince(3, 2) == TableChanges{3, {}, false});
  CHECK(store.ChangesSince(UINT64_MAX, 2) == TableChanges{3, {}, false});
}

// Guards against unbounded memory for tokens.
TEST_CASE("the oldest tokens are forgotten") {
  MemoryTableStore store({.rememberedTokens = 2});
  for (const char* token : {"t1", "t2", "t3"}) {
    store.Transact({token, {}, {{"a", token}}});
  }
  CHECK(store.Transact({"t2", {}, {{"a", "x"}}}) == Committed(2));
  CHECK(store.Transact({"t1", {}, {{"a", "x"}}}) == Committed(4));
}

// Guards against lost updates when several threads compare and swap.
TEST_CASE("concurrent compare-and-swap loses no increment") {
  MemoryTableStore store;
  constexpr int kThreads = 4;
  constexpr int kIncrements = 500;
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&store] {
      for (int done = 0; done < kIncrements;) {
        const auto record = store.Get("n");
        const int value = record ? std::stoi(record->value) : 0;
        const TransactResult result =
            store.Transact({"",
                            {{"n", record ? record->version : 0}},
                            {{"n", std::to_string(value + 1)}}});
        done += result.status == TransactStatus::Committed ? 1 : 0;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(store.Get("n")->value == std::to_string(kThreads * kIncrements));
}

// Guards against a conditional put that overwrites another writer's object.
TEST_CASE("object conditions") {
  MemoryObjectStore store;
  CHECK_FALSE(store.Get("k").has_value());
  CHECK(store.Put("k", "0", {.matchTag = "1"}).status ==
        PutStatus::ConditionFailed);
  const PutResult first = store.Put("k", "1", {.mustNotExist = true});
  CHECK(first.status == PutStatus::Stored);
  CHECK(store.Put("k", "2", {.mustNotExist = true}).status ==
        PutStatus::ConditionFailed);
  const PutResult second = store.Put("k", "3", {.matchTag = first.tag});
  CHECK(second.status == PutStatus::Stored);
  CHECK(store.Put("k", "4", {.matchTag = first.tag}).status ==
        PutStatus::ConditionFailed);
  CHECK(store.Put("k", std::string("\0\xff", 2), {}).status ==
        PutStatus::Stored);
  CHECK(store.Get("k")->bytes == std::string("\0\xff", 2));
}
