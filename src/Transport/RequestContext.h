#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Core/Identifiers.h"
#include "Core/Importance.h"
#include "Core/Time.h"

namespace fescueline {

/// Context of one request, passed along the call chain as the signed value of
/// the header `fescueline-context`.
struct RequestContext {
  /// Organisation that the request is charged to; empty on open routes without
  /// a key.
  std::string organisation;
  /// SHA-256 of the API key of the request, 32 bytes; empty if none.
  std::string keyHash;
  /// Identifies the caller's request along the whole call chain.
  Id128 rootId;
  /// Identifies this attempt at one hop.
  Id128 attemptId;
  std::string route;
  /// Service that the attempt is sent to.
  std::string service;
  Importance importance = Importance::Normal;
  /// Whether the request may safely run more than once.
  bool idempotent = true;
  /// Whether the route is open to callers without a key.
  bool open = false;
  /// Time until the deadline when the token was created.
  Duration remaining{0};
  /// Time since the arrival of the caller's request when the token was created.
  Duration age{0};
  /// Configuration version under which the request was admitted.
  uint64_t configVersion = 0;
  /// Allocation version of the share that was debited; 0 if none.
  uint64_t allocationVersion = 0;
  /// Number of hops before this one; 0 at the entry node.
  uint32_t depth = 0;
  /// Whether this attempt, or one further up the call chain, is a retry.
  bool isRetry = false;
};

/// Maximum length of a token that is decoded.
inline constexpr size_t kMaxContextToken = 4096;

/// Encodes and signs a context with the fleet secret: base64url of the
/// MessagePack encoding, a dot, base64url of its HMAC-SHA256.
std::string SignContext(const RequestContext& aContext,
                        std::string_view aSecret);

/// Verifies and decodes a token; nothing if the signature or the content is
/// invalid.
std::optional<RequestContext> VerifyContext(std::string_view aToken,
                                            std::string_view aSecret);

}  // namespace fescueline
