#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "Core/EnumNames.h"

namespace fescueline {

/// What became of a configuration change.
enum class WriteStatus : uint8_t {
  /// The table committed the change.
  Accepted,
  /// Another change came first; nothing was written.
  Conflict,
  /// The change may have taken effect; repeat it with the token to find out.
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

/// Result of a configuration change.
struct WriteResult {
  /// What became of it.
  WriteStatus status = WriteStatus::Unknown;
  /// Accepted: version of the change. Conflict: current version of the record,
  /// 0 if it does not exist.
  uint64_t version = 0;
  /// Token of the request, to repeat it with.
  std::string token;
};

/// Result of granting a key.
struct GrantResult {
  /// What became of it.
  WriteResult write;
  /// Identifier of the key.
  std::string id;
  /// The key, if it was accepted; it cannot be read again. Empty if an earlier
  /// request with the same token granted the key and its text was lost.
  std::string key;
};

}  // namespace fescueline
