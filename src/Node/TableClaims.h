#pragma once

#include <memory>

#include "Node/EntryHandler.h"
#include "Node/TableClient.h"
#include "Node/TaskThread.h"
#include "Platform/ClaimBatcher.h"

namespace fescueline {

/// Claims Idempotency-Keys in the table of claims. Thread-safe.
class TableClaims final : public IdempotencyClaims {
 public:
  /// Both clients access the table of claims; each is used by one thread.
  TableClaims(TableClient aClaims, TableClient aReleases);

  void Claim(const std::string& aOrganisation, const std::string& aKey,
             const Id128& aRootId,
             std::function<void(Result)> aDecided) override;
  void Release(const std::string& aOrganisation, const std::string& aKey,
               const Id128& aRootId) override;

 private:
  /// Deletes the claim if it still belongs to that request.
  void Delete(const std::string& aTableKey, const Id128& aRootId);

  TableClient claims;
  TableClient releases;
  ClaimBatcher<TableClient> batcher;
  /// Runs the releases.
  TaskThread thread;
};

}  // namespace fescueline
