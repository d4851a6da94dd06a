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
    this->pages.clear();
    this->readSince = sentAt;
  }
  this->settings.store.Read(
      this->settings.table, aAfter, [this, sentAt](const StoreReply& aReply) {
        if (aReply.status != StoreStatus::Done) {
          this->SetUp(false, aReply.status);
          this->Retry();
          return;
        }
        this->MomentOf(aReply.storeTime, sentAt);
        this->SetUp(true, aReply.status);
        if (this->pages.empty()) {
          // Following from the version of the first page also returns the
          // changes made during the read.
          this->after = aReply.version;
        }
        this->pages.insert(this->pages.end(), aReply.rows.begin(),
                           aReply.rows.end());
        if (aReply.more && !aReply.rows.empty()) {
          this->ReadPage(aReply.rows.back().key);
          return;
        }
        this->synced = true;
        this->settings.onSnapshot(this->pages);
        this->settings.onConfirmed(this->readSince);
        this->Follow();
      });
}

void TableFollower::Follow() {
  if (this->stopped) {
    return;
  }
  const BootTime sentAt = BootClock::now();
  const bool urgent = !this->up || this->IsUrgent();
  this->waitsLong = !urgent;
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
          this->SetUp(false, aReply.status);
          this->Retry();
          return;
        }
        this->SetUp(true, aReply.status);
        this->after = std::max(this->after, aReply.version);
        if (!aReply.rows.empty()) {
          this->settings.onChanges(aReply.rows);
        }
        this->settings.onConfirmed(this->MomentOf(aReply.storeTime, sentAt));
        if (!aReply.rows.empty() && this->settings.gather > Duration::zero()) {
          this->ContinueAfter(this->settings.gather);
        } else {
          this->Follow();
        }
      });
}

void TableFollower::Hurry() {
  if (this->waitsLong && this->IsUrgent()) {
    this->waitsLong = false;
    this->Follow();
  }
}

BootTime TableFollower::MomentOf(Duration aStoreTime, BootTime aSentAt) {
  // The store reads its clock after the call was sent, so each difference is a
  // lower bound of the offset. The fastest call gives the best bound.
  const Duration bound = aSentAt.time_since_epoch() - aStoreTime;
  if (!this->offset || *this->offset < bound) {
    this->offset = bound;
  }
  return std::max(aSentAt, BootTime(aStoreTime + *this->offset));
}

void TableFollower::SetUp(bool aUp, StoreStatus aStatus) {
  this->failures = aUp ? 0 : this->failures + 1;
  if (this->up != aUp) {
    this->up = aUp;
    Log(aUp ? LogLevel::Info : LogLevel::Warning,
        aUp ? "store regained" : "store lost",
        {{"table", this->settings.table},
         {"status", std::string(ToName(aStatus))}});
  }
}

void TableFollower::Retry() {
  const uint32_t doublings = std::min<uint32_t>(this->failures, 4) - 1;
  const Duration pause =
      std::min(kLongestPause, kFirstPause * (1 << doublings));
  this->ContinueAfter(
      FromSeconds(ToSeconds(pause) * (0.5 + ThreadRandom().Unit())));
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
