#pragma once

#include <asio.hpp>
#include <functional>
#include <string>

#include "Core/BootClock.h"
#include "Mesh/RowStore.h"

namespace fescueline {

/// Lease on the duty of issuing tokens, kept as one row of the store and
/// renewed by conditional writes. A holder stops by its own clock before
/// another node may take the lease by the store's clock. Runs on the loop.
class IssuerLease {
 public:
  /// Construction parameters.
  struct Settings {
    asio::io_context& io;
    RowStore& store;
    std::string table;
    std::string key;
    /// Name of this node and incarnation of its process.
    std::string node;
    std::string incarnation;
    /// Time after its last renewal that a lease holds. Longer than usual
    /// outages of the store, in which nobody could take it over anyway.
    Duration length = std::chrono::seconds(12);
    Duration renewEvery = std::chrono::seconds(4);
    /// Time between two looks at the row while the lease is wanted.
    Duration lookEvery = std::chrono::seconds(1);
    /// The lease was gained or lost.
    std::function<void(bool)> onChange;
  };

  explicit IssuerLease(Settings aSettings);

  /// Renews the lease when due; takes it if aWanted, no issuer being heard, and
  /// the row shows that nobody holds it. Call about every 300 ms.
  void Tick(bool aWanted);
  /// Gives the lease up for a planned stop.
  void Release();

  /// Whether this node holds the lease now.
  bool IsHeld(BootTime aNow) const {
    return this->held && aNow < this->heldUntil;
  }
  /// Node that holds the lease as far as known; empty if none.
  const std::string& Holder() const { return this->holder; }

 private:
  void Read();
  void OnRow(const StoredRow& aRow);
  void OnAbsent();
  /// Takes the lease if the row that was just read allows it.
  void TakeIfFree();
  void Write();
  /// Removes what a write has left that a stop met on its way. aRenewed:
  /// version of the own row that it replaces; 0 if there was none.
  void RemoveAfter(const StoreReply& aReply, uint64_t aRenewed);
  /// Removes the row of the given version.
  void Remove(uint64_t aVersion);
  void SetHeld(bool aHeld);

  Settings settings;
  std::string holder;
  std::string holderIncarnation;
  /// Version of the row, 0 if it does not exist.
  uint64_t version = 0;
  /// When the lease was renewed by the store's clock, as its holder wrote it:
  /// never before the renewal was sent.
  Duration renewedAt{};
  /// The store's clock in its last answer, and when the question was sent. The
  /// clock shows at most that much plus the time since then.
  Duration storeTime{};
  BootTime askedAt{};
  bool held = false;
  BootTime heldUntil{};
  BootTime nextWrite{};
  BootTime nextRead{};
  bool calling = false;
  bool released = false;
};

}  // namespace fescueline
