#include "Node/TableClaims.h"

namespace fescueline {

namespace {
IdempotencyClaims::Result ToResult(ClaimResult aResult) {
  switch (aResult) {
    case ClaimResult::Claimed:
      return IdempotencyClaims::Result::Claimed;
    case ClaimResult::Duplicate:
      return IdempotencyClaims::Result::Duplicate;
    case ClaimResult::Unavailable:
      return IdempotencyClaims::Result::Unavailable;
    default:
      return IdempotencyClaims::Result::Unknown;
  }
}
}  // namespace

TableClaims::TableClaims(TableClient aClaims, TableClient aReleases)
    : claims(std::move(aClaims)),
      releases(std::move(aReleases)),
      batcher(this->claims, {}) {}

void TableClaims::Claim(const std::string& aOrganisation,
                        const std::string& aKey, const Id128& aRootId,
                        std::function<void(Result)> aDecided) {
  this->batcher.Submit({.organisation = aOrganisation,
                        .idempotencyKey = aKey,
                        .rootId = aRootId},
                       [decided = std::move(aDecided)](ClaimResult aResult) {
                         decided(ToResult(aResult));
                       });
}

void TableClaims::Release(const std::string& aOrganisation,
                          const std::string& aKey, const Id128& aRootId) {
  const fescueline::Claim claim{
      .organisation = aOrganisation, .idempotencyKey = aKey, .rootId = aRootId};
  this->thread.Post([this, tableKey = claim.TableKey(), aRootId] {
    try {
      this->Delete(tableKey, aRootId);
    } catch (const std::exception&) {
      // The claim stays. A retry is refused as a duplicate of a request that
      // never ran, which is safe.
      return;
    }
  });
}

void TableClaims::Delete(const std::string& aTableKey, const Id128& aRootId) {
  const auto record = this->releases.Get(aTableKey);
  if (record && record->value == aRootId.ToString()) {
    this->releases.Transact(
        {.token = Id128::Generate().ToString(),
         .checks = {{.key = aTableKey, .version = record->version}},
         .writes = {{.key = aTableKey, .value = std::nullopt}}});
  }
}

}  // namespace fescueline
