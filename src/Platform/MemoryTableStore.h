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

/// Table in the memory of this process: the default (embedded) table, and the
/// storage of the table service's stand-in. Thread-safe.
class MemoryTableStore {
 public:
  struct Options {
    /// Maximum number of results kept by token; the oldest is evicted first.
    /// 65,536 covers over two minutes at 400 writes/s, longer than any client
    /// retries with a token.
    size_t rememberedTokens = 65'536;
  };

  MemoryTableStore() : MemoryTableStore(Options()) {}
  explicit MemoryTableStore(Options aOptions) : options(aOptions) {}

  /// Applies the transaction if its checks hold. Returns the stored result if
  /// its token is known.
  TransactResult Transact(const TableTransaction& aTransaction);
  /// Records written after the version. See TableStore for the limit.
  TableChanges ChangesSince(uint64_t aVersion, size_t aLimit);
  std::optional<TableRecord> Get(const std::string& aKey);
  /// Existing records whose key has the prefix, ordered by key.
  std::vector<TableRecord> List(const std::string& aPrefix);

 private:
  /// Version of the record; 0 if it does not exist. Needs the mutex.
  uint64_t CurrentVersion(const std::string& aKey) const;
  /// Evaluates the checks and, if they hold, applies the writes. Needs the
  /// mutex.
  TransactResult Execute(const TableTransaction& aTransaction);
  /// Writes one record under the current version. Needs the mutex.
  void Apply(const TableWrite& aWrite);
  /// Stores the result of a token. Needs the mutex.
  void Remember(const std::string& aToken, const TransactResult& aResult);

  Options options;
  /// Guards the members below.
  std::mutex mutex;
  /// Version of the last committed transaction.
  uint64_t version = 0;
  /// Records, including deleted ones, since followers must learn of deletions.
  std::map<std::string, TableRecord> records;
  /// (version, key) of every record, in version order.
  std::set<std::pair<uint64_t, std::string>> byVersion;
  /// Result of each remembered token's first transaction.
  std::unordered_map<std::string, TransactResult> results;
  /// Remembered tokens, oldest first.
  std::deque<std::string> tokens;
};

static_assert(TableStore<MemoryTableStore>);

}  // namespace fescueline
