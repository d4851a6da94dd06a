#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Error.h"
#include "Platform/TableStore.h"

namespace fescueline {

/// Text that is not a message of the table service's protocol.
class TableFormatError : public Error {
 public:
  explicit TableFormatError(std::string_view aMessage)
      : Error("table.decode", "", aMessage) {}
};

/// JSON messages of the table service's protocol. Encoding throws
/// TableFormatError for strings that are not UTF-8; decoding for anything but
/// a complete, valid message. Stateless, any thread.
struct TableCodec {
  /// Encodes the body of a transact request.
  static std::string Encode(const TableTransaction& aTransaction);
  /// Encodes the answer to a transact request.
  static std::string Encode(const TransactResult& aResult);
  /// Encodes an answer with changes.
  static std::string Encode(const TableChanges& aChanges);
  /// Encodes an answer with one record.
  static std::string Encode(const TableRecord& aRecord);
  /// Encodes an answer with a list of records.
  static std::string Encode(const std::vector<TableRecord>& aRecords);

  /// Decodes the body of a transact request.
  static TableTransaction DecodeTransaction(std::string_view aText);
  /// Decodes the answer to a transact request.
  static TransactResult DecodeResult(std::string_view aText);
  /// Decodes changes after a version. Rejects changes that are out of order
  /// or make no progress, as a follower could lose records or loop forever.
  static TableChanges DecodeChanges(std::string_view aText, uint64_t aSince);
  /// Decodes one record.
  static TableRecord DecodeRecord(std::string_view aText);
  /// Decodes a list of records.
  static std::vector<TableRecord> DecodeRecords(std::string_view aText);
};

}  // namespace fescueline
