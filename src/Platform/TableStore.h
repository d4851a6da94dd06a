#pragma once

#include <array>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/EnumNames.h"
#include "Platform/PlatformError.h"

namespace fescueline {

/// Current state of one key.
struct TableRecord {
  /// Key of the record.
  std::string key;
  /// Value, valid UTF-8; empty if deleted.
  std::string value;
  /// Version of the transaction that wrote the record last.
  uint64_t version = 0;
  /// Whether that transaction deleted it. Only changes contain deleted records.
  bool deleted = false;

  bool operator==(const TableRecord&) const = default;
};

/// Condition of a transaction on one key.
struct TableCheck {
  /// Key that is compared.
  std::string key;
  /// Version that the record must have; 0 if it must not exist.
  uint64_t version = 0;

  bool operator==(const TableCheck&) const = default;
};

/// One write of a transaction.
struct TableWrite {
  /// Key that is written.
  std::string key;
  /// New value; nothing deletes the record.
  std::optional<std::string> value = std::nullopt;

  bool operator==(const TableWrite&) const = default;
};

/// Writes that take effect together if all checks hold. A transaction without
/// writes only checks, and gets no version of its own.
struct TableTransaction {
  /// Chosen by the client. The table answers a repeated token with the first
  /// result and does nothing else. Empty if repeating is not needed.
  std::string token;
  /// Conditions on the state before the transaction.
  std::vector<TableCheck> checks;
  /// Writes, in order.
  std::vector<TableWrite> writes;

  bool operator==(const TableTransaction&) const = default;
};

/// Result of a transaction that the table answered.
enum class TransactStatus : uint8_t {
  /// All writes took effect.
  Committed,
  /// A check failed; nothing was written.
  Conflict
};

template <>
struct EnumNames<TransactStatus> {
  static constexpr std::array<EnumName<TransactStatus>, 2> kNames{
      {{TransactStatus::Committed, "committed"},
       {TransactStatus::Conflict, "conflict"}}};
};

/// Answer to a transaction.
struct TransactResult {
  /// Whether the transaction was committed.
  TransactStatus status = TransactStatus::Conflict;
  /// Version of the transaction if committed, else of the table.
  uint64_t version = 0;
  /// First key whose check failed; empty if committed.
  std::string conflictKey;
  /// Version of that key's record; 0 if it does not exist.
  uint64_t conflictVersion = 0;

  bool operator==(const TransactResult&) const = default;
};

/// Records changed after a version, in increasing version order.
struct TableChanges {
  /// Version that a reader of these records has reached.
  uint64_t version = 0;
  /// Latest state of each changed record. A transaction is never split.
  std::vector<TableRecord> records;
  /// Whether later changes were left out because of the limit.
  bool more = false;

  bool operator==(const TableChanges&) const = default;
};

/// Client of a transactional table. Calls block and throw PlatformError.
/// `ChangesSince` may exceed the limit to keep a transaction whole; `List`
/// returns the existing records with the prefix, ordered by key.
template <typename T>
concept TableStore = requires(T& aStore, const TableTransaction& aTransaction,
                              uint64_t aVersion, size_t aLimit,
                              const std::string& aKey) {
  { aStore.Transact(aTransaction) } -> std::same_as<TransactResult>;
  { aStore.ChangesSince(aVersion, aLimit) } -> std::same_as<TableChanges>;
  { aStore.Get(aKey) } -> std::same_as<std::optional<TableRecord>>;
  { aStore.List(aKey) } -> std::same_as<std::vector<TableRecord>>;
};

}  // namespace fescueline
