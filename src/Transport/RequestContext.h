#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Core/Identifiers.h"
#include "Core/Importance.h"
#include "Core/Time.h"

namespace fescueline {

/// What the nodes of a call chain know of one request. Travels signed, as the
/// value of the header `fescueline-context`.
struct RequestContext {
  /// Organisation that the request runs for; empty on open routes without a
  /// key.
  std::string organisation;
  /// SHA-256 of the key that came with the request, 32 bytes; empty if none.
  std::string keyHash;
  /// Identifies the caller's request along the whole chain.
  Id128 rootId;
  /// Identifies this attempt at one hop.
  Id128 attemptId;
  /// Name of the route.
  std::string route;
  /// Service that the attempt is for.
  std::string service;
  /// Importance class.
  Importance importance = Importance::Normal;
  /// Whether running the request again is harmless.
  bool idempotent = true;
  /// Whether the route is open to all.
  bool open = false;
  /// Time left when the token was made.
  Duration remaining{0};
  /// Time since the caller's request arrived, when the token was made.
  Duration age{0};
  /// Configuration version under which the request was admitted.
  uint64_t configVersion = 0;
  /// Allocation version of the share that was debited; 0 if none.
  uint64_t allocationVersion = 0;
  /// Number of hops before this one; 0 at the entry node.
  uint32_t depth = 0;
  /// Whether this run, or one above it in the chain, is a retry.
  bool isRetry = false;
};

/// Longest token that is decoded.
inline constexpr size_t kMaxContextToken = 4096;

/// Encodes and signs a context with the fleet secret: base64url of the
/// MessagePack form, a dot, base64url of its HMAC-SHA256.
std::string SignContext(const RequestContext& aContext,
                        std::string_view aSecret);

/// Verifies and decodes a token; nothing if the signature or the content is
/// invalid.
std::optional<RequestContext> VerifyContext(std::string_view aToken,
                                            std::string_view aSecret);

}  // namespace fescueline
