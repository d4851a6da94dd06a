#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Mesh/RowStore.h"

namespace fescueline {

/// Changes of the member rows between two versions of the store.
struct MemberChanges {
  /// Version after which the changes begin; of no meaning if complete.
  uint64_t since = 0;
  /// Version up to which the changes are known.
  uint64_t readUpTo = 0;
  /// Whether `rows` are all rows instead of the changed ones.
  bool complete = false;
  /// Written and removed rows.
  std::vector<StoredRow> rows;
};

/// The member rows as far as a node knows them, and the changes that its peers
/// may lack. Knows all changes up to one version and none after it, so that two
/// tables can be compared by that version and a digest. Not thread-safe.
class MemberTable {
 public:
  /// Maximum number of removed rows that are remembered.
  static constexpr size_t kMaxRemoved = 4096;

  /// Replaces all rows by those that the store had at aVersion; returns false
  /// if later changes are known already.
  bool OnSnapshot(const std::vector<StoredRow>& aRows, uint64_t aVersion);
  /// Applies the changes that the store made up to aVersion.
  void OnChanges(const std::vector<StoredRow>& aRows, uint64_t aVersion);
  /// Applies changes received from a peer; returns false if they bring nothing
  /// new or do not continue this table.
  bool Apply(const MemberChanges& aChanges);
  /// Adopts the version of a peer whose rows are the same.
  void AdvanceTo(uint64_t aVersion);

  /// Discards the version, so that all rows are requested again. For a table
  /// whose digest differs from that of a peer with the same version.
  void Distrust() { this->readUpTo = 0; }

  /// Changes after aVersion, or all rows if aVersion is 0 or older changes are
  /// forgotten. Lacks removals that this table did not learn, as before its
  /// first snapshot; the receiver then finds that the digests differ.
  MemberChanges Since(uint64_t aVersion) const;
  /// Version up to which all changes are known; 0 if nothing has been read.
  uint64_t ReadUpTo() const { return this->readUpTo; }
  /// Hash of the keys and versions of all rows, independent of their order.
  uint32_t Digest() const { return this->digest; }
  /// Number of rows.
  size_t Size() const { return this->rows.size(); }

 private:
  void Put(const StoredRow& aRow);
  void Erase(const std::string& aKey);
  /// Forgets the oldest removals beyond the maximum.
  void ForgetOldRemovals();

  std::map<std::string, StoredRow> rows;
  /// Removed rows by the version of their removal.
  std::map<uint64_t, std::string> removed;
  /// Removals up to this version may be forgotten.
  uint64_t forgottenUpTo = 0;
  uint64_t readUpTo = 0;
  uint32_t digest = 0;
};

}  // namespace fescueline
