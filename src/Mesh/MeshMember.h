#pragma once

#include <optional>
#include <string>

#include "Core/Identifiers.h"
#include "Settings/SocketAddress.h"

namespace fescueline {

/// A node of the fleet, as described by its row in the store.
struct MeshMember {
  std::string node;
  /// Identifies the node's current process.
  Id128 incarnation;
  std::string dataCentre;
  std::string region;
  /// Service of the target beside the node.
  std::string service;
  /// Address on which the node accepts connections from other nodes.
  SocketAddress peers;

  bool operator==(const MeshMember&) const = default;
};

/// Prefix of the keys of member rows.
inline constexpr std::string_view kMeshMemberPrefix = "node/";
/// Key of the row with the token issuer's lease.
inline constexpr std::string_view kIssuerKey = "issuer";
/// Table with the member rows.
inline constexpr std::string_view kFleetTable = "fleet";
/// Table with the issuer's lease. A separate table that no node follows, since
/// each renewal would otherwise wake every node.
inline constexpr std::string_view kIssuerTable = "issuer";

/// Encodes a row as MessagePack.
std::string EncodeMeshMember(const MeshMember& aRecord);
/// Decodes a row; nullopt if it is malformed.
std::optional<MeshMember> DecodeMeshMember(const std::string& aValue);

}  // namespace fescueline
