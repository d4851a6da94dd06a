#include "Config/ConfigReplica.h"

#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fescueline {

namespace {
/// Newest state of each record with a version in (aAfter, aUpTo].
std::vector<TableRecord> SelectNewer(const std::vector<TableRecord>& aRecords,
                                     uint64_t aAfter, uint64_t aUpTo) {
  std::unordered_map<std::string_view, const TableRecord*> newest;
  for (const TableRecord& record : aRecords) {
    if (record.version <= aAfter || record.version > aUpTo) {
      continue;
    }
    const TableRecord*& best = newest[record.key];
    if (best == nullptr || best->version < record.version) {
      best = &record;
    }
  }
  std::vector<TableRecord> selected;
  selected.reserve(newest.size());
  for (const auto& [key, record] : newest) {
    selected.push_back(*record);
  }
  return selected;
}
}  // namespace

ConfigReplica::ConfigReplica()
    : snapshot(std::make_shared<const ConfigSnapshot>()) {}

bool ConfigReplica::Apply(const TableChanges& aChanges) {
  std::lock_guard lock(this->mutex);
  const auto current = this->Snapshot();
  // All changes up to the current version have been applied, so older records
  // are duplicates. Records above aChanges.version are in a later list again.
  if (aChanges.version <= current->Version()) {
    return false;
  }
  const std::vector<TableRecord> changed =
      SelectNewer(aChanges.records, current->Version(), aChanges.version);
  auto next = std::make_shared<const ConfigSnapshot>(*current, aChanges.version,
                                                     changed);
  for (const TableRecord& record : changed) {
    this->Store(record);
  }
  std::lock_guard publish(this->snapshotMutex);
  this->snapshot.swap(next);
  return true;
}

void ConfigReplica::Store(const TableRecord& aRecord) {
  TableRecord& slot = this->records[aRecord.key];
  if (slot.version != 0) {
    this->recordsByVersion.erase(&slot);
  }
  slot = aRecord;
  this->recordsByVersion.insert(&slot);
}

TableChanges ConfigReplica::ChangesSince(uint64_t aVersion,
                                         size_t aLimit) const {
  std::lock_guard lock(this->mutex);
  TableChanges changes;
  changes.version = this->Version();
  if (aVersion >= changes.version) {
    return changes;
  }
  TableRecord after;
  after.version = aVersion + 1;
  for (auto next = this->recordsByVersion.lower_bound(&after);
       next != this->recordsByVersion.end(); ++next) {
    const TableRecord& record = **next;
    if (changes.records.size() >= aLimit &&
        (changes.records.empty() ||
         changes.records.back().version != record.version)) {
      changes.more = true;
      changes.version =
          changes.records.empty() ? aVersion : changes.records.back().version;
      break;
    }
    changes.records.push_back(record);
  }
  return changes;
}

}  // namespace fescueline
