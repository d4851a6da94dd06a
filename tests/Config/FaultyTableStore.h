#pragma once

#include <functional>
#include <string>
#include <utility>

#include "Platform/MemoryTableStore.h"
#include "Platform/PlatformError.h"

namespace fescueline {

/// Table store that injects faults: transactions can lose their answer or be
/// refused. Not thread-safe.
class FaultyTableStore {
 public:
  explicit FaultyTableStore(MemoryTableStore& aTable) : table(aTable) {}

  /// Loses the answers of the next aCount transactions, which take effect if
  /// aApplied.
  void Lose(int aCount, bool aApplied) {
    this->losses = aCount;
    this->applied = aApplied;
  }
  /// Refuses the next aCount transactions that are not lost.
  void Refuse(int aCount) { this->refusals = aCount; }
  /// Runs once before the next transaction.
  void BeforeNext(std::function<void()> aAction) {
    this->before = std::move(aAction);
  }

  TransactResult Transact(const TableTransaction& aTransaction) {
    if (this->before) {
      std::exchange(this->before, nullptr)();
    }
    if (this->losses > 0) {
      --this->losses;
      if (this->applied) {
        this->table.Transact(aTransaction);
      }
      throw PlatformError(Failure::OutcomeUnknown, "table.transact", "",
                          "the answer was lost");
    }
    if (this->refusals > 0) {
      --this->refusals;
      throw PlatformError(Failure::Unavailable, "table.transact", "",
                          "the table is down");
    }
    return this->table.Transact(aTransaction);
  }
  TableChanges ChangesSince(uint64_t aVersion, size_t aLimit) {
    return this->table.ChangesSince(aVersion, aLimit);
  }
  std::optional<TableRecord> Get(const std::string& aKey) {
    return this->table.Get(aKey);
  }
  std::vector<TableRecord> List(const std::string& aPrefix) {
    return this->table.List(aPrefix);
  }

 private:
  MemoryTableStore& table;
  /// Answers still to lose.
  int losses = 0;
  /// Whether lost transactions take effect.
  bool applied = false;
  /// Transactions still to refuse.
  int refusals = 0;
  /// Runs before the next transaction.
  std::function<void()> before;
};

static_assert(TableStore<FaultyTableStore>);

}  // namespace fescueline
