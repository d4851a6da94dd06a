#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Core/EnumNames.h"
#include "Core/Time.h"

namespace fescueline {

/// One row of a table in the platform's store.
struct StoredRow {
  std::string key;
  std::string value;
  /// Version at which the row was last written.
  uint64_t version = 0;
  /// Whether the row was removed.
  bool removed = false;
};

/// How a call to the store ended.
enum class StoreStatus : uint8_t {
  /// Done.
  Done,
  /// A condition did not hold; nothing was written.
  Conflict,
  /// The history that was asked for is gone.
  HistoryLost,
  /// The store refused; nothing was done.
  Refused,
  /// No usable answer; a write may happen, now or later.
  Unknown
};

template <>
struct EnumNames<StoreStatus> {
  static constexpr std::array<EnumName<StoreStatus>, 5> kNames{
      {{StoreStatus::Done, "done"},
       {StoreStatus::Conflict, "conflict"},
       {StoreStatus::HistoryLost, "history-lost"},
       {StoreStatus::Refused, "refused"},
       {StoreStatus::Unknown, "unknown"}}};
};

/// Answer of the store.
struct StoreReply {
  StoreStatus status = StoreStatus::Unknown;
  std::vector<StoredRow> rows;
  /// Newest version at the store.
  uint64_t version = 0;
  /// The store's steady clock when it answered.
  Duration storeTime{};
  /// Whether further rows follow the last one.
  bool more = false;
};

/// A conditional write of one row.
struct RowWrite {
  std::string table;
  std::string key;
  /// Version that the row must have; 0 if it must not exist.
  uint64_t expected = 0;
  /// New value; nothing removes the row.
  std::optional<std::string> value;
};

/// The platform's store as the mesh uses it. Calls do not block; each done
/// function runs once, on the loop's thread.
class RowStore {
 public:
  using Done = std::function<void(const StoreReply&)>;

  virtual ~RowStore() = default;
  /// Rows of a table with keys after aAfter.
  virtual void Read(const std::string& aTable, const std::string& aAfter,
                    Done aDone) = 0;
  /// Rows changed after a version; waits up to aWait for the first one.
  virtual void Follow(const std::string& aTable, uint64_t aAfter,
                      Duration aWait, Done aDone) = 0;
  virtual void Write(const RowWrite& aWrite, Done aDone) = 0;
};

}  // namespace fescueline
