#include "Node/ConfigSync.h"

namespace fescueline {

ConfigSync::ConfigSync(ConfigReplica& aReplica, ConfigFreshness& aFreshness,
                       Observer aObserver)
    : replica(aReplica),
      freshness(aFreshness),
      observer(std::move(aObserver)) {}

bool ConfigSync::Apply(const TableChanges& aChanges) {
  const std::lock_guard lock(this->mutex);
  // Read before the caller renews the lease under the new version.
  const TimePoint now = SteadyClock().Now();
  const TimePoint oldUsableUntil = this->freshness.ExpiresAt().value_or(now);
  if (!this->replica.Apply(aChanges)) {
    return false;
  }
  this->observer(this->replica.Snapshot(), oldUsableUntil);
  return true;
}

}  // namespace fescueline
