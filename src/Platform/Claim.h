#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "Core/EnumNames.h"
#include "Core/Identifiers.h"

namespace fescueline {

/// Right to run the request of one Idempotency-Key.
struct Claim {
  /// Organisation whose caller sent the Idempotency-Key.
  std::string organisation;
  /// The Idempotency-Key as the caller sent it.
  std::string idempotencyKey;
  /// Root id of the request that wants to run.
  Id128 rootId;

  /// `claim/<organisation>/<hash>`, with the SHA-256 of the Idempotency-Key,
  /// which may be long or hold any bytes.
  std::string TableKey() const;
};

/// Result of a claim.
enum class ClaimResult : uint8_t {
  /// The request has the claim and may run.
  Claimed,
  /// Another request has the claim.
  Duplicate,
  /// Nothing was claimed; the request may be refused as "not run".
  Unavailable,
  /// The claim may exist: the request must not run, and a later request with
  /// this Idempotency-Key may be a duplicate of it.
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
