#pragma once

#include <functional>
#include <memory>

#include "Platform/TableStore.h"

namespace fescueline {

/// Type-erased table store, so that the node is compiled once for the embedded
/// and the remote table. Blocking; not thread-safe.
class TableClient {
 public:
  template <TableStore Store>
  explicit TableClient(std::shared_ptr<Store> aStore)
      : transact([aStore](const TableTransaction& aTransaction) {
          return aStore->Transact(aTransaction);
        }),
        changesSince([aStore](uint64_t aVersion, size_t aLimit) {
          return aStore->ChangesSince(aVersion, aLimit);
        }),
        get([aStore](const std::string& aKey) { return aStore->Get(aKey); }),
        list([aStore](const std::string& aPrefix) {
          return aStore->List(aPrefix);
        }) {}

  TransactResult Transact(const TableTransaction& aTransaction) {
    return this->transact(aTransaction);
  }
  TableChanges ChangesSince(uint64_t aVersion, size_t aLimit) {
    return this->changesSince(aVersion, aLimit);
  }
  std::optional<TableRecord> Get(const std::string& aKey) {
    return this->get(aKey);
  }
  std::vector<TableRecord> List(const std::string& aPrefix) {
    return this->list(aPrefix);
  }

 private:
  std::function<TransactResult(const TableTransaction&)> transact;
  std::function<TableChanges(uint64_t, size_t)> changesSince;
  std::function<std::optional<TableRecord>(const std::string&)> get;
  std::function<std::vector<TableRecord>(const std::string&)> list;
};

static_assert(TableStore<TableClient>);

}  // namespace fescueline
