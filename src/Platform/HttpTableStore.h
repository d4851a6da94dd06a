#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Platform/HttpSession.h"
#include "Platform/TableStore.h"

namespace fescueline {

/// HTTP client of the table service. Not thread-safe.
class HttpTableStore {
 public:
  struct Options {
    HttpSession::Options http;
    /// Name of the table.
    std::string table;
  };

  explicit HttpTableStore(const Options& aOptions);

  /// POST .../transact
  TransactResult Transact(const TableTransaction& aTransaction);
  /// GET .../changes?since=&limit=
  TableChanges ChangesSince(uint64_t aVersion, size_t aLimit);
  /// GET .../records/<key>
  std::optional<TableRecord> Get(const std::string& aKey);
  /// GET .../records?prefix=
  std::vector<TableRecord> List(const std::string& aPrefix);

 private:
  /// Performs a GET and returns the body; throws unless the status is 200.
  std::string Read(std::string_view aStep, std::string aPath);

  HttpSession session;
  /// Common path prefix, "/v1/tables/<name>".
  std::string root;
};

static_assert(TableStore<HttpTableStore>);

}  // namespace fescueline
