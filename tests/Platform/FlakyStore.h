#pragma once

#include <atomic>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Platform/MemoryTableStore.h"

namespace fescueline::test {

/// Fault of one transaction: refused without effect, lost before it takes
/// effect, or its response lost.
enum class TableFault : uint8_t { None, Refuse, LoseRequest, LoseResponse };

/// Memory table whose transactions fail as scripted. Thread-safe.
class FlakyStore {
 public:
  explicit FlakyStore(MemoryTableStore::Options aOptions = {})
      : table(aOptions) {}

  /// Sets the faults of the next transactions, and that of all further ones.
  void Script(std::deque<TableFault> aNext, TableFault aThen) {
    const std::lock_guard lock(this->mutex);
    this->next = std::move(aNext);
    this->then = aThen;
  }
  /// Blocks all transactions while the returned lock exists.
  std::unique_lock<std::mutex> Hold() {
    return std::unique_lock(this->holdMutex);
  }
  /// Number of transactions so far, including failed ones.
  int Attempts() const { return this->attempts; }

  TransactResult Transact(const TableTransaction& aTransaction) {
    ++this->attempts;
    const std::lock_guard hold(this->holdMutex);
    const TableFault fault = this->TakeFault();
    if (fault == TableFault::Refuse) {
      throw PlatformError(Failure::Unavailable, "test", "", "refused");
    }
    if (fault == TableFault::LoseRequest) {
      throw PlatformError(Failure::OutcomeUnknown, "test", "", "lost");
    }
    const TransactResult result = this->table.Transact(aTransaction);
    if (fault == TableFault::LoseResponse) {
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

  MemoryTableStore table;
  std::atomic<int> attempts{0};
  /// Locked by Hold to block transactions.
  std::mutex holdMutex;
  /// Guards the scripted faults.
  std::mutex mutex;
  std::deque<TableFault> next;
  /// Fault of all transactions after `next`.
  TableFault then = TableFault::None;
};

static_assert(TableStore<FlakyStore>);

}  // namespace fescueline::test
