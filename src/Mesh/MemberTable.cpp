#include "Mesh/MemberTable.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace fescueline {

namespace {
uint32_t DigestOf(const std::string& aKey, uint64_t aVersion) {
  return static_cast<uint32_t>(
      XXH3_64bits_withSeed(aKey.data(), aKey.size(), aVersion));
}
}  // namespace

void MemberTable::Put(const StoredRow& aRow) {
  this->Erase(aRow.key);
  this->rows[aRow.key] = aRow;
  this->digest ^= DigestOf(aRow.key, aRow.version);
}

void MemberTable::Erase(const std::string& aKey) {
  const auto found = this->rows.find(aKey);
  if (found != this->rows.end()) {
    this->digest ^= DigestOf(aKey, found->second.version);
    this->rows.erase(found);
  }
}

bool MemberTable::OnSnapshot(const std::vector<StoredRow>& aRows,
                             uint64_t aVersion) {
  if (aVersion < this->readUpTo) {
    // A peer has meanwhile sent later changes.
    return false;
  }
  this->rows.clear();
  this->removed.clear();
  this->digest = 0;
  this->readUpTo = aVersion;
  for (const StoredRow& row : aRows) {
    if (!row.removed) {
      this->Put(row);
    }
  }
  return true;
}

void MemberTable::OnChanges(const std::vector<StoredRow>& aRows,
                            uint64_t aVersion) {
  for (const StoredRow& row : aRows) {
    const auto known = this->rows.find(row.key);
    const bool isOld =
        known != this->rows.end() && known->second.version >= row.version;
    if (isOld) {
      continue;
    }
    if (row.removed) {
      this->Erase(row.key);
      this->removed[row.version] = row.key;
    } else {
      this->Put(row);
    }
  }
  this->ForgetOldRemovals();
  this->AdvanceTo(aVersion);
}

bool MemberTable::Apply(const MemberChanges& aChanges) {
  if (aChanges.readUpTo <= this->readUpTo) {
    return false;
  }
  if (aChanges.complete) {
    return this->OnSnapshot(aChanges.rows, aChanges.readUpTo);
  }
  if (aChanges.since > this->readUpTo) {
    return false;
  }
  // A row that is not newer than this table was removed if it is absent here.
  std::vector<StoredRow> later;
  std::copy_if(
      aChanges.rows.begin(), aChanges.rows.end(), std::back_inserter(later),
      [this](const StoredRow& aRow) { return aRow.version > this->readUpTo; });
  this->OnChanges(later, aChanges.readUpTo);
  return true;
}

void MemberTable::AdvanceTo(uint64_t aVersion) {
  this->readUpTo = std::max(this->readUpTo, aVersion);
}

MemberChanges MemberTable::Since(uint64_t aVersion) const {
  const bool complete = aVersion == 0 || aVersion < this->forgottenUpTo;
  MemberChanges changes{
      .since = aVersion, .readUpTo = this->readUpTo, .complete = complete};
  for (const auto& [key, row] : this->rows) {
    if (complete || row.version > aVersion) {
      changes.rows.push_back(row);
    }
  }
  if (!complete) {
    for (auto next = this->removed.upper_bound(aVersion);
         next != this->removed.end(); ++next) {
      changes.rows.push_back(
          {.key = next->second, .version = next->first, .removed = true});
    }
  }
  return changes;
}

void MemberTable::ForgetOldRemovals() {
  while (this->removed.size() > kMaxRemoved) {
    this->forgottenUpTo =
        std::max(this->forgottenUpTo, this->removed.begin()->first);
    this->removed.erase(this->removed.begin());
  }
}

}  // namespace fescueline
