#include "Mesh/IssuerLease.h"

#include <fmt/format.h>

#include <sstream>

#include "Core/RandomSource.h"
#include "Log/Log.h"

namespace fescueline {

namespace {
/// Time before the end of the lease at which the holder stops issuing. Covers
/// the lifetime of issued tokens (0.5 s) and the clock drift.
constexpr Duration kHolderMargin = std::chrono::seconds(1);
/// Pause after a failed write.
constexpr Duration kWritePause = std::chrono::milliseconds(500);
}  // namespace

IssuerLease::IssuerLease(Settings aSettings) : settings(std::move(aSettings)) {}

void IssuerLease::OnRow(const StoredRow& aRow) {
  if (aRow.removed) {
    this->OnAbsent();
    return;
  }
  if (aRow.version <= this->version) {
    return;
  }
  this->version = aRow.version;
  std::istringstream text(aRow.value);
  int64_t milliseconds = 0;
  text >> this->holder >> this->holderIncarnation >> milliseconds;
  this->renewedAt = std::chrono::milliseconds(milliseconds);
  if (this->held && this->holderIncarnation != this->settings.incarnation) {
    this->SetHeld(false);
  }
}

void IssuerLease::OnAbsent() {
  this->version = 0;
  this->holder.clear();
  this->holderIncarnation.clear();
  this->SetHeld(false);
}

void IssuerLease::Tick(bool aWanted) {
  const BootTime now = BootClock::now();
  if (this->held && now >= this->heldUntil) {
    this->SetHeld(false);
  }
  if (this->callPending || this->released) {
    return;
  }
  if (this->held) {
    if (now >= this->nextWrite) {
      this->Write();
    }
  } else if (aWanted && now >= this->nextRead) {
    this->Read();
  }
}

void IssuerLease::Read() {
  this->callPending = true;
  const BootTime sentAt = BootClock::now();
  this->settings.store.Read(
      this->settings.table, "", [this, sentAt](const StoreReply& aReply) {
        this->callPending = false;
        const Duration jitter =
            FromSeconds(ToSeconds(this->settings.readInterval) *
                        ThreadRandom().NextDouble() / 2);
        this->nextRead =
            BootClock::now() + this->settings.readInterval + jitter;
        if (aReply.status != StoreStatus::Done || this->released) {
          return;
        }
        this->storeTime = aReply.storeTime;
        this->storeTimeSentAt = sentAt;
        bool found = false;
        for (const StoredRow& row : aReply.rows) {
          if (row.key == this->settings.key && !row.removed) {
            found = true;
            this->OnRow(row);
          }
        }
        if (!found) {
          this->OnAbsent();
        }
        this->AcquireIfFree();
      });
}

void IssuerLease::AcquireIfFree() {
  // A row with this node's name is of an earlier process. That process has
  // ended, since this one could bind the listeners.
  const bool own = this->holder == this->settings.node;
  const bool lapsed = this->storeTime - this->renewedAt > this->settings.length;
  if (!this->held && (this->version == 0 || own || lapsed)) {
    this->Write();
  }
}

void IssuerLease::Write() {
  this->callPending = true;
  const BootTime sentAt = BootClock::now();
  const uint64_t expected = this->version;
  const bool renews = this->held;
  // Rounded up: with an earlier time, others would acquire the lease too soon.
  const auto renewed = std::chrono::ceil<std::chrono::milliseconds>(
      this->storeTime + (sentAt - this->storeTimeSentAt));
  this->settings.store.Write(
      {.table = this->settings.table,
       .key = this->settings.key,
       .expected = expected,
       .value = fmt::format("{} {} {}", this->settings.node,
                            this->settings.incarnation, renewed.count())},
      [this, sentAt, expected, renews](const StoreReply& aReply) {
        this->callPending = false;
        if (this->released) {
          // The planned stop began while the write was in progress.
          this->RemoveAfterWrite(aReply, renews ? expected : 0);
          return;
        }
        const Duration jitter =
            FromSeconds(ToSeconds(kWritePause) * ThreadRandom().NextDouble());
        if (aReply.status != StoreStatus::Done) {
          for (const StoredRow& row : aReply.rows) {
            this->OnRow(row);
          }
          this->nextWrite = BootClock::now() + kWritePause + jitter;
          return;
        }
        this->nextWrite = sentAt + this->settings.renewInterval + jitter;
        this->version = aReply.version;
        this->storeTime = aReply.storeTime;
        this->storeTimeSentAt = sentAt;
        this->holder = this->settings.node;
        this->holderIncarnation = this->settings.incarnation;
        this->heldUntil = sentAt + this->settings.length - kHolderMargin;
        this->SetHeld(BootClock::now() < this->heldUntil);
      });
}

void IssuerLease::Release() {
  this->released = true;
  if (!this->held) {
    return;
  }
  this->SetHeld(false);
  // A renewal in progress would make the removal fail; the handler of its reply
  // removes the row.
  if (!this->callPending) {
    this->Remove(this->version);
  }
}

void IssuerLease::RemoveAfterWrite(const StoreReply& aReply,
                                   uint64_t aRenewed) {
  if (aReply.status == StoreStatus::Done) {
    this->Remove(aReply.version);
    return;
  }
  if (aReply.status != StoreStatus::Conflict) {
    // Unless the write takes effect later, the row still has its old version.
    if (aRenewed != 0) {
      this->Remove(aRenewed);
    }
    return;
  }
  for (const StoredRow& row : aReply.rows) {
    this->OnRow(row);
    // The row is from an earlier write of this process whose reply was lost.
    if (this->holderIncarnation == this->settings.incarnation) {
      this->Remove(row.version);
    }
  }
}

void IssuerLease::Remove(uint64_t aVersion) {
  this->settings.store.Write({.table = this->settings.table,
                              .key = this->settings.key,
                              .expected = aVersion,
                              .value = std::nullopt},
                             [](const StoreReply&) {
                               // If the removal fails, the lease expires.
                             });
}

void IssuerLease::SetHeld(bool aHeld) {
  if (this->held == aHeld) {
    return;
  }
  this->held = aHeld;
  Log(LogLevel::Info, aHeld ? "issuer lease gained" : "issuer lease lost",
      {{"node", this->settings.node},
       {"row_version", std::to_string(this->version)}});
  if (this->settings.onChange) {
    this->settings.onChange(aHeld);
  }
}

}  // namespace fescueline
