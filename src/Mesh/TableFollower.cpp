#include "Mesh/TableFollower.h"

#include <algorithm>

#include "Core/RandomSource.h"
#include "Log/Log.h"

namespace fescueline {

namespace {
/// Shortest and longest backoff after a failed call. Short, since members have
/// to be back within 2 s of the store's recovery; growing, since calls are
/// rate-limited and billed.
constexpr Duration kFirstPause = std::chrono::milliseconds(100);
constexpr Duration kLongestPause = std::chrono::milliseconds(800);
}  // namespace

TableFollower::TableFollower(Settings aSettings)
    : settings(std::move(aSettings)), timer(this->settings.io) {}

void TableFollower::Start() { this->Next(); }

void TableFollower::Stop() {
  this->stopped = true;
  this->timer.cancel();
}

void TableFollower::Next() {
  if (this->stopped) {
    return;
  }
  this->idle = this->Mode() == FollowMode::Idle;
  if (this->idle) {
    return;
  }
  if (this->synced) {
    this->Follow();
  } else {
    this->ReadPage("");
  }
}

void TableFollower::Reconsider() {
  if (this->idle) {
    this->Next();
    return;
  }
  const FollowMode mode = this->longPolling ? this->Mode() : FollowMode::Idle;
  if (mode == FollowMode::ShortPoll || mode == FollowMode::Immediate) {
    this->longPolling = false;
    this->Follow();
  }
}

void TableFollower::SkipTo(uint64_t aVersion) {
  this->after = std::max(this->after, aVersion);
  this->synced = this->synced || aVersion > 0;
}

Duration TableFollower::WaitOf(FollowMode aMode) const {
  switch (aMode) {
    case FollowMode::LongPoll:
      return this->settings.longWait;
    case FollowMode::ShortPoll:
      return this->settings.shortWait;
    case FollowMode::Idle:
    case FollowMode::Immediate:
      break;
  }
  return this->settings.immediateWait;
}

void TableFollower::Deliver(
    const std::function<void(const std::vector<StoredRow>&)>& aReceiver,
    const std::vector<StoredRow>& aRows) const {
  try {
    aReceiver(aRows);
  } catch (const std::exception& failure) {
    Log(LogLevel::Error, "rows not applied",
        {{"table", this->settings.table},
         {"after", std::to_string(this->after)},
         {"error", std::string(failure.what())}});
  }
}

void TableFollower::ReadPage(const std::string& aAfter) {
  if (this->stopped) {
    return;
  }
  const BootTime sentAt = BootClock::now();
  if (aAfter.empty()) {
    this->readRows.clear();
    this->readSince = sentAt;
  }
  if (this->settings.onCall) {
    this->settings.onCall();
  }
  this->settings.store.Read(
      this->settings.table, aAfter, [this, sentAt](const StoreReply& aReply) {
        if (aReply.status != StoreStatus::Done) {
          this->SetAvailable(false, aReply.status);
          this->Retry();
          return;
        }
        this->ToBootTime(aReply.storeTime, sentAt);
        this->SetAvailable(true, aReply.status);
        if (this->readRows.empty()) {
          // Following from the version of the first page also returns the
          // changes made during the read.
          this->after = aReply.version;
        }
        this->readRows.insert(this->readRows.end(), aReply.rows.begin(),
                              aReply.rows.end());
        if (aReply.more && !aReply.rows.empty()) {
          this->ReadPage(aReply.rows.back().key);
          return;
        }
        this->synced = true;
        this->Deliver(this->settings.onSnapshot, this->readRows);
        this->settings.onConfirmed(this->readSince);
        this->Next();
      });
}

void TableFollower::Follow() {
  if (this->stopped) {
    return;
  }
  const BootTime sentAt = BootClock::now();
  // A store that was lost is asked for an early sign of its return.
  FollowMode mode = this->Mode();
  if (!this->available && mode == FollowMode::LongPoll) {
    mode = FollowMode::ShortPoll;
  }
  this->longPolling = mode == FollowMode::LongPoll;
  const uint64_t number = ++this->call;
  if (this->settings.onCall) {
    this->settings.onCall();
  }
  this->settings.store.Follow(this->settings.table, this->after,
                              this->WaitOf(mode),
                              [this, sentAt, number](const StoreReply& aReply) {
                                if (number == this->call) {
                                  this->longPolling = false;
                                  this->OnFollowed(aReply, sentAt);
                                }
                              });
}

void TableFollower::OnFollowed(const StoreReply& aReply, BootTime aSentAt) {
  if (aReply.status == StoreStatus::HistoryLost) {
    Log(LogLevel::Warning, "table history lost",
        {{"table", this->settings.table},
         {"after", std::to_string(this->after)}});
    this->synced = false;
    // A store that keeps discarding its history must not be read in a loop.
    if (++this->historyLosses > 1) {
      this->SetAvailable(false, aReply.status);
      this->Retry();
    } else {
      this->Next();
    }
    return;
  }
  if (aReply.status != StoreStatus::Done) {
    this->SetAvailable(false, aReply.status);
    this->Retry();
    return;
  }
  this->historyLosses = 0;
  this->SetAvailable(true, aReply.status);
  this->after = std::max(this->after, aReply.version);
  if (!aReply.rows.empty()) {
    this->Deliver(this->settings.onChanges, aReply.rows);
  }
  this->settings.onConfirmed(this->ToBootTime(aReply.storeTime, aSentAt));
  if (!aReply.rows.empty() && this->settings.batchTime > Duration::zero()) {
    this->ContinueAfter(this->settings.batchTime);
  } else {
    this->Next();
  }
}

BootTime TableFollower::ToBootTime(Duration aStoreTime, BootTime aSentAt) {
  // The store reads its clock after the call was sent, so each difference is a
  // lower bound of the offset. The fastest call gives the best bound.
  const Duration bound = aSentAt.time_since_epoch() - aStoreTime;
  if (!this->offset || *this->offset < bound) {
    this->offset = bound;
  }
  return std::max(aSentAt, BootTime(aStoreTime + *this->offset));
}

void TableFollower::SetAvailable(bool aAvailable, StoreStatus aStatus) {
  this->failures = aAvailable ? 0 : this->failures + 1;
  if (this->available != aAvailable) {
    this->available = aAvailable;
    Log(aAvailable ? LogLevel::Info : LogLevel::Warning,
        aAvailable ? "store regained" : "store lost",
        {{"table", this->settings.table},
         {"status", std::string(ToName(aStatus))}});
  }
}

void TableFollower::Retry() {
  const uint32_t doublings = std::min<uint32_t>(this->failures, 4) - 1;
  const Duration pause =
      std::min(kLongestPause, kFirstPause * (1 << doublings));
  this->ContinueAfter(
      FromSeconds(ToSeconds(pause) * (0.5 + ThreadRandom().NextDouble())));
}

void TableFollower::ContinueAfter(Duration aPause) {
  this->timer.expires_after(aPause);
  this->timer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->Next();
    }
  });
}

}  // namespace fescueline
