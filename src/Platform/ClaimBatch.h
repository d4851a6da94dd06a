#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Platform/Claim.h"
#include "Platform/TableStore.h"

namespace fescueline {

/// Receives the result of a claim, on the batcher's thread or on the
/// submitting thread. Must not block or throw.
using ClaimCallback = std::function<void(ClaimResult)>;

/// A claim without a result yet.
struct PendingClaim {
  Claim claim;
  ClaimCallback done;
};

/// The unresolved claims of one batch. At most one claim per key is written;
/// the results of the others for that key follow from its result. Not
/// thread-safe.
class ClaimBatch {
 public:
  void Add(PendingClaim aPending);
  /// Whether all claims are resolved.
  bool IsEmpty() const { return this->claims.empty(); }
  /// Table keys of the unresolved claims.
  std::vector<std::string> Keys() const;
  /// Value that the claim for the key writes; empty if the batch has none.
  std::string ValueOf(const std::string& aKey) const;
  /// Transaction that writes all unresolved claims, without a token.
  TableTransaction MakeTransaction() const;
  /// Reports the result for one key and removes it. Returns false if the
  /// batch does not contain the key.
  bool Resolve(const std::string& aKey, ClaimResult aResult);
  /// Reports one result for all unresolved claims and removes them.
  void ResolveAll(ClaimResult aResult);

 private:
  /// Claims for one key.
  struct Entry {
    /// Root id of the first claim.
    std::string value;
    /// Callback of the first claim.
    ClaimCallback done;
    /// Callbacks of further claims, whose own root ids are never written.
    std::vector<ClaimCallback> followers;
  };

  /// Calls the callbacks of an entry.
  static void Report(const Entry& aEntry, ClaimResult aResult);

  /// Unresolved claims by table key.
  std::unordered_map<std::string, Entry> claims;
};

}  // namespace fescueline
