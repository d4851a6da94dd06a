#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Platform/HttpSession.h"
#include "Platform/TableStore.h"

namespace fescueline {

/// Client of the table service's HTTP protocol. One thread at a time.
class HttpTableStore {
 public:
  struct Options {
    /// Server and limits.
    HttpSession::Options http;
    /// Table on the server.
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
  /// Body of a read that must succeed.
  std::string Read(std::string_view aStep, std::string aPath);

  /// Connection to the server.
  HttpSession session;
  /// "/v1/tables/<name>".
  std::string root;
};

static_assert(TableStore<HttpTableStore>);

}  // namespace fescueline
