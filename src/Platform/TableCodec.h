#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Error.h"
#include "Platform/TableStore.h"

namespace fescueline {

/// Malformed message of the table service's protocol.
class TableFormatError : public Error {
 public:
  explicit TableFormatError(std::string_view aMessage)
      : Error("table.decode", "", aMessage) {}
};

/// JSON messages of the table service's protocol. Encoding throws
/// TableFormatError for strings that are not UTF-8; decoding throws it for any
/// text that is not a complete, valid message. Stateless, thread-safe.
struct TableCodec {
  static std::string Encode(const TableTransaction& aTransaction);
  /// Encodes the response to a transact request.
  static std::string Encode(const TransactResult& aResult);
  /// Encodes the response to a changes request.
  static std::string Encode(const TableChanges& aChanges);
  static std::string Encode(const TableRecord& aRecord);
  static std::string Encode(const std::vector<TableRecord>& aRecords);

  static TableTransaction DecodeTransaction(std::string_view aText);
  /// Decodes the response to a transact request.
  static TransactResult DecodeResult(std::string_view aText);
  /// Decodes the changes after a version. Rejects records out of version order,
  /// which could make a follower miss records, and an incomplete page that does
  /// not go beyond aSince, which would make it loop forever.
  static TableChanges DecodeChanges(std::string_view aText, uint64_t aSince);
  static TableRecord DecodeRecord(std::string_view aText);
  static std::vector<TableRecord> DecodeRecords(std::string_view aText);
};

}  // namespace fescueline
