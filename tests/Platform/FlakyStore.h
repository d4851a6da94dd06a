#pragma once

#include <atomic>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Platform/MemoryTableStore.h"

namespace fescueline::test {

/// Fault of one transaction.
enum class TableFault : uint8_t { None, Refuse, LoseRequest, LoseAnswer };

/// Memory table whose next transactions fail as scripted. Any thread.
class FlakyStore {
 public:
  explicit FlakyStore(MemoryTableStore::Options aOptions = {})
      : table(aOptions) {}

  /// Faults of the next transactions, and of all after them.
  void Script(std::deque<TableFault> aNext, TableFault aThen) {
    const std::lock_guard lock(this->mutex);
    this->next = std::move(aNext);
    this->then = aThen;
  }
  /// Holds back all transactions while the lock lives.
  std::unique_lock<std::mutex> Hold() { return std::unique_lock(this->gate); }
  /// Number of transactions so far, failed ones included.
  int Attempts() const { return this->attempts; }

  TransactResult Transact(const TableTransaction& aTransaction) {
    ++this->attempts;
    const std::lock_guard pass(this->gate);
    const TableFault fault = this->TakeFault();
    if (fault == TableFault::Refuse) {
      throw PlatformError(Failure::Unavailable, "test", "", "refused");
    }
    if (fault == TableFault::LoseRequest) {
      throw PlatformError(Failure::OutcomeUnknown, "test", "", "lost");
    }
    const TransactResult result = this->table.Transact(aTransaction);
    if (fault == TableFault::LoseAnswer) {
      throw PlatformError(Failure::OutcomeUnknown, "test", "", "lost");
    }
    return result;
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
  TableFault TakeFault() {
    const std::lock_guard lock(this->mutex);
    if (this->next.empty()) {
      return this->then;
    }
    const TableFault fault = this->next.front();
    this->next.pop_front();
    return fault;
  }

  /// The table.
  MemoryTableStore table;
  /// Transactions so far.
  std::atomic<int> attempts{0};
  /// Locked while transactions are held back.
  std::mutex gate;
  /// Guards the script.
  std::mutex mutex;
  /// Faults of the next transactions.
  std::deque<TableFault> next;
  /// Fault after those.
  TableFault then = TableFault::None;
};

static_assert(TableStore<FlakyStore>);

}  // namespace fescueline::test
