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
  std::string key;
  /// Value, valid UTF-8; empty if deleted.
  std::string value;
  /// Version of the last transaction that wrote the record.
  uint64_t version = 0;
  /// Whether that transaction deleted it. Only TableChanges contains deleted
  /// records.
  bool deleted = false;

  bool operator==(const TableRecord&) const = default;
};

/// Precondition of a transaction on one key.
struct TableCheck {
  std::string key;
  /// Version that the record must have; 0 if it must not exist.
  uint64_t version = 0;

  bool operator==(const TableCheck&) const = default;
};

/// One write of a transaction.
struct TableWrite {
  std::string key;
  /// New value; nullopt deletes the record.
  std::optional<std::string> value = std::nullopt;

  bool operator==(const TableWrite&) const = default;
};

/// Writes that are applied atomically if all checks hold. A transaction
/// without writes only evaluates its checks and gets no version.
struct TableTransaction {
  /// Idempotency token chosen by the client. For a known token the table
  /// returns the first result and applies nothing. Empty if the client will
  /// not retry.
  std::string token;
  /// Evaluated against the state before the transaction.
  std::vector<TableCheck> checks;
  /// Applied in order.
  std::vector<TableWrite> writes;

  bool operator==(const TableTransaction&) const = default;
};

/// Status in the table's response to a transaction.
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

/// Response to a transaction.
struct TransactResult {
  TransactStatus status = TransactStatus::Conflict;
  /// Version of the transaction if committed, else of the table.
  uint64_t version = 0;
  /// First key whose check failed; empty if committed.
  std::string conflictKey;
  /// Version of that key's record; 0 if it does not exist.
  uint64_t conflictVersion = 0;

  bool operator==(const TransactResult&) const = default;
};

/// Records changed after a version, in ascending order of version.
struct TableChanges {
  /// Version up to which these records are complete.
  uint64_t version = 0;
  /// Latest state of each changed record. Never ends within a transaction.
  std::vector<TableRecord> records;
  /// Whether the limit cut off later changes.
  bool more = false;

  bool operator==(const TableChanges&) const = default;
};

/// Client of a transactional table. Calls block and throw PlatformError.
/// `ChangesSince` may exceed the limit, as it never splits a transaction;
/// `List` returns the existing records with the prefix, ordered by key.
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
