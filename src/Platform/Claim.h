#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "Core/EnumNames.h"
#include "Core/Identifiers.h"

namespace fescueline {

/// Exclusive right to run the request with an Idempotency-Key.
struct Claim {
  /// Organisation whose caller sent the Idempotency-Key.
  std::string organisation;
  std::string idempotencyKey;
  /// Root id of the claiming request.
  Id128 rootId;

  /// Key of the claim's record, `claim/<organisation>/<hash>`. The
  /// Idempotency-Key is hashed with SHA-256, as it may be long and contain any
  /// bytes.
  std::string TableKey() const;
};

/// Result of a claim.
enum class ClaimResult : uint8_t {
  /// The request holds the claim and may run.
  Claimed,
  /// Another request holds the claim.
  Duplicate,
  /// No claim was written; the request can be refused as "not run".
  Unavailable,
  /// The claim may have been written: the request must not run, and a later
  /// request with this Idempotency-Key may get Duplicate.
  Unknown
};

template <>
struct EnumNames<ClaimResult> {
  static constexpr std::array<EnumName<ClaimResult>, 4> kNames{
      {{ClaimResult::Claimed, "claimed"},
       {ClaimResult::Duplicate, "duplicate"},
       {ClaimResult::Unavailable, "unavailable"},
       {ClaimResult::Unknown, "unknown"}}};
};

}  // namespace fescueline
