#pragma once

#include <asio.hpp>
#include <functional>
#include <string>

#include "Core/BootClock.h"
#include "Mesh/RowStore.h"

namespace fescueline {

/// Keeps up with one table of the store: reads it whole, then follows its
/// changes, and starts over when the history is gone. Runs on the loop.
class TableFollower {
 public:
  /// Construction parameters.
  struct Settings {
    asio::io_context& io;
    RowStore& store;
    std::string table;
    /// Longest wait of one call for a change, while the table's age does not
    /// matter and while it does.
    Duration wait = std::chrono::seconds(10);
    Duration urgentWait = std::chrono::seconds(1);
    /// Whether an answer is needed soon to confirm what is known; never if
    /// empty.
    std::function<bool()> isUrgent;
    /// All rows of the table, after a whole read.
    std::function<void(const std::vector<StoredRow>&)> onSnapshot;
    /// Changed rows.
    std::function<void(const std::vector<StoredRow>&)> onChanges;
    /// The table was as known at that moment.
    std::function<void(BootTime)> onConfirmed;
    /// Pause after changes, so that others are taken along by the next call.
    Duration gather = Duration::zero();
  };

  explicit TableFollower(Settings aSettings);

  void Start();
  void Stop();
  /// Whether the last call succeeded.
  bool IsUp() const { return this->up; }
  /// Version up to which the changes of the table are known.
  uint64_t ReadUpTo() const { return this->after; }
  /// Ends a call that waits for a change and makes an urgent one in its place
  /// if one is needed; call now and then.
  void Hurry();

 private:
  bool IsUrgent() const {
    return this->settings.isUrgent && this->settings.isUrgent();
  }
  void ReadPage(const std::string& aAfter);
  void Follow();
  void Retry();
  /// Goes on after a pause.
  void ContinueAfter(Duration aPause);
  void SetUp(bool aUp, StoreStatus aStatus);
  /// The moment at which the store's clock showed aStoreTime, at the latest
  /// possible for an answer to a call sent at aSentAt.
  BootTime MomentOf(Duration aStoreTime, BootTime aSentAt);

  Settings settings;
  asio::steady_timer timer;
  /// Rows of the read in progress.
  std::vector<StoredRow> pages;
  /// When the read in progress began.
  BootTime readSince{};
  uint64_t after = 0;
  bool synced = false;
  bool up = false;
  bool stopped = false;
  /// Number of the present call; answers to earlier ones are ignored.
  uint64_t call = 0;
  /// Whether the present call waits long.
  bool waitsLong = false;
  /// Failures in a row, for the pause between calls.
  uint32_t failures = 0;
  /// Largest seen difference of the boot clock at sending and the store's
  /// clock in the answer: a lower bound of the offset of the two clocks.
  std::optional<Duration> offset;
};

}  // namespace fescueline
