#include "Platform/ClaimBatch.h"

#include <utility>

namespace fescueline {

void ClaimBatch::Add(PendingClaim aPending) {
  const auto [entry, added] =
      this->claims.try_emplace(aPending.claim.TableKey());
  if (added) {
    entry->second.value = aPending.claim.rootId.ToString();
    entry->second.done = std::move(aPending.done);
  } else {
    entry->second.followers.push_back(std::move(aPending.done));
  }
}

std::vector<std::string> ClaimBatch::Keys() const {
  std::vector<std::string> keys;
  keys.reserve(this->claims.size());
  for (const auto& [key, entry] : this->claims) {
    keys.push_back(key);
  }
  return keys;
}

std::string ClaimBatch::ValueOf(const std::string& aKey) const {
  const auto found = this->claims.find(aKey);
  return found == this->claims.end() ? std::string() : found->second.value;
}

TableTransaction ClaimBatch::MakeTransaction() const {
  TableTransaction transaction;
  transaction.checks.reserve(this->claims.size());
  transaction.writes.reserve(this->claims.size());
  for (const auto& [key, entry] : this->claims) {
    transaction.checks.push_back({.key = key, .version = 0});
    transaction.writes.push_back({.key = key, .value = entry.value});
  }
  return transaction;
}

bool ClaimBatch::Resolve(const std::string& aKey, ClaimResult aResult) {
  const auto node = this->claims.extract(aKey);
  if (node.empty()) {
    return false;
  }
  Report(node.mapped(), aResult);
  return true;
}

void ClaimBatch::ResolveAll(ClaimResult aResult) {
  for (const auto& [key, entry] : std::exchange(this->claims, {})) {
    Report(entry, aResult);
  }
}

void ClaimBatch::Report(const Entry& aEntry, ClaimResult aResult) {
  aEntry.done(aResult);
  // A follower wrote nothing itself, so it can be refused as "not run" when
  // the result of the first claim is unknown.
  const bool taken =
      aResult == ClaimResult::Claimed || aResult == ClaimResult::Duplicate;
  for (const ClaimCallback& follower : aEntry.followers) {
    follower(taken ? ClaimResult::Duplicate : ClaimResult::Unavailable);
  }
}

}  // namespace fescueline
