#pragma once

#include <asio.hpp>
#include <functional>
#include <string>

#include "Core/BootClock.h"
#include "Mesh/FollowSchedule.h"
#include "Mesh/RowStore.h"

namespace fescueline {

/// Mirrors one table of the store: reads a full snapshot, then follows the
/// change feed, and takes a new snapshot when the history it needs has been
/// discarded. Runs on the event loop.
class TableFollower {
 public:
  struct Settings {
    asio::io_context& io;
    RowStore& store;
    std::string table;
    /// Time that a Follow call waits for a change in the modes LongPoll and
    /// ShortPoll.
    Duration longWait = std::chrono::seconds(10);
    Duration shortWait = std::chrono::seconds(1);
    /// The same in the mode Immediate. Not zero, which the store's protocol
    /// does not define.
    Duration immediateWait = std::chrono::milliseconds(10);
    /// Returns how to follow the table now. Optional; LongPoll without it.
    std::function<FollowMode()> mode;
    /// Called at the start of each call to the store. Optional.
    std::function<void()> onCall;
    /// Receives all rows of the table after a full read.
    std::function<void(const std::vector<StoredRow>&)> onSnapshot;
    /// Receives changed rows.
    std::function<void(const std::vector<StoredRow>&)> onChanges;
    /// Called with the time up to which the known state of the table is
    /// current.
    std::function<void(BootTime)> onConfirmed;
    /// Pause after changes, so that the next call returns further changes in
    /// one batch.
    Duration batchTime = Duration::zero();
  };

  explicit TableFollower(Settings aSettings);

  void Start();
  void Stop();
  /// Whether the last call to the store succeeded.
  bool IsAvailable() const { return this->available; }
  /// Version up to which changes of the table have been read.
  uint64_t ReadUpTo() const { return this->after; }
  /// Resumes calls if the mode is no longer Idle, and replaces a pending long
  /// poll if the mode demands an earlier answer. Call periodically.
  void Reconsider();
  /// Records that changes up to aVersion were learned elsewhere, so that they
  /// need not be read.
  void SkipTo(uint64_t aVersion);

 private:
  FollowMode Mode() const {
    return this->settings.mode ? this->settings.mode() : FollowMode::LongPoll;
  }
  Duration WaitOf(FollowMode aMode) const;
  /// Starts the next call, unless the mode is Idle.
  void Next();
  /// Passes rows on. A failure of the receiver is logged and does not end the
  /// calls.
  void Deliver(
      const std::function<void(const std::vector<StoredRow>&)>& aReceiver,
      const std::vector<StoredRow>& aRows) const;
  void OnFollowed(const StoreReply& aReply, BootTime aSentAt);
  void ReadPage(const std::string& aAfter);
  void Follow();
  void Retry();
  /// Continues with the next call after a pause.
  void ContinueAfter(Duration aPause);
  void SetAvailable(bool aAvailable, StoreStatus aStatus);
  /// Converts a time of the store's clock, from the reply to a call sent at
  /// aSentAt, to the boot clock. The result is never later than the true
  /// time.
  BootTime ToBootTime(Duration aStoreTime, BootTime aSentAt);

  Settings settings;
  asio::steady_timer timer;
  /// Rows of the full read in progress.
  std::vector<StoredRow> readRows;
  /// Start of the full read in progress.
  BootTime readSince{};
  uint64_t after = 0;
  /// Whether a full read is complete, so that its changes can be followed.
  bool synced = false;
  bool available = false;
  bool stopped = false;
  /// Number of the current Follow call; replies to earlier ones are ignored.
  uint64_t call = 0;
  /// Whether the current Follow call is a long poll.
  bool longPolling = false;
  /// Whether no call is made until Reconsider finds another mode.
  bool idle = false;
  /// Replies in succession that reported a lost history.
  uint32_t historyLosses = 0;
  /// Consecutive failures; determines the pause before the next call.
  uint32_t failures = 0;
  /// Largest observed difference between the boot clock at sending and the
  /// store's clock in the reply: a lower bound of the offset of the two
  /// clocks.
  std::optional<Duration> offset;
};

}  // namespace fescueline
