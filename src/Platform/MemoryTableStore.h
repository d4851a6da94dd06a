#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Platform/TableStore.h"

namespace fescueline {

/// Table in the memory of this process: the embedded default, and the store
/// behind the stand-in of the table service. Any thread.
class MemoryTableStore {
 public:
  struct Options {
    /// Results that are remembered by token; the oldest is forgotten first.
    /// 65,536 covers over two minutes at 400 writes/s, longer than any client
    /// repeats a token.
    size_t rememberedTokens = 65'536;
  };

  MemoryTableStore() : MemoryTableStore(Options()) {}
  explicit MemoryTableStore(Options aOptions) : options(aOptions) {}

  /// Applies the transaction if its checks hold and its token is new.
  TransactResult Transact(const TableTransaction& aTransaction);
  /// Records written after the version.
  TableChanges ChangesSince(uint64_t aVersion, size_t aLimit);
  /// The record, if it exists.
  std::optional<TableRecord> Get(const std::string& aKey);
  /// All existing records whose key has the prefix.
  std::vector<TableRecord> List(const std::string& aPrefix);

 private:
  /// Version of the record for a check; 0 if there is none. Needs the mutex.
  uint64_t CurrentVersion(const std::string& aKey) const;
  /// Evaluates checks and writes. Needs the mutex.
  TransactResult Execute(const TableTransaction& aTransaction);
  /// Writes one record under the current version. Needs the mutex.
  void Apply(const TableWrite& aWrite);
  /// Stores the result of a token. Needs the mutex.
  void Remember(const std::string& aToken, const TransactResult& aResult);

  /// Limits.
  Options options;
  /// Guards everything below.
  std::mutex mutex;
  /// Version of the last committed transaction.
  uint64_t version = 0;
  /// Records, deleted ones included, since followers must hear of deletions.
  std::map<std::string, TableRecord> records;
  /// (version, key) of every record, in version order.
  std::set<std::pair<uint64_t, std::string>> byVersion;
  /// First result of each remembered token.
  std::unordered_map<std::string, TransactResult> results;
  /// Remembered tokens, oldest first.
  std::deque<std::string> tokens;
};

static_assert(TableStore<MemoryTableStore>);

}  // namespace fescueline
