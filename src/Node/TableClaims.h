#pragma once

#include <memory>

#include "Node/EntryHandler.h"
#include "Platform/ClaimBatcher.h"

namespace fescueline {

/// Claims Idempotency-Keys in a table. Thread-safe.
template <TableStore Store>
class TableClaims final : public IdempotencyClaims {
 public:
  explicit TableClaims(std::shared_ptr<Store> aStore)
      : store(std::move(aStore)), batcher(*this->store) {}

 private:
  std::shared_ptr<Store> store;
  ClaimBatcher<Store> batcher;
};

}  // namespace fescueline
