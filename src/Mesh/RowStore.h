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
  /// Version of the table at which the row was last written.
  uint64_t version = 0;
  /// Whether the row was removed.
  bool removed = false;
};

/// How a call to the store ended.
enum class StoreStatus : uint8_t {
  /// The call was carried out.
  Done,
  /// A write condition was not met; nothing was written.
  Conflict,
  /// The store has discarded the requested history.
  HistoryLost,
  /// The store refused the call; nothing was done.
  Refused,
  /// No usable reply; a write may take effect, possibly later.
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

/// Reply of the store.
struct StoreReply {
  StoreStatus status = StoreStatus::Unknown;
  std::vector<StoredRow> rows;
  /// Newest version at the store.
  uint64_t version = 0;
  /// The store's monotonic clock at the time of the reply.
  Duration storeTime{};
  /// Whether there are further rows after the last one.
  bool more = false;
};

/// A conditional write of one row.
struct RowWrite {
  std::string table;
  std::string key;
  /// Required version of the row; 0 if it must not exist.
  uint64_t expected = 0;
  /// New value; nullopt removes the row.
  std::optional<std::string> value;
};

/// Interface to the platform's store. Calls do not block; each completion
/// function runs once, on the event loop.
class RowStore {
 public:
  using Done = std::function<void(const StoreReply&)>;

  virtual ~RowStore() = default;
  /// Reads the rows of a table whose keys are greater than aAfter.
  virtual void Read(const std::string& aTable, const std::string& aAfter,
                    Done aDone) = 0;
  /// Reads the rows that changed after a version; a long poll that waits up to
  /// aWait for the first change.
  virtual void Follow(const std::string& aTable, uint64_t aAfter,
                      Duration aWait, Done aDone) = 0;
  virtual void Write(const RowWrite& aWrite, Done aDone) = 0;
};

}  // namespace fescueline
