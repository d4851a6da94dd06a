#include "Platform/MemoryTableStore.h"

namespace fescueline {

uint64_t MemoryTableStore::CurrentVersion(const std::string& aKey) const {
  const auto found = this->records.find(aKey);
  if (found == this->records.end() || found->second.deleted) {
    return 0;
  }
  return found->second.version;
}

TransactResult MemoryTableStore::Transact(
    const TableTransaction& aTransaction) {
  const std::lock_guard lock(this->mutex);
  const auto known = this->results.find(aTransaction.token);
  if (known != this->results.end()) {
    return known->second;
  }
  TransactResult result = this->Execute(aTransaction);
  if (!aTransaction.token.empty()) {
    this->Remember(aTransaction.token, result);
  }
  return result;
}

TransactResult MemoryTableStore::Execute(const TableTransaction& aTransaction) {
  for (const TableCheck& check : aTransaction.checks) {
    const uint64_t current = this->CurrentVersion(check.key);
    if (current != check.version) {
      return TransactResult{.status = TransactStatus::Conflict,
                            .version = this->version,
                            .conflictKey = check.key,
                            .conflictVersion = current};
    }
  }
  if (!aTransaction.writes.empty()) {
    ++this->version;
    for (const TableWrite& write : aTransaction.writes) {
      this->Apply(write);
    }
  }
  return TransactResult{.status = TransactStatus::Committed,
                        .version = this->version,
                        .conflictKey = {},
                        .conflictVersion = 0};
}

void MemoryTableStore::Apply(const TableWrite& aWrite) {
  const auto found = this->records.find(aWrite.key);
  if (found == this->records.end() && !aWrite.value.has_value()) {
    return;
  }
  TableRecord& record = this->records[aWrite.key];
  this->byVersion.erase({record.version, aWrite.key});
  record = TableRecord{.key = aWrite.key,
                       .value = aWrite.value.value_or(std::string()),
                       .version = this->version,
                       .deleted = !aWrite.value.has_value()};
  this->byVersion.emplace(this->version, aWrite.key);
}

void MemoryTableStore::Remember(const std::string& aToken,
                                const TransactResult& aResult) {
  this->results.emplace(aToken, aResult);
  this->tokens.push_back(aToken);
  while (this->tokens.size() > this->options.rememberedTokens) {
    this->results.erase(this->tokens.front());
    this->tokens.pop_front();
  }
}

TableChanges MemoryTableStore::ChangesSince(uint64_t aVersion, size_t aLimit) {
  const std::lock_guard lock(this->mutex);
  TableChanges changes{.version = this->version, .records = {}, .more = false};
  if (aVersion >= this->version) {
    return changes;
  }
  auto next = this->byVersion.lower_bound({aVersion + 1, std::string()});
  uint64_t reached = aVersion;
  for (; next != this->byVersion.end(); ++next) {
    // A page ends only between transactions, since a reader continues after
    // the last version that it has read.
    if (next->first != reached && !changes.records.empty() &&
        changes.records.size() >= aLimit) {
      changes.version = reached;
      changes.more = true;
      break;
    }
    reached = next->first;
    changes.records.push_back(this->records.at(next->second));
  }
  return changes;
}

std::optional<TableRecord> MemoryTableStore::Get(const std::string& aKey) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->records.find(aKey);
  if (found == this->records.end() || found->second.deleted) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<TableRecord> MemoryTableStore::List(const std::string& aPrefix) {
  const std::lock_guard lock(this->mutex);
  std::vector<TableRecord> matches;
  for (auto next = this->records.lower_bound(aPrefix);
       next != this->records.end() && next->first.starts_with(aPrefix);
       ++next) {
    if (!next->second.deleted) {
      matches.push_back(next->second);
    }
  }
  return matches;
}

}  // namespace fescueline
