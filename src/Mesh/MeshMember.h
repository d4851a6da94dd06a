#pragma once

#include <optional>
#include <string>

#include "Core/Identifiers.h"
#include "Settings/SocketAddress.h"

namespace fescueline {

/// A node of the fleet, as the row that it keeps in the store.
struct MeshMember {
  std::string node;
  /// Process of the node.
  Id128 incarnation;
  std::string dataCentre;
  std::string region;
  /// Service of the target beside it.
  std::string service;
  /// Listener for other nodes.
  SocketAddress peers;

  bool operator==(const MeshMember&) const = default;
};

/// Prefix of the keys of member rows.
inline constexpr std::string_view kMeshMemberPrefix = "node/";
/// Key of the row that holds the lease of the issuer of tokens.
inline constexpr std::string_view kIssuerKey = "issuer";
/// Table with the member rows.
inline constexpr std::string_view kFleetTable = "fleet";
/// Table with the issuer's lease, which nobody follows: a renewal would wake
/// every node.
inline constexpr std::string_view kIssuerTable = "issuer";

/// Text of the row, MessagePack.
std::string EncodeMeshMember(const MeshMember& aRecord);
/// Decodes a row; nothing if it is malformed.
std::optional<MeshMember> DecodeMeshMember(const std::string& aValue);

}  // namespace fescueline
