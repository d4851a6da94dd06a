#pragma once

#include <asio.hpp>
#include <functional>
#include <string>

#include "Core/BootClock.h"
#include "Mesh/RowStore.h"

namespace fescueline {

/// Lease for issuing tokens, stored as one row and renewed by conditional
/// writes. By its own clock, a holder stops issuing before another node may
/// acquire the lease by the store's clock. Runs on the event loop.
class IssuerLease {
 public:
  struct Settings {
    asio::io_context& io;
    RowStore& store;
    std::string table;
    std::string key;
    /// Name of this node and incarnation of its process.
    std::string node;
    std::string incarnation;
    /// Validity of a lease after its last renewal. Longer than usual outages of
    /// the store, during which no other node could acquire it anyway.
    Duration length = std::chrono::seconds(12);
    Duration renewInterval = std::chrono::seconds(4);
    /// Interval between reads of the row while the lease is wanted.
    Duration readInterval = std::chrono::seconds(1);
    /// Called when the lease is gained (true) or lost (false).
    std::function<void(bool)> onChange;
  };

  explicit IssuerLease(Settings aSettings);

  /// Renews the lease when due. If aWanted, which means that no issuer is
  /// known, acquires it if the row shows that it is free. Call about every
  /// 300 ms.
  void Tick(bool aWanted);
  /// Releases the lease for a planned stop.
  void Release();

  /// Whether this node holds the lease now.
  bool IsHeld(BootTime aNow) const {
    return this->held && aNow < this->heldUntil;
  }
  /// Holder of the lease according to the last row read; empty if none.
  const std::string& Holder() const { return this->holder; }

 private:
  void Read();
  void OnRow(const StoredRow& aRow);
  void OnAbsent();
  /// Acquires the lease if it is free according to the row just read.
  void AcquireIfFree();
  void Write();
  /// Removes the row after a write that was in progress when the stop began.
  /// aRenewed: version of this node's row that the write replaces; 0 if there
  /// was none.
  void RemoveAfterWrite(const StoreReply& aReply, uint64_t aRenewed);
  /// Removes the row of the given version.
  void Remove(uint64_t aVersion);
  void SetHeld(bool aHeld);

  Settings settings;
  std::string holder;
  std::string holderIncarnation;
  /// Version of the row, 0 if it does not exist.
  uint64_t version = 0;
  /// Time of the last renewal by the store's clock, as written by the holder.
  /// Never earlier than the sending of the renewal.
  Duration renewedAt{};
  /// The store's clock in its last reply, and when that call was sent. The
  /// store's clock now is at most storeTime plus the time since
  /// storeTimeSentAt.
  Duration storeTime{};
  BootTime storeTimeSentAt{};
  bool held = false;
  BootTime heldUntil{};
  BootTime nextWrite{};
  BootTime nextRead{};
  bool callPending = false;
  bool released = false;
};

}  // namespace fescueline
