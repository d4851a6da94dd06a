#pragma once

#include <fmt/format.h>

#include <deque>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "Config/ConfigError.h"
#include "Config/KeyText.h"
#include "Config/RecordKind.h"
#include "Config/WriteResult.h"
#include "Core/Identifiers.h"
#include "Platform/PlatformError.h"
#include "Platform/TableStore.h"

namespace fescueline {

/// Writes operators' changes to the table: compare-and-swap on the record's
/// version, with an idempotency token for repeated requests. Throws ConfigError
/// for wrong input and PlatformError (Unavailable) if nothing was written.
/// Blocking; not thread-safe.
template <TableStore Store>
class ConfigWriter {
 public:
  explicit ConfigWriter(Store& aStore) : store(aStore) {}

  /// Writes a record whose current version is aExpected (0: create). An empty
  /// token is replaced by a generated one.
  template <typename R>
  WriteResult Put(const std::string& aName, const R& aRecord,
                  uint64_t aExpected, const std::string& aToken);
  /// Deletes the record at version aExpected. Deleting an organisation
  /// withdraws its keys.
  template <typename R>
  WriteResult Delete(const std::string& aName, uint64_t aExpected,
                     const std::string& aToken);
  /// Creates a key for an existing organisation. aName may be empty.
  KeyGrantResult GrantKey(const std::string& aOrganisation,
                          const std::string& aName, const std::string& aToken);
  /// Withdraws the key with the id. Also accepted if it is already withdrawn.
  WriteResult WithdrawKey(const std::string& aId, const std::string& aToken);

 private:
  /// Key grant whose outcome is unknown.
  struct PendingGrant {
    std::string tableToken;
    std::string keyText;
  };
  /// A key's record and its table key.
  struct StoredKey {
    std::string tableKey;
    uint64_t version;
    KeyRecord record;
  };

  // Each attempt may take the whole timeout of the table's client. With more
  // attempts, operators would wait longer than if they repeat the request.
  static constexpr int kMaxAttempts = 3;
  static constexpr size_t kMaxPendingGrants = 256;

  template <typename R>
  static std::string TableKey(const std::string& aName);
  static std::string TokenOrNew(const std::string& aToken);
  /// Commits the transaction that aBuild returns. If a check on another key
  /// than aKey fails, the transaction is built again from the current records.
  /// A repeated request uses the same sequence of table tokens.
  template <typename Build>
  WriteResult Commit(const std::string& aToken, const std::string& aTableToken,
                     const std::string& aKey, Build aBuild);
  /// Answer of the table; nothing if the first one was lost and no repetition
  /// was answered either.
  std::optional<TransactResult> Transact(const TableTransaction& aTransaction);
  KeyGrantResult FinishGrant(KeyGrantResult aResult,
                             const PendingGrant& aGrant);
  std::vector<StoredKey> ListKeys();
  std::optional<StoredKey> FindKey(const std::string& aId);
  /// Adds a check of the key's version and a write that withdraws the key.
  static void AddWithdrawal(TableTransaction& aTransaction, StoredKey aKey);
  void AddWithdrawals(TableTransaction& aTransaction,
                      const std::string& aOrganisation);
  /// The pending grant of the request, or a new one with a generated key.
  PendingGrant FindOrCreateGrant(const std::string& aTableToken) const;
  void StorePending(const PendingGrant& aGrant);
  void RemovePending(const PendingGrant& aGrant);

  Store& store;
  /// Oldest first.
  std::deque<PendingGrant> pendingGrants;
};

template <TableStore Store>
template <typename R>
std::string ConfigWriter<Store>::TableKey(const std::string& aName) {
  if (!IsValidName(aName)) {
    throw ConfigError("name", kNameRule);
  }
  return std::string(RecordKind<R>::kPrefix) + aName;
}

template <TableStore Store>
std::string ConfigWriter<Store>::TokenOrNew(const std::string& aToken) {
  if (aToken.empty()) {
    return Id128::Generate().ToString();
  }
  CheckToken(aToken);
  return aToken;
}

template <TableStore Store>
template <typename R>
WriteResult ConfigWriter<Store>::Put(const std::string& aName, const R& aRecord,
                                     uint64_t aExpected,
                                     const std::string& aToken) {
  const std::string key = TableKey<R>(aName);
  const std::string value = aRecord.ToJson();
  // Throws if nodes could not decode the record.
  R::FromJson(value, UnknownFields::Refuse);
  const std::string token = TokenOrNew(aToken);
  const std::string tableToken =
      TableTokenOf(token, "put", key, fmt::format("{}:{}", aExpected, value));
  return this->Commit(token, tableToken, key, [&] {
    TableTransaction transaction{.token = "",
                                 .checks = {{.key = key, .version = aExpected}},
                                 .writes = {{.key = key, .value = value}}};
    if constexpr (std::is_same_v<R, OrganisationRecord>) {
      // A key of a deleted organisation must not work for a new one of the
      // same name. No key can be granted before the commit.
      if (aExpected == 0) {
        this->AddWithdrawals(transaction, aName);
      }
    }
    return transaction;
  });
}

template <TableStore Store>
template <typename R>
WriteResult ConfigWriter<Store>::Delete(const std::string& aName,
                                        uint64_t aExpected,
                                        const std::string& aToken) {
  const std::string key = TableKey<R>(aName);
  if (aExpected == 0) {
    throw ConfigError("version", "must be the version of an existing record");
  }
  const std::string token = TokenOrNew(aToken);
  const std::string tableToken =
      TableTokenOf(token, "delete", key, std::to_string(aExpected));
  return this->Commit(token, tableToken, key, [&] {
    TableTransaction transaction{
        .token = "",
        .checks = {{.key = key, .version = aExpected}},
        .writes = {{.key = key, .value = std::nullopt}}};
    if constexpr (std::is_same_v<R, OrganisationRecord>) {
      this->AddWithdrawals(transaction, aName);
    }
    return transaction;
  });
}

template <TableStore Store>
KeyGrantResult ConfigWriter<Store>::GrantKey(const std::string& aOrganisation,
                                             const std::string& aName,
                                             const std::string& aToken) {
  if (!aName.empty() && !IsValidName(aName)) {
    throw ConfigError("name", kNameRule);
  }
  const std::string organisationKey =
      TableKey<OrganisationRecord>(aOrganisation);
  const std::string token = TokenOrNew(aToken);
  const PendingGrant grant = this->FindOrCreateGrant(
      TableTokenOf(token, "grant", organisationKey, aName));
  const std::string tableKey = TableKeyOfKeyText(grant.keyText);
  const KeyRecord record{.id = KeyIdOfRequest(grant.tableToken),
                         .organisation = aOrganisation,
                         .name = aName,
                         .state = KeyState::Active};
  KeyGrantResult result{.write = {}, .id = record.id, .key = ""};
  if (const auto existing = this->FindKey(record.id)) {
    result.write = {.status = WriteStatus::Accepted,
                    .version = existing->version,
                    .token = token};
    return this->FinishGrant(result, grant);
  }
  result.write = this->Commit(token, grant.tableToken, "", [&] {
    const auto organisation = this->store.Get(organisationKey);
    if (!organisation) {
      throw ConfigError("organisation", "does not exist");
    }
    return TableTransaction{
        .token = "",
        .checks = {{.key = organisationKey, .version = organisation->version},
                   {.key = tableKey, .version = 0}},
        .writes = {{.key = tableKey, .value = record.ToJson()}}};
  });
  return this->FinishGrant(result, grant);
}

template <TableStore Store>
KeyGrantResult ConfigWriter<Store>::FinishGrant(KeyGrantResult aResult,
                                                const PendingGrant& aGrant) {
  if (aResult.write.status == WriteStatus::Accepted) {
    try {
      // The table also accepts a repeated token if the first request, through
      // another node, stored another key.
      if (this->store.Get(TableKeyOfKeyText(aGrant.keyText))) {
        aResult.key = aGrant.keyText;
      }
    } catch (const PlatformError&) {
      aResult.write.status = WriteStatus::Unknown;
    }
  }
  if (aResult.write.status == WriteStatus::Unknown) {
    this->StorePending(aGrant);
  } else {
    this->RemovePending(aGrant);
  }
  return aResult;
}

template <TableStore Store>
WriteResult ConfigWriter<Store>::WithdrawKey(const std::string& aId,
                                             const std::string& aToken) {
  if (!IsValidName(aId)) {
    throw ConfigError("id", kNameRule);
  }
  const std::string token = TokenOrNew(aToken);
  const auto key = this->FindKey(aId);
  if (!key || key->record.state == KeyState::Withdrawn) {
    return {.status = key ? WriteStatus::Accepted : WriteStatus::Missing,
            .version = key ? key->version : 0,
            .token = token};
  }
  return this->Commit(token, TableTokenOf(token, "withdraw", aId, ""), "", [&] {
    TableTransaction transaction;
    if (auto current = this->FindKey(aId)) {
      AddWithdrawal(transaction, std::move(*current));
    }
    return transaction;
  });
}

template <TableStore Store>
template <typename Build>
WriteResult ConfigWriter<Store>::Commit(const std::string& aToken,
                                        const std::string& aTableToken,
                                        const std::string& aKey, Build aBuild) {
  WriteResult result{
      .status = WriteStatus::Unknown, .version = 0, .token = aToken};
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    TableTransaction transaction = aBuild();
    transaction.token = fmt::format("{}.{}", aTableToken, attempt);
    const auto answer = this->Transact(transaction);
    if (!answer) {
      result.status = WriteStatus::Unknown;
      return result;
    }
    if (answer->status == TransactStatus::Committed) {
      result.status = WriteStatus::Accepted;
      result.version = answer->version;
      return result;
    }
    result.status = WriteStatus::Conflict;
    if (answer->conflictKey == aKey) {
      result.version = answer->conflictVersion;
      return result;
    }
    // The operator's own record is checked first, and its check passed.
    result.version = transaction.checks.front().version;
  }
  return result;
}

template <TableStore Store>
std::optional<TransactResult> ConfigWriter<Store>::Transact(
    const TableTransaction& aTransaction) {
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    try {
      return this->store.Transact(aTransaction);
    } catch (const PlatformError& error) {
      // Once an answer is lost, a call without effect does not show whether the
      // earlier one took effect.
      if (attempt == 0 && error.GetFailure() == Failure::Unavailable) {
        throw;
      }
    }
  }
  return std::nullopt;
}

template <TableStore Store>
auto ConfigWriter<Store>::ListKeys() -> std::vector<StoredKey> {
  std::vector<StoredKey> keys;
  for (const TableRecord& record : this->store.List(std::string(kKeyPrefix))) {
    try {
      keys.push_back(
          {.tableKey = record.key,
           .version = record.version,
           .record = KeyRecord::FromJson(record.value, UnknownFields::Ignore)});
    } catch (const ConfigError&) {
      // An undecodable record has no id or organisation to match.
      continue;
    }
  }
  return keys;
}

template <TableStore Store>
auto ConfigWriter<Store>::FindKey(const std::string& aId)
    -> std::optional<StoredKey> {
  for (StoredKey& key : this->ListKeys()) {
    if (key.record.id == aId) {
      return std::move(key);
    }
  }
  return std::nullopt;
}

template <TableStore Store>
void ConfigWriter<Store>::AddWithdrawal(TableTransaction& aTransaction,
                                        StoredKey aKey) {
  aKey.record.state = KeyState::Withdrawn;
  aTransaction.checks.push_back(
      {.key = aKey.tableKey, .version = aKey.version});
  aTransaction.writes.push_back(
      {.key = aKey.tableKey, .value = aKey.record.ToJson()});
}

template <TableStore Store>
void ConfigWriter<Store>::AddWithdrawals(TableTransaction& aTransaction,
                                         const std::string& aOrganisation) {
  for (StoredKey& key : this->ListKeys()) {
    if (key.record.organisation == aOrganisation &&
        key.record.state == KeyState::Active) {
      AddWithdrawal(aTransaction, std::move(key));
    }
  }
}

template <TableStore Store>
auto ConfigWriter<Store>::FindOrCreateGrant(
    const std::string& aTableToken) const -> PendingGrant {
  for (const PendingGrant& grant : this->pendingGrants) {
    if (grant.tableToken == aTableToken) {
      return grant;
    }
  }
  return {.tableToken = aTableToken, .keyText = GenerateKeyText()};
}

template <TableStore Store>
void ConfigWriter<Store>::StorePending(const PendingGrant& aGrant) {
  this->RemovePending(aGrant);
  this->pendingGrants.push_back(aGrant);
  if (this->pendingGrants.size() > kMaxPendingGrants) {
    this->pendingGrants.pop_front();
  }
}

template <TableStore Store>
void ConfigWriter<Store>::RemovePending(const PendingGrant& aGrant) {
  std::erase_if(this->pendingGrants, [&](const PendingGrant& aStored) {
    return aStored.tableToken == aGrant.tableToken;
  });
}

}  // namespace fescueline
