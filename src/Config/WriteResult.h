#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "Core/EnumNames.h"

namespace fescueline {

/// Outcome of a configuration change.
enum class WriteStatus : uint8_t {
  /// The table committed the change.
  Accepted,
  /// Another change was committed first; nothing was written.
  Conflict,
  /// The change may have taken effect. Repeating the request with its token
  /// gives the result.
  Unknown,
  /// The record to change does not exist; nothing was written.
  Missing
};

template <>
struct EnumNames<WriteStatus> {
  static constexpr std::array<EnumName<WriteStatus>, 4> kNames{
      {{WriteStatus::Accepted, "accepted"},
       {WriteStatus::Conflict, "conflict"},
       {WriteStatus::Unknown, "unknown"},
       {WriteStatus::Missing, "missing"}}};
};

struct WriteResult {
  WriteStatus status = WriteStatus::Unknown;
  /// Accepted: version of the change. Conflict: current version of the record,
  /// 0 if it does not exist.
  uint64_t version = 0;
  /// Token to repeat the request with.
  std::string token;
};

struct KeyGrantResult {
  WriteResult write;
  /// Identifier of the key.
  std::string id;
  /// Text of the key if the grant was accepted; it cannot be read again. Empty
  /// if an earlier request with the same token granted the key and this writer
  /// does not have its text, which is kept only while a grant is pending.
  std::string key;
};

}  // namespace fescueline
