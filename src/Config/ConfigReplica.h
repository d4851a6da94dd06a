#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>

#include "Config/ConfigSnapshot.h"
#include "Core/OrderedMutex.h"
#include "Platform/TableStore.h"

namespace fescueline {

/// A node's copy of the configuration. Its version only increases. Thread-safe;
/// Snapshot and Version may be called under any other lock.
class ConfigReplica {
 public:
  ConfigReplica();

  /// Applies changes that were read since a version that this replica has
  /// reached, from the table or a peer. A stale, repeated or reordered list
  /// never replaces newer records. Returns whether the version increased.
  bool Apply(const TableChanges& aChanges);

  uint64_t Version() const { return this->Snapshot()->Version(); }
  /// The configuration at the current version.
  std::shared_ptr<const ConfigSnapshot> Snapshot() const {
    std::lock_guard lock(this->snapshotMutex);
    return this->snapshot;
  }
  /// Records written after aVersion, deletions included, for a peer. The limit
  /// may be exceeded so that no transaction is split. Deletions are included
  /// from version 0 too: the answer may arrive late, when the peer already
  /// holds the record.
  TableChanges ChangesSince(uint64_t aVersion, size_t aLimit) const;

 private:
  struct ByVersion {
    bool operator()(const TableRecord* aLeft, const TableRecord* aRight) const {
      return aLeft->version != aRight->version
                 ? aLeft->version < aRight->version
                 : aLeft->key < aRight->key;
    }
  };

  /// Replaces the record. The caller holds the mutex.
  void Store(const TableRecord& aRecord);

  /// Guards the records; also orders the publication of snapshots.
  mutable OrderedMutex mutex{LockRank::Config};
  /// Latest state of each record, deleted and undecodable ones included,
  /// because peers need them too.
  std::unordered_map<std::string, TableRecord> records;
  std::set<const TableRecord*, ByVersion> recordsByVersion;
  /// Guards `snapshot`. It has no rank, because it is held only to copy or swap
  /// the pointer. std::atomic<std::shared_ptr> of libstdc++ 12 is no
  /// alternative: its load unlocks with relaxed order, which is a data race.
  mutable std::mutex snapshotMutex;
  /// Published configuration.
  std::shared_ptr<const ConfigSnapshot> snapshot;
};

}  // namespace fescueline
