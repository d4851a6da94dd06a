#pragma once

#include <doctest/doctest.h>

#include <string>
#include <thread>
#include <vector>

#include "Platform/ObjectStore.h"
#include "Platform/TableStore.h"

namespace fescueline::test {

inline TransactResult Committed(uint64_t aVersion) {
  return {TransactStatus::Committed, aVersion, "", 0};
}

inline TransactResult Conflict(uint64_t aVersion, std::string aKey,
                               uint64_t aCurrent) {
  return {TransactStatus::Conflict, aVersion, std::move(aKey), aCurrent};
}

/// One transaction and its expected result. The cases run in order on one
/// table.
struct TransactCase {
  TableTransaction transaction;
  TransactResult expected;
};

/// Tests checks, tokens and deletions, on an empty table.
template <TableStore Store>
void CheckTransactions(Store& aStore) {
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
    CHECK(aStore.Transact(cases[i].transaction) == cases[i].expected);
  }
  CHECK(aStore.Get("a") == TableRecord{"a", "5", 3, false});
  CHECK_FALSE(aStore.Get("absent").has_value());
  CHECK(aStore.List("").size() == 3);
}

/// Tests paging through changes, on an empty table.
template <TableStore Store>
void CheckChanges(Store& aStore) {
  aStore.Transact({"", {}, {{"a", "1"}, {"b", "1"}, {"c", "1"}}});
  aStore.Transact({"", {}, {{"d", "2"}, {"b", std::nullopt}}});
  aStore.Transact({"", {}, {{"e", "3"}}});

  const TableChanges first = aStore.ChangesSince(0, 1);
  CHECK(first == TableChanges{1, {{"a", "1", 1}, {"c", "1", 1}}, true});
  const TableChanges second = aStore.ChangesSince(first.version, 2);
  CHECK(second == TableChanges{2, {{"b", "", 2, true}, {"d", "2", 2}}, true});
  const TableChanges last = aStore.ChangesSince(second.version, 2);
  CHECK(last == TableChanges{3, {{"e", "3", 3}}, false});
  CHECK(aStore.ChangesSince(3, 2) == TableChanges{3, {}, false});
  CHECK(aStore.ChangesSince(UINT64_MAX, 2) == TableChanges{3, {}, false});
}

/// Increments one counter from several threads, each on a store from aOpen.
template <typename OpenStore>
void CheckConcurrentIncrements(OpenStore aOpen, int aThreads, int aIncrements) {
  std::vector<std::thread> threads;
  for (int i = 0; i < aThreads; ++i) {
    threads.emplace_back([aOpen, aIncrements] {
      auto&& store = aOpen();
      for (int done = 0; done < aIncrements;) {
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
  CHECK(aOpen().Get("n")->value == std::to_string(aThreads * aIncrements));
}

/// Tests conditions and binary content, on an empty object store.
template <ObjectStore Store>
void CheckObjects(Store& aStore) {
  const auto put = [&aStore](const std::string& aBytes,
                             const PutCondition& aCondition) {
    return aStore.Put("k/..", aBytes, aCondition);
  };
  CHECK_FALSE(aStore.Get("k/..").has_value());
  CHECK(put("0", {.matchTag = "1"}).status == PutStatus::ConditionFailed);
  const PutResult first = put("1", {.mustNotExist = true});
  CHECK(first.status == PutStatus::Stored);
  CHECK(put("2", {.mustNotExist = true}).status == PutStatus::ConditionFailed);
  const PutResult second = put("3", {.matchTag = first.tag});
  CHECK(second.status == PutStatus::Stored);
  CHECK(put("4", {.matchTag = first.tag}).status == PutStatus::ConditionFailed);
  const std::string binary("\0\xff\r\n", 4);
  const PutResult third = put(binary, {});
  CHECK(third.status == PutStatus::Stored);
  CHECK(aStore.Get("k/..") == StoredObject{binary, third.tag});
}

/// Runs the call and returns its failure; nullopt if it succeeded.
template <typename F>
std::optional<Failure> FailureOf(F aCall) {
  try {
    aCall();
    return std::nullopt;
  } catch (const PlatformError& error) {
    return error.GetFailure();
  }
}

}  // namespace fescueline::test
