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

void TableFollower::Start() { this->ReadPage(""); }

void TableFollower::Stop() {
  this->stopped = true;
  this->timer.cancel();
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
        this->settings.onSnapshot(this->readRows);
        this->settings.onConfirmed(this->readSince);
        this->Follow();
      });
}

void TableFollower::Follow() {
  if (this->stopped) {
    return;
  }
  const BootTime sentAt = BootClock::now();
  const bool urgent = !this->available || this->IsUrgent();
  this->longPolling = !urgent;
  const uint64_t number = ++this->call;
  this->settings.store.Follow(
      this->settings.table, this->after,
      urgent ? this->settings.urgentWait : this->settings.wait,
      [this, sentAt, number](const StoreReply& aReply) {
        if (number != this->call) {
          return;
        }
        if (aReply.status == StoreStatus::HistoryLost) {
          Log(LogLevel::Warning, "table history lost",
              {{"table", this->settings.table},
               {"after", std::to_string(this->after)}});
          this->synced = false;
          this->ReadPage("");
          return;
        }
        if (aReply.status != StoreStatus::Done) {
          this->SetAvailable(false, aReply.status);
          this->Retry();
          return;
        }
        this->SetAvailable(true, aReply.status);
        this->after = std::max(this->after, aReply.version);
        if (!aReply.rows.empty()) {
          this->settings.onChanges(aReply.rows);
        }
        this->settings.onConfirmed(this->ToBootTime(aReply.storeTime, sentAt));
        if (!aReply.rows.empty() &&
            this->settings.batchTime > Duration::zero()) {
          this->ContinueAfter(this->settings.batchTime);
        } else {
          this->Follow();
        }
      });
}

void TableFollower::ReplaceIfUrgent() {
  if (this->longPolling && this->IsUrgent()) {
    this->longPolling = false;
    this->Follow();
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
    if (aError || this->stopped) {
      return;
    }
    if (this->synced) {
      this->Follow();
    } else {
      this->ReadPage("");
    }
  });
}

}  // namespace fescueline
