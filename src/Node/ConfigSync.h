#pragma once

#include <atomic>
#include <functional>
#include <mutex>

#include "Config/ConfigReplica.h"
#include "Node/ConfigFreshness.h"

namespace fescueline {

/// Applies configuration changes from any source to the replica and notifies
/// the node of them. Thread-safe; changes are applied one at a time.
class ConfigSync {
 public:
  /// Called after each change. aOldUsableUntil is the time until which this
  /// node may still have used what the change withdraws.
  using Observer = std::function<void(
      const std::shared_ptr<const ConfigSnapshot>&, TimePoint aOldUsableUntil)>;

  ConfigSync(ConfigReplica& aReplica, ConfigFreshness& aFreshness,
             Observer aObserver);

  /// Reads all outstanding changes of the table and renews the freshness lease.
  /// aRead is TableClient::ChangesSince; its exceptions are passed on.
  template <typename Read>
  void ReadTable(Read aRead) {
    for (;;) {
      const TimePoint sentAt = SteadyClock().Now();
      const TableChanges changes = aRead(this->replica.Version(), kBatch);
      this->Apply(changes);
      if (!changes.more) {
        this->freshness.RenewByTable(changes.version, sentAt);
        return;
      }
    }
  }

  /// Applies changes; true if the version increased.
  bool Apply(const TableChanges& aChanges);

 private:
  /// Maximum number of records per read.
  static constexpr size_t kBatch = 500;

  ConfigReplica& replica;
  ConfigFreshness& freshness;
  Observer observer;
  /// Serialises changes and their observers. Taken before any OrderedMutex.
  std::mutex mutex;
};

}  // namespace fescueline
