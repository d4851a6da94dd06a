#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Platform/Claim.h"
#include "Platform/TableStore.h"

namespace fescueline {

/// Receives the result of a claim, on the batcher's thread or on the thread
/// that submitted it. Must not block and must not throw.
using ClaimCallback = std::function<void(ClaimResult)>;

/// A claim that waits for its result.
struct PendingClaim {
  /// The claim.
  Claim claim;
  /// Receives the result.
  ClaimCallback done;
};

/// The open claims of one batch. At most one claim for each key is written;
/// the others for that key follow its result. One thread.
class ClaimBatch {
 public:
  /// Adds a claim.
  void Add(PendingClaim aPending);
  /// Whether no claim is open.
  bool IsEmpty() const { return this->claims.empty(); }
  /// Keys of the open claims.
  std::vector<std::string> Keys() const;
  /// Value that the claim for the key writes; empty if it is not open.
  std::string ValueOf(const std::string& aKey) const;
  /// Transaction for all open claims, without token.
  TableTransaction MakeTransaction() const;
  /// Reports the result for one key and removes it. Returns false if the key
  /// is not open.
  bool Settle(const std::string& aKey, ClaimResult aResult);
  /// Reports the result for all open claims.
  void SettleAll(ClaimResult aResult);

 private:
  /// Claims for one key.
  struct Entry {
    /// Root id of the first claim.
    std::string value;
    /// Reports to the first claim.
    ClaimCallback done;
    /// Reports to further claims, whose own root ids are never written.
    std::vector<ClaimCallback> followers;
  };

  /// Reports the result of an entry.
  static void Report(const Entry& aEntry, ClaimResult aResult);

  /// Open claims by table key.
  std::unordered_map<std::string, Entry> claims;
};

}  // namespace fescueline
