#include <doctest/doctest.h>

#include "Platform/MemoryObjectStore.h"
#include "Platform/MemoryTableStore.h"
#include "Platform/StoreContract.h"

using namespace fescueline;
using namespace fescueline::test;

// Guards against writes that ignore a failed check, apply a token twice or
// treat a deleted record as existing.
TEST_CASE("memory table: checks, tokens and deletions") {
  MemoryTableStore store;
  CheckTransactions(store);
}

// Guards against a follower that loses part of a transaction between pages.
TEST_CASE("memory table: changes keep transactions whole") {
  MemoryTableStore store;
  CheckChanges(store);
}

// Guards against unbounded memory for tokens.
TEST_CASE("memory table: the oldest tokens are evicted") {
  MemoryTableStore store({.rememberedTokens = 2});
  for (const char* token : {"t1", "t2", "t3"}) {
    store.Transact({token, {}, {{"a", token}}});
  }
  CHECK(store.Transact({"t2", {}, {{"a", "x"}}}) == Committed(2));
  CHECK(store.Transact({"t1", {}, {{"a", "x"}}}) == Committed(4));
}

// Guards against lost updates when several threads compare and swap.
TEST_CASE("memory table: concurrent compare-and-swap loses no increment") {
  MemoryTableStore store;
  CheckConcurrentIncrements([&store]() -> MemoryTableStore& { return store; },
                            4, 500);
}

// Guards against a conditional put that overwrites another writer's object.
TEST_CASE("memory objects: conditions") {
  MemoryObjectStore store;
  CheckObjects(store);
}
